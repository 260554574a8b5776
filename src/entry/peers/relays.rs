//! Relays: hosts that forward messages to the other hosts of their zone if there are many hosts.

use std::net::SocketAddr;

use rand::seq::IndexedRandom;

use super::{
    Peers,
    fanout::{self, DIRECT_HOSTS_MAX, Fanout, RelayCandidate},
    peer::{SeedHost, of_zone, relay_candidates},
};
use crate::clock;

impl Peers {
    /// Returns true if messages to all hosts are sent through relays.
    pub(in crate::entry) fn use_relays(&self) -> bool {
        self.hosts() > DIRECT_HOSTS_MAX
    }

    /// Returns the number of hosts that receive each other's load reports, this host included. With
    /// relays, hosts report only to the hosts of their own zone.
    pub(super) fn reporting_hosts(&self) -> usize {
        let hosts = self.host_count();
        if self.use_relays() {
            hosts.same_zone
        } else {
            hosts.all
        }
    }

    /// Returns the relays of this host's zone, which may include this host.
    pub(in crate::entry) fn own_zone_relays(&self, own: RelayCandidate) -> Vec<SocketAddr> {
        let now_ms = clock::now_ms();
        let same_zone: Vec<RelayCandidate> = {
            let peers = self.peers();
            relay_candidates(of_zone(&peers, true), now_ms).collect()
        };
        let term = self.leader_term();
        let zone: Vec<RelayCandidate> = same_zone.into_iter().chain([own]).collect();
        fanout::choose_zone_relays(&zone, term)
    }

    /// Returns the hosts from which this host fetches missed changes: with many hosts, the relays
    /// of this host's zone; with few hosts, or if this host is a relay itself, the leader.
    pub(in crate::entry) fn sync_peers(&self, own: RelayCandidate) -> Vec<SocketAddr> {
        if self.use_relays() {
            let relays = self.own_zone_relays(own);
            if !relays.contains(&own.address) {
                return relays;
            }
        }
        self.leader().iter().copied().collect()
    }

    /// Returns one of the hosts from which this host fetches missed changes; `None` if it knows none.
    pub fn sync_peer(&self, own: RelayCandidate) -> Option<SocketAddr> {
        let peers = self.sync_peers(own);
        peers.choose(&mut rand::rng()).copied()
    }

    /// Returns the seed hosts: this host, and the hosts to which this host sends messages for all
    /// hosts. With many hosts, these are the relays of each zone; with few hosts, all other hosts.
    pub fn seed_hosts(&self, own: SeedHost) -> Vec<SeedHost> {
        let Fanout { direct, relays } = self.current_fanout();
        let peers = self.peers();
        let zone_tag =
            |address: &SocketAddr| peers.get(address).map(|peer| peer.properties.zone_tag);
        let others = direct.iter().chain(&relays);
        let others = others.filter_map(|address| {
            Some(SeedHost {
                address: *address,
                zone_tag: zone_tag(address)?,
            })
        });
        let mut seed_hosts: Vec<SeedHost> = others.chain([own]).collect();
        seed_hosts.sort_unstable();
        seed_hosts
    }

    /// Records that a host has sent a datagram, which counts as an acknowledgement of all messages
    /// that this host has sent to that host to relay.
    pub(super) fn note_heard(&self, address: SocketAddr) {
        if let Some(peer) = self.peers().get_mut(&address) {
            peer.relay_since_ms = 0;
        }
    }

    /// Chooses the recipients of a message to all hosts, and records that the relays among them
    /// have a message to acknowledge.
    pub(super) fn fanout(&self) -> Fanout {
        let fanout = self.current_fanout();
        self.expect_relay_acks(&fanout.relays);
        fanout
    }

    /// Returns the current recipients of a message to all hosts, without recording that the relays
    /// have a message to acknowledge.
    pub(super) fn current_fanout(&self) -> Fanout {
        let now_ms = clock::now_ms();
        let term = self.leader_term();
        let peers = self.peers();
        let candidates = relay_candidates(peers.iter(), now_ms);
        fanout::fanout(&candidates.collect::<Vec<_>>(), term)
    }

    /// Records that relays have a message to acknowledge. The time of an earlier message that a
    /// relay has not acknowledged is kept.
    pub(super) fn expect_relay_acks(&self, relays: &[SocketAddr]) {
        let now_ms = clock::now_ms();
        let mut peers = self.peers();
        for address in relays {
            if let Some(peer) = peers
                .get_mut(address)
                .filter(|peer| peer.relay_since_ms == 0)
            {
                peer.relay_since_ms = now_ms;
            }
        }
    }
}
