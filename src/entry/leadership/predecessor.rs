//! Previous leader, and the wait for the leases that leaders of earlier terms may have granted.

use std::{
    net::SocketAddr,
    sync::{MutexGuard, PoisonError, atomic::Ordering},
};

use super::Leadership;
use crate::{clock, entry::events::LeadershipEvent};

/// Previous leader. The current leader waits for the expiry of the leases that the previous leader
/// may still grant. The wait becomes shorter once the previous leader's process is known to have
/// ended or to have stopped granting leases.
#[derive(Clone, Copy, Debug)]
pub struct Predecessor {
    /// Incarnation of the process that was the leader.
    pub incarnation: u64,
    /// Number of its term.
    pub term: u64,
    /// Address at which its host receives messages from other hosts.
    pub address: SocketAddr,
    /// Time up to which the leaders of terms before the predecessor's term may grant leases.
    pub before_predecessor_until_ms: u64,
}

impl Leadership {
    /// Returns the time up to which leaders of earlier terms may have granted leases.
    pub fn earlier_leases_until_ms(&self) -> u64 {
        self.earlier_leases_until_ms.load(Ordering::Relaxed)
    }

    /// Returns the remaining time, in milliseconds, in which leaders of earlier terms may still
    /// grant leases.
    pub(super) fn earlier_leases_remaining_ms(&self) -> u64 {
        self.earlier_leases_until_ms()
            .saturating_sub(clock::now_ms())
    }

    pub(super) fn predecessor(&self) -> MutexGuard<'_, Option<Predecessor>> {
        self.predecessor
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Shortens the wait for the leases of the previous leader if `has_ended` returns true for the
    /// previous leader. The caller knows that the host of the previous leader runs another process,
    /// or that the previous leader has reported that it grants no more leases. The leases of still
    /// earlier leaders must expire nevertheless.
    fn end_wait_for_predecessor(&self, has_ended: impl FnOnce(&Predecessor) -> bool) {
        let mut predecessor = self.predecessor();
        let Some(ended) = predecessor.filter(|p| has_ended(p)) else {
            return;
        };
        *predecessor = None;
        drop(predecessor);
        let until_ms = ended.before_predecessor_until_ms.max(clock::now_ms());
        self.earlier_leases_until_ms
            .fetch_min(until_ms, Ordering::Relaxed);
        LeadershipEvent::PredecessorEnded { term: ended.term }.log();
    }

    /// Records the incarnation of the process that runs on the host at `address`. If the previous
    /// leader ran on that host under another incarnation, the process of the previous leader has
    /// ended, and this host stops waiting for the leases of the previous leader to expire.
    pub fn note_process(&self, address: SocketAddr, incarnation: u64) {
        self.end_wait_for_predecessor(|p| p.address == address && p.incarnation != incarnation);
    }

    /// Records the report of the host at `address` that it grants no more leases as the leader of
    /// `term`.
    pub fn note_stopped(&self, address: SocketAddr, term: u64) {
        self.end_wait_for_predecessor(|p| p.address == address && p.term == term);
    }
}
