//! HTTP client that makes small calls to one address (of the store or of a server) over a
//! persistent connection.

use std::{
    fmt,
    io::ErrorKind,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    time,
};

use super::error::{ConnectSnafu, Error, Result, UnansweredSnafu};
use crate::{
    clock,
    transport::{RequestSender, TunnelStream, start_client},
};

/// Timeout for establishing a connection. TCP retransmits a lost SYN packet after one second, so a
/// longer timeout gains nothing.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Timeout for the body after the head of a response has arrived. The largest body, a configuration
/// of some thousand routes, takes over a second on a link of 10 Mbit/s with other traffic.
const BODY_TIMEOUT_MS: u64 = 3_000;
/// Idle time after which a connection is replaced. The network may have dropped an idle connection
/// silently, and a call on such a connection would wait for the whole timeout of the call. The idle
/// timeout exceeds the lease renewal intervals, so that renewals reuse their connections.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of the body of a response to a command or a health check.
const BODY_BYTES_MAX: usize = 64 * 1024;
/// Maximum size of the body of a response with rows.
const ROWS_BYTES_MAX: usize = 64 * 1024 * 1024;

/// HTTP response whose whole body is in memory.
#[derive(Debug)]
pub struct BufferedResponse {
    /// HTTP status code, as received; callers decide which statuses are failures.
    pub status: StatusCode,
    /// Response headers, as received.
    pub headers: HeaderMap,
    /// Complete body; empty if the response has no body.
    pub body: Bytes,
}

/// HTTP client of one address, which keeps its connection open. The client connects on the first
/// call and reuses the connection after a complete response. After any failure the client resets
/// the connection, so that bytes delayed in the network are not delivered later.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    /// Maximum size of the body of a response. A call with a larger one fails.
    body_bytes_max: usize,
    idle: Mutex<Option<IdleConnection>>,
    /// Opens connections through a tunnel; `None` while connections are opened directly.
    tunnel: Mutex<Option<TunnelOpener>>,
}

/// Function that opens a tunnel to the address of a [`Link`].
#[derive(Clone)]
pub struct TunnelOpener(pub Arc<dyn Fn() -> OpeningTunnel + Send + Sync>);

/// Tunnel that is being opened.
pub type OpeningTunnel = Pin<Box<dyn Future<Output = Result<TunnelStream>> + Send>>;

impl fmt::Debug for TunnelOpener {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("TunnelOpener")
    }
}

/// Open connection of a [`Link`], which carries one call at a time. A connection to a process ends
/// with the process.
#[derive(Debug)]
pub struct Connection {
    sender: RequestSender<Full<Bytes>>,
    opened_ms: u64,
}

impl Connection {
    /// Returns the time, in milliseconds by the clock of this host, by which the connection was open.
    /// The process at its other end had started by then.
    pub fn opened_ms(&self) -> u64 {
        self.opened_ms
    }
}

/// Connection without a call in progress, kept open for the next call.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

