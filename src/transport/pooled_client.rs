//! HTTP/1.1 client of many addresses, which keeps idle connections for further requests.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::Full;
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpStream, time};

use super::{IncomingBody, RequestSender, SendError, start_client};

/// Reason why a request got no usable response.
#[derive(Debug, Snafu)]
pub enum RequestError {
    /// The connection could not be opened, so the request was never sent.
    #[snafu(display("{source}"))]
    Connect {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The handshake failed, so the request was never sent.
    #[snafu(display("{source}"))]
    Handshake {
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// The connection gave no usable response.
    #[snafu(display("{source}"))]
    Send {
        /// Whether the request was written, and what was wrong.
        source: SendError<Full<Bytes>>,
    },
}

impl RequestError {
    /// Returns true if the request certainly never reached the peer.
    pub fn never_sent(&self) -> bool {
        let Self::Send { source } = self else {
            return true;
        };
        matches!(source, SendError::NotWritten { .. })
    }
}

/// Limits of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Timeout of opening a connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time in milliseconds after which an idle connection is not used again.
    pub idle_timeout_ms: u64,
    /// Maximum number of idle connections to an address.
    pub idle_connections: usize,
}

/// Client of many addresses. Clones share the connections. An idle connection is closed by its peer, or
/// when the next request to its address finds it too old.
#[derive(Clone, Debug)]
pub struct PooledClient {
    limits: ClientLimits,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

#[derive(Debug)]
struct IdleConnection {
    sender: RequestSender<Full<Bytes>>,
    since: Instant,
}

impl PooledClient {
    /// Creates a client without connections.
    pub fn new(limits: ClientLimits) -> Self {
        let idle = Arc::default();
        Self { limits, idle }
    }

    /// Sends a request, whose URI has no authority, and waits for the head of the response. A request of
    /// which an idle connection wrote no part is sent on a new one. Dropping the future closes the
    /// connection.
    pub async fn request(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<IncomingBody>, RequestError> {
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(header::HOST, host);
        }
        while let Some(mut sender) = self.take(address) {
            match sender.send(request).await {
                Err(SendError::NotWritten { request: same, .. }) => request = *same,
                sent => return self.received(address, sender, sent),
            }
        }
        let mut sender = self.connect(address).await?;
        let sent = sender.send(request).await;
        self.received(address, sender, sent)
    }

    fn received(
        &self,
        address: SocketAddr,
        sender: RequestSender<Full<Bytes>>,
        sent: Result<Response<IncomingBody>, SendError<Full<Bytes>>>,
    ) -> Result<Response<IncomingBody>, RequestError> {
        let response = sent.context(SendSnafu)?;
        tokio::spawn(self.clone().keep(address, sender));
        Ok(response)
    }

    /// Keeps a connection for further requests once the body of the response was received.
    async fn keep(self, address: SocketAddr, mut sender: RequestSender<Full<Bytes>>) {
        if sender.ready().await.is_err() {
            return;
        }
        let mut idle = self.idle();
        let connections = idle.entry(address).or_default();
        connections.retain(|connection| self.is_usable(connection));
        if connections.len() < self.limits.idle_connections {
            let since = Instant::now();
            connections.push(IdleConnection { sender, since });
        }
    }

    /// Takes an idle connection that can be used again.
    fn take(&self, address: SocketAddr) -> Option<RequestSender<Full<Bytes>>> {
        let mut idle = self.idle();
        let connections = idle.get_mut(&address)?;
        connections.retain(|connection| self.is_usable(connection));
        Some(connections.pop()?.sender)
    }

    fn is_usable(&self, connection: &IdleConnection) -> bool {
        let idle_timeout = Duration::from_millis(self.limits.idle_timeout_ms);
        connection.sender.is_ready() && connection.since.elapsed() < idle_timeout
    }

    async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<RequestSender<Full<Bytes>>, RequestError> {
        let timeout = Duration::from_millis(self.limits.connect_timeout_ms);
        let connected = time::timeout(timeout, TcpStream::connect(address)).await;
        let connected = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
        let stream = connected.context(ConnectSnafu)?;
        stream.set_nodelay(true).context(ConnectSnafu)?;
        let (sender, connection) = start_client(stream).await.context(HandshakeSnafu)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} failed: {error}");
            }
        });
        Ok(sender)
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
