//! Detects servers that ask many hosts for a backoff, so that the leader moves their keys to other
//! servers. A backoff is a period in which a server asks a host to send it no requests; the host
//! must comply. Without the moves, the callers of those keys would not be served: when three of
//! nine servers refused all requests for nine seconds, a third of the keys' callers were not
//! served, and the planner, which took these servers for idle, gave them more keys.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

/// Divisor of the number of hosts: a server must have asked one host in three for a backoff before
/// the server's keys are moved. If the server asked only one of many hosts, the requests from that
/// one host may be the cause.
const HOSTS_SHARE: usize = 3;
/// Maximum number of hosts that a server must have asked for a backoff before its keys are moved.
/// Among hundreds of hosts, only a few send a request to a given server during a backoff.
const HOSTS_NEEDED_MAX: usize = 4;
/// Shortest backoff, in milliseconds, for which keys are moved: each key is moved twice, away from
/// the server and back.
const BACKOFF_MIN_MS: u64 = 300;
/// Minimum fraction of a service's servers that must not be in a backoff for keys to be moved. With
/// fewer such servers, the whole service is overloaded, and moved keys would be served no better.
const NOT_IN_BACKOFF_SHARE_MIN: f64 = 0.5;

/// Ends of the backoffs that servers asked hosts for, by server tag (a hash that names the server
/// in messages) and by host address, in milliseconds. The leader collects these times from the
/// reports that all hosts send.
#[derive(Debug, Default)]
pub struct Backoffs(Mutex<HashMap<u32, HashMap<SocketAddr, u64>>>);

impl Backoffs {
    /// Records that the server with this tag asked a host to send it no requests for `backoff_ms`.
    /// A backoff shorter than [`BACKOFF_MIN_MS`] is ignored.
    pub fn note(&self, server_tag: u32, host: SocketAddr, backoff_ms: u64, now_ms: u64) {
        if backoff_ms < BACKOFF_MIN_MS {
            return;
        }
        let until_ms = now_ms + backoff_ms;
        let mut backoffs = self.backoffs();
        for hosts in backoffs.values_mut() {
            hosts.retain(|_, until_ms| now_ms < *until_ms);
        }
        backoffs.retain(|_, hosts| !hosts.is_empty());
        let known = backoffs.entry(server_tag).or_default();
        let known = known.entry(host).or_default();
        *known = (*known).max(until_ms);
    }

    /// Returns true if the server has asked so many of the `hosts` hosts for a backoff that its
    /// keys should be moved to other servers.
    pub fn is_widespread(&self, server_tag: u32, hosts: usize, now_ms: u64) -> bool {
        let backoffs = self.backoffs();
        let Some(in_backoff) = backoffs.get(&server_tag) else {
            return false;
        };
        // A backoff counts until its end: if keys were moved back to the server before that, the
        // hosts in backoff would still send it no requests.
        let lasts = |until_ms: &&u64| now_ms < **until_ms;
        let needed = hosts.div_ceil(HOSTS_SHARE).clamp(1, HOSTS_NEEDED_MAX);
        in_backoff.values().filter(lasts).count() >= needed
    }

    fn backoffs(&self) -> MutexGuard<'_, HashMap<u32, HashMap<SocketAddr, u64>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the servers that are not in a backoff, or all servers if fewer than
/// [`NOT_IN_BACKOFF_SHARE_MIN`] of them would remain.
pub fn not_in_backoff<T>(mut servers: Vec<T>, backoffs: impl Fn(&T) -> bool) -> Vec<T> {
    let in_backoff = servers.iter().filter(|server| backoffs(server)).count();
    let not_in_backoff_min = servers.len() as f64 * NOT_IN_BACKOFF_SHARE_MIN;
    if (servers.len() - in_backoff) as f64 >= not_in_backoff_min {
        servers.retain(|server| !backoffs(server));
    }
    servers
}
