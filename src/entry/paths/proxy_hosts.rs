//! Hosts through which a host may open tunnels to servers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError, atomic::AtomicU64},
};

use rand::seq::IndexedRandom;
use tokio::sync::Notify;

use crate::clock;

/// Time for which the response of a host holds: two queries of a host with lost paths may go
/// unanswered.
const RESPONSE_KEPT_MS: u64 = 2_200;
/// Time without any response after which no other host counts as carrying tunnels.
const GONE_AFTER_MS: u64 = 3_000;

/// Host that has offered to carry tunnels.
#[derive(Clone, Copy, Debug)]
pub struct ProxyHost {
    /// Time at which the host last responded.
    pub responded_ms: u64,
    /// True if the host is in this host's availability zone.
    pub is_same_zone: bool,
    /// True if a server had responded to the host shortly before.
    pub has_contact: bool,
}

/// Hosts that have offered to carry tunnels, by their address.
#[derive(Debug, Default)]
pub struct Proxies {
    hosts: Mutex<HashMap<SocketAddr, ProxyHost>>,
    /// Time at which hosts were last queried.
    pub(super) queried_ms: AtomicU64,
    /// Notified when a host has responded.
    pub(super) responded: Notify,
}

impl Proxies {
    fn hosts(&self) -> MutexGuard<'_, HashMap<SocketAddr, ProxyHost>> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns true if the offer of the host at `address` still holds.
    pub fn is_fresh(&self, address: SocketAddr) -> bool {
        let now_ms = clock::now_ms();
        let hosts = self.hosts();
        hosts
            .get(&address)
            .is_some_and(|host| host.is_fresh(now_ms))
    }

    /// Returns the number of hosts whose offer still holds.
    pub fn fresh_count(&self) -> usize {
        let now_ms = clock::now_ms();
        let hosts = self.hosts();
        hosts.values().filter(|host| host.is_fresh(now_ms)).count()
    }

    /// Returns the hosts whose offer still holds.
    pub fn fresh(&self) -> Vec<SocketAddr> {
        let now_ms = clock::now_ms();
        let hosts = self.hosts();
        let fresh = hosts.iter().filter(|(_, host)| host.is_fresh(now_ms));
        fresh.map(|(address, _)| *address).collect()
    }

    /// Returns true if no host has offered tunnels for a while.
    pub fn are_gone(&self) -> bool {
        let latest_ms = self.hosts().values().map(|host| host.responded_ms).max();
        latest_ms.is_none_or(|latest_ms| clock::now_ms() > latest_ms + GONE_AFTER_MS)
    }

    /// Records that a tunnel of a host gave no response of the server, so that other hosts are
    /// preferred: the host may have lost its path to the servers as well.
    pub fn demote(&self, address: SocketAddr) {
        if let Some(host) = self.hosts().get_mut(&address) {
            host.has_contact = false;
        }
    }

    /// Records the offer of the host at `address`.
    pub fn note(&self, address: SocketAddr, host: ProxyHost) {
        self.hosts().insert(address, host);
        self.responded.notify_waiters();
    }

    /// Chooses a host at random: with recent contact to servers rather than without, and none of
    /// `tried`. The first choice is a host of this host's zone, the next ones are hosts of other
    /// zones, because a partition may concern a whole zone.
    pub fn choose(&self, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let now_ms = clock::now_ms();
        let hosts = self.hosts();
        let fresh = hosts
            .iter()
            .filter(|(address, host)| host.is_fresh(now_ms) && !tried.contains(address));
        let fresh: Vec<_> = fresh.collect();
        let is_first = tried.is_empty();
        let rank = |host: &ProxyHost| (host.has_contact, host.is_same_zone == is_first);
        let best = fresh.iter().map(|(_, host)| rank(host)).max()?;
        let preferred = fresh.iter().filter(|(_, host)| rank(host) == best);
        let preferred: Vec<SocketAddr> = preferred.map(|(address, _)| **address).collect();
        preferred.choose(&mut rand::rng()).copied()
    }
}

impl ProxyHost {
    fn is_fresh(&self, now_ms: u64) -> bool {
        now_ms < self.responded_ms + RESPONSE_KEPT_MS
    }
}
