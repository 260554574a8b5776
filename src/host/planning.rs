//! Planning of moves: reads the loads from all hosts, plans moves for each service and commits
//! them.

use std::sync::Arc;

use tokio::task::JoinSet;

use super::{
    Host,
    controller::{Controller, ServicePlan},
};
use crate::{
    clock,
    id::{ServerKey, Slot},
    ownership::planner::{PlannedMove, PlannerInput, PlannerServer, PlannerSlot, plan},
    peer::message::{PeerReply, PeerRequest, SlotLoad},
    state::{Change, ServerState, ServiceEntry, SlotMove, State},
};

/// Number of moving slots of one service up to which the leader adds moves for balance. Moves of
/// slots without an eligible owner are not limited by this number.
const BALANCE_IN_FLIGHT_MAX: usize = 8;
/// Maximum number of slots in one change, which bounds the size of a row of the log.
const SLOTS_PER_CHANGE: usize = 2_000;
/// Interval in milliseconds at which the leader reads the loads of all hosts.
const READ_LOADS_MS: u64 = 2_000;
/// Timeout in milliseconds of the request to one host for its loads (numbers of requests by slot).
const LOADS_TIMEOUT_MS: u64 = 500;
/// Weight of the latest reading in the exponentially smoothed load.
const LOAD_SMOOTHING: f64 = 0.2;
/// Minimum number of smoothed requests of a service, over all slots, for balancing by load. With
/// fewer requests the loads are too uncertain, and every slot counts the same.
const LOAD_REQUESTS_MIN: f64 = 200.0;

impl Host {
    /// Plans moves for each service and commits them. Does nothing while neither the state nor the
    /// loads have changed since the last plan.
    pub(super) async fn plan_moves(self: &Arc<Self>, controller: &mut Controller) {
        let state = self.view.state();
        let planned_from = (state.revision, controller.loads_ms);
        if controller.planned == Some(planned_from) {
            return;
        }
        controller.planned = Some(planned_from);
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
                    log::debug!("cannot begin planned moves: {error}");
                    return;
                }
            }
        }
    }

    /// Reads the requests per slot from every host, and adds them to the smoothed loads.
    pub(super) async fn read_loads(self: &Arc<Self>, controller: &mut Controller) {
        let now_ms = clock::now_ms();
        if now_ms < controller.loads_ms + READ_LOADS_MS {
            return;
        }
        controller.loads_ms = now_ms;
        let mut calls = JoinSet::new();
        for (_, _, address) in self.other_hosts() {
            let peers = self.peers.clone();
            let request = PeerRequest::Loads;
            calls.spawn(async move { peers.call(address, &request, LOADS_TIMEOUT_MS).await });
        }
        let mut loads = self.traffic.take();
        while let Some(reply) = calls.join_next().await {
            if let Ok(Ok(PeerReply::Loads { loads: more })) = reply {
                loads.extend(more);
            }
        }
        controller.smooth(&self.view.state(), &loads);
    }
}

impl Controller {
    fn smooth(&mut self, state: &State, loads: &[SlotLoad]) {
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

/// Plans the moves of one service. If the service has fewer than [`LOAD_REQUESTS_MIN`] smoothed
/// requests, the load of all its slots is passed as 0, and the planner then counts every slot the
/// same.
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
    let too_few = total < LOAD_REQUESTS_MIN;
    let slots: Vec<PlannerSlot> = service
        .slots
        .iter()
        .enumerate()
        .map(|(index, slot)| PlannerSlot {
            owner: slot.next.or(slot.owner).map(|server| server.0),
            load: match loads {
                Some(loads) if !too_few => loads.get(index).copied().unwrap_or_default(),
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
    // The move of a slot whose owner is lost is planned at once, because the move waits until the
    // lease of that owner has expired.
    plan(input)
}
