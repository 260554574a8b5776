//! Begins planned moves and carries them to their end. Every step is read from the state and can
//! be repeated, so any leader can finish what another began.

use std::{sync::Arc, time::Duration};

use snafu::Snafu;
use tokio::{sync::mpsc::UnboundedSender, time};

use super::{
    Host,
    commit::CommitError,
    controller::{Controller, Done, ServicePlan},
};
use crate::{
    clock,
    id::{ServerKey, Slot},
    ownership::{
        message::{
            LEASE_PATH, LeaseAnswer, LeaseRequest, REVOKE_PATH, RevokeAnswer, RevokeRequest,
            SlotGrant,
        },
        moves::{MoveGroup, is_live, next_grants, ready_groups},
        planner::{PlannedMove, PlannerInput, PlannerServer, PlannerSlot, plan},
    },
    state::{Change, MoveDone, ServerEntry, ServerState, ServiceEntry, SlotMove, State},
    transport::{CallError, JsonClient},
};

/// Slots of one service that move for balance at a time.
const BALANCE_IN_FLIGHT_MAX: usize = 8;
/// Slots in one change, which keeps a row of the log small.
const SLOTS_PER_CHANGE: usize = 2_000;
const RETRY_MS: u64 = 50;
const READ_LOADS_MS: u64 = 2_000;
const LOADS_TIMEOUT_MS: u64 = 500;
/// Weight of the latest reading in the smoothed load.
const LOAD_SMOOTHING: f64 = 0.2;
/// Requests in one reading below which loads are too thin to balance on.
const LOAD_REQUESTS_MIN: f64 = 200.0;

/// Why a move did not come to its end yet.
#[derive(Debug, Snafu)]
enum MoveError {
    #[snafu(display("the old owner does not answer: {source}"))]
    Revoke { source: CallError },
    #[snafu(display("the old owner has not given the slots up"))]
    NotReleased,
    #[snafu(display("the new owner does not answer: {source}"))]
    Grant { source: CallError },
    #[snafu(display("the new owner refused"))]
    NotGranted,
    #[snafu(display("{source}"))]
    Commit { source: CommitError },
    #[snafu(display("the state has changed"))]
    Changed,
}

impl Host {
    /// Starts a task for each group of moving slots that has none.
    pub(super) fn drive_moves(
        self: &Arc<Self>,
        controller: &mut Controller,
        done: &UnboundedSender<Done>,
    ) {
        let state = self.view.state();
        for (group, slots) in ready_groups(&state) {
            if !controller.moving.insert(group) {
                continue;
            }
            let host = self.clone();
            let state = state.clone();
            let done = done.clone();
            tokio::spawn(async move {
                let moved = host.carry_out(&state, group, &slots).await;
                if let Err(error) = moved {
                    log::warn!(service = group.service.0 as u64; "a move waits: {error}");
                    time::sleep(Duration::from_millis(RETRY_MS)).await;
                }
                let _ = done.send(Done::Moved(group));
            });
        }
    }

    async fn carry_out(
        self: &Arc<Self>,
        state: &State,
        group: MoveGroup,
        slots: &[MoveDone],
    ) -> Result<(), MoveError> {
        let service = state.service(group.service).ok_or(MoveError::Changed)?;
        let grants = next_grants(service, slots);
        if let Some(from) = group.from {
            let from = state.server(from).ok_or(MoveError::Changed)?;
            self.revoke(from, &grants).await?;
        }
        let to = state.server(group.to).ok_or(MoveError::Changed)?;
        self.grant(group.to, to, grants).await?;
        let change = Change::MovesCompleted {
            service: group.service,
            done: slots.to_vec(),
        };
        let committed = self.commit_own(change).await;
        committed.map_err(|source| MoveError::Commit { source })
    }

    async fn revoke(&self, from: &ServerEntry, grants: &[SlotGrant]) -> Result<(), MoveError> {
        let drain_ms = self.settings.ownership.drain_ms;
        let order = RevokeRequest {
            incarnation: from.incarnation,
            slots: grants.to_vec(),
            drain_ms,
        };
        let client = JsonClient::new(drain_ms + super::renew::ORDER_TIMEOUT_MS);
        let answer: RevokeAnswer = client
            .post(from.address, REVOKE_PATH, &order)
            .await
            .map_err(|source| MoveError::Revoke { source })?;
        if !answer.released {
            return Err(MoveError::NotReleased);
        }
        Ok(())
    }

    /// Gives grants to the new owner. The grants are fenced by their epochs and the lease by its
    /// renewals, so this order extends no lease.
    async fn grant(
        &self,
        key: ServerKey,
        to: &ServerEntry,
        grants: Vec<SlotGrant>,
    ) -> Result<(), MoveError> {
        let order = LeaseRequest {
            incarnation: Some(to.incarnation),
            lease_epoch: to.lease_epoch,
            not_after_ms: 0,
            grants,
        };
        // A host that is not fresh must not order anything.
        let state = self.view.state();
        if !self.view.fresh() || !is_live(&state, key) {
            return Err(MoveError::Changed);
        }
        let answer: LeaseAnswer = self
            .servers
            .post(to.address, LEASE_PATH, &order)
            .await
            .map_err(|source| MoveError::Grant { source })?;
        if !answer.accepted {
            return Err(MoveError::NotGranted);
        }
        Ok(())
    }

