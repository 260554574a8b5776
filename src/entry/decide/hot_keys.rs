//! Detects and announces hot keys, which are keys that get more requests than their server can
//! serve. A key cannot be split among servers. So the leader, which knows the number of requests
//! for each key at all hosts, announces the hot keys. Each host then admits only the fraction of
//! the requests for a hot key that the key's server can run. Hosts refuse the other requests, which
//! would only lengthen the server's queue.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use serde::{Deserialize, Serialize};

use super::{Policy, key_loads::KeyLoads, plan::PlanServer};
use crate::entry::keys::Assignment;

/// Maximum number of hot keys in one announcement from the leader. If there are more hot keys,
/// those with the largest excess are announced.
const HOT_MAX: usize = 40;
/// Time for which an announcement of hot keys is valid, in milliseconds. The leader sends an
/// announcement every 0.3 s.
const ANNOUNCED_KEPT_MS: u64 = 1_000;

/// A key that gets more requests than its server can serve, with the measured load and the capacity
/// of the server.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HotKey {
    /// Tag (short identifier) of the service.
    pub service_tag: u32,
    /// The key, by its index within the service.
    pub key: u16,
    /// Requests per second for the key, summed over all hosts.
    pub load_per_s: f32,
    /// Requests per second that the key's server could serve without a rate limit.
    pub capacity_per_s: f32,
}

impl HotKey {
    /// Returns the load of the key as a multiple of its server's capacity.
    pub fn excess(&self) -> f64 {
        f64::from(self.load_per_s) / f64::from(self.capacity_per_s).max(0.1)
    }

    /// Returns the fraction of the requests for the key that hosts admit, from 0 to 1.
    pub fn admitted(&self, policy: &Policy) -> f64 {
        (policy.hot_admitted / self.excess()).min(1.0)
    }
}

/// Finds the keys of a service whose load is at least `policy.hot_factor` times the capacity of
/// their servers.
pub fn find(
    service_tag: u32,
    assignment: &Assignment,
    servers: &[PlanServer],
    loads: &KeyLoads,
    policy: &Policy,
) -> Vec<HotKey> {
    let capacities: HashMap<&str, f64> = servers
        .iter()
        .map(|server| (&*server.id, server.unlimited_per_s))
        .collect();
    let mut found = Vec::new();
    for assigned_range in &assignment.assigned_ranges {
        let Some(capacity_per_s) = capacities.get(&*assigned_range.server).copied() else {
            continue;
        };
        if loads.of(assigned_range.range) < capacity_per_s * policy.hot_factor {
            continue;
        }
        for key in assigned_range.range.first..=assigned_range.range.last {
            let load_per_s = loads.key(key);
            if load_per_s >= capacity_per_s * policy.hot_factor {
                found.push(HotKey {
                    service_tag,
                    key,
                    load_per_s: load_per_s as f32,
                    capacity_per_s: capacity_per_s as f32,
                });
            }
        }
    }
    found
}

/// Hot keys that this host has found as the leader, and hot keys that this host has learned from
/// announcements by the leader.
#[derive(Debug, Default)]
pub struct HotKeys {
    /// Hot keys that this host found as the leader, by service tag.
    found: Mutex<HashMap<u32, Vec<HotKey>>>,
    announced: Mutex<Announced>,
}

/// Hot keys in the leader's latest announcement, with the time at which the announcement expires.
#[derive(Debug, Default)]
struct Announced {
    keys: Vec<HotKey>,
    until_ms: u64,
}

impl HotKeys {
    /// Stores the hot keys that this host, as the leader, has found for a service; replaces the hot
    /// keys found for the service before.
    pub fn note_found(&self, service_tag: u32, keys: Vec<HotKey>) {
        self.found().insert(service_tag, keys);
    }

    /// Returns the hot keys that this host, as the leader, announces to the other hosts, and
    /// applies them to this host too. If there are more than [`HOT_MAX`], those with the largest
    /// excess are returned.
    pub fn announce(&self, now_ms: u64) -> Vec<HotKey> {
        let mut keys: Vec<HotKey> = self.found().values().flatten().copied().collect();
        keys.sort_unstable_by(|a, b| b.excess().total_cmp(&a.excess()));
        keys.truncate(HOT_MAX);
        self.note_announced(keys.clone(), now_ms);
        keys
    }

    /// Replaces the hot keys of the last announcement by those of a new announcement, which expires
    /// after [`ANNOUNCED_KEPT_MS`].
    pub fn note_announced(&self, keys: Vec<HotKey>, now_ms: u64) {
        let until_ms = now_ms + ANNOUNCED_KEPT_MS;
        *self.announced() = Announced { keys, until_ms };
    }

    /// Returns the announced load of a key and the capacity of the key's server if the leader's
    /// latest announcement contains the key as a hot key and has not expired.
    pub fn get(&self, service_tag: u32, key: u16, now_ms: u64) -> Option<HotKey> {
        let announced = self.announced();
        if now_ms >= announced.until_ms {
            return None;
        }
        let mut keys = announced.keys.iter();
        let found = keys.find(|hot| hot.service_tag == service_tag && hot.key == key);
        found.copied()
    }

    fn found(&self) -> MutexGuard<'_, HashMap<u32, Vec<HotKey>>> {
        self.found.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn announced(&self) -> MutexGuard<'_, Announced> {
        self.announced
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
