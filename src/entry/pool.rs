//! Connections to one backend server. Each carries one request at a time and is closed after
//! anything that leaves doubt about what comes next on it.

use std::{
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{HeaderMap, Request, Response, header};
use hyper::{
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpStream, task::AbortHandle, time};

use crate::{clock, transport::ResponseBody};

/// Idle time after which a connection is not reused if the server names none. Servers close
/// idle connections after 10 s on the known sites.
const IDLE_DEFAULT_MS: u64 = 4_000;
/// Share of the idle time that the server names within which a connection is reused.
const IDLE_SHARE: f64 = 0.8;
/// Time for a connection to come up. A lost opening packet is sent again after a second, which
/// is later than most requests can wait.
const CONNECT_TIMEOUT_MS: u64 = 400;

/// Why a connection did not come up.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    /// Nobody listens at the address.
    #[snafu(display("{source}"))]
    Refused {
        /// Cause.
        source: io::Error,
    },
    /// The network failed.
    #[snafu(display("{source}"))]
    Network {
        /// Cause.
        source: io::Error,
    },
    /// The protocol could not begin.
    #[snafu(display("{source}"))]
    Protocol {
        /// Cause.
        source: hyper::Error,
    },
    /// Nothing came in time.
    #[snafu(display("timeout"))]
    TimedOut,
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

/// A connection; closed when dropped.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<ResponseBody>,
    task: AbortHandle,
    idle_limit_ms: u64,
    idle_since_ms: u64,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections to one server.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
}

impl Pool {
    /// An empty pool.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// The connection that was used last and is still good, if there is one.
    pub fn take(&self) -> Option<Connection> {
        let now_ms = clock::now_ms();
        let mut idle = self.idle();
        while let Some(connection) = idle.pop() {
            let fresh = now_ms < connection.idle_since_ms + connection.idle_limit_ms;
            if fresh && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// True if a connection is idle; it may still turn out to be too old.
    pub fn has_idle(&self) -> bool {
        !self.idle().is_empty()
    }

    /// Opens a connection.
    pub async fn connect(&self, left_ms: u64) -> Result<Connection, ConnectError> {
        let limit = Duration::from_millis(left_ms.min(CONNECT_TIMEOUT_MS));
        let opened = time::timeout(limit, open(self.address)).await;
        opened.unwrap_or(Err(ConnectError::TimedOut))
    }

    /// Keeps a connection on which nothing was sent yet.
    pub fn keep(&self, mut connection: Connection) {
        connection.idle_since_ms = clock::now_ms();
        self.idle().push(connection);
    }

    /// True if the server has left an idle connection open.
    pub fn has_open(&self) -> bool {
        self.idle().iter().any(|c| !c.sender.is_closed())
    }

    /// Keeps a connection whose last answer was whole, for reuse.
    pub fn give_back(&self, mut connection: Connection, answer: &HeaderMap) {
        if says_close(answer) {
            return;
        }
        if let Some(limit_ms) = keep_alive_ms(answer) {
            connection.idle_limit_ms = (limit_ms as f64 * IDLE_SHARE) as u64;
        }
        connection.idle_since_ms = clock::now_ms();
        self.idle().push(connection);
    }

    /// Closes connections that are too old to be reused.
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
    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &mut self,
        request: Request<ResponseBody>,
    ) -> hyper::Result<Response<Incoming>> {
        self.sender.send_request(request).await
    }
}

async fn open(address: SocketAddr) -> Result<Connection, ConnectError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let begun = handshake(TokioIo::new(stream)).await;
    let (sender, connection) = begun.context(ProtocolSnafu)?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
        idle_limit_ms: IDLE_DEFAULT_MS,
        idle_since_ms: clock::now_ms(),
    })
}

fn says_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.to_ascii_lowercase().contains("close"))
}

fn keep_alive_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value.split(',').find_map(|field| {
        let field = field.trim();
        let number = field.strip_prefix("timeout=").unwrap_or(field);
        number.parse::<u64>().ok()
    })?;
    Some(seconds * 1000)
}
