//! Carries out moves: records them, frees the keys, grants them, and records that they are finished.

use std::{sync::Arc, time::Duration};

use tokio::{task::JoinSet, time};

use super::{LEASE_CLOCK_FACTOR, LEASE_MARGIN_MS, Term, renewal::LeaseOrder};
use crate::{
    clock,
    entry::{
        decide::{
            hold::{MoveRest, MoveWait},
            plan::Move,
        },
        duty::{Change, Reassignment},
        events::Event,
        keys::{Assignment, Holding, KeyRange},
        news::announcement::Announcement,
        server::tag_of,
    },
    platform::{
        self, Link,
        orders::{self, Release, ReleaseOutcome},
    },
};

/// Interval at which finished moves are recorded.
const SETTLE_EVERY_MS: u64 = 1_000;
/// Least time for a release, when the server's lease is about to run out or has.
const RELEASE_TIMEOUT_MIN_MS: u64 = 300;
/// Time for a server to end its work on released keys.
const RELEASE_TIMEOUT_MS: u64 = 2_500;
/// Time after which a release is sent once more beside the first: its answer may be lost, and the keys
/// have no server until it comes. Most work on keys ends within it.
const RELEASE_REPEAT_MS: u64 = 600;
/// Times that one release is sent. Of a hundred servers that lose half of the answers, six do not
/// answer four releases.
const RELEASES_MAX: usize = 4;

impl Term {
    /// Finishes moves that an earlier holder of the duty recorded.
    pub(super) fn finish_found(
        self: &Arc<Self>,
        service: &Arc<str>,
        assignment: &Assignment,
        tasks: &mut JoinSet<()>,
    ) {
        let unfinished: Vec<Holding> = {
            let work = self.work();
            let holdings = assignment.holdings.iter();
            let found = holdings.filter(|h| work.is_unfinished(service, h));
            found.cloned().collect()
        };
        for holding in unfinished {
            if !self.mark_moving(service, holding.range) {
                continue;
            }
            self.announce(service, &holding, holding.fence - 1);
            let term = self.clone();
            let service = service.clone();
            tasks.spawn(async move {
                term.finish(&service, &holding, "found unfinished", clock::now_ms())
                    .await;
                term.end_move(&service, holding.range);
            });
        }
    }

    /// Records from time to time which moves are finished.
    pub(super) fn settle(self: &Arc<Self>, service: &Arc<str>, tasks: &mut JoinSet<()>) {
        let now_ms = clock::now_ms();
        let fences = {
            let mut work = self.work();
            let due = now_ms >= work.settled_ms + SETTLE_EVERY_MS;
            let finished = work.finished.get(service).cloned().unwrap_or_default();
            if !due || finished.is_empty() {
                return;
            }
            work.settled_ms = now_ms;
            finished
        };
        let term = self.clone();
        let service = service.clone();
        tasks.spawn(async move {
            let change = Change::Settle(fences.clone());
            if term.entry.record(&service, &change).await.is_err() {
                return;
            }
            if let Some(finished) = term.work().finished.get_mut(&service) {
                finished.retain(|fence| !fences.contains(fence));
            }
        });
    }

    /// Records moves in one write, then carries out each by itself.
    pub(super) fn begin_moves(
        self: &Arc<Self>,
        service: &Arc<str>,
        mut moves: Vec<Move>,
        assignment: &Assignment,
        tasks: &mut JoinSet<()>,
    ) {
        moves.retain(|planned| self.mark_moving(service, planned.range));
        if moves.is_empty() {
            return;
        }
        let owner = |planned: &Move| assignment.holding(planned.range.first).cloned();
        let owners = moves.iter().map(owner).collect();
        let term = self.clone();
        let service = service.clone();
        tasks.spawn(async move { term.carry_out(&service, &moves, owners).await });
    }

    pub(super) fn end_move(&self, service: &Arc<str>, range: KeyRange) {
        let mut work = self.work();
        work.moving
            .retain(|m| m.service != *service || m.range != range);
    }

