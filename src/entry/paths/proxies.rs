//! Finds hosts through which this host may open tunnels to servers. They are queried only when a path
//! to a server may be lost.

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use tokio::time;

use super::proxy_hosts::ProxyHost;
use crate::{
    clock,
    entry::{Entry, peers::message::Message},
};

/// Number of hosts of this host's zone, and of other zones, that get a query.
const QUERIED_PER_PLACE: usize = 4;
/// Minimum interval between queries.
const QUERY_EVERY_MS: u64 = 200;
/// Time to wait for the first response to a query.
const RESPONSE_WAIT_MS: u64 = 60;
/// Age of a host's last response from a server up to which the host is preferred.
const CONTACT_AGE_PREFERRED_MS: u32 = 200;

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

    /// Asks other hosts for tunnels: those that offer them already, and some more unless there are
    /// enough. Does nothing if hosts were asked less than `interval_ms` ago.
    pub(super) fn query_proxies(&self, interval_ms: u64) {
        let now_ms = clock::now_ms();
        let queried_ms = &self.paths.proxies.queried_ms;
        let before_ms = queried_ms.load(Ordering::Relaxed);
        if now_ms < before_ms + interval_ms {
            return;
        }
        queried_ms.store(now_ms, Ordering::Relaxed);
        let mut to = self.paths.proxies.fresh();
        if to.len() < 2 * QUERIED_PER_PLACE {
            to.extend(self.peers.sample(QUERIED_PER_PLACE));
            to.sort_unstable();
            to.dedup();
        }
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
