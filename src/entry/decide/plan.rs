//! Plans which keys move to which servers, as a pure function of assigned ranges, servers and
//! loads.

use std::{collections::HashMap, sync::Arc};

use super::{
    Policy,
    key_loads::{KEYS, KeyLoads},
};
use crate::entry::keys::{AssignedRange, Assignment, KeyRange};

/// Minimum load, in requests per second, for which a move is worth its cost.
const LOAD_MOVED_MIN: f64 = 0.3;
/// Weight of the number of moved keys against the error in the moved load, since moves are billed
/// by key: the cost of moving all keys, in multiples of the load to be moved.
const KEY_SHARE_COST: f64 = 4.0;

/// A server that may hold keys, with its capacity as the planner assumes it.
#[derive(Clone, Debug)]
pub struct PlanServer {
    /// Incarnation of the server, as named in assigned ranges.
    pub id: Arc<str>,
    /// Requests per second that the server can run within its advertised rate limit.
    pub capacity_per_s: f64,
    /// Requests per second that the server could run without a rate limit.
    pub unlimited_per_s: f64,
}

/// A planned move of a key range. The caller records it in the store and carries it out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Keys that get the new server; both ends of the range are included.
    pub range: KeyRange,
    /// Incarnation of the server that gets the keys.
    pub to: Arc<str>,
    /// Reason for the move, for the log: no server, hot key, joined or balance.
    pub cause: &'static str,
}

/// Inputs of the planner for one service.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// Assigned ranges on which the plan is based: the servers that hold the service's keys now.
    pub assignment: &'a Assignment,
    /// Servers that may hold keys; assigned ranges of others are reassigned.
    pub servers: &'a [PlanServer],
    /// Measured requests per second by key.
    pub loads: &'a KeyLoads,
    /// Ranges that are already being moved; no new move is planned for their keys.
    pub moving: &'a [KeyRange],
    /// Maximum number of moves for balance in one plan.
    pub balance_moves_max: usize,
    /// Hot keys: keys that get more requests than their server can serve.
    pub hot: &'a [u16],
    /// Thresholds for hot keys and balance.
    pub policy: &'a Policy,
}

struct Plan<'a> {
    inputs: Inputs<'a>,
    /// Hot keys, each with the server that holds it.
    hot: Vec<(u16, Arc<str>)>,
    /// Load by server, in requests per second, after the planned moves and without the excess of
    /// hot keys.
    used: HashMap<Arc<str>, f64>,
    assigned_ranges: Vec<AssignedRange>,
    moves: Vec<Move>,
}

