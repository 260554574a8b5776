//! Attempts to get a response to a health request from a server, directly or through another host.

use std::time::{Duration, Instant};

use http::{Request, header};
use http_body_util::{BodyExt, Empty};
use tokio::time;

use super::tunnel::TunnelError;
use crate::{
    entry::{
        Entry,
        decide::{path_comparison::DIRECT_MS_MIN, server_path::Reach},
        path_evidence::Attempt,
        pool::{ConnectError, Connection, SendError},
        server::Server,
    },
    transport::ResponseBody,
};

/// Timeout of opening a direct connection for a health request.
const CONNECT_TIMEOUT_MS: u64 = 200;
/// Delays after which further connections are attempted while none is open. The operating system
/// resends a lost SYN packet only after a second.
const CONNECT_AGAIN_MS: [u64; 3] = [40, 80, 120];
/// Timeout of the health request through a tunnel, with its connection.
const TUNNEL_TIMEOUT_MS: u64 = 400;
/// Longest time for which a direct attempt waits for a response.
const DIRECT_MS_MAX: u64 = 2 * TUNNEL_TIMEOUT_MS;
/// Path of health requests to servers of services that the configuration does not name.
const HEALTH_PATH_DEFAULT: &str = "/";

impl Entry {
    /// Sends a health request directly, on a new connection, and once more if that connection breaks:
    /// a server that sheds every second request would else shed all direct attempts of a check. The
    /// caller limits the time for which the attempt waits for a response.
    pub(super) async fn attempt_directly(&self, server: &Server) -> Attempt {
        let began = Instant::now();
        let mut reach = self.reach_directly(server, DIRECT_MS_MAX).await;
        if reach == Reach::Broken {
            reach = self.reach_directly(server, DIRECT_MS_MAX).await;
        }
        Attempt::since(began, reach)
    }

    /// Returns true if the server responds soon to a health request on a new direct connection.
    pub(super) async fn responds_directly(&self, server: &Server) -> bool {
        self.reach_directly(server, DIRECT_MS_MIN).await == Reach::Responded
    }

    /// Sends a health request through a tunnel of another host. Returns `None` if no other host
    /// carries tunnels.
    pub(super) async fn attempt_elsewhere(&self, server: &Server) -> Option<Attempt> {
        let began = Instant::now();
        let reach = self.reach_through_tunnel(server).await?;
        Some(Attempt::since(began, reach))
    }

    async fn reach_directly(&self, server: &Server, timeout_ms: u64) -> Reach {
        let mut is_connected = false;
        let exchange = async {
            match connect(server).await {
                Ok(connection) => {
                    is_connected = true;
                    self.reach_on(connection, server).await
                }
                Err(error) => {
                    log::debug!("{} not reached: {error}", server.entry.id);
                    error.reach()
                }
            }
        };
        let reach = within(timeout_ms, exchange).await;
        reach.unwrap_or(if is_connected {
            Reach::Unanswered
        } else {
            Reach::Silent
        })
    }

    async fn reach_through_tunnel(&self, server: &Server) -> Option<Reach> {
        let mut host = None;
        let exchange = async {
            match self.connect_through_tunnel(server, TUNNEL_TIMEOUT_MS).await {
                Ok(connection) => {
                    host = connection.tunnel();
                    Some(self.reach_on(connection, server).await)
                }
                Err(TunnelError::ServerRefused) => Some(Reach::Refused),
                Err(TunnelError::NoHost) => None,
                Err(error) => {
                    log::debug!("{} not reached by another host: {error}", server.entry.id);
                    Some(Reach::Silent)
                }
            }
        };
        let reach = within(TUNNEL_TIMEOUT_MS, exchange).await;
        let is_open = host.is_some();
        let reach = reach.unwrap_or(Some(if is_open {
            Reach::Unanswered
        } else {
            Reach::Silent
        }));
        let is_without_response = matches!(reach, Some(Reach::Broken | Reach::Unanswered));
        if let Some(host) = host.filter(|_| is_without_response) {
            self.paths.proxies.demote(host);
            server.path.set_proxy(None);
        }
        reach
    }

    async fn reach_on(&self, mut connection: Connection, server: &Server) -> Reach {
        match connection.send(self.health_request(server)).await {
            // The path carries responses, whatever the server says.
            Ok(_) | Err(SendError::InvalidHead { .. }) => Reach::Responded,
            Err(error) => {
                log::debug!("no response of {} to a check: {error}", server.entry.id);
                Reach::Broken
            }
        }
    }

    fn health_request(&self, server: &Server) -> Request<ResponseBody> {
        let configuration = self.view.configuration();
        let service = configuration
            .as_ref()
            .and_then(|configuration| configuration.service(&server.entry.service));
        let path = service.map_or(HEALTH_PATH_DEFAULT, |service| &service.health_path);
        let body = Empty::new().map_err(|never| match never {}).boxed();
        let mut request = Request::new(body);
        match path.parse() {
            Ok(uri) => *request.uri_mut() = uri,
            Err(error) => log::debug!("the health path {path} is no path: {error}"),
        }
        if let Ok(host) = server.entry.address.to_string().parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        request
    }
}

/// Opens a direct connection, with further attempts while the first ones are pending. The first
/// attempt that ends decides.
async fn connect(server: &Server) -> Result<Connection, ConnectError> {
    let connect_after = async |delay_ms: u64| {
        time::sleep(Duration::from_millis(delay_ms)).await;
        server.pool.connect(CONNECT_TIMEOUT_MS - delay_ms).await
    };
    let [second, third, fourth] = CONNECT_AGAIN_MS;
    tokio::select! {
        connected = connect_after(0) => connected,
        connected = connect_after(second) => connected,
        connected = connect_after(third) => connected,
        connected = connect_after(fourth) => connected,
    }
}

/// Returns the outcome of an exchange; `None` after a timeout.
async fn within<T>(timeout_ms: u64, exchange: impl Future<Output = T>) -> Option<T> {
    time::timeout(Duration::from_millis(timeout_ms), exchange)
        .await
        .ok()
}
