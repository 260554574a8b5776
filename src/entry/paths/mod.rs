//! Network paths from this host to the servers. While this host does not reach a server that other
//! hosts reach, connections to the server are opened through tunnels of another host.

mod attempts;
mod check;
mod host_path;
mod proxies;
pub mod proxy_hosts;
pub mod state;
mod tunnel;
mod tunnel_server;
mod watch;

use std::{
    pin::pin,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::time;

use self::tunnel::TunnelError;
use super::{
    Entry,
    events::PathEvent,
    path_evidence::{Evidence, Suspicion},
    pool::{ConnectError, Connection},
    server::Server,
    server_path::Route,
};
use crate::{
    clock,
    platform::{self, link::TunnelOpener},
};

/// Minimum interval between checks of the path to one server.
const CHECK_EVERY_MS: u64 = 500;
/// Time after which a pending connection attempt raises the suspicion of a lost path.
const PROMPT_CONNECTION_MS: u64 = 100;

/// Failed attempt to open a direct connection.
struct FailedConnection {
    error: ConnectError,
    /// True if a check of the path began because of this attempt.
    is_check_begun: bool,
}

impl Entry {
    /// Opens a connection to a server: directly, or through a tunnel while the path to the server
    /// is lost. If a direct attempt fails, starts a check of the path. Only the request whose failed
    /// attempt has begun the check tries a tunnel before the path is found lost, so that a crashed
    /// server does not cause as many tunnels as it has requests.
    pub(in crate::entry) async fn connect(
        self: &Arc<Self>,
        server: &Arc<Server>,
        left_ms: u64,
    ) -> Result<Connection, ConnectError> {
        if server.path.route() == Route::Tunnel {
            match self.connect_through_tunnel(server, left_ms).await {
                Ok(connection) => return Ok(connection),
                Err(error @ TunnelError::ServerRefused) => return Err(error.into()),
                Err(error) => log::debug!("no tunnel to {}: {error}", server.entry.id),
            }
        }
        let (direct_error, is_check_begun) = match self.connect_directly(server, left_ms).await {
            Ok(connection) => return Ok(connection),
            Err(failed) => (failed.error, failed.is_check_begun),
        };
        if !is_check_begun && server.path.route() == Route::Direct {
            return Err(direct_error);
        }
        let tunnel = self.open_tunnel_to(server, left_ms).await;
        tunnel.ok_or(direct_error)
    }

    /// Opens a direct connection to a server. If that fails or takes long, a check of the path begins,
    /// and a pending attempt ends once the path is found to be lost.
    async fn connect_directly(
        self: &Arc<Self>,
        server: &Arc<Server>,
        left_ms: u64,
    ) -> Result<Connection, FailedConnection> {
        let mut lost = pin!(server.path.connections_lost());
        let mut opening = pin!(server.pool.connect(left_ms));
        let prompt = Duration::from_millis(PROMPT_CONNECTION_MS);
        let prompt = time::timeout(prompt, &mut opening).await;
        if let Ok(Ok(connection)) = prompt {
            return Ok(connection);
        }
        let is_check_begun = self.suspect_path(server, Suspicion::FailedConnection);
        let failed = |error| FailedConnection {
            error,
            is_check_begun,
        };
        match prompt {
            Ok(opened) => opened.map_err(failed),
            Err(_) => tokio::select! {
                opened = opening => opened.map_err(failed),
                () = &mut lost => Err(failed(ConnectError::TimedOut)),
            },
        }
    }

    /// Opens a connection to a server through a tunnel; `None` if that fails.
    pub(in crate::entry) async fn open_tunnel_to(
        &self,
        server: &Server,
        left_ms: u64,
    ) -> Option<Connection> {
        let opened = self.connect_through_tunnel(server, left_ms).await;
        if let Err(error) = &opened {
            log::debug!("no tunnel to {}: {error}", server.entry.id);
        }
        opened.ok()
    }

    /// Records that the server has responded directly to this host.
    pub(in crate::entry) fn note_direct_response(&self, server: &Server) {
        server.contact.note();
        self.server_contact.note();
        server.path.note_response();
    }

    /// Records that another host reaches the server while this host does not. The attempts that
    /// showed this began at `since_ms`. If `are_connections_lost` is true, the open direct
    /// connections to the server are lost as well.
    fn note_path_lost(
        self: &Arc<Self>,
        server: &Arc<Server>,
        evidence: &Evidence,
        since_ms: u64,
        are_connections_lost: bool,
    ) {
        let is_new = self.use_tunnels(server, since_ms);
        self.idle_reuses.withdraw(server);
        if are_connections_lost {
            abandon_direct_connections(server);
        }
        if is_new {
            let contact_age_ms = self.server_contact.age_ms();
            evidence.loss_event(server, contact_age_ms).log();
            let now_ms = clock::now_ms();
            self.paths.lost_ms.store(now_ms, Ordering::Relaxed);
            self.examine_host_path();
        }
    }

    /// Makes further connections to the server take tunnels, because its path is lost since
    /// `since_ms`. Returns true if they did not before.
    fn use_tunnels(self: &Arc<Self>, server: &Arc<Server>, since_ms: u64) -> bool {
        let is_new = server.path.set_lost(since_ms);
        server.reset_failures();
        if is_new {
            server.orders.set_tunnel(Some(self.tunnel_opener(server)));
        }
        is_new
    }

    /// Makes further connections to the server direct. Returns true if they took tunnels before.
    fn use_direct_path(&self, server: &Server) -> bool {
        let lost_ms = server.path.lost_ms();
        let is_new = server.path.set_usable();
        if is_new {
            server.reset_failures();
            server.orders.set_tunnel(None);
            server.pool.close_tunnels(|_| true);
            PathEvent::PathUsable {
                server: server.entry.id.clone(),
                service: server.entry.service.clone(),
                after_ms: clock::now_ms().saturating_sub(lost_ms),
            }
            .log();
        }
        is_new
    }

    /// Returns the function by which commands to the server open tunnels.
    fn tunnel_opener(self: &Arc<Self>, server: &Arc<Server>) -> TunnelOpener {
        let address = server.entry.address;
        let (entry, server) = (Arc::downgrade(self), Arc::downgrade(server));
        TunnelOpener(Arc::new(move || {
            let (entry, server) = (entry.upgrade(), server.upgrade());
            Box::pin(async move {
                let Some((entry, server)) = entry.zip(server) else {
                    let message = "the server is gone".to_owned();
                    return Err(platform::Error::Connect { address, message });
                };
                match entry.tunnel(&server, tunnel::OPEN_TIMEOUT_MS).await {
                    Ok((_, tunnel)) => Ok(tunnel),
                    Err(TunnelError::ServerRefused) => Err(platform::Error::Refused { address }),
                    Err(error) => {
                        let message = error.to_string();
                        Err(platform::Error::Connect { address, message })
                    }
                }
            })
        }))
    }

    /// Returns the number of servers that this host reaches through tunnels only.
    pub(in crate::entry) fn unreachable_servers(&self) -> usize {
        let registry = self.view.registry();
        let servers = registry.servers();
        servers
            .filter(|server| server.path.route() == Route::Tunnel)
            .count()
    }
}

/// Closes the idle direct connections to a server, and wakes the requests that wait on others.
fn abandon_direct_connections(server: &Server) {
    server.pool.close_direct();
    server.path.abandon_connections();
}
