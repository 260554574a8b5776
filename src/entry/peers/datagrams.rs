//! Sends datagrams to many hosts over one socket.

use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicU64, Ordering},
};

/// Datagrams of this host to other hosts.
#[derive(Debug, Default)]
pub struct Datagrams {
    /// Number of datagrams that were not sent.
    dropped: AtomicU64,
}

impl Datagrams {
    /// Sends a datagram to each of the addresses `to` with `try_send`, which returns an error if the
    /// socket takes no datagram at the moment.
    pub fn send(
        &self,
        datagram: &[u8],
        to: &[SocketAddr],
        _now_ms: u64,
        try_send: impl Fn(&[u8], SocketAddr) -> io::Result<usize>,
    ) {
        for address in to {
            if let Err(error) = try_send(datagram, *address) {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                log::debug!("sending a datagram to {address} failed: {error}");
            }
        }
    }

    /// Sends the datagrams that the socket has not taken yet, as many as it takes now. Returns true
    /// if none is left.
    pub fn send_queued(
        &self,
        _now_ms: u64,
        _try_send: impl Fn(&[u8], SocketAddr) -> io::Result<usize>,
    ) -> bool {
        true
    }

    /// Returns the number of datagrams that were dropped since the start of the process.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}