    /// Plans each service and records the moves.
    pub(super) async fn begin_moves(self: &Arc<Self>, controller: &mut Controller) {
        let state = self.view.state();
        let basis = (state.revision, controller.loads_ms);
        if controller.planned == Some(basis) {
            return;
        }
        controller.planned = Some(basis);
        for planned in plans(&state, controller) {
            let moves: Vec<SlotMove> = planned
                .moves
                .iter()
                .map(|planned_move| {
                    let slot = Slot(planned_move.slot);
                    SlotMove {
                        slot,
                        to: ServerKey(planned_move.to),
                        epoch: state.next_epoch(planned.service, slot),
                    }
                })
                .collect();
            for chunk in moves.chunks(SLOTS_PER_CHANGE) {
                let change = Change::MovesBegun {
                    service: planned.service,
                    moves: chunk.to_vec(),
                };
                if let Err(error) = self.commit_own(change).await {
                    log::debug!("moves were not begun: {error}");
                    return;
                }
            }
        }
    }

    /// Reads every host's loads and smooths them.
    pub(super) async fn read_loads(self: &Arc<Self>, controller: &mut Controller) {
        let now_ms = clock::now_ms();
        if now_ms < controller.loads_ms + READ_LOADS_MS {
            return;
        }
        controller.loads_ms = now_ms;
        let mut calls = tokio::task::JoinSet::new();
        for (_, _, address) in self.other_hosts() {
            let peers = self.peers.clone();
            let request = crate::peer::message::PeerRequest::Loads;
            calls.spawn(async move { peers.call(address, &request, LOADS_TIMEOUT_MS).await });
        }
        let mut loads = self.traffic.take();
        while let Some(reply) = calls.join_next().await {
            if let Ok(Ok(crate::peer::message::PeerReply::Loads { loads: more })) = reply {
                loads.extend(more);
            }
        }
        controller.smooth(&self.view.state(), &loads);
    }
}

impl Controller {
    fn smooth(&mut self, state: &State, loads: &[crate::peer::message::SlotLoad]) {
        self.loads.resize(state.services.len(), Vec::new());
        for (smoothed, service) in self.loads.iter_mut().zip(&state.services) {
            smoothed.resize(service.slots.len(), 0.0);
            for load in smoothed.iter_mut() {
                *load *= 1.0 - LOAD_SMOOTHING;
            }
        }
        for load in loads {
            let smoothed = self.loads.get_mut(load.service.0 as usize);
            let smoothed = smoothed.and_then(|s| s.get_mut(load.slot.0 as usize));
            if let Some(smoothed) = smoothed {
                *smoothed += LOAD_SMOOTHING * f64::from(load.requests);
            }
        }
    }
}

fn plans(state: &State, controller: &Controller) -> Vec<ServicePlan> {
    let mut plans = Vec::new();
    for (service, entry) in state.active_services() {
        let loads = controller.loads.get(service.0 as usize);
        let moves = plan_service(state, entry, loads.map(Vec::as_slice));
        if !moves.is_empty() {
            plans.push(ServicePlan { service, moves });
        }
    }
    plans
}

fn plan_service(state: &State, service: &ServiceEntry, loads: Option<&[f64]>) -> Vec<PlannedMove> {
    let capacity = service.spec.server_slots as f64;
    let servers: Vec<PlannerServer> = state
        .server_entries()
        .map(|(key, entry)| PlannerServer {
            capacity,
            eligible: entry.state == ServerState::Live
                && !entry.draining
                && service.targets.contains(&key),
        })
        .collect();
    let total: f64 = loads.map(|loads| loads.iter().sum()).unwrap_or_default();
    let thin = total < LOAD_REQUESTS_MIN;
    let slots: Vec<PlannerSlot> = service
        .slots
        .iter()
        .enumerate()
        .map(|(index, slot)| PlannerSlot {
            owner: slot.next.or(slot.owner).map(|server| server.0),
            load: match loads {
                Some(loads) if !thin => loads.get(index).copied().unwrap_or_default(),
                _ => 0.0,
            },
            moving: slot.next.is_some(),
        })
        .collect();
    let in_flight = slots.iter().filter(|slot| slot.moving).count();
    let input = PlannerInput {
        servers: &servers,
        slots: &slots,
        weights: service.spec.weights,
        balance_moves: BALANCE_IN_FLIGHT_MAX.saturating_sub(in_flight),
    };
    // A slot whose owner is lost is planned at once: its move waits for the lapse anyway.
    plan(input)
}
