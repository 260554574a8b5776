//! Probes whether a server has crashed when connections from this host to the server break.

use std::{sync::Arc, time::Duration};

use tokio::time;

use super::{lock, reports::Suspects};
use crate::{
    clock,
    entry::{Entry, digest::RequestDigest, events::Event, pool::ConnectError, server::Server},
};

/// Delay between a broken connection and the first probe. A crashing process closes its sockets one
/// by one, so its listening socket may still accept connections for a moment.
const PROBE_AFTER_MS: u64 = 30;
/// Delay before each further probe while connections to the server continue to break. Connections
/// to an overloaded server may break without a crash, and each probe may open another connection to
/// that server.
const PROBE_AGAIN_MS: u64 = 300;
/// Timeout of a probe's connection attempt. Only a refused connection counts as a crash; a timeout
/// does not.
const PROBE_CONNECT_MS: u64 = 400;

impl Entry {
    /// Starts a liveness probe after a connection to a server broke, unless a probe of the server
    /// is running or the server is known to have crashed. The probe is repeated while connections
    /// continue to break.
    pub(in crate::entry) fn probe_liveness(self: &Arc<Self>, server: &Arc<Server>) {
        if !server.broken_connections.note(server.answered_ms()) {
            return;
        }
        let (entry, server) = (self.clone(), server.clone());
        tokio::spawn(async move {
            let mut pause_ms = PROBE_AFTER_MS;
            loop {
                let seen = server.broken_connections.count();
                time::sleep(Duration::from_millis(pause_ms)).await;
                let has_crashed = entry.has_crashed(&server).await;
                if has_crashed || server.broken_connections.count() == seen {
                    server.broken_connections.end_probe(has_crashed);
                    if has_crashed {
                        entry.idle_reuses.withdraw(&server);
                        entry.note_crash(&server);
                    }
                    return;
                }
                pause_ms = PROBE_AGAIN_MS;
            }
        });
    }

    /// Returns true if a server whose connections broke has crashed: since the latest broken
    /// connection the server has not answered this host, this host has no idle open connection to
    /// the server, and the address of the server refuses connections, also those of another host. A
    /// connection that the probe opens is kept for the next request.
    async fn has_crashed(self: &Arc<Self>, server: &Arc<Server>) -> bool {
        if server.has_answered_since_broken_connection() || server.pool.has_open() {
            return false;
        }
        match server.pool.connect(PROBE_CONNECT_MS).await {
            Ok(connection) => {
                server.pool.keep(connection);
                server.engage();
                false
            }
            Err(ConnectError::Refused { .. }) => self.is_refused_elsewhere(server).await,
            Err(error) => {
                log::debug!("liveness probe of a server was inconclusive: {error}");
                false
            }
        }
    }

    /// Records that a server has crashed, and reports the requests of this host that were in flight
    /// at the server. If no request was in flight, reports only the refused connection to the
    /// leader, and only for a contended service.
    fn note_crash(&self, server: &Server) {
        let suspects = server.suspects();
        let Suspects { digests, shared } = &suspects;
        if digests.is_empty() {
            if self.is_contended(&server.entry.service) {
                lock(&self.crashes.refusing).add(server.tag);
                self.crashes.crashed.notify_one();
            }
            return;
        }
        self.note_refusing_servers(&[server.tag]);
        self.metrics.server_ended();
        Event::ServerEnded {
            server: server.entry.id.clone(),
            service: server.entry.service.clone(),
            digests: logged(&suspects),
        }
        .log();
        // In a large crash the reports go only to the leader: after the loss of a zone with 216
        // servers, each of 295 hosts would otherwise get 2,600 reports. In a smaller mass crash all
        // hosts must know the contents that may have caused it. The report that makes the crash
        // large goes to all hosts too, so that they drop these contents.
        let to_all = !lock(&self.crashes.tally).has_recent_large_crash(clock::now_ms());
        self.note_suspects(server.tag, digests, shared);
        lock(&self.crashes.reports).add(server.tag, suspects, to_all);
        self.crashes.crashed.notify_one();
    }
}

/// Returns the digests of the suspects as text for the log: first the digests that include the
/// caller, then those that leave out the caller.
fn logged(suspects: &Suspects) -> Vec<String> {
    let shared = suspects.shared.iter().map(|suspect| &suspect.digest);
    let mut all: Vec<String> = suspects
        .digests
        .iter()
        .chain(shared)
        .map(RequestDigest::to_string)
        .collect();
    all.dedup();
    all
}
