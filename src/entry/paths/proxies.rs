//! Hosts through which this host may open tunnels to servers. They are queried only when a path to a
//! server may be lost.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError, atomic::AtomicU64, atomic::Ordering},
    time::Duration,
};

use rand::seq::IndexedRandom;
use tokio::{sync::Notify, time};

use crate::{
    clock,
    entry::{Entry, peers::message::Message},
};

/// Number of hosts of this host's zone, and of other zones, that get a query.
const QUERIED_PER_PLACE: usize = 4;
/// Time for which the response of a host holds.
const RESPONSE_KEPT_MS: u64 = 1_500;
/// Minimum interval between queries.
const QUERY_EVERY_MS: u64 = 200;
/// Time to wait for the first response to a query.
const RESPONSE_WAIT_MS: u64 = 60;
/// Age of a host's last response from a server up to which the host is preferred.
const CONTACT_AGE_PREFERRED_MS: u32 = 200;

/// Host that has offered to carry tunnels.
#[derive(Clone, Copy, Debug)]
struct ProxyHost {
    responded_ms: u64,
    is_same_zone: bool,
    /// True if a server had responded to the host shortly before.
    has_contact: bool,
}

/// Hosts that have offered to carry tunnels, by their address.
#[derive(Debug, Default)]
pub struct Proxies {
    hosts: Mutex<HashMap<SocketAddr, ProxyHost>>,
    queried_ms: AtomicU64,
    responded: Notify,
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

    /// Records that a tunnel of a host gave no response of the server, so that other hosts are
    /// preferred: the host may have lost its path to the servers as well.
    pub fn demote(&self, address: SocketAddr) {
        if let Some(host) = self.hosts().get_mut(&address) {
            host.has_contact = false;
        }
    }

    fn note(&self, address: SocketAddr, host: ProxyHost) {
        self.hosts().insert(address, host);
        self.responded.notify_waiters();
    }

    /// Chooses a host at random: with recent contact to servers rather than without, and none of
    /// `tried`. The first choice is a host of this host's zone, the next ones are hosts of other
    /// zones, because a partition may concern a whole zone.
    fn choose(&self, tried: &[SocketAddr]) -> Option<SocketAddr> {
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

impl Entry {
    /// Returns a host that carries tunnels and is not among `tried`, and queries hosts if none is
    /// known; `None` if no host responds.
    pub(super) async fn proxy(&self, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let proxies = &self.paths.proxies;
        if let Some(address) = proxies.choose(tried) {
            return Some(address);
        }
        if proxies.fresh_count() > 0 {
            return None;
        }
        let responded = proxies.responded.notified();
        self.query_proxies(QUERY_EVERY_MS);
        let wait = Duration::from_millis(RESPONSE_WAIT_MS);
        if time::timeout(wait, responded).await.is_err() {
            log::debug!("no other host offers tunnels");
        }
        proxies.choose(tried)
    }

    /// Asks some other hosts for tunnels, unless hosts were asked less than `interval_ms` ago.
    pub(super) fn query_proxies(&self, interval_ms: u64) {
        let now_ms = clock::now_ms();
        let queried_ms = &self.paths.proxies.queried_ms;
        let before_ms = queried_ms.load(Ordering::Relaxed);
        if now_ms < before_ms + interval_ms {
            return;
        }
        queried_ms.store(now_ms, Ordering::Relaxed);
        let to = self.peers.sample(QUERIED_PER_PLACE);
        self.peers.send(&Message::QueryTunnels, &to);
    }

    /// Responds to a host that asks for tunnels, if this host may carry tunnels.
    pub(in crate::entry) fn offer_tunnels(&self, to: SocketAddr) {
        if self.may_carry_tunnels() {
            let age_ms = self
                .server_contact
                .age_ms()
                .filter(|_| !self.paths.has_recent_loss());
            let contact_age_ms = age_ms.map(|ms| u32::try_from(ms).unwrap_or(u32::MAX));
            self.peers
                .send(&Message::OfferTunnels { contact_age_ms }, &[to]);
        }
    }

    /// Returns true if this host may carry tunnels of other hosts.
    pub(super) fn may_carry_tunnels(&self) -> bool {
        self.ready() && !self.paths.is_cut_off() && self.paths.carried.available_permits() > 0
    }

    /// Records that the host at `from` carries tunnels. A server has last responded to that host
    /// `contact_age_ms` ago; `None` if none has.
    pub(in crate::entry) fn note_tunnel_offer(
        &self,
        from: SocketAddr,
        contact_age_ms: Option<u32>,
    ) {
        let host = ProxyHost {
            responded_ms: clock::now_ms(),
            is_same_zone: self.peers.is_same_zone(from),
            has_contact: contact_age_ms.is_some_and(|age_ms| age_ms <= CONTACT_AGE_PREFERRED_MS),
        };
        self.paths.proxies.note(from, host);
    }
}
