//! Leader as this host knows it from the leader's messages.

use std::{
    net::SocketAddr,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

use super::{Peers, fanout::OneWayDelay};
use crate::clock;

/// Latest messages from the leader.
#[derive(Debug, Default)]
pub struct LeaderContact {
    /// Address of the leader that sent the latest heartbeat.
    address: Mutex<Option<SocketAddr>>,
    term: AtomicU64,
    /// Number of hosts that the leader knows, as stated in its latest heartbeat.
    hosts_known: AtomicUsize,
    heard_ms: AtomicU64,
    /// True if the leader has given up the leadership since its latest heartbeat.
    is_gone: AtomicBool,
    /// Baseline for the delays of the heartbeats from the leader, by which delayed heartbeats are
    /// recognised.
    one_way_delay: Mutex<OneWayDelay>,
}

impl Peers {
    /// Records a heartbeat from the leader. Returns false and ignores the heartbeat if this host
    /// knows a leader of a later term.
    pub(super) fn note_leader(&self, from: SocketAddr, term: u64) -> bool {
        if term < self.leader.term.load(Ordering::Relaxed) {
            return false;
        }
        self.leader.term.store(term, Ordering::Relaxed);
        self.leader.is_gone.store(false, Ordering::Relaxed);
        self.leader
            .heard_ms
            .store(clock::now_ms(), Ordering::Relaxed);
        *self.leader() = Some(from);
        true
    }

    /// Records that the leader at `from` has given up the leadership of `term`.
    pub(super) fn note_leadership_released(&self, from: SocketAddr, term: u64) {
        let is_current = term >= self.leader.term.load(Ordering::Relaxed);
        if is_current && *self.leader() == Some(from) {
            self.leader.is_gone.store(true, Ordering::Relaxed);
        }
    }

    /// Returns true if the leader has announced that it has given up the leadership, and no
    /// heartbeat has arrived since.
    pub fn is_leader_gone(&self) -> bool {
        self.leader.is_gone.load(Ordering::Relaxed)
    }

    /// Returns the latest term for which a heartbeat from the leader was received.
    pub fn leader_term(&self) -> u64 {
        self.leader.term.load(Ordering::Relaxed)
    }

    /// Returns the time at which this host received the last heartbeat from the leader; 0 if this
    /// host has received none.
    pub fn leader_heard_ms(&self) -> u64 {
        self.leader.heard_ms.load(Ordering::Relaxed)
    }

    /// Records the number of hosts that the leader knows, as stated in its heartbeat.
    pub(super) fn note_hosts_known_to_leader(&self, hosts: u32) {
        self.leader
            .hosts_known
            .store(hosts as usize, Ordering::Relaxed);
    }

    /// Returns the number of hosts that the leader knows, as stated in its latest heartbeat; 0 before
    /// the first one.
    pub(super) fn hosts_known_to_leader(&self) -> usize {
        self.leader.hosts_known.load(Ordering::Relaxed)
    }

    /// Returns the excess delay of a heartbeat from the leader over the shortest delay seen in its
    /// term.
    pub(super) fn excess_delay_ms(&self, term: u64, sent_ms: u64) -> u64 {
        let mut one_way_delay = self
            .leader
            .one_way_delay
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        one_way_delay.delay_ms(term, sent_ms, clock::now_ms())
    }

    pub(super) fn leader(&self) -> MutexGuard<'_, Option<SocketAddr>> {
        self.leader
            .address
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
