//! Results of this host's attempts at a server.

use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use super::Server;
use crate::{clock, entry::decide::attempt_stats::AttemptStats};

/// Time of the last response from a server to this host, and statistics of the host's attempts.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Time at which the server last answered a request of this host; 0 if it never did.
    answered_ms: AtomicU64,
    stats: Mutex<AttemptStats>,
}

impl Server {
    /// Returns the average run time of this host's requests at the server, in milliseconds; 0 if
    /// unknown.
    pub fn own_run_ms(&self) -> f64 {
        self.attempt_stats().run_ms(clock::now_ms())
    }

    /// Records a response from the server. `run_ms` is the run time of the request, and
    /// `found_free_slot` is true if the request did not have to queue, which makes the run time a
    /// valid sample.
    pub fn answered(&self, run_ms: f64, found_free_slot: bool) {
        let now_ms = clock::now_ms();
        self.attempts.answered_ms.store(now_ms, Ordering::Relaxed);
        self.attempt_stats()
            .answered(run_ms, found_free_slot, now_ms);
    }

    /// Returns the time at which the server last answered a request of this host; 0 if it never
    /// did.
    pub fn answered_ms(&self) -> u64 {
        self.attempts.answered_ms.load(Ordering::Relaxed)
    }

    /// Records an attempt that failed because the server shed the request, the connection broke or
    /// the attempt timed out.
    pub fn failed(&self) {
        self.attempt_stats().failed(clock::now_ms());
    }

    /// Forgets failed attempts and ends the pause after them, because they were failures of the
    /// path to the server.
    pub fn reset_failures(&self) {
        self.attempt_stats().reset_failures();
    }

    /// Records an attempt that failed because no connection could be opened.
    pub fn not_connected(&self) {
        self.attempt_stats().not_connected(clock::now_ms());
    }

    pub(super) fn attempt_stats(&self) -> MutexGuard<'_, AttemptStats> {
        self.attempts
            .stats
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
