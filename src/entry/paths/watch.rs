//! Background task that looks for silent servers, and finds out when lost paths are usable again.

use std::{sync::Arc, time::Duration};

use tokio::time;

use crate::entry::{
    Entry,
    decide::server_path::{self, Reach, Waiting},
    server::Server,
    server_path::Route,
};

/// Interval at which silent servers are looked for.
const LOOK_EVERY_MS: u64 = 50;
/// Number of rounds after each of which lost paths are checked.
const HEALING_ROUNDS: u64 = 2;
/// Number of lost paths that are checked at a time.
const HEALING_CHECKS: usize = 2;
/// Minimum interval between checks of one lost path.
const HEALING_EVERY_MS: u64 = 300;
/// Interval of the queries for hosts that carry tunnels while paths are lost.
const QUERY_EVERY_MS: u64 = 1_000;

impl Entry {
    /// Looks for lost paths and for paths that are usable again, as long as the process runs.
    pub(in crate::entry) async fn keep_watching_paths(self: Arc<Self>) {
        for round in 0u64.. {
            time::sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
            self.look_for_silence();
            if round.is_multiple_of(HEALING_ROUNDS) {
                self.look_for_healing();
            }
        }
    }

    fn look_for_silence(self: &Arc<Self>) {
        let registry = self.view.registry();
        let waiting = registry.servers().filter_map(|server| {
            let waited_ms = server.path.waited_ms()?;
            let run_ms = server.run_ms();
            Some((server, Waiting { waited_ms, run_ms }))
        });
        let (servers, waits): (Vec<&Arc<Server>>, Vec<Waiting>) = waiting.unzip();
        let quiet_ms = self.server_contact.age_ms().unwrap_or(u64::MAX);
        for place in server_path::suspects(&waits, quiet_ms) {
            self.suspect_path(servers[place]);
        }
    }

    /// Checks some of the lost paths directly. Without any host that carries tunnels, all servers
    /// are reached directly again, since there is no other way.
    fn look_for_healing(self: &Arc<Self>) {
        let registry = self.view.registry();
        let is_lost = |server: &&Arc<Server>| server.path.route() == Route::Tunnel;
        let mut lost: Vec<&Arc<Server>> = registry.servers().filter(is_lost).collect();
        if lost.is_empty() {
            return;
        }
        self.query_proxies(QUERY_EVERY_MS);
        let proxies = &self.paths.proxies;
        if proxies.fresh_count() == 0 {
            for server in lost {
                self.use_direct_path(server);
            }
            self.end_cut_off("no other host carries tunnels");
            return;
        }
        self.examine_host_path();
        for server in &lost {
            server.pool.close_tunnels(|host| !proxies.is_fresh(host));
        }
        lost.sort_by_key(|server| server.path.checked_ms());
        let due = lost
            .into_iter()
            .filter(|server| server.path.begin_check(HEALING_EVERY_MS));
        for server in due.take(HEALING_CHECKS) {
            let (entry, server) = (self.clone(), server.clone());
            tokio::spawn(async move {
                if entry.reach_directly(&server).await == Reach::Responded {
                    entry.note_path_usable(&server);
                }
            });
        }
    }

    /// Records that a server has responded to a direct check.
    pub(super) fn note_path_usable(&self, server: &Server) {
        self.note_direct_response(server);
        if self.use_direct_path(server) {
            log::debug!("the path to {} is usable again", server.entry.id);
        }
        self.end_cut_off("a server responds directly");
    }
}
