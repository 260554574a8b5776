//! A kept connection for small calls to one peer.

use std::{
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time};

use super::error::{ConnectSnafu, Error, Result, UnansweredSnafu};

/// Time for a connection to come up. A lost opening packet is sent again after a second, so a
/// longer wait gains nothing.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Time for the rest of an answer that has begun. The largest, a configuration of some thousand
/// routes, takes over a second on a link of 10 Mbit/s with other traffic.
const BODY_TIMEOUT_MS: u64 = 3_000;
/// Time after which a connection that was not used is not relied on: it may have fallen silent, and a call on it would
/// wait out its whole timeout. Above the intervals at which leases are renewed, so that those keep theirs.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// An answer that is whole in memory.
#[derive(Debug)]
pub struct BufferedResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A connection to one peer: opened when first needed, reused after a whole answer, reset after
/// any failure so that bytes held up on the way are not delivered later.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    idle: Mutex<Option<Idle>>,
}

/// A connection that waits for the next call.
#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    since: Instant,
}

impl Link {
    /// A link that is not connected yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::new(None),
        }
    }

    /// Peer of this link.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and reads the whole answer, which must begin within `timeout_ms`. Calls that
    /// overlap use connections of their own.
    pub async fn call(
        &self,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<BufferedResponse> {
        let begun = AtomicBool::new(false);
        self.call_noting_start(request, timeout_ms, &begun).await
    }

    /// Does the same, and notes when the answer has begun.
    pub async fn call_noting_start(
        &self,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
        begun: &AtomicBool,
    ) -> Result<BufferedResponse> {
        let mut sender = self.connection(timeout_ms).await?;
        let head = sender.send_request(request);
        let response = self.within(timeout_ms, head).await?;
        begun.store(true, Ordering::Relaxed);
        let (head, body) = response.into_parts();
        let body = self.within(BODY_TIMEOUT_MS, body.collect()).await?;
        *self.idle() = Some(Idle {
            sender,
            since: Instant::now(),
        });
        Ok(BufferedResponse {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }

    async fn within<T>(
        &self,
        timeout_ms: u64,
        step: impl Future<Output = hyper::Result<T>>,
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

    fn idle(&self) -> MutexGuard<'_, Option<Idle>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn connection(&self, timeout_ms: u64) -> Result<SendRequest<Full<Bytes>>> {
        let idle = self.idle().take();
        if let Some(Idle { mut sender, since }) = idle
            && since.elapsed() < IDLE_TIMEOUT
            && sender.ready().await.is_ok()
        {
            return Ok(sender);
        }
        let limit = Duration::from_millis(timeout_ms.min(CONNECT_TIMEOUT_MS));
        let address = self.address;
        match time::timeout(limit, connect(address)).await {
            Ok(connected) => connected,
            Err(_) => {
                let message = "timeout".to_owned();
                ConnectSnafu { address, message }.fail()
            }
        }
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>> {
    let failed = |message: String| Error::Connect { address, message };
    let stream = TcpStream::connect(address)
        .await
        .map_err(|error| failed(error.to_string()))?;
    let options = stream.set_nodelay(true).and(stream.set_zero_linger());
    options.map_err(|error| failed(error.to_string()))?;
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(|error| failed(error.to_string()))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to {address} ended: {error}");
        }
    });
    Ok(sender)
}
