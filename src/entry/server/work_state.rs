//! Work that a server may get. The server may be leaving by its entry or by its notices, its zone may
//! be evacuated, or it may have asked for a backoff.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use super::Server;
use crate::{
    clock,
    entry::{
        decide::notices::{NoticeEffect, Notices},
        model::Notice,
    },
};

/// State that determines which work a server may get.
#[derive(Debug)]
pub struct WorkState {
    /// Time at which this host learned from the latest entry that the server is leaving and must get
    /// no new work; 0 if the entry does not say so.
    leaving_since_ms: AtomicU64,
    /// Time at which this host learned that the server's zone was evacuated; 0 if the zone is not
    /// evacuated.
    evacuated_ms: AtomicU64,
    /// Notices that the server sent in its responses. The registry also refers to the notices, so
    /// that they outlast the removal of the server's entry.
    notices: Arc<Mutex<Notices>>,
}

impl WorkState {
    /// Creates the state of a server whose zone is not evacuated.
    pub fn new(is_leaving: bool, notices: Arc<Mutex<Notices>>) -> Self {
        Self {
            leaving_since_ms: AtomicU64::new(leaving_since_ms(is_leaving)),
            evacuated_ms: AtomicU64::new(0),
            notices,
        }
    }
}

impl Server {
    /// Returns true if the server may be assigned keys and may get requests that any server of its
    /// service can run.
    pub fn takes_new_work(&self) -> bool {
        !self.leaving() && !self.notices().leaves() && !self.is_evacuated()
    }

    /// Returns true if a request that arrived at `arrived_ms` may go to this server when no server
    /// takes new work. The server must not be leaving by its entry or be in an evacuated zone, and
    /// must not have announced its leaving to this host `hold_ms` or longer before the arrival.
    pub fn takes_work_while_leaving(&self, arrived_ms: u64, hold_ms: u64) -> bool {
        !self.leaving() && !self.is_evacuated() && !self.is_closed_to(arrived_ms, hold_ms)
    }

    /// Returns true if a request that arrived at `arrived_ms` must not go to the server, because
    /// the server had announced its leaving to this host at least `hold_ms` before.
    pub fn is_closed_to(&self, arrived_ms: u64, hold_ms: u64) -> bool {
        self.notices().is_closed_to(arrived_ms, hold_ms)
    }

    fn is_evacuated(&self) -> bool {
        self.work.evacuated_ms.load(Ordering::Relaxed) != 0
    }

    /// Sets the time at which this host learned of the evacuation of the server's zone; `None` if
    /// the zone is not evacuated.
    pub fn set_evacuated(&self, since_ms: Option<u64>) {
        let since_ms = since_ms.unwrap_or(0);
        self.work.evacuated_ms.store(since_ms, Ordering::Relaxed);
    }

    /// Returns true if the server still gets requests for the keys that it holds. After this host
    /// has learned of the evacuation of the server's zone, the server gets such requests for
    /// `evacuation_hold_ms`, while the keys are moved to other servers.
    pub fn serves_held_keys(&self, evacuation_hold_ms: u64) -> bool {
        let since_ms = self.work.evacuated_ms.load(Ordering::Relaxed);
        let held = since_ms == 0 || clock::now_ms() < since_ms + evacuation_hold_ms;
        held && !self.leaving()
    }

    /// Returns true if the entry says that the server is leaving and must get no new work.
    pub fn leaving(&self) -> bool {
        self.work.leaving_since_ms.load(Ordering::Relaxed) != 0
    }

    /// Returns the time, in milliseconds, since this host learned from the entry that the server is
    /// leaving; `None` if the entry does not say so.
    pub fn entry_leaving_for_ms(&self) -> Option<u64> {
        let since_ms = self.work.leaving_since_ms.load(Ordering::Relaxed);
        (since_ms != 0).then(|| clock::now_ms().saturating_sub(since_ms))
    }

    /// Sets whether the server is leaving and must get no new work.
    pub fn set_leaving(&self, leaving: bool) {
        if self.leaving() != leaving {
            let since_ms = leaving_since_ms(leaving);
            self.work
                .leaving_since_ms
                .store(since_ms, Ordering::Relaxed);
        }
    }

    /// Records the notice in a response from the server to this host. A notice states that the
    /// server leaves, or asks for a backoff, which is a period without requests.
    pub fn note_notice(&self, notice: Notice) -> NoticeEffect {
        self.notices().note(notice, clock::now_ms())
    }

    /// Records that the server announced its leaving to another host. Returns true if no notice had
    /// told this host before that the server leaves.
    pub fn note_leaving_elsewhere(&self) -> bool {
        self.notices().note_leaving_elsewhere(clock::now_ms())
    }

    /// Returns true if the server has announced its leaving to this host in a response while its
    /// entry does not say so.
    pub fn leaves_by_notice_only(&self) -> bool {
        !self.leaving() && self.notices().has_announced_leaving()
    }

    /// Returns the time since this host first learned from notices that the server leaves; `None`
    /// if no notice says so.
    pub fn leaves_for_ms(&self) -> Option<u64> {
        self.notices().leaves_for_ms(clock::now_ms())
    }

    /// Returns a shared reference to the notices, which the registry keeps after the server's entry
    /// was removed.
    pub fn kept_notices(&self) -> Arc<Mutex<Notices>> {
        self.work.notices.clone()
    }

    /// Returns the remaining backoff, in which this host must send the server no requests; 0 if
    /// there is none.
    pub fn backoff_ms(&self) -> u64 {
        self.notices().backoff_ms(clock::now_ms())
    }

    fn notices(&self) -> MutexGuard<'_, Notices> {
        self.work
            .notices
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the current time if a server is leaving, else 0.
fn leaving_since_ms(is_leaving: bool) -> u64 {
    if is_leaving { clock::now_ms() } else { 0 }
}
