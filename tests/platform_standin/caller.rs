//! Callers of entry hosts.

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

/// Time that a process may be without processor time on a machine that runs other things too. Hosts
/// owe an answer by the deadline; `answers_come_by_the_deadline` looks at that.
const SCHEDULING_ALLOWANCE_MS: u64 = 10_000;

/// An answer.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A kept connection to one host.
#[derive(Debug)]
pub struct Caller {
    sender: SendRequest<Full<Bytes>>,
}

/// A request.
#[derive(Clone, Copy, Debug)]
pub struct TestRequest<'a> {
    /// Method.
    pub method: &'a str,
    /// Path.
    pub path: &'a str,
    /// Identifier.
    pub id: &'a str,
    /// Key, if the service is divided by key.
    pub key: Option<u16>,
    /// Deadline.
    pub deadline_ms: u64,
}

impl Caller {
    /// Connects; `None` if nobody listens.
    pub async fn connect(address: SocketAddr) -> Option<Self> {
        Self::connect_from(Ipv4Addr::LOCALHOST.into(), address).await
    }

    /// Connects from an address of the caller's own.
    pub async fn connect_from(own: IpAddr, address: SocketAddr) -> Option<Self> {
        let socket = TcpSocket::new_v4().ok()?;
        socket.bind(SocketAddr::new(own, 0)).ok()?;
        let stream = {
            let limit = Duration::from_millis(SCHEDULING_ALLOWANCE_MS);
            time::timeout(limit, socket.connect(address)).await
        };
        let stream = stream.ok()?.ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(Self { sender })
    }

    /// Sends a request; `None` if the connection ended without an answer or nothing came.
    pub async fn ask(&mut self, ask: TestRequest<'_>) -> Option<Answer> {
        self.ask_with_headers(ask, &[]).await
    }

    /// Does the same with more headers.
    pub async fn ask_with_headers(
        &mut self,
        ask: TestRequest<'_>,
        more: &[(&str, &str)],
    ) -> Option<Answer> {
        let mut request = Request::builder()
            .method(ask.method)
            .uri(ask.path)
            .header("host", "site.example")
            .header("request-id", ask.id)
            .header("deadline-ms", ask.deadline_ms);
        if let Some(key) = ask.key {
            request = request.header("shard-key", key);
        }
        for (name, value) in more {
            request = request.header(*name, *value);
        }
        let body = if ask.method == "GET" { "" } else { "a body" };
        let request = request.body(Full::new(Bytes::from_static(body.as_bytes())));
        let exchange = async {
            self.sender.ready().await.ok()?;
            let response = self.sender.send_request(request.expect("request")).await;
            let (head, body) = response.ok()?.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            Some(Answer {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        let limit = Duration::from_millis(ask.deadline_ms + SCHEDULING_ALLOWANCE_MS);
        time::timeout(limit, exchange).await.ok()?
    }
}

/// Sends one request on a connection of its own.
pub async fn ask_once(address: SocketAddr, ask: TestRequest<'_>) -> Option<Answer> {
    Caller::connect(address).await?.ask(ask).await
}