    async fn carry_out(
        self: &Arc<Self>,
        service: &Arc<str>,
        moves: &[Move],
        owners: Vec<Option<Holding>>,
    ) {
        let began_ms = clock::now_ms();
        let pairs = moves.iter().zip(&owners);
        let reassignments = pairs.map(|(planned, owner)| Reassignment {
            range: planned.range,
            server: planned.to.clone(),
            from: owner.as_ref().map(|holding| holding.server.clone()),
        });
        let change = Change::Assign(reassignments.collect());
        let holdings = match self.entry.record(service, &change).await {
            Ok(holdings) => holdings,
            Err(failure) => {
                log::warn!("moves of {service} are not recorded: {failure:?}");
                for planned in moves {
                    self.end_move(service, planned.range);
                }
                return;
            }
        };
        let mut finishing = JoinSet::new();
        for ((planned, owner), holding) in moves.iter().zip(owners).zip(holdings) {
            if let Some(before) = owner {
                self.announce(service, &holding, before.fence);
            }
            let term = self.clone();
            let service = service.clone();
            let cause = planned.cause;
            finishing.spawn(async move {
                term.finish(&service, &holding, cause, began_ms).await;
                term.end_move(&service, holding.range);
            });
        }
        finishing.join_all().await;
    }

    /// Tells all hosts that keys are on their way, and how long that may take.
    fn announce(&self, service: &Arc<str>, holding: &Holding, above_fence: u64) {
        let Some(from) = &holding.from else {
            return;
        };
        let registry = self.entry.view.registry();
        let is_silent = {
            let work = self.work();
            let record = work.servers.get(from);
            record.is_some_and(|record| record.is_silent)
        };
        let answers = registry.server(from).is_some() && !is_silent;
        let rest = if answers {
            MoveRest {
                wait: MoveWait::Work,
                rest_ms: RELEASE_TIMEOUT_MS,
            }
        } else {
            MoveRest {
                wait: MoveWait::Lease,
                rest_ms: self.lease_end_ms(from).saturating_sub(clock::now_ms()),
            }
        };
        self.announce_rest(service, holding, above_fence, rest);
    }

    fn announce_rest(
        &self,
        service: &Arc<str>,
        holding: &Holding,
        above_fence: u64,
        rest: MoveRest,
    ) {
        let move_ahead = Announcement {
            range: holding.range,
            above_fence,
            rest,
        };
        self.entry.view.announce_move(service, move_ahead);
        let outbox = &self.entry.peers.outbox;
        outbox.announce_move(tag_of(service), move_ahead);
    }

    /// Notes that a move waits for a lease to run out; false if that was known.
    fn note_waiting(&self, range: KeyRange) -> bool {
        let mut work = self.work();
        let mut concerned = work.moving.iter_mut().filter(|m| m.range == range);
        concerned.any(|moving| !std::mem::replace(&mut moving.waits, true))
    }

    /// Carries out a recorded move: frees the keys, then grants them. Whatever fails here, the
    /// renewals of the new server make up for it or the planner finds another.
    async fn finish(
        &self,
        service: &Arc<str>,
        holding: &Holding,
        cause: &'static str,
        began_ms: u64,
    ) {
        let range = holding.range;
        let mut handover = None;
        if let Some(from) = &holding.from {
            let Some(token) = self.free(service, holding, from).await else {
                return;
            };
            handover = token;
        }
        let server = self.entry.view.registry().server(&holding.server).cloned();
        if let Some(server) = server {
            let order = LeaseOrder {
                service,
                range,
                fence: holding.fence,
                handover: handover.as_deref(),
            };
            self.grant(&server, order).await;
            self.entry.view.note_granted(service, holding.clone());
            let outbox = &self.entry.peers.outbox;
            outbox.announce_holding(tag_of(service), holding);
        }
        if holding.from.is_some() {
            // Only now, so that no renewal comes before the grant that has the token.
            let mut work = self.work();
            let finished = work.finished.entry(service.clone()).or_default();
            finished.push(holding.fence);
        }
        self.entry.metrics.moved();
        Event::Moved {
            service: service.clone(),
            range,
            from: holding.from.clone(),
            to: holding.server.clone(),
            fence: holding.fence,
            cause,
            handover: handover.is_some(),
            took_ms: clock::now_ms() - began_ms,
        }
        .log();
    }

