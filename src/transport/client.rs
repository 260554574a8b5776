//! HTTP client for JSON calls.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{ResultExt, Snafu, ensure};
use tokio::time;

use super::pooled_client::{ClientLimits, PooledClient, RequestError};

/// Maximum size of the body of a response; that of the state of a large deployment is a fraction of it.
const BODY_BYTES_MAX: usize = 64 * 1024 * 1024;
/// Time after which an idle connection is not used again, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 30_000;

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

/// HTTP client for small JSON calls over pooled connections, with one timeout for all calls.
#[derive(Clone, Debug)]
pub struct JsonClient {
    client: PooledClient,
    timeout_ms: u64,
    token: Option<String>,
}

impl JsonClient {
    /// Creates a client whose calls fail with [`CallError::Timeout`] after `timeout_ms`
    /// milliseconds.
    pub fn new(timeout_ms: u64) -> Self {
        let limits = ClientLimits {
            connect_timeout_ms: timeout_ms,
            idle_timeout_ms: IDLE_TIMEOUT_MS,
            idle_connections: usize::MAX,
        };
        Self {
            client: PooledClient::new(limits),
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
            .uri(path)
            .header(header::CONTENT_TYPE, "application/json");
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        let request = request
            .body(Full::new(body))
            .map_err(|error| broken(error.to_string()))?;
        let sent = self.client.request(address, request).await;
        let answer = sent.map_err(|error: RequestError| {
            if error.never_sent() {
                return CallError::Connect {
                    address: address.to_string(),
                };
            }
            broken(error.to_string())
        })?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), BODY_BYTES_MAX)
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
