//! Opens tunnels to servers through other hosts, by the method `CONNECT` of HTTP.

use std::{io, net::SocketAddr, time::Duration};

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, Request, StatusCode, header};
use http_body_util::Empty;
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::{net::TcpStream, time};

use crate::{
    entry::{
        Entry,
        pool::{ConnectError, Connection},
        server::Server,
    },
    transport::{EndOfTunnel, TunnelResponse, TunnelStream, header_text, request_tunnel},
};

/// Timeout of opening a tunnel, which includes the other host's connection to the server.
pub(super) const OPEN_TIMEOUT_MS: u64 = 400;
/// Number of hosts through which a tunnel is attempted.
const HOSTS_TRIED_MAX: usize = 4;
/// Number of hosts whose connections a server must refuse to count as refusing connections.
const REFUSALS_MAX: usize = 2;
/// Scheme of the header `Proxy-Authorization` in requests for tunnels.
pub(super) const AUTHORIZATION_SCHEME: &str = "Ashroad ";
/// Header in which a host that opens a tunnel states what the end of the tunnel's stream means. Hosts
/// of earlier versions do not send it.
pub(super) const TUNNEL_END: HeaderName = HeaderName::from_static("ashroad-tunnel-end");
/// Value of [`TUNNEL_END`] for [`EndOfTunnel::ServerEnded`].
pub(super) const SERVER_ENDED: &str = "server-ended";

/// Server to which a host asks another host for a tunnel. Sealed with the hosts' secret.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct TunnelRequest {
    /// Tag of the server's incarnation.
    pub server_tag: u32,
}

/// Reason why a tunnel could not be opened.
#[derive(Debug, Snafu)]
pub enum TunnelError {
    /// No other host carries tunnels.
    #[snafu(display("no other host carries tunnels"))]
    NoHost,
    /// This host does not know the hosts' secret yet.
    #[snafu(display("the request for a tunnel cannot be sealed"))]
    Seal,
    /// The other host could not be reached.
    #[snafu(display("{host}: {source}"))]
    Network {
        /// Address of the other host.
        host: SocketAddr,
        /// Error of the connection attempt.
        source: io::Error,
    },
    /// The exchange with the other host failed.
    #[snafu(display("{host}: {source}"))]
    Protocol {
        /// Address of the other host.
        host: SocketAddr,
        /// Error of the HTTP library.
        source: hyper::Error,
    },
    /// The request for a tunnel could not be built.
    #[snafu(display("the request for a tunnel is invalid: {source}"))]
    Request {
        /// Error of the HTTP library.
        source: http::Error,
    },
    /// The other host opened no tunnel, for example because it does not reach the server either.
    #[snafu(display("{host} responded with status {status}"))]
    Rejected {
        /// Address of the other host.
        host: SocketAddr,
        /// Status of the response.
        status: StatusCode,
    },
    /// The server refused the connection of the other host.
    #[snafu(display("the server refused the connection of another host"))]
    ServerRefused,
    /// The tunnel was not open in time.
    #[snafu(display("timeout"))]
    TimedOut,
}

impl From<TunnelError> for ConnectError {
    fn from(error: TunnelError) -> Self {
        match error {
            TunnelError::ServerRefused => Self::Refused {
                source: io::Error::from(io::ErrorKind::ConnectionRefused),
            },
            error => Self::Network {
                source: io::Error::other(error),
            },
        }
    }
}

impl Entry {
    /// Opens a connection to a server through a tunnel of another host, within `left_ms`.
    pub(super) async fn connect_through_tunnel(
        &self,
        server: &Server,
        left_ms: u64,
    ) -> Result<Connection, TunnelError> {
        let (host, tunnel) = self.tunnel(server, left_ms).await?;
        let started = server.pool.start(tunnel, Some(host)).await;
        started.map_err(|_| TunnelError::TimedOut)
    }

