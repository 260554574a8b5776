//! Cold time of a server: the time in which the server runs few requests per second, because it has
//! just started or its zone was evacuated.

use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use super::Server;
use crate::{
    clock,
    entry::decide::warmup::{WarmupLimit, WarmupWindows},
};

/// Time until which a server is cold, and the windows in which this host may send it requests until
/// then.
#[derive(Debug)]
pub struct ColdState {
    /// Time until which the server is treated as cold; 0 if it is marked as warm.
    until_ms: AtomicU64,
    /// Cold time that the server's latest entry states. An entry that repeats the same value does
    /// not restart the cold time.
    entry_cold_ms: AtomicU64,
    warmup_windows: Mutex<WarmupWindows>,
}

impl ColdState {
    /// Creates the state of a server whose first entry states the cold time `entry_cold_ms`.
    pub fn new(entry_cold_ms: u64) -> Self {
        Self {
            until_ms: AtomicU64::new(cold_until_ms(entry_cold_ms)),
            entry_cold_ms: AtomicU64::new(entry_cold_ms),
            warmup_windows: Mutex::default(),
        }
    }
}

impl Server {
    /// Applies the cold time of a later entry, if it differs from that of the previous entry.
    pub(super) fn renew_cold_time(&self, entry_cold_ms: u64) {
        let previous_cold_ms = self
            .cold
            .entry_cold_ms
            .swap(entry_cold_ms, Ordering::Relaxed);
        if previous_cold_ms != entry_cold_ms {
            self.set_cold_for(entry_cold_ms);
        }
    }

    /// Marks the server as cold for `cold_ms`, counted from this call; 0 marks the server as warm.
    pub fn set_cold_for(&self, cold_ms: u64) {
        let until_ms = cold_until_ms(cold_ms);
        self.cold.until_ms.store(until_ms, Ordering::Relaxed);
    }

    /// Returns the remaining time for which the server is cold; 0 for a warm server.
    pub fn cold_remaining_ms(&self) -> u64 {
        let until_ms = self.cold.until_ms.load(Ordering::Relaxed);
        until_ms.saturating_sub(clock::now_ms())
    }

    /// Returns true if the server is cold and this host may not send it a request at present,
    /// because no warm-up window of this host is open.
    pub fn is_limited_by_warmup(&self, limit: Option<WarmupLimit>) -> bool {
        let Some(limit) = limit.filter(|_| self.cold_remaining_ms() > 0) else {
            return false;
        };
        let mut warmup_windows = self.warmup_windows();
        !warmup_windows.is_open(limit.window_every_ms, rand::random(), clock::now_ms())
    }

    /// Records that this host is about to send the server a request, which uses up the current
    /// warm-up window if the server is cold.
    pub fn take_warmup_window(&self, limit: Option<WarmupLimit>) {
        if let Some(limit) = limit.filter(|_| self.cold_remaining_ms() > 0) {
            self.warmup_windows().take(limit.window_every_ms);
        }
    }

    fn warmup_windows(&self) -> MutexGuard<'_, WarmupWindows> {
        self.cold
            .warmup_windows
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the time until which a server is cold if its cold time of `cold_ms` begins now; 0 if
/// `cold_ms` is 0.
fn cold_until_ms(cold_ms: u64) -> u64 {
    if cold_ms > 0 {
        clock::now_ms() + cold_ms
    } else {
        0
    }
}
