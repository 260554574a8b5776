//! Time at which this host last received a response from a backend server.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::clock;

/// Time of the last response from one server, or from any server, by this host's clock. Only
/// responses count, because a middlebox may accept connections on behalf of a server that cannot be
/// reached.
#[derive(Debug, Default)]
pub struct ContactTime {
    /// Time of the last response; 0 before the first response.
    at_ms: AtomicU64,
}

impl ContactTime {
    /// Records that a response has arrived now.
    pub fn note(&self) {
        self.at_ms.fetch_max(clock::now_ms(), Ordering::Relaxed);
    }

    /// Returns the time of the last response; 0 before the first response.
    pub fn at_ms(&self) -> u64 {
        self.at_ms.load(Ordering::Relaxed)
    }

    /// Returns the time since the last response, in milliseconds; `None` before the first response.
    pub fn age_ms(&self) -> Option<u64> {
        let at_ms = self.at_ms();
        (at_ms > 0).then(|| clock::now_ms().saturating_sub(at_ms))
    }
}
