//! Stand-in of a backend server that gives no response.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time,
};

use super::next_address;

/// Server that gives no response.
#[derive(Debug)]
pub struct Unresponsive {
    listener: TcpListener,
    /// Connections that fill the accept queue, so that no further connection can be opened.
    #[allow(dead_code, reason = "closed when the server is dropped")]
    queued: Vec<TcpStream>,
}

impl Unresponsive {
    /// Starts a server whose operating system accepts connections, which nobody reads from, or that
    /// lets all connection attempts time out.
    pub async fn start(is_reachable: bool) -> Self {
        let socket = TcpSocket::new_v4().expect("socket");
        socket.bind(next_address(0)).expect("address");
        let listener = socket
            .listen(if is_reachable { 64 } else { 0 })
            .expect("listener");
        let address = listener.local_addr().expect("address");
        let mut queued = Vec::new();
        if !is_reachable {
            let connect = || time::timeout(Duration::from_millis(200), TcpStream::connect(address));
            while let Ok(stream) = connect().await {
                queued.push(stream.expect("connection"));
            }
        }
        Self { listener, queued }
    }

    /// Returns the address that hosts connect to.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("address")
    }
}
