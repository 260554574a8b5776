//! Tests of sending datagrams to many hosts.

use std::{cell::RefCell, io, net::SocketAddr};

use ashroad::entry::peers::datagrams::Datagrams;

/// Number of other hosts in the largest zone of the largest known site.
const HOSTS: u16 = 238;

/// Socket with a send buffer of a given size, which [`Self::drain`] empties.
struct Socket {
    room_bytes: usize,
    free_bytes: RefCell<usize>,
    sent: RefCell<Vec<(Vec<u8>, SocketAddr)>>,
}

impl Socket {
    fn new(room_bytes: usize) -> Self {
        Self {
            room_bytes,
            free_bytes: RefCell::new(room_bytes),
            sent: RefCell::default(),
        }
    }

    fn try_send(&self, datagram: &[u8], to: SocketAddr) -> io::Result<usize> {
        let mut free_bytes = self.free_bytes.borrow_mut();
        if *free_bytes < datagram.len() {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        *free_bytes -= datagram.len();
        self.sent.borrow_mut().push((datagram.to_vec(), to));
        Ok(datagram.len())
    }

    fn drain(&self) {
        *self.free_bytes.borrow_mut() = self.room_bytes;
    }
}

fn hosts() -> Vec<SocketAddr> {
    let host = |number: u16| SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_620));
    (0..HOSTS).map(host).collect()
}

#[test]
fn a_burst_to_all_hosts_of_a_zone_is_sent_whole() {
    /// Default size of the send buffer of a socket on Linux.
    const ROOM_BYTES: usize = 212_992;
    /// Number and size of the pieces of a configuration, sealed.
    const PIECES: u8 = 3;
    const PIECE_BYTES: usize = 1_280;
    let socket = Socket::new(ROOM_BYTES);
    let datagrams = Datagrams::default();
    let hosts = hosts();
    let try_send = |datagram: &[u8], to: SocketAddr| socket.try_send(datagram, to);
    for piece in 0..PIECES {
        datagrams.send(&[piece; PIECE_BYTES], &hosts, 0, try_send);
    }
    for now_ms in 1..10 {
        socket.drain();
        if datagrams.send_queued(now_ms, try_send) {
            break;
        }
    }
    let sent = socket.sent.borrow();
    for piece in 0..PIECES {
        let to: Vec<SocketAddr> = sent
            .iter()
            .filter(|(datagram, _)| datagram[0] == piece)
            .map(|(_, to)| *to)
            .collect();
        assert_eq!(to, hosts, "piece {piece}");
    }
    assert_eq!(datagrams.dropped(), 0);
}
