//! Plans which keys of a service are moved to which servers, as a pure function of the assigned
//! ranges, the servers and the loads of the keys.

use std::{collections::HashMap, sync::Arc};

use super::{
    Policy,
    key_loads::{KEYS, KeyLoads},
};
use crate::entry::keys::{AssignedRange, Assignment, KeyRange};

/// Minimum load, in requests per second, that should be moved away from a busy server for a move to
/// be worth its cost.
const LOAD_MOVED_MIN: f64 = 0.3;
/// Cost of a move of all keys, as a multiple of the load that should be moved; a move of fewer keys
/// costs proportionally less, because moves are billed by key. The planner adds this cost to the
/// difference between the load of a range and the load that should be moved, and selects the range
/// with the smallest sum.
const KEY_SHARE_COST: f64 = 4.0;

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

    /// Finds the server of each hot key. Subtracts from the load of that server the part of the
    /// key's load that exceeds the server's capacity, because hosts refuse these requests whichever
    /// server the key is assigned to.
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

    /// Returns the load of a hot key beyond the capacity of its server, in requests per second.
    fn hot_excess(&self, (key, server): &(u16, Arc<str>)) -> f64 {
        (self.inputs.loads.key(*key) - self.capacity(server)).max(0.0)
    }

    /// Returns the load of a server's hot keys, in requests per second, at most the server's
    /// capacity.
    fn hot_load(&self, server: &str) -> f64 {
        let keys = self.hot.iter().filter(|(_, holder)| **holder == *server);
        let load: f64 = keys.map(|(key, _)| self.inputs.loads.key(*key)).sum();
        load.min(self.capacity(server))
    }

    /// Moves each hot key to the fastest server without a hot key, if the capacity of that server
    /// is at least [`Policy::hot_faster`] times that of the key's current server.
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

    /// Returns the server with the largest capacity among the servers without a hot key.
    fn fastest(&self) -> Option<Arc<str>> {
        let is_free =
            |server: &&PlanServer| !self.hot.iter().any(|(_, holder)| *holder == server.id);
        let servers = self.inputs.servers.iter().filter(is_free);
        let fastest = servers.max_by(|a, b| a.capacity_per_s.total_cmp(&b.capacity_per_s))?;
        Some(fastest.id.clone())
    }

    /// Returns the parts of a range that remain without its hot keys.
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

    /// Plans the assignment of each range that is assigned to no server of [`Inputs::servers`] to
    /// the least used servers, in pieces whose load is at most half the mean load of a server.
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

    /// Splits a range into contiguous pieces whose load is at most `load_max`, except for single
    /// keys with a larger load, which cannot be split.
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

    /// Moves half the load of the most used server to each server without keys, even if no server
    /// is busy: a server that joins should serve requests before the other servers are full.
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

    /// Returns the server with the highest utilisation that is not in `excluded`; `None` if all
    /// servers are excluded.
    fn most_used(&self, excluded: &[Arc<str>]) -> Option<Arc<str>> {
        let servers = self.inputs.servers.iter();
        let servers = servers.filter(|server| !excluded.contains(&server.id));
        let most = servers.max_by(|a, b| self.utilisation(a).total_cmp(&self.utilisation(b)))?;
        Some(most.id.clone())
    }

    /// Moves keys from the most used servers to the least used ones until no server is busy or the
    /// maximum number of moves is reached. A server is busy if its utilisation is at least
    /// [`Policy::balance_busy_share`], and at least the mean utilisation times the sum of
    /// [`Policy::balance_excess`] and an allowance for random variation.
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
                // No suitable range was found: the server has only a hot key left, or too little
                // load above its target to move its smallest range. The loop goes on to move keys
                // away from the other servers.
                exhausted.push(from);
                continue;
            };
            let load = self.inputs.loads.of(range);
            // A move gains nothing if the receiving server would then be at least as busy as the
            // sending server was before the move.
            let after = (self.used[&to] + load) / self.capacity(&to);
            if after >= share {
                return;
            }
            self.move_range(range, &from, to, "balance");
        }
    }

    /// Plans the move of a range from the server `from`, to which it is assigned, to the server
    /// `to`.
    fn move_range(&mut self, range: KeyRange, from: &Arc<str>, to: Arc<str>, cause: &'static str) {
        let load = self.inputs.loads.of(range);
        if let Some(used) = self.used.get_mut(from) {
            *used -= load;
        }
        self.clear(range);
        self.push(range, to, cause);
    }

    /// Removes a range from the assigned ranges, so that no further move is planned for its keys.
    fn clear(&mut self, range: KeyRange) {
        let mut rest = Assignment {
            fence: 0,
            assigned_ranges: std::mem::take(&mut self.assigned_ranges),
        };
        rest.clear(range);
        self.assigned_ranges = rest.assigned_ranges;
    }

    /// Selects a range of keys to move away from a server: one of its assigned ranges, or a part at
    /// either end of an assigned range, without hot keys. The load of the selected range is close
    /// to `wanted` and at most half above it. Ranges with fewer keys are preferred, because moves
    /// are billed by key.
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

    /// Returns the candidates for a move from a range: the whole range, and the largest parts at
    /// its two ends whose load is at most `wanted`. Such a part has at least one key, even if the
    /// load of that key exceeds `wanted`.
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
