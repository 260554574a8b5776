//! Connection pool of one backend server. A connection carries one request at a time, and is closed
//! after any event that leaves its state uncertain.

use std::{
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{HeaderMap, Request, Response, header};
use snafu::{ResultExt, Snafu};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    task::AbortHandle,
    time,
};

use crate::{
    clock,
    entry::decide::server_path::Reach,
    transport::{self, IncomingBody, RequestSender, ResponseBody, start_client},
};

/// Idle time after which a connection is not reused if the server names no keep-alive timeout.
/// Servers on the known sites close idle connections after 10 s.
const IDLE_DEFAULT_MS: u64 = 4_000;
/// Fraction of the server's keep-alive timeout up to which an idle connection is reused, so that
/// the server does not close the connection while a request is being sent.
const IDLE_SHARE: f64 = 0.8;
/// Timeout of a connection attempt. The operating system resends a lost SYN packet only after a
/// second, which is longer than most requests can wait.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// Reason why a connection could not be opened.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// No process listens at the address.
    #[snafu(display("{source}"))]
    Refused {
        /// Error from the connect call, which is always `ConnectionRefused`.
        source: io::Error,
    },
    /// The operating system reported another network error.
    #[snafu(display("{source}"))]
    Network {
        /// Error from connecting or configuring the socket, other than `ConnectionRefused`.
        source: io::Error,
    },
    /// The HTTP/1.1 handshake failed.
    #[snafu(display("{source}"))]
    Protocol {
        /// Error that the HTTP library returned for the handshake.
        source: hyper::Error,
    },
    /// The connection attempt timed out.
    #[snafu(display("timeout"))]
    TimedOut,
}

/// Reason why an open connection gave no usable response.
pub type SendError = transport::SendError<ResponseBody>;

impl ConnectError {
    /// Returns the outcome of the attempt to reach the server.
    pub fn reach(&self) -> Reach {
        match self {
            Self::Refused { .. } => Reach::Refused,
            Self::Network { .. } | Self::Protocol { .. } => Reach::Failed,
            Self::TimedOut => Reach::Silent,
        }
    }
}

impl From<io::Error> for ConnectError {
    fn from(source: io::Error) -> Self {
        if source.kind() == io::ErrorKind::ConnectionRefused {
            Self::Refused { source }
        } else {
            Self::Network { source }
        }
    }
}

/// An HTTP/1.1 connection; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: RequestSender<ResponseBody>,
    /// Task that drives the connection; aborted when the connection is dropped.
    task: AbortHandle,
    /// Task that closes the connection after a time; `None` while the time is not limited.
    time_limit: Option<AbortHandle>,
    /// Host whose tunnel the connection takes; `None` for a direct connection.
    tunnel: Option<SocketAddr>,
    /// Idle time up to which the connection is reused.
    idle_limit_ms: u64,
    idle_since_ms: u64,
    /// Idle time that the connection had when it was taken for reuse; `None` for a new connection,
    /// and once the connection has given a response.
    unanswered_idle_ms: Option<u64>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
        if let Some(time_limit) = &self.time_limit {
            time_limit.abort();
        }
    }
}

/// Idle connections to one server, in the order in which they were last used; the most recent is at
/// the end.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
}

impl Pool {
    /// Creates an empty pool for a server's address, without opening a connection.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Takes the most recently used connection that can be reused; `None` if no idle connection can
    /// be reused. Closes the more recently used connections, which cannot be reused, but keeps those
    /// that have been idle for `bound_ms` or longer, because the bound may not apply to the next
    /// request.
    pub fn take(&self, bound_ms: Option<u64>) -> Option<Connection> {
        let now_ms = clock::now_ms();
        let bound_ms = bound_ms.unwrap_or(u64::MAX);
        let mut idle = self.idle();
        while let Some(mut connection) =
            idle.pop_if(|connection| connection.idle_ms(now_ms) < bound_ms)
        {
            let idle_ms = connection.idle_ms(now_ms);
            if idle_ms < connection.idle_limit_ms && connection.sender.is_ready() {
                connection.unanswered_idle_ms = Some(idle_ms);
                return Some(connection);
            }
        }
        None
    }

    /// Returns true if the pool has an idle connection, even if [`Self::take`] would find the
    /// connection closed or too old for reuse.
    pub fn has_idle(&self) -> bool {
        !self.idle().is_empty()
    }

