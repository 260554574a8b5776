//! On which ways word reaches all hosts. Among few hosts the sender tells each of them. Among many,
//! two hosts of each availability zone pass it on there, so that what one host sends, and what
//! goes between zones, does not grow with the number of hosts.

use std::net::SocketAddr;

use crate::entry::server::tag_of;

/// Number of hosts up to which the sender tells each of them. 295 datagrams for each word of 22
/// moves a second filled the 20 Mbit/s of the holder of the duty: its own signs of life were lost
/// and it lost the duty twice on a day without trouble.
pub const DIRECT_HOSTS_MAX: usize = 20;
/// Hosts of a zone that pass word on, so that the loss of one costs nothing.
const RELAYS: usize = 2;
/// Time without a sign of a relay that was given word after which another one takes its place.
/// Word comes several times in it, and a zone without word does not miss a holder yet.
pub const RELAY_SILENT_MS: u64 = 900;

/// What the choice of relays depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostView {
    /// Address.
    pub address: SocketAddr,
    /// Short name of its availability zone.
    pub zone_tag: u32,
    /// Processor share: relays send to their whole zone.
    pub processor_share: f32,
    /// True if it was given word and has been silent since.
    pub is_silent: bool,
}

/// Where word for all hosts goes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Spread {
    /// Hosts that are told.
    pub direct: Vec<SocketAddr>,
    /// Hosts that are told, and pass it on to the others of their zone.
    pub relays: Vec<SocketAddr>,
}

/// Chooses the ways to all hosts; `term` varies the choice among equals.
pub fn spread(hosts: &[HostView], term: u64) -> Spread {
    if hosts.len() < DIRECT_HOSTS_MAX {
        return Spread {
            direct: hosts.iter().map(|host| host.address).collect(),
            relays: Vec::new(),
        };
    }
    let mut ranked: Vec<HostView> = hosts.to_vec();
    ranked.sort_by_cached_key(|host| (host.zone_tag, order(host, term)));
    let mut spread = Spread::default();
    for zone in ranked.chunk_by(|one, other| one.zone_tag == other.zone_tag) {
        let chosen = zone.iter().take(RELAYS);
        spread.relays.extend(chosen.map(|host| host.address));
    }
    spread
}

/// Order in which the hosts of a zone are chosen: those that are heard, strong ones first.
fn order(host: &HostView, term: u64) -> (bool, u32, u32) {
    let share_milli = (host.processor_share * 1_000.0) as u32;
    let place = tag_of(&format!("{} {term}", host.address));
    (host.is_silent, u32::MAX - share_milli, place)
}

/// The host of a zone that speaks for it: the strongest that is heard. Where hosts disagree for a
/// moment, two speak.
pub fn first_of_zone(zone: &[HostView]) -> Option<SocketAddr> {
    let first = zone.iter().min_by_key(|host| order(host, 0));
    first.map(|host| host.address)
}

/// The first host of each zone, which passes word on there.
pub fn firsts_of_zones(hosts: &mut [HostView]) -> Vec<SocketAddr> {
    hosts.sort_unstable_by_key(|host| host.zone_tag);
    let zones = hosts.chunk_by(|one, other| one.zone_tag == other.zone_tag);
    zones.filter_map(first_of_zone).collect()
}

/// When a host has sent word, by its own clock. The way of each word is measured by the quickest
/// one before it, so that old word that a relay held back does not count as new.
#[derive(Clone, Copy, Debug, Default)]
pub struct WayTime {
    term: u64,
    least_offset_ms: i64,
    at_ms: u64,
}

/// Time in which the clocks of two hosts may drift apart by a millisecond.
const DRIFT_MS: u64 = 1_000;

impl WayTime {
    /// Time that word of a term was on its way beyond the least, if it was sent at `sent_ms` by the
    /// sender's clock.
    pub fn delay_ms(&mut self, term: u64, sent_ms: u64, now_ms: u64) -> u64 {
        let offset_ms = now_ms as i64 - sent_ms as i64;
        if term != self.term {
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
