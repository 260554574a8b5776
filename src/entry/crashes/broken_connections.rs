//! Connections to one server that broke off without an answer, and whether that was its end.

use std::sync::{Mutex, MutexGuard, PoisonError};

use crate::clock;

/// Connections to a server that broke off.
#[derive(Debug, Default)]
pub struct BrokenConnections(Mutex<ProbeState>);

#[derive(Clone, Copy, Debug, Default)]
struct ProbeState {
    count: u32,
    latest_ms: u64,
    /// When the server was found to have ended; 0 if it was not.
    ended_ms: u64,
    /// True while somebody finds out whether the server has ended.
    is_probed: bool,
}

impl BrokenConnections {
    /// Notes that a connection broke off without an answer, or was refused; true if the caller is the
    /// one to find out whether the server has ended. If it is known to have ended, nobody probes it until it
    /// answers again.
    pub fn note(&self, answered_ms: u64) -> bool {
        let mut state = self.state();
        if state.ended_ms > answered_ms {
            return false;
        }
        state.count = state.count.wrapping_add(1);
        state.latest_ms = clock::now_ms();
        !std::mem::replace(&mut state.is_probed, true)
    }

    /// Notes that it was found out whether the server has ended.
    pub fn end_probe(&self, has_ended: bool) {
        let mut state = self.state();
        state.is_probed = false;
        if has_ended {
            state.ended_ms = clock::now_ms();
        }
    }

    /// Number of connections that broke off so far.
    pub fn count(&self) -> u32 {
        self.state().count
    }

    /// When the latest one broke off; 0 if none did.
    pub fn latest_ms(&self) -> u64 {
        self.state().latest_ms
    }

    fn state(&self) -> MutexGuard<'_, ProbeState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
