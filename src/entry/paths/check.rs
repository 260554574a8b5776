//! Checks whether a server or this host's path to the server is lost, by a health request directly
//! and one through another host.

use std::{pin::pin, sync::Arc, time::Duration};

use http::{Request, header};
use http_body_util::{BodyExt, Empty};
use tokio::time;

use super::{CHECK_EVERY_MS, abandon_direct_connections, tunnel::TunnelError};
use crate::{
    entry::{
        Entry,
        decide::server_path::{self, Reach, Verdict},
        pool::{ConnectError, Connection},
        server::Server,
        server_path::Route,
    },
    transport::ResponseBody,
};

/// Timeout of the direct health request, with its connection.
const DIRECT_TIMEOUT_MS: u64 = 250;
/// Time in which a direct response makes the attempt through another host unnecessary.
const HEAD_START_MS: u64 = 30;
/// Timeout of the health request through a tunnel, with its connection.
const TUNNEL_TIMEOUT_MS: u64 = 400;
/// Path of health requests to servers of services that the configuration does not name.
const HEALTH_PATH_DEFAULT: &str = "/";

impl Entry {
    /// Starts a check of the path to a server that is silent or whose connection broke, unless a
    /// check began shortly before. If the path is known to be lost, closes its direct connections.
    pub(in crate::entry) fn suspect_path(self: &Arc<Self>, server: &Arc<Server>) {
        if server.path.route() == Route::Tunnel {
            abandon_direct_connections(server);
            return;
        }
        if !server.path.begin_check(CHECK_EVERY_MS) {
            return;
        }
        server.path.set_checked(true);
        let (entry, server) = (self.clone(), server.clone());
        tokio::spawn(async move {
            let verdict = entry.check_path(&server).await;
            match verdict {
                Verdict::Usable => entry.note_path_usable(&server),
                Verdict::PathLost => entry.note_path_lost(&server, true),
                Verdict::ServerLost | Verdict::Unknown => {}
            }
            server.path.set_checked(false);
        });
    }

    /// Compares a direct attempt with one through another host, which is not made if the server
    /// responds directly at once.
    async fn check_path(&self, server: &Server) -> Verdict {
        let mut direct = pin!(self.reach_directly(server));
        let head_start = Duration::from_millis(HEAD_START_MS);
        match time::timeout(head_start, &mut direct).await {
            Ok(Reach::Responded) => Verdict::Usable,
            Ok(failed) => server_path::verdict(failed, self.reach_through_tunnel(server).await),
            Err(_) => {
                let elsewhere = self.reach_through_tunnel(server);
                let (direct, elsewhere) = tokio::join!(direct, elsewhere);
                server_path::verdict(direct, elsewhere)
            }
        }
    }

    /// Finds out whether a server that refused a connection of this host is lost: true if it
    /// refuses connections of another host as well, or if no other host can be asked. If another
    /// host reaches the server, the path of this host is lost.
    pub(in crate::entry) async fn is_refused_elsewhere(
        self: &Arc<Self>,
        server: &Arc<Server>,
    ) -> bool {
        match self.reach_through_tunnel(server).await {
            Reach::Responded => {
                self.note_path_lost(server, true);
                false
            }
            Reach::Refused | Reach::Silent => true,
        }
    }

    /// Returns true if a server that does not respond to this host responds to another host. Then
    /// the path of this host is lost.
    pub(in crate::entry) async fn is_reached_elsewhere(
        self: &Arc<Self>,
        server: &Arc<Server>,
    ) -> bool {
        let is_reached = self.reach_through_tunnel(server).await == Reach::Responded;
        if is_reached {
            self.note_path_lost(server, true);
        }
        is_reached
    }

    /// Sends a health request directly, on a new connection.
    pub(super) async fn reach_directly(&self, server: &Server) -> Reach {
        let connect = server.pool.connect(DIRECT_TIMEOUT_MS);
        let exchange = async {
            match connect.await {
                Ok(connection) => self.reach_on(connection, server).await,
                Err(ConnectError::Refused { .. }) => Reach::Refused,
                Err(error) => {
                    log::debug!("{} not reached: {error}", server.entry.id);
                    Reach::Silent
                }
            }
        };
        within(DIRECT_TIMEOUT_MS, exchange).await
    }

    /// Sends a health request through a tunnel of another host.
    async fn reach_through_tunnel(&self, server: &Server) -> Reach {
        let mut host = None;
        let exchange = async {
            match self.connect_through_tunnel(server, TUNNEL_TIMEOUT_MS).await {
                Ok(connection) => {
                    host = connection.tunnel();
                    self.reach_on(connection, server).await
                }
                Err(TunnelError::ServerRefused) => Reach::Refused,
                Err(error) => {
                    log::debug!("{} not reached by another host: {error}", server.entry.id);
                    Reach::Silent
                }
            }
        };
        let reach = within(TUNNEL_TIMEOUT_MS, exchange).await;
        if let Some(host) = host.filter(|_| reach == Reach::Silent) {
            self.paths.proxies.demote(host);
            server.path.set_proxy(None);
        }
        reach
    }

    async fn reach_on(&self, mut connection: Connection, server: &Server) -> Reach {
        match connection.send(self.health_request(server)).await {
            Ok(_) => Reach::Responded,
            Err(error) => {
                log::debug!("no response of {} to a check: {error}", server.entry.id);
                Reach::Silent
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

async fn within(timeout_ms: u64, exchange: impl Future<Output = Reach>) -> Reach {
    let exchanged = time::timeout(Duration::from_millis(timeout_ms), exchange).await;
    exchanged.unwrap_or(Reach::Silent)
}
