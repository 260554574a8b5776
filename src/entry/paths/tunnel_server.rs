//! Carries tunnels of other hosts to servers that those hosts do not reach themselves.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use hyper::{
    body::Incoming,
    upgrade::{self, OnUpgrade, Parts},
};
use hyper_util::rt::TokioIo;
use snafu::{ResultExt, Snafu};
use socket2::SockRef;
use tokio::{
    io::{AsyncWriteExt, copy},
    net::TcpStream,
    sync::OwnedSemaphorePermit,
    time,
};

use super::tunnel::{AUTHORIZATION_SCHEME, SERVER_ENDED, TUNNEL_END, TunnelRequest};
use crate::{
    entry::{Entry, path_evidence::Suspicion, server::Server, server_path::Route},
    transport::{self, ResponseBody, header_text},
};

/// Timeout of the connection to the server.
const CONNECT_TIMEOUT_MS: u64 = 200;

/// Reason for which a tunnel ended otherwise than by an end of its streams.
#[derive(Debug, Snafu)]
enum CarryError {
    /// The other host did not use the tunnel.
    #[snafu(display("it was not used: {source}"))]
    NotUsed { source: hyper::Error },
    /// The connection of the other host is no plain socket.
    #[snafu(display("the connection of the other host is no socket"))]
    NoSocket,
    /// One of the connections broke.
    #[snafu(context(false), display("{source}"))]
    Broken { source: io::Error },
}

impl Entry {
    /// Opens a tunnel for another host: connects to the server, and copies bytes in both directions
    /// once the response is sent. Responds with 407 without a valid seal, 404 for an unknown
    /// server, 503 if this host may carry no tunnel, 502 if the server refuses the connection, and
    /// 504 if this host does not reach the server.
    pub(in crate::entry) async fn serve_tunnel(
        self: &Arc<Self>,
        mut request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let Some(wanted) = self.wanted_tunnel(request.headers()) else {
            return status(StatusCode::PROXY_AUTHENTICATION_REQUIRED);
        };
        let Some(server) = self.server_of(wanted.server_tag) else {
            return status(StatusCode::NOT_FOUND);
        };
        if !self.may_carry_tunnels() {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        if server.path.route() == Route::Tunnel {
            return status(StatusCode::GATEWAY_TIMEOUT);
        }
        let Ok(permit) = self.paths.carried.clone().try_acquire_owned() else {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        };
        let address = server.entry.address;
        match connect(address).await {
            Ok(stream) => {
                tokio::spawn(carry(upgrade::on(&mut request), stream, permit));
                opened()
            }
            Err(error)
                if error.kind() == io::ErrorKind::ConnectionRefused
                    && !self.paths.has_recent_loss() =>
            {
                self.suspect_path(&server, Suspicion::FailedTunnel);
                status(StatusCode::BAD_GATEWAY)
            }
            Err(error) => {
                self.suspect_path(&server, Suspicion::FailedTunnel);
                log::debug!("no connection to {address} for another host: {error}");
                status(StatusCode::GATEWAY_TIMEOUT)
            }
        }
    }

    /// Returns the request of another host; `None` if it is missing or not sealed with the
    /// hosts' secret.
    fn wanted_tunnel(&self, headers: &HeaderMap) -> Option<TunnelRequest> {
        let value = header_text(headers, header::PROXY_AUTHORIZATION.as_str())?;
        let encoded = value.strip_prefix(AUTHORIZATION_SCHEME)?;
        let sealed = BASE64_STANDARD.decode(encoded).ok()?;
        let plain = self.peers.seal.open(&sealed)?;
        postcard::from_bytes(plain).ok()
    }

    fn server_of(&self, server_tag: u32) -> Option<Arc<Server>> {
        let registry = self.view.registry();
        let mut servers = registry.servers();
        servers.find(|server| server.tag == server_tag).cloned()
    }
}

fn status(status: StatusCode) -> Response<ResponseBody> {
    transport::buffered(status, "text/plain", Bytes::new())
}

/// Returns the response after which the connection is the tunnel.
fn opened() -> Response<ResponseBody> {
    let mut response = status(StatusCode::OK);
    let end = HeaderValue::from_static(SERVER_ENDED);
    response.headers_mut().insert(TUNNEL_END, end);
    response
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    let connected = time::timeout(timeout, TcpStream::connect(address)).await;
    let stream = connected.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Carries a tunnel until another host or the server closes its connection.
async fn carry(upgrading: OnUpgrade, server: TcpStream, permit: OwnedSemaphorePermit) {
    if let Err(error) = carry_streams(upgrading, server).await {
        log::debug!("a tunnel ended: {error}");
    }
    drop(permit);
}

/// Copies bytes between another host and a server. Closes the tunnel in order only if the server has
/// ended its stream and all of its bytes were copied. In all other cases, which include the death of
/// this process, the tunnel is reset: its end would make a response without a length look whole.
async fn carry_streams(upgrading: OnUpgrade, mut server: TcpStream) -> Result<(), CarryError> {
    let upgraded = upgrading.await.context(NotUsedSnafu)?;
    let tunnel = upgraded.downcast::<TokioIo<TcpStream>>();
    let Ok(Parts { io, read_buf, .. }) = tunnel else {
        return NoSocketSnafu.fail();
    };
    let mut host = io.into_inner();
    // The operating system then resets the connection whenever it is closed.
    host.set_zero_linger()?;
    server.write_all(&read_buf).await?;
    // Owned halves would close their direction in order when they are dropped.
    let (mut host_read, mut host_write) = host.split();
    let (mut server_read, mut server_write) = server.split();
    // A half-closed tunnel would keep a server at work whose caller has left.
    tokio::select! {
        sent = copy(&mut host_read, &mut server_write) => {
            sent?;
            return Ok(());
        }
        received = copy(&mut server_read, &mut host_write) => received?,
    };
    SockRef::from(&host).set_linger(None)?;
    host.shutdown().await?;
    Ok(())
}
