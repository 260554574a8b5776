//! Distributes the keys of a service among its servers for the first time, after a wait until the
//! servers have started.

use std::sync::Arc;

use super::{key_loads::KEYS, plan::PlanServer};
use crate::entry::keys::KeyRange;

/// Time, in milliseconds, for which the number of servers of a service must stay the same before
/// the service's keys are distributed for the first time. The time is longer than the interval at
/// which hosts read the server entries on a large site.
const FIRST_QUIET_MS: u64 = 1_800;
/// Longest time, in milliseconds, for which the first distribution of a service's keys waits until
/// the number of servers stays the same. On the known sites, callers connect 8 s after the hosts.
const FIRST_WAIT_MAX_MS: u64 = 5_000;

/// Wait before the first assignment of a service's keys, until the servers of the service have
/// started. Keys that were assigned to the few servers that start first would have to be moved
/// again.
#[derive(Clone, Copy, Debug)]
pub struct FirstAssignmentWait {
    servers: usize,
    first_ms: u64,
    changed_ms: u64,
}

impl FirstAssignmentWait {
    /// Starts the wait at `now_ms`; [`FIRST_WAIT_MAX_MS`] is counted from this time.
    pub fn new(now_ms: u64) -> Self {
        Self {
            servers: 0,
            first_ms: now_ms,
            changed_ms: now_ms,
        }
    }

    /// Returns true if the keys should be distributed among the current servers, of which there are
    /// `servers`. The wait ends when the service has received a request (`requested`), when the
    /// number of servers has not changed for [`FIRST_QUIET_MS`], or after [`FIRST_WAIT_MAX_MS`].
    pub fn is_over(&mut self, servers: usize, requested: bool, now_ms: u64) -> bool {
        if self.servers != servers {
            self.servers = servers;
            self.changed_ms = now_ms;
        }
        let quiet = now_ms >= self.changed_ms + FIRST_QUIET_MS;
        requested || quiet || now_ms >= self.first_ms + FIRST_WAIT_MAX_MS
    }
}

/// Divides all keys into one contiguous range for each server, in proportion to its capacity. A
/// server whose share rounds to no key is left out.
pub fn first_assignment(servers: &[PlanServer]) -> Vec<(KeyRange, Arc<str>)> {
    let total: f64 = servers.iter().map(|server| server.capacity_per_s).sum();
    let mut ranges = Vec::with_capacity(servers.len());
    let mut next = 0usize;
    let mut share = 0.0;
    for server in servers {
        share += server.capacity_per_s / total;
        let end = ((share * KEYS as f64).round() as usize).min(KEYS);
        if end > next {
            let range = KeyRange {
                first: next as u16,
                last: (end - 1) as u16,
            };
            ranges.push((range, server.id.clone()));
            next = end;
        }
    }
    ranges
}
