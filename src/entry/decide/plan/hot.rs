//! Placement of hot keys, which get more requests than their server can run: each hot key belongs
//! alone on a fast server.

use std::sync::Arc;

use super::{Move, Plan, PlanServer};
use crate::entry::keys::KeyRange;

impl Plan<'_> {
    /// Finds the server of each hot key. Subtracts from the load of that server the part of the
    /// key's load that exceeds the server's capacity, because hosts refuse these requests whichever
    /// server the key is assigned to.
    pub(super) fn add_hot_keys(&mut self) {
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
    pub(super) fn hot_excess(&self, (key, server): &(u16, Arc<str>)) -> f64 {
        (self.inputs.loads.key(*key) - self.capacity(server)).max(0.0)
    }

    /// Returns the load of a server's hot keys, in requests per second, at most the server's
    /// capacity.
    pub(super) fn hot_load(&self, server: &str) -> f64 {
        let keys = self.hot.iter().filter(|(_, holder)| **holder == *server);
        let load: f64 = keys.map(|(key, _)| self.inputs.loads.key(*key)).sum();
        load.min(self.capacity(server))
    }

    /// Moves each hot key to the fastest server without a hot key, if the capacity of that server
    /// is at least [`Policy::hot_faster`] times that of the key's current server.
    pub(super) fn move_hot_keys(&mut self) {
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
    pub(super) fn fastest(&self) -> Option<Arc<str>> {
        let is_free =
            |server: &&PlanServer| !self.hot.iter().any(|(_, holder)| *holder == server.id);
        let servers = self.inputs.servers.iter().filter(is_free);
        let fastest = servers.max_by(|a, b| a.capacity_per_s.total_cmp(&b.capacity_per_s))?;
        Some(fastest.id.clone())
    }

    /// Returns the parts of a range that remain without its hot keys.
    pub(super) fn without_hot(&self, range: KeyRange) -> Vec<KeyRange> {
        let mut parts = vec![range];
        for (key, _) in &self.hot {
            parts = parts
                .into_iter()
                .flat_map(|part| part.without(*key))
                .collect();
        }
        parts
    }
}
