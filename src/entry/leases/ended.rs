//! Finds out whether the processes of servers that refuse connections have ended. The leader tries
//! connections of its own to each suspected server of a contended service and collects the outcomes
//! as evidence. After the first refused attempts, one call to the store confirms that the entries of
//! the servers have not changed. The keys of an ended server move without waiting for its lease.
//!
//! The evidence is kept in memory for the term. From the first refused attempt on, this leader
//! sends the server no grants, so that no grant of its own can reach a later process at the
//! address.

use std::{
    collections::HashSet,
    io::ErrorKind,
    sync::{Arc, atomic::AtomicBool},
    time::Duration,
};

use tokio::{net::TcpStream, task::JoinSet, time};

use super::Term;
use crate::{
    clock,
    entry::{
        decide::ended::{ConnectionAttempt, EntryState, Evidence},
        events::Event,
        server::Server,
        server_path::Route,
        updates::followed::FollowedTable,
        watch::store_age_ms,
    },
    platform::store::{Feed, Rows},
};

/// Maximum number of connection attempts to suspected servers at the same time. Together with
/// [`ATTEMPT_HELD_MS`] it bounds the attempts to 320 a second, which take some hundredths of a core
/// when hundreds of servers have crashed together.
pub(super) const ATTEMPTS_AT_ONCE: usize = 16;
/// Time for which an attempt keeps its permit after its end.
const ATTEMPT_HELD_MS: u64 = 50;
/// Pause from the end of an attempt to the next one at the same server. Three attempts take more
/// than the shortest span of sufficient evidence.
const ATTEMPT_PAUSE_MS: u64 = 155;
/// Timeout of a connection attempt, as of the hosts' liveness probes.
const ATTEMPT_TIMEOUT_MS: u64 = 400;
/// Number of attempts at a server that goes on refusing connections without becoming proof, for
/// example because the store does not answer. A later refused grant or release starts again.
const ATTEMPTS_MAX: u32 = 12;
/// Interval of the attempts at an ended server whose entry is still present although its leases
/// have expired: a process without a start time in its entry has the same id after a restart.
const RECHECK_EVERY_MS: u64 = 1_000;

impl Term {
    /// Returns true if the process of a server has certainly ended.
    pub(super) fn has_ended(&self, id: &str) -> bool {
        self.state().suspects.has_ended(id)
    }

