//! Limits of a listener and of its connections, and the address of a connection's caller.

use std::{net::IpAddr, time::Duration};

use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;

/// Limits of one listener. The limits bound the memory and the time that clients can take up.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Maximum number of open connections. Further connections wait in the accept queue of the
    /// operating system.
    pub connections: usize,
    /// Timeout in milliseconds within which a client must send the complete head of a request.
    pub head_timeout_ms: u64,
    /// Size in bytes of the read buffer of a connection. The head of a request must fit into the
    /// buffer.
    pub head_bytes: usize,
    /// Maximum time in milliseconds for which [`serve`](super::serve) waits for requests in flight to complete
    /// after the listener was closed.
    pub drain_ms: u64,
    /// Maximum number of requests of a connection that [`serve_pipelined`](super::serve_pipelined) has read ahead and that
    /// wait for their turn, whether or not they were started; the request in progress does not
    /// count. 0 turns reading ahead off.
    pub pipelined_requests: usize,
    /// Maximum number of bytes of a connection that [`serve_pipelined`](super::serve_pipelined) reads ahead; 0 turns reading
    /// ahead off.
    pub pipelined_bytes: usize,
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            head_timeout_ms: 10_000,
            head_bytes: 32 * 1024,
            drain_ms: 30_000,
            pipelined_requests: 0,
            pipelined_bytes: 0,
        }
    }
}

/// IP address of the client that sent a request. [`serve`](super::serve) and [`serve_pipelined`](super::serve_pipelined) add the address to
/// the extensions of each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerAddress(pub IpAddr);

/// Returns the settings of the HTTP library for connections with these limits.
pub(super) fn connection_builder(limits: &ListenerLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.head_timeout_ms))
        .max_buf_size(limits.head_bytes);
    builder
}
