//! Finds out whether this host has lost its path to all servers.

use std::sync::{Arc, atomic::Ordering};

use rand::seq::IndexedRandom;
use tokio::task::JoinSet;

use super::abandon_direct_connections;
use crate::{
    clock,
    entry::{Entry, decide::server_path, events::PathEvent, server::Server, server_path::Route},
};

/// Number of servers without a lost path that must give no response either before the host counts as
/// cut off.
const ASKED_SERVERS: usize = 4;

/// Guard of the examination of a host's path, which runs until the guard is dropped.
struct Examination(Arc<Entry>);

impl Drop for Examination {
    fn drop(&mut self) {
        self.0.paths.is_examined.store(false, Ordering::Relaxed);
    }
}

impl Entry {
    /// Finds out whether this host has lost its path to all servers. Before that is concluded from the
    /// loss of some paths, some of the other servers are asked directly.
    pub(super) fn examine_host_path(self: &Arc<Self>) {
        if !self.seems_cut_off() || self.paths.is_examined.swap(true, Ordering::Relaxed) {
            return;
        }
        let examination = Examination(self.clone());
        tokio::spawn(async move {
            let entry = &examination.0;
            let is_reached = entry.reaches_other_servers().await;
            if !is_reached && entry.seems_cut_off() {
                entry.begin_cut_off();
            }
        });
    }

    /// Returns true if the lost paths suggest that this host has lost its path to all servers.
    fn seems_cut_off(&self) -> bool {
        let (lost, servers) = self.lost_servers();
        let quiet_ms = self.server_contact.age_ms().unwrap_or(u64::MAX);
        !self.paths.is_cut_off() && server_path::is_host_cut_off(lost, servers, quiet_ms)
    }

    /// Returns the number of servers whose path was found lost, or still lost, since the last direct
    /// response of any server, and the number of all servers.
    fn lost_servers(&self) -> (usize, usize) {
        let registry = self.view.registry();
        let contact_ms = self.server_contact.at_ms();
        let is_lost = |server: &&Arc<Server>| server.path.is_unreached_since(contact_ms);
        let lost = registry.servers().filter(is_lost).count();
        (lost, registry.servers_count())
    }

    /// Asks some servers directly whose path does not count as lost. Returns true if one responds.
    async fn reaches_other_servers(self: &Arc<Self>) -> bool {
        let mut attempts = JoinSet::new();
        for server in self.servers_to_ask() {
            let entry = self.clone();
            attempts.spawn(async move {
                let responds = entry.responds_directly(&server).await;
                responds.then_some(server)
            });
        }
        while let Some(ended) = attempts.join_next().await {
            if let Ok(Some(server)) = ended {
                self.note_path_usable(&server);
                return true;
            }
        }
        false
    }

    fn servers_to_ask(&self) -> Vec<Arc<Server>> {
        let registry = self.view.registry();
        let is_direct = |server: &&Arc<Server>| server.path.route() == Route::Direct;
        let direct: Vec<&Arc<Server>> = registry.servers().filter(is_direct).collect();
        let asked = direct.choose_multiple(&mut rand::rng(), ASKED_SERVERS);
        asked.map(|server| (*server).clone()).collect()
    }

    /// Makes all connections to servers take tunnels.
    fn begin_cut_off(self: &Arc<Self>) {
        let now_ms = clock::now_ms();
        let (lost, servers) = self.lost_servers();
        let contact_age_ms = self.server_contact.age_ms().unwrap_or(now_ms);
        self.paths.cut_off_ms.store(now_ms, Ordering::Relaxed);
        for server in self.view.registry().servers() {
            self.use_tunnels(server, now_ms);
            abandon_direct_connections(server);
        }
        self.paths.cut_off.notify_waiters();
        PathEvent::ServersUnreachable {
            lost,
            servers,
            contact_age_ms,
            proxies: self.paths.proxies.fresh_count(),
        }
        .log();
    }

    /// Ends the state in which this host counts as cut off from all servers.
    pub(super) fn end_cut_off(&self, reason: &'static str) {
        let since_ms = self.paths.cut_off_ms.swap(0, Ordering::Relaxed);
        if since_ms > 0 {
            let after_ms = clock::now_ms().saturating_sub(since_ms);
            PathEvent::ServersReachable { after_ms, reason }.log();
        }
    }
}
