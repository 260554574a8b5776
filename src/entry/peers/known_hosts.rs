//! Other hosts that this host knows, and their numbers.

use std::net::SocketAddr;

use rand::seq::IndexedRandom;

use super::{
    Peers,
    peer::{HostProperties, Peer, of_zone},
};
use crate::entry::{decide::choice::HostCount, tag::tag_of, updates::snapshot::SnapshotHost};

impl Peers {
    /// Adds a host. If the host is already known, replaces the properties of the host and keeps the
    /// reports that the host has sent.
    pub fn add(&self, address: SocketAddr, properties: HostProperties) {
        let mut peers = self.peers();
        let peer = peers.entry(address).or_insert_with(|| Peer {
            properties,
            relay_since_ms: 0,
            heard_ms: 0,
            loads: Vec::new(),
            run_times: Vec::new(),
        });
        peer.properties = properties;
    }

    /// Removes a host: this host sends no more messages to the removed host and ignores the loads
    /// that the removed host reported.
    pub fn remove(&self, address: SocketAddr) {
        self.peers().remove(&address);
    }

    /// Returns true if another host at this address is known, from its row or its own messages.
    pub fn knows(&self, address: SocketAddr) -> bool {
        self.peers().contains_key(&address)
    }

    /// Returns true if the host at this address is known to be in this host's zone.
    pub fn is_same_zone(&self, address: SocketAddr) -> bool {
        let peers = self.peers();
        let peer = peers.get(&address);
        peer.is_some_and(|peer| peer.properties.is_same_zone)
    }

    /// Returns the other hosts that this host knows, for a snapshot that is sent to a starting
    /// host.
    pub fn known_hosts(&self) -> Vec<SnapshotHost> {
        let peers = self.peers();
        let hosts = peers.iter().map(|(address, peer)| SnapshotHost {
            address: *address,
            incarnation: peer.properties.incarnation,
            zone_tag: peer.properties.zone_tag,
            processor_share: peer.properties.processor_share,
        });
        hosts.collect()
    }

    /// Returns up to `per_place` random hosts of this host's zone, and as many of other zones.
    pub fn sample(&self, per_place: usize) -> Vec<SocketAddr> {
        let peers = self.peers();
        let of_place = |is_same_zone: bool| {
            let in_place = of_zone(&peers, is_same_zone);
            let in_place: Vec<SocketAddr> = in_place.map(|(address, _)| *address).collect();
            let chosen = in_place.choose_multiple(&mut rand::rng(), per_place);
            chosen.copied().collect::<Vec<_>>()
        };
        [of_place(true), of_place(false)].concat()
    }

    /// Returns the number of hosts that this host knows, itself included.
    pub fn known_count(&self) -> usize {
        self.peers().len() + 1
    }

    /// Returns the number of hosts, this host included: the larger of the numbers that this host
    /// and the leader know. Limits that apply to all hosts together are divided by this number, so
    /// an overestimate is safer than an underestimate.
    pub fn hosts(&self) -> usize {
        self.known_count().max(self.hosts_known_to_leader())
    }

    /// Returns the numbers of hosts in this host's zone and in all zones.
    pub fn host_count(&self) -> HostCount {
        let peers = self.peers();
        HostCount {
            same_zone: of_zone(&peers, true).count() + 1,
            all: peers.len() + 1,
        }
    }

    /// Returns the number of hosts that come before the host at `own` in the takeover order. Hosts
    /// that may use a larger fraction of a processor come first, since the leader sends messages to
    /// all hosts and commands to all servers that hold keys. The order of hosts with equal fractions
    /// differs by term, so that the same crashed hosts do not come first in every term.
    pub fn takeover_rank(&self, own: SocketAddr, processor_share: f32) -> usize {
        let term = self.leader_term();
        let order = |address: &SocketAddr| tag_of(&format!("{address} {term}"));
        let own = order(&own);
        let is_before = |address: &SocketAddr, share: f32| {
            share > processor_share || share == processor_share && order(address) < own
        };
        let peers = self.peers();
        let others = peers.iter();
        others
            .filter(|(address, peer)| is_before(address, peer.properties.processor_share))
            .count()
    }

    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.peers().keys().copied().collect()
    }

    pub(super) fn same_zone_addresses(&self) -> Vec<SocketAddr> {
        let peers = self.peers();
        let same_zone = of_zone(&peers, true);
        same_zone.map(|(address, _)| *address).collect()
    }
}
