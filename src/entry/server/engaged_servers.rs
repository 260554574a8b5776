//! Servers that a host deals with at the moment. Periodic tasks visit these servers instead of all
//! servers: a host among hundreds sends requests to a few of thousands of servers.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};

use super::Server;

/// Servers that this host has sent requests to and that still have state of these requests.
#[derive(Clone, Debug, Default)]
pub struct EngagedServers {
    servers: Arc<Mutex<Vec<Weak<Server>>>>,
}

impl EngagedServers {
    /// Adds a server, which must not be among the engaged servers yet.
    pub fn add(&self, server: &Arc<Server>) {
        self.lock().push(Arc::downgrade(server));
    }

    /// Returns the engaged servers.
    pub fn all(&self) -> Vec<Arc<Server>> {
        self.lock().iter().filter_map(Weak::upgrade).collect()
    }

    /// Removes the servers for which `is_kept` returns false, and those that no longer exist.
    pub fn retain(&self, is_kept: impl Fn(&Arc<Server>) -> bool) {
        self.lock()
            .retain(|server| server.upgrade().is_some_and(|server| is_kept(&server)));
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Weak<Server>>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
