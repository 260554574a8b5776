//! State of the paths from a host to the servers, beyond that of the single servers.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use tokio::sync::{Notify, Semaphore};

use super::proxy_hosts::Proxies;
use crate::clock;

/// Maximum number of tunnels that this host carries for other hosts.
const TUNNELS_MAX: usize = 512;
/// Time after the loss of a path in which failed connections of this host are no evidence for other
/// hosts.
const RECENT_LOSS_MS: u64 = 3_000;

/// State of the paths from this host to the servers, beyond that of the single servers.
#[derive(Debug)]
pub struct ServerPaths {
    /// Time at which this host was found to have lost its path to all servers; 0 otherwise.
    pub(super) cut_off_ms: AtomicU64,
    /// True while this host asks servers whether it has lost its path to all of them.
    pub(super) is_examined: AtomicBool,
    /// Time at which a path to a server was last found to be lost; 0 before the first loss.
    pub(super) lost_ms: AtomicU64,
    /// Time at which a lost path was last found to be usable again; 0 before.
    pub(super) healed_ms: AtomicU64,
    /// Notified when this host has lost its path to all servers.
    pub(super) cut_off: Notify,
    /// Hosts through which this host may open tunnels.
    pub(super) proxies: Proxies,
    /// Permits of the tunnels that this host carries for other hosts.
    pub(super) carried: Arc<Semaphore>,
}

impl Default for ServerPaths {
    fn default() -> Self {
        Self {
            cut_off_ms: AtomicU64::new(0),
            is_examined: AtomicBool::new(false),
            lost_ms: AtomicU64::new(0),
            healed_ms: AtomicU64::new(0),
            cut_off: Notify::new(),
            proxies: Proxies::default(),
            carried: Arc::new(Semaphore::new(TUNNELS_MAX)),
        }
    }
}

impl ServerPaths {
    /// Returns true while this host does not reach any server, although other hosts do.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_ms.load(Ordering::Relaxed) != 0
    }

    /// Returns true if this host has lost the path to a server lately, so that a failed connection
    /// of this host shows nothing about another server.
    pub(super) fn has_recent_loss(&self) -> bool {
        let lost_ms = self.lost_ms.load(Ordering::Relaxed);
        lost_ms > 0 && clock::now_ms() < lost_ms + RECENT_LOSS_MS
    }

    /// Waits until this host is found to have lost its path to all servers.
    pub async fn until_cut_off(&self) {
        self.cut_off.notified().await;
    }

    /// Returns the number of tunnels that this host carries for other hosts.
    pub fn carried_tunnels(&self) -> usize {
        TUNNELS_MAX - self.carried.available_permits()
    }
}
