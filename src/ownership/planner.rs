//! Planner: decides which slots move to which server. It has no state and does no I/O: a plan
//! depends only on the loads, servers and weights.
//!
//! Let `x` be the load per capacity of a server divided by the mean, minus one. The cost of a plan
//! is `imbalance * sum(x * x) + churn * keys moved + unavailable * load held up`, where `load held
//! up` is the load of the requests that wait while their slots move. A move is made only if it
//! lowers this cost. Slots without an eligible owner are placed at any cost.

use std::{cmp::Ordering, collections::BinaryHeap};

use crate::configuration::template::Weights;

/// Expected time in seconds for which requests of a moving slot wait. A longer time makes a move
/// more costly.
pub const EXPECTED_HOLD_S: f64 = 0.02;

/// Server in the input of the planner: its capacity, and whether it may own slots.
#[derive(Clone, Copy, Debug)]
pub struct PlannerServer {
    /// Number of requests that the server can run at a time. The planner aims at the same load per
    /// capacity on all servers.
    pub capacity: f64,
    /// False if the server must not own slots; its slots are then moved away.
    pub eligible: bool,
}

/// Slot in the input of the planner: its owner and load.
#[derive(Clone, Copy, Debug)]
pub struct PlannerSlot {
    /// Index of the owner in [`PlannerInput::servers`]; `None` if no server owns the slot.
    pub owner: Option<u32>,
    /// Smoothed load of the slot; only its proportion to the loads of the other slots matters.
    pub load: f64,
    /// True while the slot is being moved. `owner` is then the next owner, for which the load of
    /// the slot counts.
    pub moving: bool,
}

/// Servers, slots and weights from which the planner computes a plan.
#[derive(Clone, Copy, Debug)]
pub struct PlannerInput<'a> {
    /// Servers; owners and targets of moves are indices into this slice.
    pub servers: &'a [PlannerServer],
    /// All slots of one service; the index is the slot number.
    pub slots: &'a [PlannerSlot],
    /// Weights of the cost function, from the template of the service.
    pub weights: Weights,
    /// Maximum number of moves that are made only for balance.
    pub balance_moves: usize,
}

/// Reason why a move was planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveCause {
    /// The slot has no eligible owner, so it is moved whatever the cost.
    Orphaned,
    /// The owner is eligible, but the move lowers the cost of the plan.
    Balance,
}

/// One move of the plan: a slot and the server that it moves to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedMove {
    /// Index of the slot in [`PlannerInput::slots`].
    pub slot: u32,
    /// Index of the next owner in [`PlannerInput::servers`].
    pub to: u32,
    /// Reason of the move: the owner must be replaced, or the balance improves.
    pub cause: MoveCause,
    /// Amount by which the move lowers the cost; 0 for an orphaned slot.
    pub gain: f64,
}

/// Entry of a max-heap of servers, ordered by `key`. Of two entries with equal keys, the one with
/// the lower server index comes first.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RankedServer {
    key: f64,
    server: u32,
}

impl Eq for RankedServer {}

impl PartialOrd for RankedServer {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for RankedServer {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_key = self.key.total_cmp(&other.key);
        by_key.then(other.server.cmp(&self.server))
    }
}

struct Plan<'a> {
    input: PlannerInput<'a>,
    loads: Vec<f64>,
    least: BinaryHeap<RankedServer>,
    moves: Vec<PlannedMove>,
    mean: f64,
    slot_load: f64,
    keys_per_move: f64,
}

/// Plans moves of slots. Returns an empty plan if no move lowers the cost and no slot lacks an
/// eligible owner.
pub fn plan(input: PlannerInput<'_>) -> Vec<PlannedMove> {
    let Some(mut plan) = Plan::new(input) else {
        return Vec::new();
    };
    plan.place_orphans();
    plan.balance();
    plan.moves
}

/// Returns the highest load per capacity among the eligible servers, divided by their mean load per
/// capacity. Returns 1 if these servers have no capacity or no load.
pub fn imbalance(servers: &[PlannerServer], slots: &[PlannerSlot]) -> f64 {
    let mut loads = vec![0.0; servers.len()];
    for slot in slots {
        if let Some(owner) = slot.owner {
            loads[owner as usize] += slot.load;
        }
    }
    let eligible = || servers.iter().zip(&loads).filter(|(s, _)| s.eligible);
    let capacity: f64 = eligible().map(|(server, _)| server.capacity).sum();
    let total: f64 = eligible().map(|(_, load)| load).sum();
    if capacity <= 0.0 || total <= 0.0 {
        return 1.0;
    }
    let mean = total / capacity;
    let peak = eligible()
        .map(|(server, load)| load / server.capacity)
        .fold(0.0, f64::max);
    peak / mean
}

impl<'a> Plan<'a> {
    fn new(input: PlannerInput<'a>) -> Option<Self> {
        let capacity: f64 = input
            .servers
            .iter()
            .filter(|server| server.eligible)
            .map(|server| server.capacity)
            .sum();
        if capacity <= 0.0 {
            return None;
        }
        let eligible = input.servers.iter().filter(|s| s.eligible).count();
        let total: f64 = input.slots.iter().map(|slot| slot.load).sum();
        // Before any load has been measured, every slot counts the same.
        let slot_load = if total > 0.0 { 0.0 } else { 1.0 };
        let total = total + slot_load * input.slots.len() as f64;
        let mut loads = vec![0.0; input.servers.len()];
        for slot in input.slots {
            if let Some(owner) = slot.owner {
                loads[owner as usize] += slot.load + slot_load;
            }
        }
        let mut plan = Self {
            input,
            loads,
            least: BinaryHeap::new(),
            moves: Vec::new(),
            mean: total / capacity,
            slot_load,
            keys_per_move: eligible as f64 / input.slots.len().max(1) as f64,
        };
        for server in 0..input.servers.len() as u32 {
            plan.rank_least(server);
        }
        Some(plan)
    }

