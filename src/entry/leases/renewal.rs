//! Renews leases, and gives them anew where a server has seen a higher fence.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use tokio::task::JoinSet;

use super::{FAILURES_DOUBT, GRANT_TIMEOUT_MS, Term};
use crate::{
    clock,
    entry::{
        duty::Change,
        events::Event,
        keys::{Assignment, Holding, KeyRange},
        model::ServerEntry,
        server::Server,
    },
    platform::{
        self, Error,
        orders::{self, Grant, GrantOutcome},
    },
};

/// Distance of a raised fence from the last one, above what an earlier holder may have used
/// without recording it.
const FENCE_STEP: u64 = 16;

/// Keys that a server is to hold.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeaseOrder<'a> {
    pub service: &'a Arc<str>,
    pub range: KeyRange,
    pub fence: u64,
    /// Token of the last owner.
    pub handover: Option<&'a str>,
}

/// Time for a server to answer the question whether it lives. It may have to wait for a slot.
const ALIVE_TIMEOUT_MS: u64 = 400;
/// Age of a server's last answer to a request up to which it lives without being asked.
const ANSWERED_LATELY_MS: u64 = 1_000;

impl Term {
    /// Starts the renewals that are due.
    pub(super) fn renew(self: &Arc<Self>, service: &Arc<str>, tasks: &mut JoinSet<()>) {
        let Some(held) = self.entry.view.held(service) else {
            return;
        };
        let registry = self.entry.view.registry();
        for (id, holdings) in self.due_renewals(service, &held.assignment) {
            // A server without an entry gets nothing more; its lease runs out.
            let server = registry.server(&id).cloned();
            let term = self.clone();
            let service = service.clone();
            tasks.spawn(async move {
                if let Some(server) = server {
                    term.renew_server(&service, &server, &holdings).await;
                }
                term.end_renewals(&service, &holdings);
            });
        }
    }

    /// Holdings whose renewal is due, by server; they count as under way. Each is renewed for itself: of
    /// five ranges of a server that loses half of the answers, all are renewed in a row only once in 32
    /// tries.
    fn due_renewals(
        &self,
        service: &Arc<str>,
        assignment: &Assignment,
    ) -> HashMap<Arc<str>, Vec<Holding>> {
        let now_ms = clock::now_ms();
        let every_ms = self.entry.settings.leases.renew_every_ms;
        let mut due: HashMap<Arc<str>, Vec<Holding>> = HashMap::new();
        let mut work = self.work();
        let fences: HashSet<u64> = assignment.holdings.iter().map(|h| h.fence).collect();
        work.renewals
            .retain(|(of, fence), _| of != service || fences.contains(fence));
        for holding in &assignment.holdings {
            let record = work.servers.get(&holding.server);
            let is_silent = record.is_some_and(|record| record.is_silent);
            if is_silent || work.is_unfinished(service, holding) {
                continue;
            }
            let key = (service.clone(), holding.fence);
            let renewal = work.renewals.entry(key).or_default();
            if renewal.is_under_way || now_ms < renewal.renewed_ms + every_ms {
                continue;
            }
            renewal.is_under_way = true;
            let holdings = due.entry(holding.server.clone()).or_default();
            holdings.push(holding.clone());
        }
        due
    }

    fn end_renewals(&self, service: &Arc<str>, holdings: &[Holding]) {
        let mut work = self.work();
        for holding in holdings {
            let key = (service.clone(), holding.fence);
            if let Some(renewal) = work.renewals.get_mut(&key) {
                renewal.is_under_way = false;
            }
        }
    }

    async fn renew_server(&self, service: &Arc<str>, server: &Arc<Server>, holdings: &[Holding]) {
        for holding in holdings {
            let order = LeaseOrder {
                service,
                range: holding.range,
                fence: holding.fence,
                handover: None,
            };
            match self.grant(server, order).await {
                Some(GrantOutcome::Held) => {}
                Some(GrantOutcome::Superseded) => self.raise_fence(service, server, holding).await,
                Some(GrantOutcome::OtherServer) => return,
                // Due again in the next round; meanwhile the others.
                None => {}
            }
        }
    }

