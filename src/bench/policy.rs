//! Compares the planner with other policies for the placement of slots on the same generated days.

use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::day::{Day, EVENTS, Event, MINUTES, SLOTS};
use crate::{
    configuration::template::Weights,
    ownership::planner::{
        EXPECTED_HOLD_S, PlannerInput, PlannerServer, PlannerSlot, imbalance, plan,
    },
};

/// Number of servers of the generated days.
const SERVERS: usize = 10;
const SEED: u64 = 5;
/// Maximum load of a server under consistent hashing with bounded loads, relative to the mean load.
const LOAD_BOUND: f64 = 1.25;
/// Ratio of the highest load to the mean load above which a minute counts as imbalanced.
const HIGH_IMBALANCE: f64 = 1.25;
/// Weight of the latest observation in the exponentially smoothed load of a slot.
const SMOOTHING: f64 = 0.2;
/// Maximum number of moves per minute that the planner makes only for balance.
const MOVES_PER_MINUTE: usize = 64;
/// Time in seconds from the loss of a server until its keys are served again, as measured by the
/// demonstration.
const LOSS_S: f64 = 2.5;

/// Weights of the `drainage` example template, repeated here for the comparison of policies.
pub const DRAINAGE_WEIGHTS: Weights = Weights {
    imbalance: 1.0,
    churn: 2.4,
    unavailable: 1.0,
};
/// Weights of the `resort` example template, repeated here for the comparison of policies.
pub const RESORT_WEIGHTS: Weights = Weights {
    imbalance: 4.0,
    churn: 1.0,
    unavailable: 4.0,
};

/// Policy by which slots are placed on servers and moved between them.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    Planner(&'static str, Weights),
    Modulo,
    Rendezvous,
    BoundedLoads,
}

const POLICIES: [Policy; 5] = [
    Policy::Planner("planner, verband", DRAINAGE_WEIGHTS),
    Policy::Planner("planner, cartaneve", RESORT_WEIGHTS),
    Policy::Modulo,
    Policy::Rendezvous,
    Policy::BoundedLoads,
];

/// Balance, moves and unavailability of one policy on one generated day.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PolicyFigures {
    /// Scenario of the day on which the policy was measured.
    pub event: Event,
    /// Name of the policy, as printed in the table.
    pub policy: &'static str,
    /// Mean over the day of the imbalance, which is the highest load of a server divided by the
    /// mean load.
    pub imbalance_mean: f64,
    /// Fraction of the minutes of the day in which the highest load of a server was more than 1.25
    /// times the mean load.
    pub imbalanced_share: f64,
    /// Number of slots that the policy moved per hour, on average over the day, divided by the
    /// number of all slots.
    pub churn_per_h: f64,
    /// Number of moves of slots, divided by the number of slots that had to move because their
    /// owner became unavailable. `None` if no slot had to move.
    pub churn_ratio: Option<f64>,
    /// Seconds in which a key could not be served, summed over the day, per 1,000 keys.
    pub unavailable_s: f64,
}

/// Runs every policy on a generated day of every scenario, and returns the figures of each pair of
/// a policy and a scenario.
pub fn run() -> Vec<PolicyFigures> {
    let mut figures = Vec::new();
    for event in EVENTS {
        let day = Day::new(event, SERVERS, SEED);
        figures.extend(POLICIES.iter().map(|policy| run_day(&day, event, *policy)));
    }
    figures
}

