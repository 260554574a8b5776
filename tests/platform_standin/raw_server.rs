//! Stand-in of a backend server in trouble, which writes the bytes of its responses itself.

use std::{net::SocketAddr, sync::Arc};

use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
};

use super::next_address;

/// Path of health requests.
const HEALTH_PATH: &str = "/healthz";
/// Response to a health request.
const HEALTHY: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";

/// Request whose head a server in trouble has read.
#[derive(Clone, Debug, Default)]
pub struct RawRequest {
    /// Path of the request.
    pub path: String,
    /// Value of the `request-id` header.
    pub id: String,
    /// Beginning of the body, as far as it was read together with the head.
    pub body: Vec<u8>,
}

impl RawRequest {
    /// Returns true for a health request.
    pub fn is_health(&self) -> bool {
        self.path == HEALTH_PATH
    }

    /// Returns the status line and the headers that all responses need, without the empty line that
    /// ends the head.
    pub fn head(&self) -> String {
        let id = &self.id;
        format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-signature: signed\r\n")
    }
}

/// Answers a health request.
pub async fn respond_healthy(mut stream: TcpStream) {
    // The host may have closed the connection.
    stream.write_all(HEALTHY).await.ok();
    until_closed(&mut stream).await;
}

/// Starts a server whose connections carry one request each, which `respond` answers; returns the
/// server's address. The bodies of requests are left to `respond`.
pub async fn start_raw_server<F>(
    respond: impl Fn(RawRequest, TcpStream) -> F + Send + Sync + 'static,
) -> SocketAddr
where
    F: Future<Output = ()> + Send + 'static,
{
    let listener = TcpListener::bind(next_address(0)).await.expect("listener");
    let address = listener.local_addr().expect("address");
    let respond = Arc::new(respond);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let respond = respond.clone();
            tokio::spawn(async move {
                let mut stream = BufReader::new(stream);
                let Some(mut request) = read_head(&mut stream).await else {
                    return;
                };
                request.body = stream.buffer().to_vec();
                respond(request, stream.into_inner()).await;
            });
        }
    });
    address
}

/// Ends a connection by a reset.
pub fn reset(stream: TcpStream) {
    stream.set_zero_linger().expect("option");
    drop(stream);
}

/// Waits until the other end has closed the connection.
pub async fn until_closed(stream: &mut TcpStream) {
    let mut rest = [0; 1024];
    while stream.read(&mut rest).await.is_ok_and(|length| length > 0) {}
}

/// Reads the head of a request; returns `None` if the connection ends before.
pub async fn read_head(stream: &mut BufReader<TcpStream>) -> Option<RawRequest> {
    let mut request = RawRequest::default();
    let mut line = String::new();
    stream.read_line(&mut line).await.ok()?;
    line.split(' ').nth(1)?.clone_into(&mut request.path);
    loop {
        line.clear();
        let length = stream.read_line(&mut line).await.ok()?;
        let line = line.trim_end();
        if length == 0 {
            return None;
        }
        if line.is_empty() {
            return Some(request);
        }
        if let Some(id) = line.strip_prefix("request-id: ") {
            id.clone_into(&mut request.id);
        }
    }
}
