//! Sends datagrams to many hosts over one socket. A message to all hosts of a zone is hundreds of
//! datagrams at once, more than the send buffer of a socket holds. The rest waits in a queue until
//! the socket takes it.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{net::UdpSocket, sync::Notify, time};

use crate::clock;

/// Age above which a queued datagram is dropped. Later messages state what older ones do, so a full
/// link carries those that are current.
const QUEUED_MAX_MS: u64 = 500;
/// Pause after a failed wait for the socket, so that a lasting error does not cause a busy loop.
const WAIT_AGAIN_MS: u64 = 100;
/// Maximum number of queued datagrams, which bounds the memory of the queue to a few megabytes.
const QUEUED_MAX: usize = 40_000;

/// Datagrams of this host to other hosts.
#[derive(Debug, Default)]
pub struct Datagrams {
    queue: Mutex<Queue>,
    /// Notified when the queue is no longer empty.
    queued: Notify,
    /// Number of datagrams that were not sent.
    dropped: AtomicU64,
}

/// Datagrams that the socket has not taken yet, in the order in which they were sent.
#[derive(Debug, Default)]
struct Queue {
    bursts: VecDeque<Burst>,
    datagrams: usize,
}

/// One datagram with the addresses that it has not been sent to yet.
#[derive(Debug)]
struct Burst {
    datagram: Arc<[u8]>,
    to: VecDeque<SocketAddr>,
    /// Time at which the datagram was queued.
    at_ms: u64,
}

impl Datagrams {
    /// Sends a datagram to each of the addresses `to` with `try_send`, which returns
    /// [`io::ErrorKind::WouldBlock`] if the socket takes no datagram at the moment. The datagrams
    /// that the socket does not take are queued.
    pub fn send(
        &self,
        datagram: &[u8],
        to: &[SocketAddr],
        now_ms: u64,
        try_send: impl Fn(&[u8], SocketAddr) -> io::Result<usize>,
    ) {
        let mut queue = self.queue();
        let was_empty = queue.bursts.is_empty();
        let mut to: VecDeque<SocketAddr> = to.iter().copied().collect();
        if was_empty {
            self.send_to(datagram, &mut to, try_send);
        }
        if to.is_empty() {
            return;
        }
        if queue.datagrams + to.len() > QUEUED_MAX {
            self.note_dropped(to.len());
            return;
        }
        queue.datagrams += to.len();
        queue.bursts.push_back(Burst {
            datagram: datagram.into(),
            to,
            at_ms: now_ms,
        });
        if was_empty {
            self.queued.notify_one();
        }
    }

    /// Sends the queued datagrams, as many as the socket takes now, and drops those that have waited
    /// for more than [`QUEUED_MAX_MS`]. Returns true if none is left.
    pub fn send_queued(
        &self,
        now_ms: u64,
        try_send: impl Fn(&[u8], SocketAddr) -> io::Result<usize>,
    ) -> bool {
        let mut queue = self.queue();
        while let Some(mut burst) = queue.bursts.pop_front() {
            let waiting = burst.to.len();
            if now_ms > burst.at_ms + QUEUED_MAX_MS {
                self.note_dropped(waiting);
                burst.to.clear();
            }
            self.send_to(&burst.datagram, &mut burst.to, &try_send);
            queue.datagrams -= waiting - burst.to.len();
            if !burst.to.is_empty() {
                queue.bursts.push_front(burst);
                return false;
            }
        }
        true
    }

    /// Sends queued datagrams whenever the socket takes some, as long as the process runs.
    pub async fn keep_sending(&self, socket: &UdpSocket) {
        loop {
            self.queued.notified().await;
            loop {
                if let Err(error) = socket.writable().await {
                    log::warn!("waiting for the socket between hosts failed: {error}");
                    time::sleep(Duration::from_millis(WAIT_AGAIN_MS)).await;
                    continue;
                }
                let try_send = |datagram: &[u8], to| socket.try_send_to(datagram, to);
                if self.send_queued(clock::now_ms(), try_send) {
                    break;
                }
            }
        }
    }

    /// Returns the number of datagrams that were dropped since the start of the process.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Sends a datagram to the addresses in `to`, from which those are removed that need no further
    /// attempt.
    fn send_to(
        &self,
        datagram: &[u8],
        to: &mut VecDeque<SocketAddr>,
        try_send: impl Fn(&[u8], SocketAddr) -> io::Result<usize>,
    ) {
        while let Some(address) = to.front().copied() {
            match try_send(datagram, address) {
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    log::debug!("sending a datagram to {address} failed: {error}");
                    self.note_dropped(1);
                }
            }
            to.pop_front();
        }
    }

    fn note_dropped(&self, datagrams: usize) {
        self.dropped.fetch_add(datagrams as u64, Ordering::Relaxed);
    }

    fn queue(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