fn run_day(day: &Day, event: Event, policy: Policy) -> PolicyFigures {
    let mut owners: Vec<Option<u32>> = vec![None; SLOTS];
    let (mut moved, mut forced_moves, mut lost) = (0_usize, 0_usize, 0_usize);
    let (mut sum, mut imbalanced_minutes) = (0.0, 0_usize);
    // The benchmark smooths observed loads as hosts smooth their load readings.
    let mut smoothed_loads: Vec<f64> = (0..SLOTS).map(|slot| day.observed(0, slot)).collect();
    for minute in 0..MINUTES {
        let servers = servers(day, minute);
        let before = owners.clone();
        for (slot, load) in smoothed_loads.iter_mut().enumerate() {
            *load += SMOOTHING * (day.observed(minute, slot) - *load);
        }
        place(policy, &smoothed_loads, &servers, &mut owners);
        if minute > 0 {
            let orphaned =
                |owner: &&Option<u32>| owner.is_some_and(|o| !servers[o as usize].eligible);
            let orphaned = before.iter().filter(orphaned).count();
            forced_moves += orphaned;
            lost += if event == Event::ZoneLoss {
                orphaned
            } else {
                0
            };
            moved += before.iter().zip(&owners).filter(|(b, o)| b != o).count();
        }
        let slots = slots(&owners, |slot| day.load(minute, slot));
        let value = imbalance(&servers, &slots);
        sum += value;
        imbalanced_minutes += usize::from(value > HIGH_IMBALANCE);
    }
    let hours = MINUTES as f64 / 60.0;
    let held = (moved - lost) as f64 * EXPECTED_HOLD_S + lost as f64 * LOSS_S;
    PolicyFigures {
        event,
        policy: policy.name(),
        imbalance_mean: sum / MINUTES as f64,
        imbalanced_share: imbalanced_minutes as f64 / MINUTES as f64,
        churn_per_h: moved as f64 / SLOTS as f64 / hours,
        churn_ratio: (forced_moves > 0).then(|| moved as f64 / forced_moves as f64),
        unavailable_s: held / SLOTS as f64 * 1_000.0,
    }
}

fn servers(day: &Day, minute: usize) -> Vec<PlannerServer> {
    let server = |index| PlannerServer {
        capacity: 4.0,
        eligible: day.is_up(minute, index),
    };
    (0..day.servers_max()).map(server).collect()
}

fn slots(owners: &[Option<u32>], load: impl Fn(usize) -> f64) -> Vec<PlannerSlot> {
    let slot = |(index, owner): (usize, &Option<u32>)| PlannerSlot {
        owner: *owner,
        load: load(index),
        moving: false,
    };
    owners.iter().enumerate().map(slot).collect()
}

fn place(
    policy: Policy,
    smoothed_loads: &[f64],
    servers: &[PlannerServer],
    owners: &mut [Option<u32>],
) {
    let up: Vec<u32> = (0..servers.len() as u32)
        .filter(|server| servers[*server as usize].eligible)
        .collect();
    match policy {
        Policy::Planner(_, weights) => {
            let slots = slots(owners, |slot| smoothed_loads[slot]);
            let moves = plan(PlannerInput {
                servers,
                slots: &slots,
                weights,
                balance_moves: MOVES_PER_MINUTE,
            });
            for planned in moves {
                owners[planned.slot as usize] = Some(planned.to);
            }
        }
        Policy::Modulo => {
            for (slot, owner) in owners.iter_mut().enumerate() {
                *owner = Some(up[slot % up.len()]);
            }
        }
        Policy::Rendezvous => {
            for (slot, owner) in owners.iter_mut().enumerate() {
                *owner = up
                    .iter()
                    .copied()
                    .max_by_key(|server| weight(*server, slot));
            }
        }
        Policy::BoundedLoads => place_bounded(smoothed_loads, &up, owners),
    }
}

/// Places slots by consistent hashing with bounded loads. For each slot, the servers are sorted by
/// a hash of the server and the slot. The slot goes to the first sorted server whose load stays
/// within the bound ([`LOAD_BOUND`]), or to the first sorted server if the slot would take every
/// server above the bound.
fn place_bounded(smoothed_loads: &[f64], up: &[u32], owners: &mut [Option<u32>]) {
    let total: f64 = smoothed_loads.iter().sum();
    let load_max = total / up.len() as f64 * LOAD_BOUND;
    let mut loads = vec![0.0; up.len()];
    for (slot, owner) in owners.iter_mut().enumerate() {
        let load = smoothed_loads[slot];
        let mut order: Vec<usize> = (0..up.len()).collect();
        order.sort_by_key(|index| std::cmp::Reverse(weight(up[*index], slot)));
        let fits = order
            .iter()
            .copied()
            .find(|index| loads[*index] + load <= load_max);
        let chosen = fits.unwrap_or(order[0]);
        loads[chosen] += load;
        *owner = Some(up[chosen]);
    }
}

fn weight(server: u32, slot: usize) -> u64 {
    xxh3_64_with_seed(&server.to_le_bytes(), slot as u64)
}

impl Policy {
    fn name(self) -> &'static str {
        match self {
            Self::Planner(name, _) => name,
            Self::Modulo => "modulo hashing",
            Self::Rendezvous => "rendezvous hashing",
            Self::BoundedLoads => "bounded loads 1.25",
        }
    }
}
