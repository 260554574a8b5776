//! Measures for how long a host lacks changes that other hosts have reported, by table.

use std::sync::atomic::{AtomicU64, Ordering};

use super::{followed::FollowedTable, report::TABLES};

/// Times since which a host has lacked reported changes, by table; 0 while it lacks none.
#[derive(Debug, Default)]
pub struct Lag {
    since_ms: [AtomicU64; TABLES],
}

impl Lag {
    /// Records that a change was reported which this host lacks. Further reports until
    /// [`Self::end`] leave the recorded time unchanged.
    pub fn begin(&self, followed: FollowedTable, now_ms: u64) {
        let since_ms = &self.since_ms[followed.index()];
        if since_ms.load(Ordering::Relaxed) == 0 {
            since_ms.store(now_ms, Ordering::Relaxed);
        }
    }

    /// Records that this host has applied the changes it lacked. Returns the time since
    /// [`Self::begin`]; `None` if this host lacked no reported change.
    pub fn end(&self, followed: FollowedTable, now_ms: u64) -> Option<u64> {
        let since_ms = self.since_ms[followed.index()].swap(0, Ordering::Relaxed);
        (since_ms > 0).then(|| now_ms.saturating_sub(since_ms))
    }
}
