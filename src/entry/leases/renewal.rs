//! Renews leases, and gives them anew where a server has seen a higher fence.

use std::{collections::HashMap, sync::Arc};

use tokio::task::JoinSet;

use super::{FAILURES_SILENT, GRANT_TIMEOUT_MS, Term};
use crate::{
    clock,
    entry::{
        duty::Change,
        events::Event,
        keys::{Assignment, Holding, KeyRange},
        server::Server,
    },
    platform::{
        Error,
        orders::{self, Grant, Granted},
    },
};

/// Distance of a raised fence from the last one, above what an earlier holder may have used
/// without recording it.
const FENCE_STEP: u64 = 16;
impl Term {
    /// Starts the renewals that are due.
    pub(super) fn renew(self: &Arc<Self>, service: &Arc<str>, tasks: &mut JoinSet<()>) {
        let Some(held) = self.entry.view.held(service) else {
            return;
        };
        let now_ms = clock::now_ms();
        let registry = self.entry.view.registry();
        let mut due: HashMap<Arc<str>, Vec<Holding>> = HashMap::new();
        {
            let mut work = self.work();
            let mut resting: Assignment = (*held.assignment).clone();
            resting.holdings.retain(|h| !work.is_unfinished(service, h));
            for holding in resting.holdings {
                let record = work.servers.entry(holding.server.clone()).or_default();
                let due_ms = record.renewed_ms + self.entry.settings.leases.renew_every_ms;
                if record.failures < FAILURES_SILENT && now_ms >= due_ms {
                    due.entry(holding.server.clone()).or_default().push(holding);
                }
            }
            for id in due.keys() {
                if let Some(record) = work.servers.get_mut(id) {
                    record.renewed_ms = now_ms;
                }
            }
        }
        for (id, holdings) in due {
            // A server without an entry gets nothing more; its lease runs out.
            let Some(server) = registry.server(&id).cloned() else {
                continue;
            };
            let term = self.clone();
            let service = service.clone();
            tasks.spawn(async move { term.renew_server(&service, &server, holdings).await });
        }
    }

    async fn renew_server(&self, service: &Arc<str>, server: &Arc<Server>, holdings: Vec<Holding>) {
        for holding in holdings {
            match self.grant(server, holding.range, holding.fence, None).await {
                Some(Granted::Held) => {}
                Some(Granted::Superseded) => self.raise_fence(service, server, &holding).await,
                Some(Granted::OtherServer) => return,
                None => {
                    // Tried again in the next round rather than after a whole interval.
                    if let Some(record) = self.work().servers.get_mut(&server.entry.id) {
                        record.renewed_ms = 0;
                    }
                    return;
                }
            }
        }
    }

    /// Gives one lease. `None` if the server gave no answer.
    pub(super) async fn grant(
        &self,
        server: &Arc<Server>,
        range: KeyRange,
        fence: u64,
        handover: Option<&str>,
    ) -> Option<Granted> {
        if !self.lasts() {
            return None;
        }
        let id = &server.entry.id;
        let sent_ms = clock::now_ms();
        {
            let mut work = self.work();
            let record = work.servers.entry(id.clone()).or_default();
            if record.failures >= FAILURES_SILENT {
                return None;
            }
            record.under_way += 1;
        }
        let order = Grant {
            server: id,
            range,
            fence,
            lease_ms: self.entry.settings.leases.lease_ms,
            handover,
        };
        let answer = orders::grant(&server.orders, order, GRANT_TIMEOUT_MS).await;
        let mut work = self.work();
        let record = work.servers.entry(id.clone()).or_default();
        record.under_way -= 1;
        // What was never sent prolongs nothing, so that the keys are free earlier.
        let sent = answer.as_ref().err().is_none_or(Error::may_have_run);
        if sent {
            record.granted_ms = record.granted_ms.max(sent_ms);
        }
        match answer {
            Ok(granted) => {
                record.failures = 0;
                drop(work);
                let held = granted == Granted::Held;
                let outcome = if held { "held" } else { "refused" };
                self.entry.metrics.order("grant", outcome);
                Some(granted)
            }
            Err(error) => {
                record.failures += 1;
                drop(work);
                self.order_failed(server, "grant", error.to_string());
                None
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
                    self.grant(server, raised.range, raised.fence, None).await;
                }
            }
            Err(failure) => log::warn!("a raised fence of {service} is not recorded: {failure:?}"),
        }
        self.end_move(service, holding.range);
    }
}
