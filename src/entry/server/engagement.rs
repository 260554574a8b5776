//! Engagement of a host with a server: whether the host has state of its own requests there.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use super::{Server, engaged_servers::EngagedServers};
use crate::clock;

/// Time for which a slowdown that a server reported to this host keeps the server engaged, so that
/// the next report to the other hosts contains it.
const SLOWDOWN_KEPT_MS: u64 = 5_000;

/// Whether a server is among the engaged servers of its host.
#[derive(Debug)]
pub struct Engagement {
    engaged: EngagedServers,
    is_engaged: AtomicBool,
}

impl Engagement {
    /// Creates the state of a server that is not engaged.
    pub fn new(engaged: EngagedServers) -> Self {
        Self {
            engaged,
            is_engaged: AtomicBool::new(false),
        }
    }
}

impl Server {
    /// Adds the server to the engaged servers of this host.
    pub fn engage(self: &Arc<Self>) {
        if !self.engagement.is_engaged.swap(true, Ordering::Relaxed) {
            self.engagement.engaged.add(self);
        }
    }

    /// Returns true if the server remains among the engaged servers: this host has requests in
    /// flight, connections, measurements or notices of the server, or waits for a response.
    /// Otherwise the server leaves the engaged servers.
    pub fn stays_engaged(&self) -> bool {
        let stays = self.own_load() > 0
            || self.pool.has_idle()
            || self.own_run_ms() > 0.0
            || self.path.waited_ms().is_some()
            || self.has_own_notices()
            || self.has_recent_slowdown();
        if !stays {
            self.engagement.is_engaged.store(false, Ordering::Relaxed);
        }
        stays
    }

    fn has_own_notices(&self) -> bool {
        self.backoff_ms() > 0 || self.leaves_by_notice_only()
    }

    fn has_recent_slowdown(&self) -> bool {
        let slowdown = self.own_slowdown();
        slowdown.is_some_and(|(_, at_ms)| clock::now_ms() < at_ms + SLOWDOWN_KEPT_MS)
    }
}