    /// Makes sure that a server no longer holds a range: by its own word, or by waiting until its
    /// last lease has run out. The result is the token for the next owner; `None` if the term has
    /// ended meanwhile.
    async fn free(
        &self,
        service: &Arc<str>,
        holding: &Holding,
        id: &Arc<str>,
    ) -> Option<Option<String>> {
        let Holding { range, fence, .. } = *holding;
        let registry = self.entry.view.registry();
        let server = registry.server(id).cloned();
        // A server whose entry is gone may still serve: it is asked by a connection of its own. A later
        // incarnation of its name at its address answers for it.
        let former = registry.former(id).cloned();
        let former_link = former.as_ref().map(|former| Link::new(former.address));
        let link = match (&server, &former, &former_link) {
            (Some(server), _, _) => Some((&server.orders, &server.entry.name)),
            (None, Some(former), Some(link)) => Some((link, &former.name)),
            _ => None,
        };
        let mut asked = server.is_none();
        loop {
            if !self.lasts() {
                return None;
            }
            let free_ms = self.lease_end_ms(id);
            let now_ms = clock::now_ms();
            // A server that is known is asked once in any case: its token warms the next one.
            if now_ms >= free_ms && std::mem::replace(&mut asked, true) {
                return Some(None);
            }
            let Some((link, name)) = link else {
                self.note_waiting(range);
                time::sleep(Duration::from_millis(free_ms.saturating_sub(now_ms))).await;
                continue;
            };
            let left_ms = free_ms.saturating_sub(now_ms);
            let timeout_ms = left_ms.clamp(RELEASE_TIMEOUT_MIN_MS, RELEASE_TIMEOUT_MS);
            let order = Release {
                server: name,
                range,
                fence,
            };
            match release(link, order, timeout_ms).await {
                Ok(ReleaseOutcome::Ended { handover }) => {
                    self.entry.metrics.order("release", "ended");
                    return Some(handover);
                }
                Ok(ReleaseOutcome::OtherServer) => return Some(None),
                Err(error) => {
                    self.entry.metrics.order("release", "failed");
                    log::debug!("{id} did not release keys: {error}");
                    if self.note_waiting(range) {
                        let rest = MoveRest {
                            wait: MoveWait::Lease,
                            rest_ms: self.lease_end_ms(id).saturating_sub(clock::now_ms()),
                        };
                        self.announce_rest(service, holding, fence - 1, rest);
                    }
                    let pause_ms = 200.min(free_ms.saturating_sub(clock::now_ms()).max(1));
                    time::sleep(Duration::from_millis(pause_ms)).await;
                }
            }
        }
    }

    /// Time at which the last lease that any holder may have given a server has run out.
    fn lease_end_ms(&self, id: &Arc<str>) -> u64 {
        let now_ms = clock::now_ms();
        let own_ms = self
            .work()
            .servers
            .get(id)
            .map_or(0, |record| record.last_grant_ms(now_ms));
        let others_ms = self.entry.duty.predecessors_until_ms();
        let lease_ms = self.entry.settings.leases.lease_ms as f64 * LEASE_CLOCK_FACTOR;
        own_ms.max(others_ms) + lease_ms as u64 + LEASE_MARGIN_MS
    }
}

/// Sends a release, and again beside it while no answer comes: a release may be repeated, and the
/// first answer counts.
async fn release(
    link: &Link,
    order: Release<'_>,
    timeout_ms: u64,
) -> platform::Result<ReleaseOutcome> {
    let began_ms = clock::now_ms();
    let Release { range, fence, .. } = order;
    let first = orders::release(link, order, timeout_ms);
    tokio::pin!(first);
    let mut failed = None;
    let mut repeats = JoinSet::new();
    let mut sent = 1;
    loop {
        tokio::select! {
            answer = &mut first, if failed.is_none() => match answer {
                Ok(released) => return Ok(released),
                Err(error) => failed = Some(error),
            },
            Some(joined) = repeats.join_next() => {
                if let Ok(Ok(released)) = joined {
                    return Ok(released);
                }
            }
            () = time::sleep(Duration::from_millis(RELEASE_REPEAT_MS)),
                if sent < RELEASES_MAX && failed.is_none() =>
            {
                let server = order.server.to_owned();
                let link = Link::new(link.address());
                let left_ms = timeout_ms.saturating_sub(clock::now_ms() - began_ms).max(1);
                repeats.spawn(async move {
                    let order = Release { server: &server, range, fence };
                    orders::release(&link, order, left_ms).await
                });
                sent += 1;
            }
        }
        if let Some(error) = failed.take_if(|_| repeats.is_empty()) {
            return Err(error);
        }
    }
}
