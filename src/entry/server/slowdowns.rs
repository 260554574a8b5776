//! Slowdowns that a server reported to this host or to other hosts.

use std::sync::{MutexGuard, PoisonError};

use super::Server;
use crate::{clock, entry::decide::slowdown::SlowdownReports};

impl Server {
    /// Records the slowdown that the server reported to another host at `at_ms`.
    pub fn note_slowdown(&self, slowdown: f64, at_ms: u64) {
        self.slowdowns().known.note(slowdown, at_ms);
    }

    /// Records the slowdown that the server reported to this host.
    pub fn note_own_slowdown(&self, slowdown: f64) {
        let now_ms = clock::now_ms();
        let mut slowdowns = self.slowdowns();
        slowdowns.known.note(slowdown, now_ms);
        slowdowns.own = Some((slowdown, now_ms));
    }

    /// Returns the latest slowdown that the server reported to this host, and the time of the
    /// report.
    pub fn own_slowdown(&self) -> Option<(f64, u64)> {
        self.slowdowns().own
    }

    pub(super) fn slowdowns(&self) -> MutexGuard<'_, SlowdownReports> {
        self.slowdowns
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
