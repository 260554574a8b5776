//! Servers that want a rest of many hosts: their keys are better off elsewhere. Three of nine servers that turned all
//! requests away for nine seconds left a third of the keys' callers unserved, and the planner, to which they looked
//! idle, gave them more.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

/// One in so many hosts must have been turned away. One host alone may be the trouble.
const HOSTS_SHARE: usize = 3;
/// Most hosts that are needed: where there are hundreds, few of them reach a given server within a rest.
const HOSTS_NEEDED_MAX: usize = 4;
/// Shortest rest that is worth two moves, there and back.
const REST_MIN_MS: u64 = 300;
/// Least share of a service's servers that must be awake. If more of them turn requests away, all are
/// overloaded, and keys that move find no better place.
const AWAKE_MIN: f64 = 0.5;

/// Rests that hosts were asked for, as the holder of the duty knows them.
#[derive(Debug, Default)]
pub struct Rests(Mutex<HashMap<u32, HashMap<SocketAddr, u64>>>);

impl Rests {
    /// Notes for how long a server, by its short name, wants no requests of a host.
    pub fn note(&self, server_tag: u32, host: SocketAddr, rest_ms: u64, now_ms: u64) {
        if rest_ms < REST_MIN_MS {
            return;
        }
        let until_ms = now_ms + rest_ms;
        let mut rests = self.rests();
        for hosts in rests.values_mut() {
            hosts.retain(|_, until_ms| now_ms < *until_ms);
        }
        rests.retain(|_, hosts| !hosts.is_empty());
        let known = rests.entry(server_tag).or_default();
        let known = known.entry(host).or_default();
        *known = (*known).max(until_ms);
    }

    /// True if a server wants a rest of so many hosts that its keys should go to others.
    pub fn is_widespread(&self, server_tag: u32, hosts: usize, now_ms: u64) -> bool {
        let rests = self.rests();
        let Some(resting) = rests.get(&server_tag) else {
            return false;
        };
        // To its end: keys that came back before would find their hosts still bound.
        let lasts = |until_ms: &&u64| now_ms < **until_ms;
        let needed = hosts.div_ceil(HOSTS_SHARE).clamp(1, HOSTS_NEEDED_MAX);
        resting.values().filter(lasts).count() >= needed
    }

    fn rests(&self) -> MutexGuard<'_, HashMap<u32, HashMap<SocketAddr, u64>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The servers that are awake, or all if too few are.
pub fn not_resting<T>(mut servers: Vec<T>, rests: impl Fn(&T) -> bool) -> Vec<T> {
    let resting = servers.iter().filter(|server| rests(server)).count();
    let least_awake = servers.len() as f64 * AWAKE_MIN;
    if (servers.len() - resting) as f64 >= least_awake {
        servers.retain(|server| !rests(server));
    }
    servers
}
