//! Moves of keys between servers. The leader records a move in the store, orders the former server
//! to release the keys, grants the keys to the new server, and records the completion of the move.

use std::sync::Arc;

use tokio::task::JoinSet;

use super::{Term, renewal::LeaseOrder};
use crate::{
    clock,
    entry::{
        decide::{
            hold::{MoveTimeLeft, MoveWait},
            lease_expiry::{self, RELEASE_TIMEOUT_MS},
            plan::Move,
        },
        events::LeadershipEvent,
        keys::{AssignedRange, Assignment, KeyRange},
        leadership::{Change, Reassignment},
        tag::tag_of,
        updates::announcement::MoveAnnouncement,
    },
};

/// Minimum interval between two writes by which the leader records the completion of moves. One
/// write covers all moves of a service that were completed since the last write.
const RECORD_COMPLETED_EVERY_MS: u64 = 1_000;
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

    pub(super) fn announce_time_left(
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
    pub(super) fn mark_waiting_for_lease(&self, range: KeyRange) -> bool {
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
        LeadershipEvent::Moved {
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
