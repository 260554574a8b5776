//! Requests for tunnels, by the method `CONNECT` of HTTP. The host that is asked may be in trouble, as any
//! peer, so it is read within the same limit of bytes.

use http::{HeaderMap, Request, StatusCode};
use hyper::{
    body::Body,
    client::conn::http1::Builder,
    upgrade::{self, Upgraded},
};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};

use super::bounded_stream::{BoundedStream, HEAD_BYTES_MAX, UnusedBytes};

/// Response to a request for a tunnel.
#[derive(Debug)]
pub enum TunnelResponse {
    /// The connection has become the tunnel.
    Opened {
        /// Headers of the response.
        headers: HeaderMap,
        /// Connection behind the response.
        tunnel: Upgraded,
    },
    /// There is no tunnel.
    Rejected {
        /// Status of the response.
        status: StatusCode,
    },
}

/// Sends the request for a tunnel on a new connection, and returns the response.
pub async fn request_tunnel<S, B>(stream: S, request: Request<B>) -> hyper::Result<TunnelResponse>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    B: Body<Data: Send, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + Send + 'static,
{
    let unused = UnusedBytes::default();
    let stream = BoundedStream::new(stream, unused.clone());
    let mut builder = Builder::new();
    builder.max_buf_size(HEAD_BYTES_MAX);
    let (mut sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
    tokio::spawn(async move {
        if let Err(error) = connection.with_upgrades().await {
            log::debug!("a connection for a tunnel failed: {error}");
        }
    });
    let response = sender.send_request(request).await?;
    let status = response.status();
    if status != StatusCode::OK {
        return Ok(TunnelResponse::Rejected { status });
    }
    unused.end_limit();
    let headers = response.headers().clone();
    let tunnel = upgrade::on(response).await?;
    Ok(TunnelResponse::Opened { headers, tunnel })
}
