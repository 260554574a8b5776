//! Renewal of leases. The leader grants each assigned range to its server again before the lease
//! expires. If the server refuses a renewal because it has seen a fence above the recorded fence,
//! the leader raises the recorded fence and grants the keys again.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use tokio::task::JoinSet;

use super::{FAILURES_BEFORE_PROBE, Term};
use crate::{
    clock,
    entry::{
        decide::lease_expiry::GRANT_TIMEOUT_MS,
        events::LeadershipEvent,
        keys::{AssignedRange, Assignment, KeyRange},
        leadership::Change,
        model::ServerEntry,
        path_evidence::Suspicion,
        server::Server,
    },
    platform::{
        self, Error,
        link::Connection,
        orders::{self, Grant, GrantOutcome},
    },
};

/// Number of fences that are skipped when a fence is raised, because an earlier leader may have
/// used them without recording them.
const FENCE_STEP: u64 = 16;

/// Command by which the leader grants a server the lease of a key range, or renews the lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseOrder<'a> {
    pub service: &'a Arc<str>,
    pub range: KeyRange,
    pub fence: u64,
    /// Handover token that the former server of the keys returned and that lets the new server
    /// start warm; `None` for renewals, and if there is no token.
    pub handover: Option<&'a str>,
}

/// Timeout of a probe of whether a server is alive. The probe may have to wait for a free request
/// slot at the server.
const PROBE_TIMEOUT_MS: u64 = 400;
/// Maximum age of a server's last response to a request at which the server counts as alive without
/// a probe.
const RECENT_RESPONSE_MS: u64 = 1_000;

impl Term {
    /// Starts the renewals of a service's leases that are due, with one task for each server.
    pub(super) fn renew(self: &Arc<Self>, service: &Arc<str>, tasks: &mut JoinSet<()>) {
        let Some(held) = self.entry.view.held(service) else {
            return;
        };
        let registry = self.entry.view.registry();
        for (id, assigned_ranges) in self.due_renewals(service, &held.assignment) {
            // A server whose entry is gone gets no renewals, so its leases expire.
            let server = registry.server(&id).cloned();
            let term = self.clone();
            let service = service.clone();
            tasks.spawn(async move {
                if let Some(server) = server {
                    term.renew_server(&service, &server, &assigned_ranges).await;
                }
                term.end_renewals(&service, &assigned_ranges);
            });
        }
    }

    /// Returns the assigned ranges of a service whose renewal is due, by server, and marks their
    /// renewals as in flight. Each assigned range has a renewal time of its own, so that the
    /// failure of one renewal does not cause the others to be repeated. If half of the responses of
    /// a server with five ranges are lost, five renewals in a row succeed only once in 32 attempts.
    fn due_renewals(
        &self,
        service: &Arc<str>,
        assignment: &Assignment,
    ) -> HashMap<Arc<str>, Vec<AssignedRange>> {
        let now_ms = clock::now_ms();
        let every_ms = self.entry.settings.leases.renew_every_ms;
        let mut due: HashMap<Arc<str>, Vec<AssignedRange>> = HashMap::new();
        let mut state = self.state();
        let fences: HashSet<u64> = assignment
            .assigned_ranges
            .iter()
            .map(|assigned| assigned.fence)
            .collect();
        state
            .renewals
            .retain(|(of, fence), _| of != service || fences.contains(fence));
        for assigned_range in &assignment.assigned_ranges {
            let record = state.servers.get(&assigned_range.server);
            let is_silent = record.is_some_and(|record| record.is_silent);
            let has_ended = state.suspects.has_ended(&assigned_range.server);
            if is_silent || has_ended || state.is_unfinished(service, assigned_range) {
                continue;
            }
            let key = (service.clone(), assigned_range.fence);
            let renewal = state.renewals.entry(key).or_default();
            if renewal.is_in_flight || now_ms < renewal.renewed_ms + every_ms {
                continue;
            }
            renewal.is_in_flight = true;
            let assigned_ranges = due.entry(assigned_range.server.clone()).or_default();
            assigned_ranges.push(assigned_range.clone());
        }
        due
    }