    fn load(&self, slot: u32) -> f64 {
        self.input.slots[slot as usize].load + self.slot_load
    }

    fn eligible(&self, server: u32) -> bool {
        self.input.servers[server as usize].eligible
    }

    /// Returns the load per capacity of `server` with `extra` load added, divided by the mean load
    /// per capacity, minus one.
    fn excess(&self, server: u32, extra: f64) -> f64 {
        let capacity = self.input.servers[server as usize].capacity;
        (self.loads[server as usize] + extra) / capacity / self.mean - 1.0
    }

    fn rank_least(&mut self, server: u32) {
        if self.eligible(server) {
            let key = -self.excess(server, 0.0);
            self.least.push(RankedServer { key, server });
        }
    }

    /// Returns the eligible server with the lowest load per capacity.
    fn least_loaded(&mut self) -> Option<u32> {
        while let Some(top) = self.least.peek().copied() {
            if top.key == -self.excess(top.server, 0.0) {
                return Some(top.server);
            }
            self.least.pop();
        }
        None
    }

    fn place_orphans(&mut self) {
        let mut orphans: Vec<u32> = (0..self.input.slots.len() as u32)
            .filter(|index| self.is_orphan(*index))
            .collect();
        orphans.sort_by(|a, b| self.load(*b).total_cmp(&self.load(*a)).then(a.cmp(b)));
        for slot in orphans {
            let Some(to) = self.least_loaded() else {
                return;
            };
            self.push(slot, to, MoveCause::Orphaned, 0.0);
        }
    }

    fn is_orphan(&self, slot: u32) -> bool {
        let slot = &self.input.slots[slot as usize];
        let owned = slot.owner.is_some_and(|owner| self.eligible(owner));
        !slot.moving && !owned
    }

    fn push(&mut self, slot: u32, to: u32, cause: MoveCause, gain: f64) {
        let load = self.load(slot);
        if let Some(from) = self.input.slots[slot as usize].owner {
            self.loads[from as usize] -= load;
            self.rank_least(from);
        }
        self.loads[to as usize] += load;
        self.rank_least(to);
        self.moves.push(PlannedMove {
            slot,
            to,
            cause,
            gain,
        });
    }

    fn balance(&mut self) {
        let mut owned = self.slots_by_owner();
        let mut most: BinaryHeap<RankedServer> = (0..self.input.servers.len() as u32)
            .filter(|server| self.eligible(*server))
            .map(|server| RankedServer {
                key: self.excess(server, 0.0),
                server,
            })
            .collect();
        let mut left = self.input.balance_moves;
        while left > 0 {
            let Some(top) = most.pop() else { return };
            let from = top.server;
            let Some(to) = self.least_loaded() else {
                return;
            };
            let Some((position, gain)) = self.best_slot(&owned[from as usize], from, to) else {
                // No move from this server lowers the cost; the next server may own smaller slots.
                continue;
            };
            let slot = owned[from as usize].remove(position);
            self.push(slot, to, MoveCause::Balance, gain);
            left -= 1;
            let key = self.excess(from, 0.0);
            most.push(RankedServer { key, server: from });
        }
    }

    /// Returns the movable slots of each server, lowest load first.
    fn slots_by_owner(&self) -> Vec<Vec<u32>> {
        let mut owned = vec![Vec::new(); self.input.servers.len()];
        for (index, slot) in self.input.slots.iter().enumerate() {
            let Some(owner) = slot.owner else { continue };
            if !slot.moving && self.eligible(owner) {
                owned[owner as usize].push(index as u32);
            }
        }
        for slots in &mut owned {
            slots.sort_by(|a, b| self.load(*a).total_cmp(&self.load(*b)));
        }
        owned
    }

    /// Returns the position in `slots` and the gain of the better of two moves from `from` to `to`.
    /// The candidates are the two slots whose loads are next below and next above the load that
    /// would make both servers equally loaded. `None` if neither move lowers the cost.
    fn best_slot(&self, slots: &[u32], from: u32, to: u32) -> Option<(usize, f64)> {
        if from == to || slots.is_empty() {
            return None;
        }
        let capacity = self.input.servers[from as usize].capacity;
        let spread = self.excess(from, 0.0) - self.excess(to, 0.0);
        let ideal = spread / 2.0 * self.mean * capacity;
        let above = slots.partition_point(|slot| self.load(*slot) <= ideal);
        let candidates = [above.checked_sub(1), Some(above)];
        candidates
            .into_iter()
            .flatten()
            .filter(|position| *position < slots.len())
            .map(|position| (position, self.gain(slots[position], from, to)))
            .filter(|(_, gain)| *gain > 0.0)
            .max_by(|a, b| a.1.total_cmp(&b.1))
    }

    fn gain(&self, slot: u32, from: u32, to: u32) -> f64 {
        let weights = self.input.weights;
        let load = self.load(slot);
        let square = |server, extra| self.excess(server, extra).powi(2);
        let before = square(from, 0.0) + square(to, 0.0);
        let after = square(from, -load) + square(to, load);
        let held = load / (self.mean * self.input.servers[from as usize].capacity);
        weights.imbalance * (before - after)
            - weights.churn * self.keys_per_move
            - weights.unavailable * held * EXPECTED_HOLD_S
    }
}