/// Plans moves: keys without a usable server first, then hot keys, keys for servers that have none,
/// and moves that balance the load. Returns no moves if there are no servers.
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

    /// Counts hot keys only with the load that their servers can serve: the excess requests are
    /// refused wherever the keys are.
    fn add_hot_keys(&mut self) {
        if !self.inputs.policy.hot_alone {
            return;
        }
        for key in self.inputs.hot {
            let Some(assigned_range) = self.inputs.assignment.assigned_range(*key) else {
                continue;
            };
            let server = assigned_range.server.clone();
            let hot = (*key, server.clone());
            let excess = self.hot_excess(&hot);
            if let Some(used) = self.used.get_mut(&server) {
                *used -= excess;
                self.hot.push(hot);
            }
        }
    }

    /// Returns the load of a hot key beyond the capacity of its server.
    fn hot_excess(&self, (key, server): &(u16, Arc<str>)) -> f64 {
        (self.inputs.loads.key(*key) - self.capacity(server)).max(0.0)
    }

    /// Returns the load of a server's hot keys, at most the server's capacity.
    fn hot_load(&self, server: &str) -> f64 {
        let keys = self.hot.iter().filter(|(_, holder)| **holder == *server);
        let load: f64 = keys.map(|(key, _)| self.inputs.loads.key(*key)).sum();
        load.min(self.capacity(server))
    }

    /// Moves each hot key to the fastest server, if that is much faster than its current one.
    fn move_hot_keys(&mut self) {
        for (key, from) in self.hot.clone() {
            let range = KeyRange {
                first: key,
                last: key,
            };
            let Some(to) = self.fastest() else { return };
            let faster = self.capacity(&to) / self.capacity(&from);
            if faster < self.inputs.policy.hot_faster || self.is_moving(range) {
                continue;
            }
            let load = self.hot_load(&from);
            if let Some(used) = self.used.get_mut(&from) {
                *used -= load;
            }
            let capacity = self.capacity(&to);
            if let Some(used) = self.used.get_mut(&to) {
                *used += capacity;
            }
            self.hot.retain(|(other, _)| *other != key);
            self.hot.push((key, to.clone()));
            self.clear(range);
            let cause = "hot key";
            self.moves.push(Move { range, to, cause });
        }
    }

    /// Returns the server with the largest capacity that holds no hot key.
    fn fastest(&self) -> Option<Arc<str>> {
        let is_free =
            |server: &&PlanServer| !self.hot.iter().any(|(_, holder)| *holder == server.id);
        let servers = self.inputs.servers.iter().filter(is_free);
        let fastest = servers.max_by(|a, b| a.capacity_per_s.total_cmp(&b.capacity_per_s))?;
        Some(fastest.id.clone())
    }

    /// Splits a range into the parts between hot keys.
    fn without_hot(&self, range: KeyRange) -> Vec<KeyRange> {
        let mut parts = vec![range];
        for (key, _) in &self.hot {
            parts = parts
                .into_iter()
                .flat_map(|part| part.without(*key))
                .collect();
        }
        parts
    }

    fn capacity(&self, id: &str) -> f64 {
        let servers = self.inputs.servers.iter();
        let found = servers.into_iter().find(|server| *server.id == *id);
        found.map_or(1.0, |server| server.capacity_per_s.max(0.1))
    }

    fn utilisation(&self, server: &PlanServer) -> f64 {
        self.used[&server.id] / server.capacity_per_s.max(0.1)
    }

    fn mean_utilisation(&self) -> f64 {
        let capacity: f64 = self.inputs.servers.iter().map(|s| s.capacity_per_s).sum();
        // Excludes the load that no server can serve.
        let excess: f64 = self.hot.iter().map(|hot| self.hot_excess(hot)).sum();
        let load = self.inputs.loads.of(KeyRange::ALL) - excess;
        load / capacity.max(0.1)
    }

    fn least_used(&self) -> Arc<str> {
        let servers = self.inputs.servers.iter();
        let least = servers.min_by(|a, b| self.utilisation(a).total_cmp(&self.utilisation(b)));
        least.map_or_else(|| "".into(), |server| server.id.clone())
    }

    fn is_moving(&self, range: KeyRange) -> bool {
        self.inputs.moving.iter().any(|m| m.overlaps(&range))
    }

    fn push(&mut self, range: KeyRange, to: Arc<str>, cause: &'static str) {
        let load = self.inputs.loads.of(range);
        if let Some(used) = self.used.get_mut(&to) {
            // A range without load counts a little, so that idle ranges are spread too.
            *used += load + 0.01 * f64::from(range.len()) / KEYS as f64;
        }
        self.moves.push(Move { range, to, cause });
    }

    /// Assigns each range without a usable server to the least used servers, in pieces of at most
    /// half the mean load of a server.
    fn assign_unowned_keys(&mut self) {
        let mut unowned: Vec<KeyRange> = self.inputs.assignment.gaps();
        for assigned_range in &self.assigned_ranges {
            if !self.used.contains_key(&assigned_range.server) {
                unowned.push(assigned_range.range);
            }
        }
        let servers = self.inputs.servers.len() as f64;
        let piece_load = self.inputs.loads.of(KeyRange::ALL) / servers / 2.0;
        for range in unowned {
            if self.is_moving(range) {
                continue;
            }
            for piece in self.pieces(range, piece_load) {
                let to = self.least_used();
                self.push(piece, to, "no server");
            }
        }
    }

    /// Splits a range into pieces whose load is at most `load_max`; a single key is never split.
    fn pieces(&self, range: KeyRange, load_max: f64) -> Vec<KeyRange> {
        let mut pieces = Vec::new();
        let mut first = range.first;
        let mut sum = 0.0;
        for key in range.first..=range.last {
            let load = self.inputs.loads.key(key);
            if sum > 0.0 && sum + load > load_max && key > first {
                pieces.push(KeyRange {
                    first,
                    last: key - 1,
                });
                first = key;
                sum = 0.0;
            }
            sum += load;
        }
        pieces.push(KeyRange {
            first,
            last: range.last,
        });
        pieces
    }

    /// Gives each server without keys half the load of the most used server, even if no server is
    /// busy: a server that joins should serve requests before the others are full.
    fn fill_idle_servers(&mut self) {
        let holds = |id: &Arc<str>| {
            self.assigned_ranges
                .iter()
                .any(|assigned| assigned.server == *id)
        };
        let servers = self.inputs.servers.iter();
        let idle: Vec<Arc<str>> = servers
            .filter(|server| !holds(&server.id) && self.used[&server.id] == 0.0)
            .map(|server| server.id.clone())
            .collect();
        for to in idle.into_iter().take(self.inputs.balance_moves_max) {
            let Some(from) = self.most_used(&[]) else {
                return;
            };
            let wanted = (self.used[&from] / 2.0).min(self.capacity(&to));
            let Some(range) = self.select_range(&from, wanted) else {
                return;
            };
            self.move_range(range, &from, to, "joined");
        }
    }

    /// Returns the server with the highest utilisation that is not in `excluded`; `None` if none is
    /// left.
    fn most_used(&self, excluded: &[Arc<str>]) -> Option<Arc<str>> {
        let servers = self.inputs.servers.iter();
        let servers = servers.filter(|server| !excluded.contains(&server.id));
        let most = servers.max_by(|a, b| self.utilisation(a).total_cmp(&self.utilisation(b)))?;
        Some(most.id.clone())
    }

    /// Moves keys from the most used servers to the least used ones, until no server is busy: none
    /// is above both the utilisation below which servers keep their keys and the mean with the
    /// allowance for random variation. The number of moves is limited.
    fn balance(&mut self) {
        let mean = self.mean_utilisation();
        let servers = self.inputs.servers.len() as f64;
        let load = self.inputs.loads.of(KeyRange::ALL) / servers;
        let policy = self.inputs.policy;
        let chance = policy.balance_chance * self.inputs.loads.relative_deviation(load);
        let busy = policy
            .balance_busy_share
            .max(mean * (policy.balance_excess + chance));
        let goal = policy.balance_goal_share.max(mean);
        let moves_left = self.inputs.balance_moves_max;
        let mut exhausted: Vec<Arc<str>> = Vec::new();
        for _ in 0..moves_left.saturating_sub(self.moves.len()) {
            let Some(from) = self.most_used(&exhausted) else {
                return;
            };
            let share = self.used[&from] / self.capacity(&from);
            if share < busy {
                return;
            }
            let to = self.least_used();
            if from == to {
                return;
            }
            let hot_load = self.hot_load(&from);
            let kept = hot_load.max(goal * self.capacity(&from));
            let over = self.used[&from] - kept;
            let room = goal * self.capacity(&to) - self.used[&to];
            let wanted = over.min(room.max(over / 2.0));
            let selected = if wanted < LOAD_MOVED_MIN {
                None
            } else {
                self.select_range(&from, wanted)
            };
            let Some(range) = selected else {
                // The server has only a hot key left, or a limit below its smallest range. The
                // other servers are still balanced.
                exhausted.push(from);
                continue;
            };
            let load = self.inputs.loads.of(range);
            // A move that only swaps the loads of the two servers gains nothing.
            let after = (self.used[&to] + load) / self.capacity(&to);
            if after >= share {
                return;
            }
            self.move_range(range, &from, to, "balance");
        }
    }

    /// Plans the move of a range away from the server that holds it.
    fn move_range(&mut self, range: KeyRange, from: &Arc<str>, to: Arc<str>, cause: &'static str) {
        let load = self.inputs.loads.of(range);
        if let Some(used) = self.used.get_mut(from) {
            *used -= load;
        }
        self.clear(range);
        self.push(range, to, cause);
    }

    fn clear(&mut self, range: KeyRange) {
        let mut rest = Assignment {
            fence: 0,
            assigned_ranges: std::mem::take(&mut self.assigned_ranges),
        };
        rest.clear(range);
        self.assigned_ranges = rest.assigned_ranges;
    }

    /// Selects a range at either end of one of the server's assigned ranges, with a load close to
    /// `wanted` and at most half above it, and with few keys, since moves are billed by key.
    fn select_range(&self, from: &str, wanted: f64) -> Option<KeyRange> {
        let mut best: Option<(KeyRange, f64)> = None;
        for assigned_range in &self.assigned_ranges {
            if *assigned_range.server != *from || self.is_moving(assigned_range.range) {
                continue;
            }
            let parts = self.without_hot(assigned_range.range).into_iter();
            for candidate in parts.flat_map(|part| self.ends(part, wanted)) {
                let load = self.inputs.loads.of(candidate);
                if load <= 0.0 || load > wanted * 1.5 {
                    continue;
                }
                let share = f64::from(candidate.len()) / KEYS as f64;
                let error = (load - wanted).abs() / wanted + KEY_SHARE_COST * share;
                if best.is_none_or(|(_, least)| error < least) {
                    best = Some((candidate, error));
                }
            }
        }
        best.map(|(range, _)| range)
    }

    /// Returns the whole range and the largest ranges at its two ends that stay within the wanted
    /// load.
    fn ends(&self, range: KeyRange, wanted: f64) -> Vec<KeyRange> {
        let mut found = vec![range];
        let mut sum = 0.0;
        for last in range.first..=range.last {
            let load = self.inputs.loads.key(last);
            if sum + load > wanted && last > range.first {
                found.push(KeyRange {
                    first: range.first,
                    last: last - 1,
                });
                break;
            }
            sum += load;
        }
        sum = 0.0;
        for first in (range.first..=range.last).rev() {
            let load = self.inputs.loads.key(first);
            if sum + load > wanted && first < range.last {
                found.push(KeyRange {
                    first: first + 1,
                    last: range.last,
                });
                break;
            }
            sum += load;
        }
        found
    }
}
