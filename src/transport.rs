//! HTTP code shared by all modules: an HTTP/1 listener with connection limits, and a client for
//! JSON calls.

use std::{
    convert::Infallible,
    future::Future,
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited, combinators::BoxBody};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu, ensure};
use tokio::{net::TcpListener, sync::watch, time};

/// Body of a response, either complete in memory or streamed as it arrives.
pub type ResponseBody = BoxBody<Bytes, hyper::Error>;

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
    /// Maximum time in milliseconds for which [`serve`] waits for requests in flight to complete
    /// after the listener was closed.
    pub drain_ms: u64,
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self {
            connections: 10_000,
            head_timeout_ms: 10_000,
            head_bytes: 32 * 1024,
            drain_ms: 30_000,
        }
    }
}

/// Failure of an HTTP call of [`JsonClient`]. The variant tells whether the server may have
/// processed the request.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum CallError {
    /// The connection could not be established, so the request was never sent.
    #[snafu(display("no connection to {address}"))]
    Connect {
        /// Host and port that were called.
        address: String,
    },
    /// The call failed after the request may have been sent.
    #[snafu(display(
        "the request to {address} may have been sent, but the call failed: {message}"
    ))]
    Broken {
        /// Host and port that were called.
        address: String,
        /// Cause, as reported by the HTTP library.
        message: String,
    },
    /// No response arrived within the timeout of the call. The server may have processed the
    /// request.
    #[snafu(display("{address} did not respond within {timeout_ms} ms"))]
    Timeout {
        /// Host and port that were called.
        address: String,
        /// Timeout of the call in milliseconds, which has expired.
        timeout_ms: u64,
    },
    /// The response has a status other than success.
    #[snafu(display("{address} answered {status}: {body}"))]
    Refused {
        /// Host and port that were called.
        address: String,
        /// HTTP status of the response.
        status: StatusCode,
        /// Body of the response, as text.
        body: String,
    },
    /// The body of the request cannot be encoded as JSON, or the body of the response is not the
    /// expected JSON.
    #[snafu(display("{address} sent an invalid JSON response"))]
    Decode {
        /// Host and port that were called.
        address: String,
        /// Position and cause, as reported by the JSON library.
        source: serde_json::Error,
    },
}

impl CallError {
    /// Returns true if the request certainly never reached the peer.
    pub fn never_sent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// IP address of the client that sent a request. [`serve`] adds the address to the extensions of
/// each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerAddress(pub IpAddr);

/// Accepts connections on `listener` and answers each request with `handler` until `stop` becomes
/// true. Then [`serve`] closes the listener, lets the requests in flight complete for at most
/// [`ListenerLimits::drain_ms`], and returns.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ListenerLimits,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    let permits = std::sync::Arc::new(tokio::sync::Semaphore::new(limits.connections));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stopped| *stopped) => break,
        };
        let Ok((stream, caller)) = accepted else {
            // `accept` usually fails because of a lack of file descriptors. The delay before the
            // next attempt gives open connections time to close.
            time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let service = service_fn(move |mut request: Request<Incoming>| {
            request.extensions_mut().insert(CallerAddress(caller.ip()));
            let answer = handler(request);
            async move { Ok::<_, Infallible>(answer.await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(Duration::from_millis(limits.head_timeout_ms))
            .max_buf_size(limits.head_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            let _ = watched.await;
            drop(permit);
        });
    }
    drop(listener);
    let drain = Duration::from_millis(limits.drain_ms);
    let _ = time::timeout(drain, graceful.shutdown()).await;
}

/// Returns the value of the header `name`, or `None` if the header is absent or not valid text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns the value of the header `name`, or `None` if the header is absent or not a number.
pub fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}

/// Builds a response whose body is complete in memory.
pub fn buffered(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(body).map_err(|never| match never {}).boxed());
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Builds a response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<ResponseBody> {
    match serde_json::to_vec(value) {
        Ok(body) => buffered(status, "application/json", body.into()),
        Err(error) => buffered(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            error.to_string().into(),
        ),
    }
}

/// Parses the JSON body of a request. Returns a response with status 400 as the error if the body
/// has more than `body_bytes` bytes, cannot be received or is not the expected JSON.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
    body_bytes: usize,
) -> Result<T, Response<ResponseBody>> {
    let bad = |message: String| buffered(StatusCode::BAD_REQUEST, "text/plain", message.into());
    let body = Limited::new(request.into_body(), body_bytes);
    let body = body
        .collect()
        .await
        .map_err(|error| bad(error.to_string()))?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| bad(error.to_string()))
}

/// HTTP client for small JSON calls over pooled connections, with one timeout for all calls.
#[derive(Clone, Debug)]
pub struct JsonClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout_ms: u64,
    token: Option<String>,
}

impl JsonClient {
    /// Creates a client whose calls fail with [`CallError::Timeout`] after `timeout_ms`
    /// milliseconds.
    pub fn new(timeout_ms: u64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(timeout_ms)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(30))
            .build(connector);
        Self {
            client,
            timeout_ms,
            token: None,
        }
    }

    /// Makes the client send `token` as a bearer token with all calls; `None` sends no token.
    pub fn with_token(mut self, token: Option<String>) -> Self {
        self.token = token;
        self
    }

    /// Sends `body` to `http://address/path` and parses the response as `T`.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &B,
    ) -> Result<T, CallError> {
        let body = serde_json::to_vec(body).context(DecodeSnafu {
            address: address.to_string(),
        })?;
        let answer = self.send(Method::POST, address, path, body.into()).await?;
        self.decode(address, &answer)
    }

    /// Fetches `http://address/path` and parses the response as `T`.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, CallError> {
        let answer = self.send(Method::GET, address, path, Bytes::new()).await?;
        self.decode(address, &answer)
    }

    /// Sends `body` unchanged to `http://address/path` and returns the body of the response. Fails
    /// if the status of the response is not a success.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, CallError> {
        let deadline = Duration::from_millis(self.timeout_ms);
        match time::timeout(deadline, self.exchange(method, address, path, body)).await {
            Ok(result) => result,
            Err(_) => TimeoutSnafu {
                address: address.to_string(),
                timeout_ms: self.timeout_ms,
            }
            .fail(),
        }
    }

    async fn exchange(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, CallError> {
        let broken = |message: String| CallError::Broken {
            address: address.to_string(),
            message,
        };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let request = request
            .body(Full::new(body))
            .map_err(|error| broken(error.to_string()))?;
        let answer = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                return CallError::Connect {
                    address: address.to_string(),
                };
            }
            broken(error.to_string())
        })?;
        let status = answer.status();
        let body = answer
            .into_body()
            .collect()
            .await
            .map_err(|error| broken(error.to_string()))?
            .to_bytes();
        ensure!(
            status.is_success(),
            RefusedSnafu {
                address: address.to_string(),
                status,
                body: String::from_utf8_lossy(&body).into_owned(),
            }
        );
        Ok(body)
    }

    fn decode<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        body: &[u8],
    ) -> Result<T, CallError> {
        serde_json::from_slice(body).context(DecodeSnafu {
            address: address.to_string(),
        })
    }
}