    /// Permits grants to silent servers again once twice the lease time has passed since the last
    /// grant. A server that does not answer the new grants either is marked as silent again.
    pub(super) fn retry_silent_servers(&self, service: &str) {
        let registry = self.entry.view.registry();
        let now_ms = clock::now_ms();
        let lease_ms = self.entry.settings.leases.lease_ms;
        let mut state = self.state();
        for server in registry.of_service(service) {
            let Some(record) = state.servers.get_mut(&server.entry.id) else {
                continue;
            };
            // After twice the lease time, the last lease of the server has expired and its keys
            // have moved to other servers.
            if record.is_silent && now_ms > record.grants.last_ms(now_ms) + 2 * lease_ms {
                record.failures = 0;
                record.is_silent = false;
            }
        }
    }

    fn end_renewals(&self, service: &Arc<str>, assigned_ranges: &[AssignedRange]) {
        let mut state = self.state();
        for assigned_range in assigned_ranges {
            let key = (service.clone(), assigned_range.fence);
            if let Some(renewal) = state.renewals.get_mut(&key) {
                renewal.is_in_flight = false;
            }
        }
    }

    async fn renew_server(
        &self,
        service: &Arc<str>,
        server: &Arc<Server>,
        assigned_ranges: &[AssignedRange],
    ) {
        for assigned_range in assigned_ranges {
            let order = LeaseOrder {
                service,
                range: assigned_range.range,
                fence: assigned_range.fence,
                handover: None,
            };
            match self.grant(server, order).await {
                Some(GrantOutcome::Held) => {}
                Some(GrantOutcome::Superseded) => {
                    self.raise_fence(service, server, assigned_range).await
                }
                Some(GrantOutcome::OtherServer) => return,
                // A renewal without a response is due again in the next round. The remaining
                // assigned ranges are renewed nevertheless.
                None => {}
            }
        }
    }

    /// Sends one command that grants or renews a lease, and returns the response from the server.
    /// Returns `None` if the server did not answer, or if no command was sent because the server is
    /// silent or this host may send no commands to servers.
    pub(super) async fn grant(
        &self,
        server: &Arc<Server>,
        order: LeaseOrder<'_>,
    ) -> Option<GrantOutcome> {
        let id = &server.entry.id;
        if !self.may_send_orders() || !self.state().takes_grants(id) {
            return None;
        }
        let connection = match server.orders.open(GRANT_TIMEOUT_MS).await {
            Ok(connection) => connection,
            Err(error) => {
                self.grant_failed(server, order, error).await;
                return None;
            }
        };
        // The check and the sending are one step, so that no grant is sent after the last moment at
        // which this host may send one.
        if !self.may_use(server, &connection).await || !self.begin_grant(id) {
            server.orders.keep(connection);
            self.entry.metrics.order("grant", "withheld");
            return None;
        }
        let grant = Grant {
            server: &server.entry.name,
            range: order.range,
            fence: order.fence,
            lease_ms: self.entry.settings.leases.lease_ms,
            handover: order.handover,
        };
        let sent_ms = clock::now_ms();
        let answer = orders::grant(&server.orders, connection, grant, GRANT_TIMEOUT_MS).await;
        self.note_grant(id, order, sent_ms, &answer);
        match answer {
            Ok(granted) => {
                let held = granted == GrantOutcome::Held;
                let outcome = if held { "held" } else { "refused" };
                self.entry.metrics.order("grant", outcome);
                Some(granted)
            }
            Err(error) => {
                self.grant_failed(server, order, error).await;
                None
            }
        }
    }

    /// Returns true if a grant may be sent to a server over a connection. A server whose entry
    /// states a start time may have ended, and a later process may have started under its name. If
    /// the connection is newer than the last confirmation of the leadership, waits for the next one.
    async fn may_use(&self, server: &Server, connection: &Connection) -> bool {
        if server.entry.started_ms == 0 {
            return true;
        }
        let leadership = &self.entry.leadership;
        leadership
            .await_confirmation_after(connection.opened_ms())
            .await
    }

    /// Counts a grant to a server as in flight if this host may send one now, and returns true if so.
    fn begin_grant(&self, id: &Arc<str>) -> bool {
        let may_send = self.may_send_orders();
        let mut state = self.state();
        if !may_send || !state.takes_grants(id) {
            return false;
        }
        state.servers.entry(id.clone()).or_default().grants.begin();
        true
    }

    /// Counts a failed grant or connection attempt. Returns true if the caller should probe the
    /// server because so many have failed that the server may have crashed.
    fn note_failure(&self, id: &Arc<str>) -> bool {
        let mut state = self.state();
        let record = state.servers.entry(id.clone()).or_default();
        record.failures += 1;
        record.failures >= FAILURES_BEFORE_PROBE && !record.is_silent
    }

