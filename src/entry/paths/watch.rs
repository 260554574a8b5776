//! Background task that looks for silent servers, and finds out when lost paths are usable again.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::time;

use crate::{
    clock,
    entry::{
        Entry,
        decide::server_path::{self, Waiting},
        path_evidence::Suspicion,
        server::Server,
        server_path::Route,
    },
};

/// Interval at which silent servers are looked for.
const LOOK_EVERY_MS: u64 = 50;
/// Number of rounds after each of which lost paths are checked.
const HEALING_ROUNDS: u64 = 4;
/// Number of lost paths that are checked at a time.
const HEALING_CHECKS: usize = 1;
/// Number of lost paths that are checked at a time shortly after another path has healed.
const HEALING_CHECKS_MANY: usize = 8;
/// Time for which so many are checked.
const HEALING_MANY_MS: u64 = 1_000;
/// Minimum interval between checks of one lost path.
const HEALING_EVERY_MS: u64 = 300;
/// Time after the loss of a path in which the paths to other servers are checked.
const LOOK_AROUND_MS: u64 = 1_500;
/// Time without a response of a server after which its path is checked then.
const UNHEARD_MS: u64 = 200;
/// Number of such paths that are checked in a round.
const CHECKS_AROUND: usize = 1;
/// Interval of the queries for hosts that carry tunnels while paths are lost.
const QUERY_EVERY_MS: u64 = 1_000;

impl Entry {
    /// Looks for lost paths and for paths that are usable again, as long as the process runs.
    pub(in crate::entry) async fn keep_watching_paths(self: Arc<Self>) {
        for round in 0u64.. {
            time::sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
            self.look_for_silence();
            self.look_around();
            if round.is_multiple_of(HEALING_ROUNDS) {
                self.look_for_healing();
            }
        }
    }

    fn look_for_silence(self: &Arc<Self>) {
        let engaged = self.view.registry().engaged();
        let waiting = engaged.iter().filter_map(|server| {
            let waited_ms = server.path.waited_ms()?;
            let run_ms = server.run_ms();
            Some((server, Waiting { waited_ms, run_ms }))
        });
        let (servers, waits): (Vec<&Arc<Server>>, Vec<Waiting>) = waiting.unzip();
        let quiet_ms = self.server_contact.age_ms().unwrap_or(u64::MAX);
        for place in server_path::suspects(&waits, quiet_ms) {
            self.suspect_path(servers[place], Suspicion::Silence);
        }
    }

    /// Checks the paths to some of the servers that have not responded lately, for a while after a
    /// path was found to be lost, because a partition rarely concerns a single server.
    fn look_around(self: &Arc<Self>) {
        let lost_ms = self.paths.lost_ms.load(Ordering::Relaxed);
        if lost_ms == 0 || clock::now_ms() > lost_ms + LOOK_AROUND_MS {
            return;
        }
        let registry = self.view.registry();
        let is_unheard = |server: &&Arc<Server>| {
            let age_ms = server.contact.age_ms().unwrap_or(u64::MAX);
            server.path.route() == Route::Direct && age_ms >= UNHEARD_MS
        };
        let mut unheard: Vec<&Arc<Server>> = registry.servers().filter(is_unheard).collect();
        unheard.sort_by_key(|server| server.path.checked_ms());
        for server in unheard.into_iter().take(CHECKS_AROUND) {
            self.suspect_path(server, Suspicion::LossOfAnotherPath);
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
        if proxies.are_gone() {
            for server in lost {
                self.use_direct_path(server);
            }
            self.end_cut_off("no other host carries tunnels");
            return;
        }
        self.examine_host_path();
        for server in &lost {
            server.pool.close_tunnels(|host| !proxies.is_fresh(host));
            if server
                .path
                .proxy()
                .is_some_and(|host| !proxies.is_fresh(host))
            {
                server.path.set_proxy(None);
                server.orders.close_idle();
            }
        }
        lost.sort_by_key(|server| server.path.checked_ms());
        let due = lost
            .into_iter()
            .filter(|server| server.path.begin_check(HEALING_EVERY_MS));
        let healed_ms = self.paths.healed_ms.load(Ordering::Relaxed);
        let heals = healed_ms > 0 && clock::now_ms() < healed_ms + HEALING_MANY_MS;
        let checks = if heals {
            HEALING_CHECKS_MANY
        } else {
            HEALING_CHECKS
        };
        for server in due.take(checks) {
            let (entry, server) = (self.clone(), server.clone());
            tokio::spawn(async move {
                let began_ms = clock::now_ms();
                if entry.responds_directly(&server).await {
                    entry.note_path_usable(&server);
                } else {
                    server.path.note_unreached(began_ms);
                }
            });
        }
    }

    /// Records that a server has responded to a direct check.
    pub(super) fn note_path_usable(&self, server: &Server) {
        self.note_direct_response(server);
        if self.use_direct_path(server) {
            let now_ms = clock::now_ms();
            self.paths.healed_ms.store(now_ms, Ordering::Relaxed);
        }
        self.end_cut_off("a server responds directly");
    }
}