    /// Opens a connection. The attempt times out after `left_ms`, the remaining time of the
    /// request, or after [`CONNECT_TIMEOUT_MS`] if that is shorter.
    pub async fn connect(&self, left_ms: u64) -> Result<Connection, ConnectError> {
        let timeout = Duration::from_millis(left_ms.min(CONNECT_TIMEOUT_MS));
        let opened = async {
            let stream = TcpStream::connect(self.address).await?;
            stream.set_nodelay(true)?;
            self.start(stream, None).await
        };
        let opened = time::timeout(timeout, opened).await;
        opened.unwrap_or(Err(ConnectError::TimedOut))
    }

    /// Performs the HTTP/1.1 handshake on a stream to the server, which is a tunnel of the host
    /// `tunnel` or a direct connection.
    pub async fn start<S>(
        &self,
        stream: S,
        tunnel: Option<SocketAddr>,
    ) -> Result<Connection, ConnectError>
    where
        S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    {
        let address = self.address;
        let begun = start_client(stream).await;
        let (sender, connection) = begun.context(ProtocolSnafu)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} failed: {error}");
            }
        });
        Ok(Connection {
            sender,
            task: task.abort_handle(),
            time_limit: None,
            tunnel,
            idle_limit_ms: IDLE_DEFAULT_MS,
            idle_since_ms: clock::now_ms(),
            unanswered_idle_ms: None,
        })
    }

    /// Closes the idle direct connections.
    pub fn close_direct(&self) {
        self.idle().retain(|connection| connection.tunnel.is_some());
    }

    /// Closes the idle connections through tunnels of hosts for which `is_closed` returns true.
    pub fn close_tunnels(&self, is_closed: impl Fn(SocketAddr) -> bool) {
        self.idle()
            .retain(|connection| !connection.tunnel.is_some_and(&is_closed));
    }

    /// Adds a new connection on which no request was sent, such as one that a liveness probe
    /// opened.
    pub fn keep(&self, mut connection: Connection) {
        connection.idle_since_ms = clock::now_ms();
        self.idle().push(connection);
    }

    /// Returns true if at least one idle connection is still open, so that the server's process
    /// probably lives.
    pub fn has_open(&self) -> bool {
        self.idle().iter().any(|c| !c.sender.is_closed())
    }

    /// Returns a connection to the pool after a complete response, unless the response's headers
    /// ask to close it.
    pub fn give_back(&self, mut connection: Connection, response: &HeaderMap) {
        if says_close(response) {
            return;
        }
        if let Some(limit_ms) = keep_alive_ms(response) {
            connection.idle_limit_ms = (limit_ms as f64 * IDLE_SHARE) as u64;
        }
        connection.idle_since_ms = clock::now_ms();
        self.idle().push(connection);
    }

    /// Closes the idle connections that are too old for reuse, and drops those that the server has
    /// closed.
    pub fn sweep(&self) {
        let now_ms = clock::now_ms();
        let fresh = |c: &Connection| now_ms < c.idle_since_ms + c.idle_limit_ms;
        self.idle().retain(|c| fresh(c) && !c.sender.is_closed());
    }

    fn idle(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Connection {
    /// Returns the idle time that the connection had when it was reused, until it gives a response;
    /// `None` for a new connection.
    pub fn unanswered_idle_ms(&self) -> Option<u64> {
        self.unanswered_idle_ms
    }

    /// Returns the host whose tunnel the connection takes; `None` for a direct connection.
    pub fn tunnel(&self) -> Option<SocketAddr> {
        self.tunnel
    }

    /// Closes the connection after this time, so that a body which is still being received ends in an
    /// error, also if nobody reads it.
    pub fn close_after(&mut self, time: Duration) {
        let task = self.task.clone();
        let closing = tokio::spawn(async move {
            time::sleep(time).await;
            task.abort();
        });
        self.time_limit = Some(closing.abort_handle());
    }

    fn idle_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.idle_since_ms)
    }

    /// Sends a request and waits for the head of the response. The body of the response is still to
    /// be read.
    pub async fn send(
        &mut self,
        request: Request<ResponseBody>,
    ) -> Result<Response<IncomingBody>, SendError> {
        let sent = self.sender.send(request).await;
        if matches!(sent, Ok(_) | Err(SendError::InvalidHead { .. })) {
            self.unanswered_idle_ms = None;
        }
        sent
    }
}

/// Returns true if the headers ask to close the connection.
fn says_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"))
}

/// Returns the keep-alive timeout in a response's headers, in milliseconds; `None` if the server
/// names no timeout.
fn keep_alive_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|field| {
        let field = field.trim();
        let number = field.strip_prefix("timeout=").unwrap_or(field);
        number.parse::<u64>().ok()
    })?;
    Some(seconds * 1000)
}
