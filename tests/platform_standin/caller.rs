//! Clients that send requests to entry hosts.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpSocket, time};

/// Time after the deadline of a request for which the caller still waits for the response, because
/// processes may be scheduled late on a busy machine. The test `answers_come_by_the_deadline`
/// checks that hosts respond by the deadline itself.
const SCHEDULING_ALLOWANCE_MS: u64 = 10_000;

/// Response of a host, with its complete body.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: StatusCode,
    /// All headers of the response.
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// Client with one persistent connection to a host.
#[derive(Debug)]
pub struct Caller {
    sender: SendRequest<Full<Bytes>>,
}

/// Request that a test sends to a host.
#[derive(Clone, Copy, Debug)]
pub struct TestRequest<'a> {
    /// HTTP method; any but `GET` is sent with a body.
    pub method: &'a str,
    /// Path with the query.
    pub path: &'a str,
    /// Value of the `request-id` header.
    pub id: &'a str,
    /// Value of the `shard-key` header; needed if the service is sharded.
    pub key: Option<u16>,
    /// Time until the deadline, as the `deadline-ms` header states it.
    pub deadline_ms: u64,
}

impl Caller {
    /// Connects to a host; `None` if the connection fails.
    pub async fn connect(address: SocketAddr) -> Option<Self> {
        Self::connect_from(Ipv4Addr::LOCALHOST.into(), address).await
    }

    /// Connects to a host from the local address `own`, so that the host takes the connection for
    /// one of another caller; `None` if the connection fails.
    pub async fn connect_from(own: IpAddr, address: SocketAddr) -> Option<Self> {
        let socket = TcpSocket::new_v4().ok()?;
        socket.bind(SocketAddr::new(own, 0)).ok()?;
        let stream = {
            let call_timeout = Duration::from_millis(SCHEDULING_ALLOWANCE_MS);
            time::timeout(call_timeout, socket.connect(address)).await
        };
        let stream = stream.ok()?.ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(Self { sender })
    }

    /// Sends a request and returns the response; `None` if the connection closes before the
    /// response is complete or if no response arrives in time.
    pub async fn ask(&mut self, ask: TestRequest<'_>) -> Option<CallerResponse> {
        self.ask_with_headers(ask, &[]).await
    }

    /// Sends a request with additional headers; returns the same as [`Caller::ask`].
    pub async fn ask_with_headers(
        &mut self,
        ask: TestRequest<'_>,
        more_headers: &[(&str, &str)],
    ) -> Option<CallerResponse> {
        let mut request = Request::builder()
            .method(ask.method)
            .uri(ask.path)
            .header("host", "site.example")
            .header("request-id", ask.id)
            .header("deadline-ms", ask.deadline_ms);
        if let Some(key) = ask.key {
            request = request.header("shard-key", key);
        }
        for (name, value) in more_headers {
            request = request.header(*name, *value);
        }
        let body = if ask.method == "GET" { "" } else { "a body" };
        let request = request.body(Full::new(Bytes::from_static(body.as_bytes())));
        let exchange = async {
            self.sender.ready().await.ok()?;
            let response = self.sender.send_request(request.expect("request")).await;
            let (head, body) = response.ok()?.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            Some(CallerResponse {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        let call_timeout = Duration::from_millis(ask.deadline_ms + SCHEDULING_ALLOWANCE_MS);
        time::timeout(call_timeout, exchange).await.ok()?
    }
}

/// Sends one request on a new connection; `None` if the connection fails or no response arrives.
pub async fn send_once(address: SocketAddr, ask: TestRequest<'_>) -> Option<CallerResponse> {
    Caller::connect(address).await?.ask(ask).await
}
