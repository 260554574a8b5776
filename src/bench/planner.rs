//! Measures the time and memory of the planner and the state, by the number of slots and servers.

use std::{sync::Arc, time::Instant};

use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;

use super::process;
use crate::{
    configuration::template::Weights,
    id::{Incarnation, ServerKey, ServiceKey, Slot},
    ownership::planner::{PlannerInput, PlannerServer, PlannerSlot, plan},
    state::{Change, CompletedMove, Snapshot, State},
};

/// Sizes to measure, as pairs of a number of slots and a number of servers.
const SIZES: [(u32, u32); 4] = [
    (10_000, 40),
    (50_000, 200),
    (250_000, 1_000),
    (1_000_000, 4_000),
];
const SEED: u64 = 3;
/// Maximum number of servers that a workspace of the generated template may list.
const TARGETS_PER_DOCUMENT: u32 = 4_000;

/// Times and memory of the planner and the state, measured with one pair of a number of slots and a
/// number of servers.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct SizeFigures {
    /// Number of slots of the measured service.
    pub slots: u32,
    /// Number of servers over which the slots are placed.
    pub servers: u32,
    /// Time in milliseconds that the planner takes to place all slots for the first time.
    pub place_ms: f64,
    /// Time in milliseconds that the planner takes to plan the moves after the loss of one server
    /// that owned slots.
    pub loss_ms: f64,
    /// Time in milliseconds that the planner takes when every slot has an owner and no server was
    /// lost.
    pub idle_ms: f64,
    /// Memory in bytes of the state, divided by the number of slots.
    pub state_bytes_per_slot: f64,
    /// Size in bytes of the encoded snapshot, divided by the number of slots.
    pub snapshot_bytes_per_slot: f64,
    /// Time in milliseconds that the state takes to apply the completion of one slot's move.
    pub apply_ms: f64,
}

/// Measures the planner and the state for each of the fixed sizes, the smallest size first.
pub fn run() -> Vec<SizeFigures> {
    SIZES
        .iter()
        .map(|(slots, servers)| measure(*slots, *servers))
        .collect()
}

fn measure(slots: u32, servers: u32) -> SizeFigures {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut planner_servers: Vec<PlannerServer> = (0..servers)
        .map(|_| PlannerServer {
            capacity: 4.0,
            eligible: true,
        })
        .collect();
    let mut planner_slots: Vec<PlannerSlot> = (0..slots)
        .map(|_| PlannerSlot {
            owner: None,
            load: rng.random_range(0.5..1.5),
            moving: false,
        })
        .collect();
    let place_ms = timed_plan(&planner_servers, &mut planner_slots);
    let idle_ms = timed_plan(&planner_servers, &mut planner_slots);
    planner_servers[0].eligible = false;
    let loss_ms = timed_plan(&planner_servers, &mut planner_slots);
    let state = measure_state(slots, servers);
    SizeFigures {
        slots,
        servers,
        place_ms,
        loss_ms,
        idle_ms,
        ..state
    }
}

/// Plans the moves of the slots and applies them to the owners in `slots`. Returns the time in
/// milliseconds that the planner took.
fn timed_plan(servers: &[PlannerServer], slots: &mut [PlannerSlot]) -> f64 {
    let input = PlannerInput {
        servers,
        slots,
        weights: Weights::default(),
        balance_moves: 1_000,
    };
    let start = Instant::now();
    let moves = plan(input);
    let took_ms = start.elapsed().as_secs_f64() * 1_000.0;
    for planned in moves {
        slots[planned.slot as usize].owner = Some(planned.to);
    }
    took_ms
}

fn measure_state(slots: u32, servers: u32) -> SizeFigures {
    let before = process::resident_bytes();
    let state = build_state(slots, servers);
    let held = process::resident_bytes().saturating_sub(before);
    let snapshot = Snapshot::encode(&state).map_or(0, |snapshot| snapshot.body.len());
    SizeFigures {
        slots,
        servers,
        place_ms: 0.0,
        loss_ms: 0.0,
        idle_ms: 0.0,
        state_bytes_per_slot: held as f64 / f64::from(slots),
        snapshot_bytes_per_slot: snapshot as f64 / f64::from(slots),
        apply_ms: timed_apply(&state),
    }
}

/// Builds a state whose slots are assigned to the servers in turn.
fn build_state(slots: u32, servers: u32) -> State {
    let mut state = State::default();
    let template = format!(
        "template: t\nparameters: [{{ name: targets, type: targets, max: {TARGETS_PER_DOCUMENT} }}]\n\
         services:\n  - {{ name: s, targets: targets, key: {{ path: 0 }}, slots: {slots}, \
         server_slots: 4, server_connections: 130 }}\n"
    );
    apply(&mut state, Change::TemplateSubmitted { document: template });
    let mut workspace = "workspace: w\ntemplate: t\nparameters:\n  targets:\n".to_owned();
    for server in 0..servers {
        let (high, low) = (server / 250, server % 250 + 1);
        workspace +=
            &format!("    - {{ address: '10.0.{high}.{low}:80', availability_zone: zone-a }}\n");
    }
    apply(
        &mut state,
        Change::WorkspaceSubmitted {
            document: workspace,
        },
    );
    for server in (0..servers).map(ServerKey) {
        let incarnation = Incarnation(u64::from(server.0) + 1);
        apply(
            &mut state,
            Change::ServerJoined {
                server,
                incarnation,
            },
        );
    }
    let service = Arc::make_mut(&mut state.services[0]);
    for (index, slot) in service.slots.iter_mut().enumerate() {
        slot.owner = Some(ServerKey(index as u32 % servers));
        slot.epoch.0 = 1;
    }
    state
}

/// Returns the time in milliseconds that the state takes to apply the completion of one move.
fn timed_apply(state: &State) -> f64 {
    let mut state = state.clone();
    let service = ServiceKey(0);
    let slot = Slot(0);
    let epoch = state.next_epoch(service, slot);
    let moves = vec![crate::state::SlotMove {
        slot,
        to: ServerKey(1),
        epoch,
    }];
    apply(&mut state, Change::MovesBegun { service, moves });
    // Keeps a reference to the old state, as readers on a host do, so that the change has to copy
    // the slots of the service.
    let held = state.clone();
    let start = Instant::now();
    let done = vec![CompletedMove { slot, epoch }];
    apply(&mut state, Change::MovesCompleted { service, done });
    let took = start.elapsed();
    drop(held);
    took.as_secs_f64() * 1_000.0
}

fn apply(state: &mut State, change: Change) {
    if let Err(error) = state.apply_dry_run(change) {
        log::error!("a change to the measured state was refused: {error}");
    }
}