    /// Gives one lease. `None` if the server gave no answer.
    pub(super) async fn grant(
        &self,
        server: &Arc<Server>,
        order: LeaseOrder<'_>,
    ) -> Option<GrantOutcome> {
        if !self.lasts() {
            return None;
        }
        let id = &server.entry.id;
        let sent_ms = clock::now_ms();
        {
            let mut work = self.work();
            let record = work.servers.entry(id.clone()).or_default();
            if record.is_silent {
                return None;
            }
            record.under_way += 1;
        }
        let grant = Grant {
            server: &server.entry.name,
            range: order.range,
            fence: order.fence,
            lease_ms: self.entry.settings.leases.lease_ms,
            handover: order.handover,
        };
        let answer = orders::grant(&server.orders, grant, GRANT_TIMEOUT_MS).await;
        let is_in_doubt = self.note_grant(id, order, sent_ms, &answer);
        let error = match answer {
            Ok(granted) => {
                let held = granted == GrantOutcome::Held;
                let outcome = if held { "held" } else { "refused" };
                self.entry.metrics.order("grant", outcome);
                return Some(granted);
            }
            Err(error) => error,
        };
        self.order_failed(server, "grant", error.to_string());
        if is_in_doubt {
            self.resolve_doubt(order.service, server).await;
        }
        None
    }

    /// Notes what came of a grant; true if the server may be gone.
    fn note_grant(
        &self,
        id: &Arc<str>,
        order: LeaseOrder<'_>,
        sent_ms: u64,
        answer: &platform::Result<GrantOutcome>,
    ) -> bool {
        let mut work = self.work();
        let record = work.servers.entry(id.clone()).or_default();
        record.under_way -= 1;
        // What was never sent prolongs nothing, so that the keys are free earlier.
        let sent = answer.as_ref().err().is_none_or(Error::may_have_run);
        if sent {
            record.granted_ms = record.granted_ms.max(sent_ms);
        }
        let Ok(granted) = answer else {
            record.failures += 1;
            return record.failures >= FAILURES_DOUBT && !record.is_silent;
        };
        record.failures = 0;
        record.is_silent = false;
        if *granted == GrantOutcome::Held {
            let key = (order.service.clone(), order.fence);
            work.renewals.entry(key).or_default().renewed_ms = sent_ms;
        }
        false
    }

    /// Finds out whether a server that does not answer grants is gone, or lives and only its answers
    /// are lost. Keys of a live server stay there: while half of the orders went unanswered, live
    /// servers were taken for lost and all keys of a service changed hands three to five times a
    /// minute.
    async fn resolve_doubt(&self, service: &str, server: &Server) {
        let lives = self.is_alive(service, server).await;
        let mut work = self.work();
        let record = work.servers.entry(server.entry.id.clone()).or_default();
        if lives {
            record.failures = 0;
        } else {
            record.is_silent = true;
        }
    }

    async fn is_alive(&self, service: &str, server: &Server) -> bool {
        if clock::now_ms() < server.answered_ms() + ANSWERED_LATELY_MS {
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
        match orders::is_alive(&server.orders, path, name, ALIVE_TIMEOUT_MS).await {
            Ok(lives) => lives,
            Err(error) => {
                log::debug!("{id} does not answer: {error}");
                false
            }
        }
    }

    fn order_failed(&self, server: &Server, order: &'static str, problem: String) {
        self.entry.metrics.order(order, "failed");
        Event::OrderFailed {
            server: server.entry.id.clone(),
            order,
            problem,
        }
        .log();
    }

    /// The server has seen a higher fence than the record's: an earlier holder released the keys
    /// and did not come to record more. Gives them to the same server again. Counts as a move, so
    /// that no other move of these keys begins before the new lease is certain.
    async fn raise_fence(&self, service: &Arc<str>, server: &Arc<Server>, holding: &Holding) {
        if !self.mark_moving(service, holding.range) {
            return;
        }
        let change = Change::Raise {
            holding: holding.clone(),
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
            Err(failure) => log::warn!("a raised fence of {service} is not recorded: {failure:?}"),
        }
        self.end_move(service, holding.range);
    }
}
