//! Moves of keys from busy servers to servers with free capacity, and to servers without keys.

use std::sync::Arc;

use super::Plan;
use crate::entry::{
    decide::key_loads::KEYS,
    keys::{Assignment, KeyRange},
};

/// Minimum load, in requests per second, that should be moved away from a busy server for a move to
/// be worth its cost.
const LOAD_MOVED_MIN: f64 = 0.3;
/// Cost of a move of all keys, as a multiple of the load that should be moved; a move of fewer keys
/// costs proportionally less, because moves are billed by key. The planner adds this cost to the
/// difference between the load of a range and the load that should be moved, and selects the range
/// with the smallest sum.
const KEY_SHARE_COST: f64 = 4.0;

impl Plan<'_> {
    /// Moves half the load of the most used server to each server without keys, even if no server
    /// is busy: a server that joins should serve requests before the other servers are full.
    pub(super) fn fill_idle_servers(&mut self) {
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
    pub(super) fn most_used(&self, excluded: &[Arc<str>]) -> Option<Arc<str>> {
        let servers = self.inputs.servers.iter();
        let servers = servers.filter(|server| !excluded.contains(&server.id));
        let most = servers.max_by(|a, b| self.utilisation(a).total_cmp(&self.utilisation(b)))?;
        Some(most.id.clone())
    }

    /// Moves keys from the most used servers to the least used ones until no server is busy or the
    /// maximum number of moves is reached. A server is busy if its utilisation is at least
    /// [`Policy::balance_busy_share`], and at least the mean utilisation times the sum of
    /// [`Policy::balance_excess`] and an allowance for random variation.
    pub(super) fn balance(&mut self) {
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
    pub(super) fn move_range(
        &mut self,
        range: KeyRange,
        from: &Arc<str>,
        to: Arc<str>,
        cause: &'static str,
    ) {
        let load = self.inputs.loads.of(range);
        if let Some(used) = self.used.get_mut(from) {
            *used -= load;
        }
        self.clear(range);
        self.push(range, to, cause);
    }

    /// Removes a range from the assigned ranges, so that no further move is planned for its keys.
    pub(super) fn clear(&mut self, range: KeyRange) {
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
    pub(super) fn select_range(&self, from: &str, wanted: f64) -> Option<KeyRange> {
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
    pub(super) fn ends(&self, range: KeyRange, wanted: f64) -> Vec<KeyRange> {
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
