//! Fan-out of messages for all hosts. Among few hosts the sender addresses each of them. Among many,
//! two relays in each availability zone forward to the others there, so that what one host sends,
//! and what goes between zones, does not grow with the number of hosts.

use std::net::SocketAddr;

use crate::entry::server::tag_of;

/// Number of hosts up to which the sender addresses each of them. Word of some 20 moves a second to hundreds of hosts
/// fills a link of 20 Mbit/s: the heartbeats of the holder of the duty are lost then, and with them the duty.
pub const DIRECT_HOSTS_MAX: usize = 20;
/// Relays of a zone, so that the loss of one costs nothing.
const RELAYS: usize = 2;
/// Time without an acknowledgement after which another host takes a relay's place. Three heartbeats
/// of the holder fall into it. With bounds of 2 s it ends before the hosts of the zone stop relying on
/// the holder; with tighter ones they ask the store meanwhile.
pub const RELAY_SILENT_MS: u64 = 900;

/// What the choice of relays depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelayCandidate {
    /// Address.
    pub address: SocketAddr,
    /// Short name of its availability zone.
    pub zone_tag: u32,
    /// Processor share: relays send to their whole zone.
    pub processor_share: f32,
    /// True if it was given messages to relay and has been silent since.
    pub is_silent: bool,
}

/// Where a message for all hosts is sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fanout {
    /// Hosts that get it for themselves.
    pub direct: Vec<SocketAddr>,
    /// Hosts that get it and forward it to the others of their zone.
    pub relays: Vec<SocketAddr>,
}

/// Chooses the fan-out to all hosts; `term` varies the choice among equals.
pub fn fanout(hosts: &[RelayCandidate], term: u64) -> Fanout {
    if hosts.len() < DIRECT_HOSTS_MAX {
        return Fanout {
            direct: hosts.iter().map(|host| host.address).collect(),
            relays: Vec::new(),
        };
    }
    let mut ranked: Vec<RelayCandidate> = hosts.to_vec();
    ranked.sort_by_key(|host| host.zone_tag);
    let mut fanout = Fanout::default();
    for zone in ranked.chunk_by(|one, other| one.zone_tag == other.zone_tag) {
        fanout.relays.extend(choose_zone_relays(zone, term));
    }
    fanout
}

/// The relays of one zone.
pub fn choose_zone_relays(zone: &[RelayCandidate], term: u64) -> Vec<SocketAddr> {
    let mut ranked: Vec<RelayCandidate> = zone.to_vec();
    ranked.sort_by_cached_key(|host| order(host, term));
    let chosen = ranked.iter().take(RELAYS);
    chosen.map(|host| host.address).collect()
}

/// Order in which the hosts of a zone are chosen: those that are heard, strong ones first.
fn order(host: &RelayCandidate, term: u64) -> (bool, u32, u32) {
    let share_milli = (host.processor_share * 1_000.0) as u32;
    let place = tag_of(&format!("{} {term}", host.address));
    (host.is_silent, u32::MAX - share_milli, place)
}

/// The host that sums up the loads of its zone for the others: the strongest that is heard. Where
/// hosts disagree for a moment, two do so.
pub fn zone_aggregator(zone: &[RelayCandidate]) -> Option<SocketAddr> {
    let first = zone.iter().min_by_key(|host| order(host, 0));
    first.map(|host| host.address)
}

/// One relay of each zone, for messages that may be lost.
pub fn zone_relays(hosts: &mut [RelayCandidate]) -> Vec<SocketAddr> {
    hosts.sort_unstable_by_key(|host| host.zone_tag);
    let zones = hosts.chunk_by(|one, other| one.zone_tag == other.zone_tag);
    zones.filter_map(zone_aggregator).collect()
}

/// One-way delay of one host's messages beyond the shortest one seen. The clocks of two hosts do not
/// compare, but a message that a relay held back stands out, and does not count as fresh.
#[derive(Clone, Copy, Debug, Default)]
pub struct OneWayDelay {
    term: u64,
    least_offset_ms: i64,
    at_ms: u64,
}

/// Time in which the clocks of two hosts may drift apart by a millisecond.
const DRIFT_MS: u64 = 1_000;

impl OneWayDelay {
    /// Delay of a message that was sent in a term at `sent_ms` by the sender's clock, beyond the
    /// shortest one.
    pub fn delay_ms(&mut self, term: u64, sent_ms: u64, now_ms: u64) -> u64 {
        let offset_ms = now_ms as i64 - sent_ms as i64;
        if term < self.term {
            // Nobody relies on an earlier holder, and the later one's shortest delay is kept.
            return u64::MAX;
        }
        if term > self.term {
            *self = Self {
                term,
                least_offset_ms: offset_ms,
                at_ms: now_ms,
            };
            return 0;
        }
        let drift_ms = now_ms.saturating_sub(self.at_ms) / DRIFT_MS;
        if offset_ms <= self.least_offset_ms + drift_ms as i64 {
            self.least_offset_ms = offset_ms;
            self.at_ms = now_ms;
            return 0;
        }
        (offset_ms - self.least_offset_ms) as u64
    }
}