impl Link {
    /// Creates a client for calls to `address`, which connects on its first call. A call whose response
    /// has a body of more than [`BODY_BYTES_MAX`] bytes fails.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            body_bytes_max: BODY_BYTES_MAX,
            idle: Mutex::new(None),
            tunnel: Mutex::new(None),
        }
    }

    /// Admits responses with many rows, of the store or of another host.
    pub fn for_rows(self) -> Self {
        Self {
            body_bytes_max: ROWS_BYTES_MAX,
            ..self
        }
    }

    /// Sets how further connections are opened: through tunnels, or directly with `None`. The
    /// connection that is kept for the next call is closed.
    pub fn set_tunnel(&self, tunnel: Option<TunnelOpener>) {
        *self.tunnel.lock().unwrap_or_else(PoisonError::into_inner) = tunnel;
        self.close_idle();
    }

    /// Closes the connection that is kept for the next call.
    pub fn close_idle(&self) {
        *self.idle() = None;
    }

    fn tunnel(&self) -> Option<TunnelOpener> {
        let tunnel = self.tunnel.lock().unwrap_or_else(PoisonError::into_inner);
        tunnel.clone()
    }

    /// Returns the address that calls are sent to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns true if the connection that is kept for the next call is still open.
    pub fn has_open_connection(&self) -> bool {
        let idle = self.idle();
        idle.as_ref()
            .is_some_and(|idle| !idle.connection.sender.is_closed())
    }

    /// Sends a request and reads the whole response. The head of the response must arrive within
    /// `timeout_ms`. Concurrent calls use separate connections.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<BufferedResponse> {
        let head_received = AtomicBool::new(false);
        self.call_with_head_flag(request, timeout_ms, &head_received)
            .await
    }

    /// Sends a request as [`Link::call`] does, and sets `head_received` to true when the head of
    /// the response has arrived.
    pub async fn call_with_head_flag(
        &self,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
        head_received: &AtomicBool,
    ) -> Result<BufferedResponse> {
        let connection = self.open(timeout_ms).await?;
        self.exchange(connection, request, timeout_ms, head_received)
            .await
    }

    /// Sends a request as [`Link::call`] does, on a connection that [`Link::open`] has returned.
    pub async fn call_on(
        &self,
        connection: Connection,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<BufferedResponse> {
        let head_received = AtomicBool::new(false);
        self.exchange(connection, request, timeout_ms, &head_received)
            .await
    }

    async fn exchange(
        &self,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
        head_received: &AtomicBool,
    ) -> Result<BufferedResponse> {
        let head = connection.sender.send(request);
        let response = self.with_timeout(timeout_ms, head).await?;
        head_received.store(true, Ordering::Relaxed);
        let (head, body) = response.into_parts();
        let body = Limited::new(body, self.body_bytes_max).collect();
        let body = self.with_timeout(BODY_TIMEOUT_MS, body).await?;
        self.keep(connection);
        Ok(BufferedResponse {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }

    /// Keeps a connection without a call in progress open for the next call.
    pub fn keep(&self, connection: Connection) {
        *self.idle() = Some(IdleConnection {
            connection,
            since: Instant::now(),
        });
    }

    async fn with_timeout<T, E: fmt::Display>(
        &self,
        timeout_ms: u64,
        step: impl Future<Output = std::result::Result<T, E>>,
    ) -> Result<T> {
        let address = self.address;
        match time::timeout(Duration::from_millis(timeout_ms), step).await {
            Ok(Ok(done)) => Ok(done),
            Ok(Err(error)) => {
                let message = error.to_string();
                UnansweredSnafu { address, message }.fail()
            }
            Err(_) => {
                let message = format!("timeout after {timeout_ms} ms");
                UnansweredSnafu { address, message }.fail()
            }
        }
    }

    fn idle(&self) -> MutexGuard<'_, Option<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the connection that is kept for the next call, or opens one within `timeout_ms`.
    pub async fn open(&self, timeout_ms: u64) -> Result<Connection> {
        let idle = self.idle().take();
        if let Some(IdleConnection {
            mut connection,
            since,
        }) = idle
            && since.elapsed() < IDLE_TIMEOUT
            && connection.sender.ready().await.is_ok()
        {
            return Ok(connection);
        }
        let connect_timeout = Duration::from_millis(timeout_ms.min(CONNECT_TIMEOUT_MS));
        let address = self.address;
        let connecting = async {
            match self.tunnel() {
                Some(TunnelOpener(open)) => start(address, open().await?).await,
                None => connect(address).await,
            }
        };
        match time::timeout(connect_timeout, connecting).await {
            Ok(connected) => connected,
            Err(_) => {
                let message = "timeout".to_owned();
                ConnectSnafu { address, message }.fail()
            }
        }
    }
}

async fn connect(address: SocketAddr) -> Result<Connection> {
    let connect_error = |message: String| Error::Connect { address, message };
    let stream = TcpStream::connect(address).await.map_err(|error| {
        if error.kind() == ErrorKind::ConnectionRefused {
            return Error::Refused { address };
        }
        connect_error(error.to_string())
    })?;
    let options = stream.set_nodelay(true).and(stream.set_zero_linger());
    options.map_err(|error| connect_error(error.to_string()))?;
    start(address, stream).await
}

/// Performs the HTTP/1.1 handshake on a stream to `address`.
async fn start<S>(address: SocketAddr, stream: S) -> Result<Connection>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let opened_ms = clock::now_ms();
    let begun = start_client(stream).await;
    let (sender, connection) = begun.map_err(|error| {
        let message = error.to_string();
        Error::Connect { address, message }
    })?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    Ok(Connection { sender, opened_ms })
}
