//! Plans which keys of a service are moved to which servers, as a pure function of the assigned
//! ranges, the servers and the loads of the keys.

mod balance;
mod hot;
mod unowned;

use std::{collections::HashMap, sync::Arc};

use super::{
    Policy,
    key_loads::{KEYS, KeyLoads},
};
use crate::entry::keys::{AssignedRange, Assignment, KeyRange};

/// A server to which keys may be assigned, with its capacity as the planner assumes it.
#[derive(Clone, Debug)]
pub struct PlanServer {
    /// Incarnation id of the server, by which assigned ranges name the server.
    pub id: Arc<str>,
    /// Requests per second that the server can run within its advertised rate limit.
    pub capacity_per_s: f64,
    /// Requests per second that the server could run without a rate limit.
    pub unlimited_per_s: f64,
}

/// A planned move of a key range to another server. The caller of [`plan`] records the move in the
/// store and carries it out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Keys that are moved; both ends of the range are included.
    pub range: KeyRange,
    /// Incarnation id of the server to which the keys are moved.
    pub to: Arc<str>,
    /// Reason for the move, for the log: "no server" (the keys had no usable server), "hot key",
    /// "joined" (the new server had no keys) or "balance".
    pub cause: &'static str,
}

/// Inputs of the planner for one service.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// Current assignment of the service's keys to servers.
    pub assignment: &'a Assignment,
    /// Servers to which keys may be assigned. The assigned ranges of all other servers are
    /// reassigned to these.
    pub servers: &'a [PlanServer],
    /// Measured requests per second by key.
    pub loads: &'a KeyLoads,
    /// Ranges of keys that are already being moved; no other move is planned for these keys.
    pub moving: &'a [KeyRange],
    /// Maximum number of servers without keys to which one plan moves keys. Moves that balance the
    /// load are planned only until the plan has this number of moves of any kind.
    pub balance_moves_max: usize,
    /// Hot keys: keys that get more requests than their server can serve.
    pub hot: &'a [u16],
    /// Thresholds for hot keys and balance.
    pub policy: &'a Policy,
}

/// Plan for one service while it is being made.
struct Plan<'a> {
    inputs: Inputs<'a>,
    /// Hot keys, each with the server to which the key is assigned after the planned moves.
    hot: Vec<(u16, Arc<str>)>,
    /// Load of each server in [`Inputs::servers`], in requests per second, after the planned moves.
    /// The load of hot keys beyond the capacity of their servers is left out.
    used: HashMap<Arc<str>, f64>,
    /// Assigned ranges, without the keys of planned moves between servers.
    assigned_ranges: Vec<AssignedRange>,
    moves: Vec<Move>,
}

/// Plans the moves for one service: first the moves of keys without a usable server (a server of
/// [`Inputs::servers`]), then the moves of hot keys, the moves to servers without keys, and the
/// moves that balance the load. Returns no moves if there are no servers.
pub fn plan(inputs: Inputs<'_>) -> Vec<Move> {
    if inputs.servers.is_empty() {
        return Vec::new();
    }
    let mut plan = Plan::new(inputs);
    plan.assign_unowned_keys();
    plan.move_hot_keys();
    plan.fill_idle_servers();
    plan.balance();
    plan.moves
}

impl<'a> Plan<'a> {
    fn new(inputs: Inputs<'a>) -> Self {
        let mut used: HashMap<Arc<str>, f64> =
            inputs.servers.iter().map(|s| (s.id.clone(), 0.0)).collect();
        let assigned_ranges = inputs.assignment.assigned_ranges.clone();
        for assigned_range in &assigned_ranges {
            let load = inputs.loads.of(assigned_range.range);
            if let Some(used) = used.get_mut(&assigned_range.server) {
                *used += load;
            }
        }
        let mut plan = Self {
            inputs,
            hot: Vec::new(),
            used,
            assigned_ranges,
            moves: Vec::new(),
        };
        plan.add_hot_keys();
        plan
    }

    /// Returns the capacity of a server in requests per second, at least 0.1 so that the result can
    /// be a divisor; 1 for an unknown server.
    fn capacity(&self, id: &str) -> f64 {
        let servers = self.inputs.servers.iter();
        let found = servers.into_iter().find(|server| *server.id == *id);
        found.map_or(1.0, |server| server.capacity_per_s.max(0.1))
    }

    /// Returns the load of a server after the planned moves, as a fraction of the server's
    /// capacity.
    fn utilisation(&self, server: &PlanServer) -> f64 {
        self.used[&server.id] / server.capacity_per_s.max(0.1)
    }

    /// Returns the load of all servers as a fraction of the total capacity of the servers.
    fn mean_utilisation(&self) -> f64 {
        let capacity: f64 = self.inputs.servers.iter().map(|s| s.capacity_per_s).sum();
        // Hosts refuse the requests for hot keys that no server can serve, so these requests are
        // not counted.
        let excess: f64 = self.hot.iter().map(|hot| self.hot_excess(hot)).sum();
        let load = self.inputs.loads.of(KeyRange::ALL) - excess;
        load / capacity.max(0.1)
    }

    /// Returns the server with the lowest utilisation after the planned moves.
    fn least_used(&self) -> Arc<str> {
        let servers = self.inputs.servers.iter();
        let least = servers.min_by(|a, b| self.utilisation(a).total_cmp(&self.utilisation(b)));
        least.map_or_else(|| "".into(), |server| server.id.clone())
    }

    /// Returns true if any key of the range is already being moved.
    fn is_moving(&self, range: KeyRange) -> bool {
        self.inputs.moving.iter().any(|m| m.overlaps(&range))
    }

    /// Adds a move to the plan, and the load of the range to the load of its new server.
    fn push(&mut self, range: KeyRange, to: Arc<str>, cause: &'static str) {
        let load = self.inputs.loads.of(range);
        if let Some(used) = self.used.get_mut(&to) {
            // A small load is added for each key, so that ranges without requests are spread among
            // the servers too.
            *used += load + 0.01 * f64::from(range.len()) / KEYS as f64;
        }
        self.moves.push(Move { range, to, cause });
    }
}
