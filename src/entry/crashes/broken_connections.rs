//! Broken connections to one server, and the result of its liveness probes.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::clock;

/// Broken connections of this host to one server, and the state of its liveness probe. A connection
/// counts as broken if it was refused, or closed before a complete response.
#[derive(Debug, Default)]
pub struct BrokenConnections(Mutex<ProbeState>);

#[derive(Clone, Copy, Debug, Default)]
struct ProbeState {
    /// Number of broken connections to the server so far; wraps around.
    count: u32,
    /// Time of the latest broken connection; 0 if there was none.
    latest_ms: u64,
    /// Time at which a probe found that the server had crashed; 0 if no probe did.
    crashed_ms: u64,
    /// True while this host runs a liveness probe of the server; no second probe is started then.
    is_probed: bool,
}

impl BrokenConnections {
    /// Records a broken or refused connection; returns true if the caller must probe the server. A
    /// server known to have crashed is not probed until that server has answered this host again;
    /// `answered_ms` is the time of the latest answer from that server to this host.
    pub fn note(&self, answered_ms: u64) -> bool {
        let mut state = self.state();
        if state.crashed_ms > answered_ms {
            return false;
        }
        state.count = state.count.wrapping_add(1);
        state.latest_ms = clock::now_ms();
        !std::mem::replace(&mut state.is_probed, true)
    }

    /// Records the result of a liveness probe. After this call a later broken connection can start
    /// another probe.
    pub fn end_probe(&self, has_crashed: bool) {
        let mut state = self.state();
        state.is_probed = false;
        if has_crashed {
            state.crashed_ms = clock::now_ms();
        }
    }

    /// Returns true if a probe found that the server had crashed, and the server has not answered
    /// this host since; `answered_ms` is the time of its latest answer.
    pub fn is_crash_known(&self, answered_ms: u64) -> bool {
        self.state().crashed_ms > answered_ms
    }

    /// Returns the number of broken connections so far, which wraps around. A change of the number
    /// during a probe shows that connections continue to break.
    pub fn count(&self) -> u32 {
        self.state().count
    }

    /// Returns the time of the latest broken connection, by this host's clock; 0 if there was none.
    pub fn latest_ms(&self) -> u64 {
        self.state().latest_ms
    }

    fn state(&self) -> MutexGuard<'_, ProbeState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
