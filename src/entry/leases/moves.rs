//! Moves of keys between servers. The leader records a move in the store, orders the former server
//! to release the keys, grants the keys to the new server, and records the completion of the move.

use std::{sync::Arc, time::Duration};

use tokio::{task::JoinSet, time};

use super::{Term, renewal::LeaseOrder};
use crate::{
    clock,
    entry::{
        decide::{
            hold::{MoveTimeLeft, MoveWait},
            lease_expiry::{self, FormerServer, MoveStep, RELEASE_TIMEOUT_MS},
            plan::Move,
        },
        events::Event,
        keys::{AssignedRange, Assignment, KeyRange},
        leadership::{Change, Reassignment},
        tag::tag_of,
        updates::announcement::MoveAnnouncement,
    },
    platform::{
        self, Link,
        orders::{self, Release, ReleaseOutcome},
    },
};

/// Minimum interval between two writes by which the leader records the completion of moves. One
/// write covers all moves of a service that were completed since the last write.
const RECORD_COMPLETED_EVERY_MS: u64 = 1_000;
/// Delay after which the leader sends an unanswered release command again, while it goes on waiting
/// for the response to the first command. That response may be lost, and no server holds the keys
/// until a response arrives. A server responds once its running requests for the keys have ended,
/// and most requests end within this delay.
const RELEASE_RETRY_MS: u64 = 600;
/// Maximum number of times that the leader sends one release command, including the first. If half
/// of the responses from servers are lost, four attempts get a response from 94% of the servers.
const RELEASES_MAX: usize = 4;

impl Term {
    /// Resumes the recorded moves of a service that an earlier leader did not complete.
    pub(super) fn resume_unfinished_moves(
        self: &Arc<Self>,
        service: &Arc<str>,
        assignment: &Assignment,
        tasks: &mut JoinSet<()>,
    ) {
        let unfinished: Vec<AssignedRange> = {
            let state = self.state();
            let assigned_ranges = assignment.assigned_ranges.iter();
            let found = assigned_ranges.filter(|assigned| state.is_unfinished(service, assigned));
            found.cloned().collect()
        };
        for assigned_range in unfinished {
            if !self.mark_moving(service, assigned_range.range) {
                continue;
            }
            self.announce(service, &assigned_range, assigned_range.fence - 1);
            let term = self.clone();
            let service = service.clone();
            tasks.spawn(async move {
                term.complete_move(
                    &service,
                    &assigned_range,
                    "found unfinished",
                    clock::now_ms(),
                )
                .await;
                term.end_move(&service, assigned_range.range);
            });
        }
    }

    /// Records in the store which moves are completed, at most once per
    /// [`RECORD_COMPLETED_EVERY_MS`].
    pub(super) fn record_completed_moves(
        self: &Arc<Self>,
        service: &Arc<str>,
        tasks: &mut JoinSet<()>,
    ) {
        let now_ms = clock::now_ms();
        let fences = {
            let mut state = self.state();
            let due = now_ms >= state.completed_recorded_ms + RECORD_COMPLETED_EVERY_MS;
            let completed_fences = state
                .completed_fences
                .get(service)
                .cloned()
                .unwrap_or_default();
            if !due || completed_fences.is_empty() {
                return;
            }
            state.completed_recorded_ms = now_ms;
            completed_fences
        };
        let term = self.clone();
        let service = service.clone();
        tasks.spawn(async move {
            let change = Change::CompleteMoves(fences.clone());
            if term.entry.record(&service, &change).await.is_err() {
                return;
            }
            if let Some(completed_fences) = term.state().completed_fences.get_mut(&service) {
                completed_fences.retain(|fence| !fences.contains(fence));
            }
        });
    }

