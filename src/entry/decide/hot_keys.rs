//! Keys that get more requests than any one server can serve. They cannot be spread, so the holder
//! of the duty, who sees the requests of all hosts, tells every host which share of them to admit.
//! The others are refused before they reach the server, whose queue they would only lengthen.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use serde::{Deserialize, Serialize};

use super::{Policy, key_loads::KeyLoads, plan::PlanServer};
use crate::entry::keys::Assignment;

/// Most hot keys in one message.
const HOT_MAX: usize = 40;
/// Time for which the holder's word counts; it comes every 0.3 s.
const TOLD_KEPT_MS: u64 = 1_000;

/// A key that gets more requests than its server can serve.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HotKey {
    /// Service.
    pub service_tag: u32,
    /// Key.
    pub key: u16,
    /// Requests a second.
    pub load_per_s: f32,
    /// Requests a second that its server can serve.
    pub capacity_per_s: f32,
}

impl HotKey {
    /// Number of requests for each one that can be served.
    pub fn excess(&self) -> f64 {
        f64::from(self.load_per_s) / f64::from(self.capacity_per_s).max(0.1)
    }

    /// Share of the requests that is admitted.
    pub fn admitted(&self, policy: &Policy) -> f64 {
        (policy.hot_admitted / self.excess()).min(1.0)
    }
}

/// Finds the hot keys of a service.
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
    for holding in &assignment.holdings {
        let Some(capacity_per_s) = capacities.get(&*holding.server).copied() else {
            continue;
        };
        if loads.of(holding.range) < capacity_per_s * policy.hot_factor {
            continue;
        }
        for key in holding.range.first..=holding.range.last {
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

/// The hot keys that a host knows.
#[derive(Debug, Default)]
pub struct HotKeys {
    /// Found by this host, which has the duty, by service.
    found: Mutex<HashMap<u32, Vec<HotKey>>>,
    told: Mutex<Told>,
}

/// What the holder told.
#[derive(Debug, Default)]
struct Told {
    keys: Vec<HotKey>,
    until_ms: u64,
}

impl HotKeys {
    /// Notes what this host has found.
    pub fn note_found(&self, service_tag: u32, keys: Vec<HotKey>) {
        self.found().insert(service_tag, keys);
    }

    /// All that this host has found, for the other hosts. It obeys itself.
    pub fn tell(&self, now_ms: u64) -> Vec<HotKey> {
        let mut keys: Vec<HotKey> = self.found().values().flatten().copied().collect();
        keys.sort_unstable_by(|a, b| b.excess().total_cmp(&a.excess()));
        keys.truncate(HOT_MAX);
        self.note_announced(keys.clone(), now_ms);
        keys
    }

    /// Notes what the holder told.
    pub fn note_announced(&self, keys: Vec<HotKey>, now_ms: u64) {
        let until_ms = now_ms + TOLD_KEPT_MS;
        *self.told() = Told { keys, until_ms };
    }

    /// A hot key by the holder's latest word.
    pub fn get(&self, service_tag: u32, key: u16, now_ms: u64) -> Option<HotKey> {
        let told = self.told();
        if now_ms >= told.until_ms {
            return None;
        }
        let mut keys = told.keys.iter();
        let found = keys.find(|hot| hot.service_tag == service_tag && hot.key == key);
        found.copied()
    }

    fn found(&self) -> MutexGuard<'_, HashMap<u32, Vec<HotKey>>> {
        self.found.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn told(&self) -> MutexGuard<'_, Told> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