    /// Logs the failure of a grant and finds out why the server does not answer.
    async fn grant_failed(&self, server: &Arc<Server>, order: LeaseOrder<'_>, error: Error) {
        let needs_probe = self.note_failure(&server.entry.id);
        self.order_failed(server, "grant", error.to_string());
        self.entry.suspect_path(server, Suspicion::FailedOrder);
        if error.is_refused() {
            self.suspect_refusing(server).await;
        }
        if needs_probe {
            self.probe_server(order.service, server).await;
        }
    }

    /// Records the outcome of a grant that was sent at `sent_ms`.
    fn note_grant(
        &self,
        id: &Arc<str>,
        order: LeaseOrder<'_>,
        sent_ms: u64,
        answer: &platform::Result<GrantOutcome>,
    ) {
        let mut state = self.state();
        let record = state.servers.entry(id.clone()).or_default();
        let may_have_arrived = answer.as_ref().err().is_none_or(Error::may_have_run);
        record.grants.complete(sent_ms, may_have_arrived);
        let Ok(granted) = answer else {
            return;
        };
        record.failures = 0;
        record.is_silent = false;
        state.suspects.note_answer(id);
        if *granted == GrantOutcome::Held {
            let key = (order.service.clone(), order.fence);
            state.renewals.entry(key).or_default().renewed_ms = sent_ms;
        }
    }

    /// Probes a server that does not answer grants, to distinguish a crashed server from a live
    /// server whose responses are lost. A live server keeps its keys; a crashed server is marked as
    /// silent, unless another host reaches it. Without the probe, when half of the commands go
    /// unanswered, live servers count as crashed, and all keys of a service change their server
    /// three to five times a minute.
    async fn probe_server(&self, service: &str, server: &Arc<Server>) {
        let lives =
            self.is_alive(service, server).await || self.entry.is_reached_elsewhere(server).await;
        let mut state = self.state();
        let record = state.servers.entry(server.entry.id.clone()).or_default();
        if lives {
            record.failures = 0;
        } else {
            record.is_silent = true;
        }
    }

    async fn is_alive(&self, service: &str, server: &Server) -> bool {
        if clock::now_ms() < server.answered_ms() + RECENT_RESPONSE_MS {
            return true;
        }
        let Some(configuration) = self.entry.view.configuration() else {
            return false;
        };
        let Some(service) = configuration.service(service) else {
            return false;
        };
        let ServerEntry { id, name, .. } = &server.entry;
        let path = &service.health_path;
        match orders::is_alive(&server.orders, path, name, PROBE_TIMEOUT_MS).await {
            Ok(lives) => lives,
            Err(error) => {
                log::debug!("server {id} does not answer the probe: {error}");
                false
            }
        }
    }

    /// Suspects a server that refused the connection of a grant to have ended, unless the service is
    /// not contended or another host reaches the server.
    async fn suspect_refusing(&self, server: &Arc<Server>) {
        if self.entry.is_contended(&server.entry.service)
            && self.entry.is_refused_elsewhere(server).await
        {
            self.suspect(server, "refused grant");
        }
    }

    fn order_failed(&self, server: &Server, order: &'static str, problem: String) {
        self.entry.metrics.order(order, "failed");
        LeadershipEvent::OrderFailed {
            server: server.entry.id.clone(),
            order,
            problem,
        }
        .log();
    }

    /// Raises the recorded fence of an assigned range and grants the range to the same server
    /// again. The fence must be raised when the server has seen a higher fence than the recorded
    /// fence: an earlier leader ordered the release of the keys under that fence but did not record
    /// the fence in the store. The range is marked as moving, so that no move of these keys begins
    /// before the grant has ended.
    async fn raise_fence(
        &self,
        service: &Arc<str>,
        server: &Arc<Server>,
        assigned_range: &AssignedRange,
    ) {
        if !self.mark_moving(service, assigned_range.range) {
            return;
        }
        let change = Change::RaiseFence {
            assigned_range: assigned_range.clone(),
            step: FENCE_STEP,
        };
        match self.entry.record(service, &change).await {
            Ok(raised) => {
                for raised in raised {
                    let order = LeaseOrder {
                        service,
                        range: raised.range,
                        fence: raised.fence,
                        handover: None,
                    };
                    self.grant(server, order).await;
                }
            }
            Err(failure) => log::warn!("cannot record a raised fence of {service}: {failure:?}"),
        }
        self.end_move(service, assigned_range.range);
    }
}
