//! QUIC endpoint of one host: connections to its peers, and the messages that arrive on them.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Duration,
};

use quinn::{Connection, Endpoint, RecvStream, SendStream};
use snafu::ResultExt;
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use super::{
    error::{BindSnafu, Error, Result, UnreachableSnafu},
    keys::{HOST_NAME, TlsConfigs},
    message::{Datagram, MESSAGE_BYTES_MAX, PeerReply, PeerRequest, decode, encode},
};

/// Maximum number of received messages that wait to be handled. While the inbox is full, requests
/// on streams wait and datagrams are dropped.
const INBOX_MESSAGES: usize = 4_096;

/// Message received from a peer.
#[derive(Debug)]
pub enum Inbound {
    /// Heartbeat; replies are sent on the same connection.
    Datagram {
        /// Connection that the message arrived on.
        connection: Connection,
        /// Ping or pong that the peer sent.
        datagram: Datagram,
    },
    /// Request on a stream; the handler sends its reply through the channel.
    Request {
        /// Request that the peer waits for a reply to.
        request: PeerRequest,
        /// Channel for the reply; if the channel is dropped unused, the peer's call fails.
        reply: oneshot::Sender<PeerReply>,
    },
}

/// QUIC endpoint of one host, with its open connections to peers.
#[derive(Debug)]
pub struct PeerEndpoint {
    endpoint: Endpoint,
    connections: Mutex<HashMap<SocketAddr, Connection>>,
    inbox: mpsc::Sender<Inbound>,
}

impl PeerEndpoint {
    /// Opens the endpoint on the UDP address and returns it with a receiver of the messages that
    /// peers send.
    pub fn bind(address: SocketAddr, tls: TlsConfigs) -> Result<(Self, mpsc::Receiver<Inbound>)> {
        let opened = Endpoint::server(tls.server, address);
        let mut endpoint = opened.context(BindSnafu { address })?;
        endpoint.set_default_client_config(tls.client);
        let (inbox, received) = mpsc::channel(INBOX_MESSAGES);
        tokio::spawn(accept(endpoint.clone(), inbox.clone()));
        let peer = Self {
            endpoint,
            connections: Mutex::default(),
            inbox,
        };
        Ok((peer, received))
    }

    /// Returns the UDP address that the endpoint is bound to; its port is the actual port if port 0
    /// was requested.
    pub fn address(&self) -> Result<SocketAddr> {
        self.endpoint.local_addr().map_err(|error| Error::Tls {
            message: error.to_string(),
        })
    }

    /// Sends a heartbeat, after connecting to the peer if needed. The loss of the heartbeat in the
    /// network is not reported.
    pub async fn send(&self, address: SocketAddr, datagram: Datagram) -> Result<()> {
        let connection = self.connect(address).await?;
        let bytes = encode(&datagram)?;
        let sent = connection.send_datagram(bytes.into());
        sent.map_err(|error| self.unreachable(address, &error))
    }

    /// Sends a request, after connecting to the peer if needed, and waits for the reply. Fails if
    /// the reply has not arrived within `timeout_ms`.
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        timeout_ms: u64,
    ) -> Result<PeerReply> {
        let exchange = self.exchange(address, request);
        match time::timeout(Duration::from_millis(timeout_ms), exchange).await {
            Ok(result) => result,
            Err(_) => UnreachableSnafu {
                address,
                message: format!("no reply within {timeout_ms} ms"),
            }
            .fail(),
        }
    }

    async fn exchange(&self, address: SocketAddr, request: &PeerRequest) -> Result<PeerReply> {
        let bytes = encode(request)?;
        let connection = self.connect(address).await?;
        let (mut send, mut receive) = connection
            .open_bi()
            .await
            .map_err(|error| self.unreachable(address, &error))?;
        send.write_all(&bytes)
            .await
            .map_err(|error| self.unreachable(address, &error))?;
        send.finish()
            .map_err(|error| self.unreachable(address, &error))?;
        let reply = receive
            .read_to_end(MESSAGE_BYTES_MAX)
            .await
            .map_err(|error| self.unreachable(address, &error))?;
        decode(&reply)
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection> {
        if let Some(connection) = self.existing_connection(address) {
            return Ok(connection);
        }
        let connecting = self
            .endpoint
            .connect(address, HOST_NAME)
            .map_err(|error| self.unreachable(address, &error))?;
        let connection = connecting
            .await
            .map_err(|error| self.unreachable(address, &error))?;
        tokio::spawn(read_datagrams(connection.clone(), self.inbox.clone()));
        self.lock().insert(address, connection.clone());
        Ok(connection)
    }

    fn existing_connection(&self, address: SocketAddr) -> Option<Connection> {
        let mut connections = self.lock();
        let connection = connections.get(&address)?.clone();
        if connection.close_reason().is_some() {
            connections.remove(&address);
            return None;
        }
        Some(connection)
    }

    fn unreachable(&self, address: SocketAddr, error: &impl std::error::Error) -> Error {
        Error::Unreachable {
            address,
            message: error.to_string(),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Connection>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes all connections at once; requests in flight on them fail.
    pub fn close(&self) {
        self.endpoint.close(0u32.into(), b"stopped");
    }
}

/// Accepts connections from peers until the endpoint is closed, and delivers their messages to the
/// inbox.
async fn accept(endpoint: Endpoint, inbox: mpsc::Sender<Inbound>) {
    while let Some(incoming) = endpoint.accept().await {
        let inbox = inbox.clone();
        tokio::spawn(async move {
            let Ok(connection) = incoming.await else {
                return;
            };
            tokio::spawn(read_datagrams(connection.clone(), inbox.clone()));
            while let Ok((send, receive)) = connection.accept_bi().await {
                tokio::spawn(serve_request(send, receive, inbox.clone()));
            }
        });
    }
}

async fn read_datagrams(connection: Connection, inbox: mpsc::Sender<Inbound>) {
    while let Ok(bytes) = connection.read_datagram().await {
        let Ok(datagram) = decode(&bytes) else {
            log::warn!("a peer's heartbeat cannot be decoded");
            continue;
        };
        let connection = connection.clone();
        let _ = inbox.try_send(Inbound::Datagram {
            connection,
            datagram,
        });
    }
}

/// Reads one request from a stream, delivers it to the inbox and sends the reply on the same
/// stream.
async fn serve_request(
    mut send: SendStream,
    mut receive: RecvStream,
    inbox: mpsc::Sender<Inbound>,
) -> Result<()> {
    let Ok(bytes) = receive.read_to_end(MESSAGE_BYTES_MAX).await else {
        return Ok(());
    };
    let request = decode(&bytes)?;
    let (reply, replied) = oneshot::channel();
    let _ = inbox.send(Inbound::Request { request, reply }).await;
    // If the handler drops the reply channel, the stream is dropped before anything is written to
    // it, and the peer's call fails.
    let Ok(reply) = replied.await else {
        return Ok(());
    };
    let bytes = encode(&reply)?;
    let _ = send.write_all(&bytes).await;
    let _ = send.finish();
    let _ = send.stopped().await;
    Ok(())
}
