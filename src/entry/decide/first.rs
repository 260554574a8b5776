//! First distribution of a service's keys over its servers, and the wait before it.

use std::sync::Arc;

use super::{key_loads::KEYS, plan::PlanServer};
use crate::entry::keys::KeyRange;

/// Time for which the servers of a service must stay the same before its keys are distributed for
/// the first time. Longer than the interval at which hosts read the server entries on a large site.
const FIRST_QUIET_MS: u64 = 1_800;
/// Longest wait for a stable set of servers. On the known sites callers connect 8 s after the
/// hosts.
const FIRST_WAIT_MAX_MS: u64 = 5_000;

/// Delay of the first assignment until the servers of a service have started: keys given to a few
/// early servers would have to be moved again.
#[derive(Clone, Copy, Debug)]
pub struct FirstAssignmentWait {
    servers: usize,
    first_ms: u64,
    changed_ms: u64,
}

impl FirstAssignmentWait {
    /// Starts the wait at `now_ms`, from which the longest wait is counted.
    pub fn new(now_ms: u64) -> Self {
        Self {
            servers: 0,
            first_ms: now_ms,
            changed_ms: now_ms,
        }
    }

    /// Returns true if the keys should be distributed over the current servers. Requests that have
    /// already arrived end the wait.
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