    /// Starts planned moves of a service: records all of them as one change, then carries out each
    /// move independently of the others.
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
        let owner = |planned: &Move| assignment.assigned_range(planned.range.first).cloned();
        let owners = moves.iter().map(owner).collect();
        let term = self.clone();
        let service = service.clone();
        tasks.spawn(async move { term.run_moves(&service, &moves, owners).await });
    }

    pub(super) fn end_move(&self, service: &Arc<str>, range: KeyRange) {
        let mut state = self.state();
        state
            .moving
            .retain(|m| m.service != *service || m.range != range);
    }

    async fn run_moves(
        self: &Arc<Self>,
        service: &Arc<str>,
        moves: &[Move],
        owners: Vec<Option<AssignedRange>>,
    ) {
        let began_ms = clock::now_ms();
        let pairs = moves.iter().zip(&owners);
        let reassignments = pairs.map(|(planned, owner)| Reassignment {
            range: planned.range,
            server: planned.to.clone(),
            from: owner
                .as_ref()
                .map(|assigned_range| assigned_range.server.clone()),
        });
        let change = Change::Assign(reassignments.collect());
        let assigned_ranges = match self.entry.record(service, &change).await {
            Ok(assigned_ranges) => assigned_ranges,
            Err(failure) => {
                log::warn!("cannot record moves of {service}: {failure:?}");
                for planned in moves {
                    self.end_move(service, planned.range);
                }
                return;
            }
        };
        let mut finishing = JoinSet::new();
        for ((planned, owner), assigned_range) in moves.iter().zip(owners).zip(assigned_ranges) {
            if let Some(before) = owner {
                self.announce(service, &assigned_range, before.fence);
            }
            let term = self.clone();
            let service = service.clone();
            let cause = planned.cause;
            finishing.spawn(async move {
                term.complete_move(&service, &assigned_range, cause, began_ms)
                    .await;
                term.end_move(&service, assigned_range.range);
            });
        }
        finishing.join_all().await;
    }

    /// Announces to all hosts that the keys of an assigned range are being moved to the server of
    /// that range, and how long the move may take. A grant of the keys with a fence above
    /// `above_fence` completes the move.
    fn announce(&self, service: &Arc<str>, assigned_range: &AssignedRange, above_fence: u64) {
        let Some(from) = &assigned_range.from else {
            return;
        };
        let registry = self.entry.view.registry();
        let is_silent = {
            let state = self.state();
            let record = state.servers.get(from);
            record.is_some_and(|record| record.is_silent)
        };
        let answers = registry.server(from).is_some() && !is_silent || self.has_ended(from);
        let time_left = if answers {
            MoveTimeLeft {
                wait: MoveWait::Work,
                remaining_ms: RELEASE_TIMEOUT_MS,
            }
        } else {
            MoveTimeLeft {
                wait: MoveWait::Lease,
                remaining_ms: self.lease_end_ms(from).saturating_sub(clock::now_ms()),
            }
        };
        self.announce_time_left(service, assigned_range, above_fence, time_left);
    }

    fn announce_time_left(
        &self,
        service: &Arc<str>,
        assigned_range: &AssignedRange,
        above_fence: u64,
        time_left: MoveTimeLeft,
    ) {
        let move_announcement = MoveAnnouncement {
            range: assigned_range.range,
            above_fence,
            time_left,
        };
        self.entry.view.announce_move(service, move_announcement);
        let outbox = &self.entry.peers.outbox;
        outbox.announce_move(tag_of(service), move_announcement);
    }

    /// Marks the move of a range as waiting for a lease to expire. Returns false if the move was
    /// marked already or no move of the range is in progress.
    fn mark_waiting_for_lease(&self, range: KeyRange) -> bool {
        let mut state = self.state();
        let mut concerned = state.moving.iter_mut().filter(|m| m.range == range);
        concerned.any(|moving| !std::mem::replace(&mut moving.waits_for_lease, true))
    }

    /// Carries out a recorded move: the former server releases the keys, then the leader grants
    /// them to the new server. If the grant fails, the renewals of the new server's leases repeat
    /// the grant, or the planner chooses another server.
    async fn complete_move(
        &self,
        service: &Arc<str>,
        assigned_range: &AssignedRange,
        cause: &'static str,
        began_ms: u64,
    ) {
        let range = assigned_range.range;
        let mut handover = None;
        if let Some(from) = &assigned_range.from {
            let Some(token) = self.release_keys(service, assigned_range, from).await else {
                return;
            };
            handover = token;
        }
        let server = self
            .entry
            .view
            .registry()
            .server(&assigned_range.server)
            .cloned();
        if let Some(server) = server {
            let order = LeaseOrder {
                service,
                range,
                fence: assigned_range.fence,
                handover: handover.as_deref(),
            };
            self.grant(&server, order).await;
            self.entry
                .view
                .note_granted(service, assigned_range.clone());
            let outbox = &self.entry.peers.outbox;
            outbox.announce_grant(tag_of(service), assigned_range);
        }
        if assigned_range.from.is_some() {
            // The move counts as completed only after the grant, because renewals begin with the
            // completion. A renewal contains no handover token and must not arrive at the new
            // server before the grant that contains the token.
            let mut state = self.state();
            let completed_fences = state.completed_fences.entry(service.clone()).or_default();
            completed_fences.push(assigned_range.fence);
        }
        self.entry.metrics.moved();
        Event::Moved {
            service: service.clone(),
            range,
            from: assigned_range.from.clone(),
            to: assigned_range.server.clone(),
            fence: assigned_range.fence,
            cause,
            handover: handover.is_some(),
            took_ms: clock::now_ms() - began_ms,
        }
        .log();
    }

    /// Ensures that the server `id` no longer holds a range: waits until the server confirms the
    /// release, the last lease of the server has expired, another server responds at the last known
    /// address of the server, or the process of the server is found to have ended.
    ///
    /// Returns the handover token for the new server, or `Some(None)` if the former server returned
    /// no token. Returns `None` if this host may send no commands to servers, for example because
    /// its term has ended.
    async fn release_keys(
        &self,
        service: &Arc<str>,
        assigned_range: &AssignedRange,
        id: &Arc<str>,
    ) -> Option<Option<String>> {
        let AssignedRange { range, fence, .. } = *assigned_range;
        let registry = self.entry.view.registry();
        let server = registry.server(id).cloned();
        // A server whose entry is gone from the registry may still serve requests, so the leader
        // sends the release command to the last known address of the server on a new connection. If
        // another server responds at this address, the process of the former server has ended.
        let former = registry.former(id).cloned();
        let former_link = former.as_ref().map(|former| Link::new(former.address));
        let link = match (&server, &former, &former_link) {
            (Some(server), _, _) => Some((&server.orders, &server.entry.name)),
            (None, Some(former), Some(link)) => Some((link, &former.name)),
            _ => None,
        };
        let mut is_asked = server.is_none();
        loop {
            if !self.may_send_orders() {
                return None;
            }
            let free_ms = self.lease_end_ms(id);
            let now_ms = clock::now_ms();
            let former_server = FormerServer {
                has_ended: self.has_ended(id),
                lease_end_ms: free_ms,
                is_asked,
                has_address: link.is_some(),
            };
            is_asked |= now_ms >= free_ms;
            let timeout_ms = match former_server.next_step(now_ms) {
                MoveStep::Grant => return Some(None),
                MoveStep::Release { timeout_ms } => timeout_ms,
                MoveStep::Wait { wait_ms } => {
                    self.mark_waiting_for_lease(range);
                    self.wait_or_ended(id, wait_ms).await;
                    continue;
                }
            };
            let Some((link, name)) = link else {
                continue;
            };
            let order = Release {
                server: name,
                range,
                fence,
            };
            match release(link, order, timeout_ms).await {
                Ok(ReleaseOutcome::Ended { handover }) => {
                    self.entry.metrics.order("release", "ended");
                    self.state().suspects.note_answer(id);
                    return Some(handover);
                }
                Ok(ReleaseOutcome::OtherServer) => return Some(None),
                Err(error) => {
                    self.entry.metrics.order("release", "failed");
                    log::debug!("server {id} did not release its keys: {error}");
                    if let Some(server) = server.as_ref().filter(|_| error.is_refused()) {
                        self.suspect(server, "refused release");
                    }
                    if self.mark_waiting_for_lease(range) {
                        let time_left = MoveTimeLeft {
                            wait: MoveWait::Lease,
                            remaining_ms: self.lease_end_ms(id).saturating_sub(clock::now_ms()),
                        };
                        self.announce_time_left(service, assigned_range, fence - 1, time_left);
                    }
                    let pause_ms = 200.min(free_ms.saturating_sub(clock::now_ms()).max(1));
                    self.wait_or_ended(id, pause_ms).await;
                }
            }
        }
    }

    /// Returns the time after which the server `id` holds no lease: the last lease that this leader
    /// or an earlier leader may have granted to the server has expired.
    pub(super) fn lease_end_ms(&self, id: &Arc<str>) -> u64 {
        let now_ms = clock::now_ms();
        let own_ms = self
            .state()
            .servers
            .get(id)
            .map_or(0, |record| record.grants.last_ms(now_ms));
        let others_ms = self.entry.leadership.earlier_leases_until_ms();
        lease_expiry::lease_end_ms(own_ms, others_ms, self.entry.settings.leases.lease_ms)
    }
}

/// Sends a release command, and sends it again every [`RELEASE_RETRY_MS`] while no response
/// arrives. Returns the first response. The command is idempotent, so the server may receive it
/// several times.
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
            () = time::sleep(Duration::from_millis(RELEASE_RETRY_MS)),
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