    /// Opens a tunnel to a server, within `left_ms`, and returns it with the host that carries it.
    pub(super) async fn tunnel(
        &self,
        server: &Server,
        left_ms: u64,
    ) -> Result<(SocketAddr, TunnelStream), TunnelError> {
        let timeout = Duration::from_millis(left_ms.min(OPEN_TIMEOUT_MS));
        let opened = time::timeout(timeout, self.try_hosts(server)).await;
        opened.unwrap_or(Err(TunnelError::TimedOut))
    }

    /// Tries hosts one after the other, first the one that last opened a tunnel to the server, until
    /// one opens a tunnel. A refusal by the server counts once a second host reports it, unless
    /// there is no second host: the first one may have lost its path to the server as well.
    async fn try_hosts(&self, server: &Server) -> Result<(SocketAddr, TunnelStream), TunnelError> {
        let mut tried = Vec::new();
        let mut refusals = 0;
        let mut last = TunnelError::NoHost;
        while tried.len() < HOSTS_TRIED_MAX && refusals < REFUSALS_MAX {
            let Some(host) = self.next_host(server, &tried).await else {
                break;
            };
            tried.push(host);
            match self.open_tunnel(host, server).await {
                Ok(tunnel) => {
                    server.path.set_proxy(Some(host));
                    return Ok((host, tunnel));
                }
                Err(error) => {
                    server.path.set_proxy(None);
                    refusals += usize::from(matches!(error, TunnelError::ServerRefused));
                    last = error;
                }
            }
        }
        if refusals == REFUSALS_MAX || refusals > 0 && refusals == tried.len() {
            return Err(TunnelError::ServerRefused);
        }
        Err(last)
    }

    async fn next_host(&self, server: &Server, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let known = server.path.proxy();
        let is_usable =
            |host: &SocketAddr| self.paths.proxies.is_fresh(*host) && !tried.contains(host);
        match known.filter(is_usable) {
            Some(host) => Some(host),
            None => self.proxy(tried).await,
        }
    }

    async fn open_tunnel(
        &self,
        host: SocketAddr,
        server: &Server,
    ) -> Result<TunnelStream, TunnelError> {
        let request = self.tunnel_request(server)?;
        let stream = TcpStream::connect(host).await;
        let stream = stream.context(NetworkSnafu { host })?;
        stream.set_nodelay(true).context(NetworkSnafu { host })?;
        exchange(host, stream, request).await
    }

    fn tunnel_request(&self, server: &Server) -> Result<Request<Empty<Bytes>>, TunnelError> {
        let server_tag = server.tag;
        let wanted = TunnelRequest { server_tag };
        let sealed = self.sealed(&wanted).context(SealSnafu)?;
        let encoded = BASE64_STANDARD.encode(sealed);
        let target = server.entry.address.to_string();
        Request::builder()
            .method(Method::CONNECT)
            .uri(&target)
            .header(header::HOST, &target)
            .header(
                header::PROXY_AUTHORIZATION,
                format!("{AUTHORIZATION_SCHEME}{encoded}"),
            )
            .body(Empty::new())
            .context(RequestSnafu)
    }
}

/// Sends the request for a tunnel and returns the connection that has become the tunnel.
async fn exchange(
    host: SocketAddr,
    stream: TcpStream,
    request: Request<Empty<Bytes>>,
) -> Result<TunnelStream, TunnelError> {
    let responded = request_tunnel(stream, request).await;
    match responded.context(ProtocolSnafu { host })? {
        TunnelResponse::Opened { headers, tunnel } => {
            Ok(TunnelStream::new(tunnel, end_of_tunnel(&headers)))
        }
        TunnelResponse::Rejected {
            status: StatusCode::BAD_GATEWAY,
        } => Err(TunnelError::ServerRefused),
        TunnelResponse::Rejected { status } => RejectedSnafu { host, status }.fail(),
    }
}

/// Returns the meaning that the headers of a response give to the end of the tunnel's stream.
fn end_of_tunnel(headers: &HeaderMap) -> EndOfTunnel {
    match header_text(headers, TUNNEL_END.as_str()) {
        Some(SERVER_ENDED) => EndOfTunnel::ServerEnded,
        _ => EndOfTunnel::Unknown,
    }
}
