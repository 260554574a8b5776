//! First distribution of a service's keys over its servers.

use std::sync::Arc;

use super::{key_loads::KEYS, plan::PlanServer};
use crate::entry::keys::KeyRange;

/// Time for which the servers of a service must stay the same before its keys are distributed for
/// the first time. Longer than the time between two looks at their entries among many hosts.
const FIRST_QUIET_MS: u64 = 1_800;
/// Longest wait for that. Callers come 8 s after the hosts on the known sites.
const FIRST_WAIT_MAX_MS: u64 = 5_000;

/// Waits for the servers of a service to have started before its keys are distributed: keys that a
/// few early ones got would have to be moved again.
#[derive(Clone, Copy, Debug)]
pub struct FirstAssignmentWait {
    servers: usize,
    first_ms: u64,
    changed_ms: u64,
}

impl FirstAssignmentWait {
    /// A wait that begins now.
    pub fn new(now_ms: u64) -> Self {
        Self {
            servers: 0,
            first_ms: now_ms,
            changed_ms: now_ms,
        }
    }

    /// True if the keys should be distributed over the servers that are there now. Requests that
    /// are there already do not wait.
    pub fn is_over(&mut self, servers: usize, requested: bool, now_ms: u64) -> bool {
        if self.servers != servers {
            self.servers = servers;
            self.changed_ms = now_ms;
        }
        let quiet = now_ms >= self.changed_ms + FIRST_QUIET_MS;
        requested || quiet || now_ms >= self.first_ms + FIRST_WAIT_MAX_MS
    }
}

/// First distribution of all keys over the servers, in proportion to their capacity.
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