    /// Waits for `wait_ms`, or until the server `id` is found to have ended.
    pub(super) async fn wait_or_ended(&self, id: &str, wait_ms: u64) {
        let until = time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            // The future must exist before the check, since it receives only later notifications.
            let any_ended = self.server_ended.notified();
            if self.has_ended(id) || time::timeout_at(until, any_ended).await.is_err() {
                return;
            }
        }
    }

    /// Suspects a server of a contended service to have ended.
    pub(super) fn suspect(&self, server: &Arc<Server>, suspected_by: &'static str) {
        if self.entry.is_contended(&server.entry.service) {
            self.state().suspects.add(server, suspected_by);
        }
    }

    /// Starts the connection attempts to new suspects, and the confirmation of sufficient evidence.
    pub(super) fn examine_suspects(self: &Arc<Self>, tasks: &mut JoinSet<()>) {
        self.add_reported_suspects();
        self.drop_uncontended_suspects();
        let policy = self.entry.settings.policy;
        let (untried, is_confirmation_due) = {
            let mut state = self.state();
            let suspects = &mut state.suspects;
            let untried = suspects.take_untried(|evidence| evidence.is_sufficient(&policy));
            let mut open = suspects.by_id.values().filter(|s| s.ended_ms.is_none());
            let is_due = !suspects.is_confirming && open.any(|s| s.evidence.needs_confirmation());
            suspects.is_confirming |= is_due;
            (untried, is_due)
        };
        for server in untried {
            let term = self.clone();
            tasks.spawn(async move { term.try_connections(&server).await });
        }
        if is_confirmation_due {
            let term = self.clone();
            tasks.spawn(async move {
                term.confirm_evidence().await;
                term.state().suspects.is_confirming = false;
            });
        }
        self.conclude();
        self.recheck_ended(tasks);
    }

    /// Suspects the servers that hosts have reported as crashed or as refusing connections.
    fn add_reported_suspects(&self) {
        let tags = self.entry.take_refusing_servers();
        if tags.is_empty() {
            return;
        }
        let registry = self.entry.view.registry();
        for server in registry.servers().filter(|s| tags.contains(&s.tag)) {
            self.suspect(server, "report of a host");
        }
    }

    /// Drops the suspects of services that are not contended (any longer).
    fn drop_uncontended_suspects(&self) {
        let services: HashSet<Arc<str>> = {
            let state = self.state();
            let suspects = state.suspects.by_id.values();
            suspects.map(|s| s.server.entry.service.clone()).collect()
        };
        let is_uncontended = |service: &Arc<str>| !self.entry.is_contended(service);
        let dropped: Vec<Arc<str>> = services.into_iter().filter(is_uncontended).collect();
        if !dropped.is_empty() {
            let mut state = self.state();
            let suspects = &mut state.suspects.by_id;
            suspects.retain(|_, suspect| !dropped.contains(&suspect.server.entry.service));
        }
    }

    /// Tries connections to a suspect until the evidence suffices or the address does not refuse.
    async fn try_connections(self: &Arc<Self>, server: &Arc<Server>) {
        for _ in 0..ATTEMPTS_MAX {
            let attempt = self.try_connection(server).await;
            if !self.note_attempt(server, &attempt) {
                return;
            }
            time::sleep(Duration::from_millis(ATTEMPT_PAUSE_MS)).await;
        }
        self.state().suspects.remove_open(&server.entry.id);
    }

    /// Makes one connection attempt, as soon as there is a permit for it.
    async fn try_connection(self: &Arc<Self>, server: &Arc<Server>) -> ConnectionAttempt {
        let permit = self.attempts.acquire().await;
        let began_ms = clock::now_ms();
        let timeout = Duration::from_millis(ATTEMPT_TIMEOUT_MS);
        let connect = TcpStream::connect(server.entry.address);
        let is_refused = match time::timeout(timeout, connect).await {
            // A refused connection shows nothing while this host has lost its path to the server.
            Ok(Err(error)) => {
                error.kind() == ErrorKind::ConnectionRefused && server.path.route() == Route::Direct
            }
            Ok(Ok(_)) | Err(_) => false,
        };
        let completed_ms = clock::now_ms();
        let may_earlier_grant = began_ms < self.entry.leadership.earlier_leases_until_ms();
        let attempt = ConnectionAttempt {
            began_ms,
            completed_ms,
            is_refused,
            has_open_connection: server.pool.has_open() || server.orders.has_open_connection(),
            may_follow_under_name: server.entry.started_ms > 0 && may_earlier_grant,
            entry: self.entry_state(server),
            has_leave_notice: server.leaves_for_ms().is_some(),
            view_age_ms: store_age_ms(&self.entry),
            answered_ms: server.answered_ms(),
        };
        time::sleep(Duration::from_millis(ATTEMPT_HELD_MS)).await;
        drop(permit);
        attempt
    }

    /// Returns the state of the server's entry. An entry of the same incarnation with another address
    /// shows that its process may run there.
    fn entry_state(&self, server: &Arc<Server>) -> EntryState {
        let registry = self.entry.view.registry();
        let id = &server.entry.id;
        let former = registry.former(id);
        if former.is_some_and(|former| former.address != server.entry.address) {
            return EntryState::Other;
        }
        match registry.server(id) {
            None => EntryState::Absent,
            Some(known) => {
                let is_same = Arc::ptr_eq(known, server) && !server.leaving();
                if is_same && !registry.is_missing(&server.entry.name) {
                    EntryState::Ready
                } else {
                    EntryState::Other
                }
            }
        }
    }

    /// Adds an attempt to the evidence against a server. Returns true if further attempts are
    /// needed, and ends the suspicion if the address did not refuse the connection or the server is
    /// not present.
    fn note_attempt(&self, server: &Arc<Server>, attempt: &ConnectionAttempt) -> bool {
        let id = &server.entry.id;
        let policy = &self.entry.settings.policy;
        let mut state = self.state();
        // A grant in flight may yet arrive at a later process at the address. No further grant is
        // sent once an attempt has been added.
        let has_grants = state
            .servers
            .get(id)
            .is_some_and(|s| s.grants.is_any_in_flight());
        let Some(suspect) = state.suspects.by_id.get_mut(id) else {
            return false;
        };
        let is_gone = match attempt.entry {
            EntryState::Ready => false,
            EntryState::Absent => !suspect.evidence.is_confirmed(),
            EntryState::Other => true,
        };
        if !attempt.is_refused || is_gone {
            state.suspects.remove_open(id);
            return false;
        }
        if has_grants {
            suspect.evidence = Evidence::default();
            return true;
        }
        suspect.evidence.note(attempt, policy);
        let is_sufficient = suspect.evidence.is_sufficient(policy);
        suspect.is_tried = !is_sufficient;
        !is_sufficient
    }

    /// Asks the store for changes of servers' entries that this host has not applied yet. The entry
    /// of each suspect is confirmed if it is present and ready without such a change; otherwise the
    /// evidence against the suspect is discarded.
    async fn confirm_evidence(&self) {
        let applied = self
            .entry
            .freshness
            .versions
            .applied(FollowedTable::Servers);
        let sent_ms = clock::now_ms();
        let table = FollowedTable::Servers.table();
        let head_received = AtomicBool::new(false);
        let feed = self.entry.store.feed(table, applied, 0, &head_received);
        let changes = match feed.await {
            Ok(Feed::Changes(changes)) => {
                Some(changes).filter(|c| !c.is_full_page() && c.version >= applied)
            }
            Ok(Feed::HistoryGone) => None,
            Err(error) => {
                log::debug!("cannot confirm the entries of ended servers: {error}");
                None
            }
        };
        self.note_confirmation(changes.as_ref(), sent_ms);
    }

    /// Applies the changes of servers' entries that the store returned to a call sent at `sent_ms`
    /// to the suspects without a confirmed entry; `None` if the call failed.
    fn note_confirmation(&self, changes: Option<&Rows>, sent_ms: u64) {
        let is_unchanged = |server: &Server| {
            let concerns = |key: &str| *key == *server.entry.name;
            changes.is_some_and(|changes| !changes.rows.iter().any(|row| concerns(&row.key)))
        };
        let mut state = self.state();
        state.suspects.by_id.retain(|_, suspect| {
            let is_open = suspect.ended_ms.is_none() && suspect.evidence.needs_confirmation();
            if !is_open || !suspect.evidence.is_open_to_confirmation(sent_ms) {
                return true;
            }
            let server = &suspect.server;
            let is_ready = self.entry_state(server) == EntryState::Ready;
            let holds = is_ready && server.leaves_for_ms().is_none() && is_unchanged(server);
            suspect.evidence.confirm(sent_ms);
            holds
        });
    }

    /// Decides which suspects have ended.
    fn conclude(&self) {
        let policy = &self.entry.settings.policy;
        let now_ms = clock::now_ms();
        let mut ended = Vec::new();
        let mut state = self.state();
        let suspects = state.suspects.by_id.values_mut();
        let proven = suspects.filter(|s| s.ended_ms.is_none() && s.evidence.is_proof(policy));
        for suspect in proven {
            suspect.ended_ms = Some(now_ms);
            let server = &suspect.server;
            ended.push(Event::ServerProcessEnded {
                server: server.entry.id.clone(),
                service: server.entry.service.clone(),
                suspected_by: suspect.suspected_by,
                refused: suspect.evidence.refused(),
                span_ms: suspect.evidence.span_ms(),
                found_after_ms: now_ms.saturating_sub(suspect.evidence.latest_ms()),
            });
        }
        drop(state);
        if ended.is_empty() {
            return;
        }
        for event in ended {
            self.entry.metrics.server_process_ended();
            event.log();
        }
        self.server_ended.notify_waiters();
    }

    /// Forgets the ended servers whose leases have expired and whose entry is gone, and tries a
    /// connection to those whose entry is still present.
    fn recheck_ended(self: &Arc<Self>, tasks: &mut JoinSet<()>) {
        let ended: Vec<(Arc<Server>, u64)> = {
            let state = self.state();
            let suspects = state.suspects.by_id.values();
            let ended = suspects.filter(|suspect| suspect.ended_ms.is_some());
            ended.map(|s| (s.server.clone(), s.rechecked_ms)).collect()
        };
        let now_ms = clock::now_ms();
        for (server, rechecked_ms) in ended {
            let id = &server.entry.id;
            if now_ms < self.lease_end_ms(id) || now_ms < rechecked_ms + RECHECK_EVERY_MS {
                continue;
            }
            if self.entry.view.registry().server(id).is_none() {
                self.state().suspects.remove(id);
                continue;
            }
            if let Some(suspect) = self.state().suspects.by_id.get_mut(id) {
                suspect.rechecked_ms = now_ms;
            }
            let term = self.clone();
            tasks.spawn(async move {
                if !term.try_connection(&server).await.is_refused {
                    term.state().suspects.remove(&server.entry.id);
                }
            });
        }
    }
}
