//! Fan-out of messages to all hosts. With few hosts, the sender addresses each host itself. With
//! many hosts, two relays in each availability zone forward messages to the other hosts there, so
//! that the traffic of one sender and the traffic between zones do not grow with the number of
//! hosts.

use std::net::SocketAddr;

use crate::entry::tag::tag_of;

/// Number of hosts up to which a sender addresses each host itself, without relays. Sending some 20
/// moves a second to each of hundreds of hosts fills a link of 20 Mbit/s. Heartbeats from the
/// leader are then lost, and the leader loses the leadership.
pub const DIRECT_HOSTS_MAX: usize = 20;
/// Number of relays in each zone. With two relays, no message is lost if one of them fails.
const RELAYS: usize = 2;
/// Time without an acknowledgement after which another host replaces a relay. Three heartbeats from
/// the leader fit into this time. With bounds of 2 s in the settings, the relay is replaced before
/// the hosts of its zone stop relying on the leader. With tighter bounds, these hosts query the
/// store in the meantime.
pub const RELAY_SILENT_MS: u64 = 900;

/// Properties of a host that determine whether it is chosen as a relay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RelayCandidate {
    /// Address to which messages for the host are sent.
    pub address: SocketAddr,
    /// Tag of the host's availability zone: a hash of its name, the same for all hosts of the zone.
    pub zone_tag: u32,
    /// Fraction of a processor that the host may use; 1.0 is a whole processor. Hosts with a large
    /// share are preferred because a relay sends messages to its whole zone.
    pub processor_share: f32,
    /// True if the host was sent messages to relay and has not acknowledged them within
    /// [`RELAY_SILENT_MS`].
    pub is_silent: bool,
}

/// Recipients to which a sender addresses a message for all hosts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fanout {
    /// Hosts that receive the message and do not forward it.
    pub direct: Vec<SocketAddr>,
    /// Hosts that receive the message and forward it to the other hosts of their zone.
    pub relays: Vec<SocketAddr>,
}

/// Chooses the recipients of a message to all hosts. `term` varies the choice between hosts with
/// equal processor shares.
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

/// Returns the relays of one zone: responsive hosts are preferred, and among them those with a
/// larger processor share. `term` varies the choice between hosts with equal shares.
pub fn choose_zone_relays(zone: &[RelayCandidate], term: u64) -> Vec<SocketAddr> {
    let mut ranked: Vec<RelayCandidate> = zone.to_vec();
    ranked.sort_by_cached_key(|host| order(host, term));
    let chosen = ranked.iter().take(RELAYS);
    chosen.map(|host| host.address).collect()
}

/// Returns the sort key for choosing relays in a zone: responsive hosts come first, and among them
/// hosts with a larger processor share. `term` varies the order of hosts with equal shares.
fn order(host: &RelayCandidate, term: u64) -> (bool, u32, u32) {
    let share_milli = (host.processor_share * 1_000.0) as u32;
    let place = tag_of(&format!("{} {term}", host.address));
    (host.is_silent, u32::MAX - share_milli, place)
}

/// Returns the aggregator of a zone, which sums the loads of the zone for other zones: the
/// responsive host with the largest processor share. If hosts know different hosts of the zone for
/// a moment, two hosts of the zone may act as the aggregator.
pub fn zone_aggregator(zone: &[RelayCandidate]) -> Option<SocketAddr> {
    let first = zone.iter().min_by_key(|host| order(host, 0));
    first.map(|host| host.address)
}

/// Returns one host of each zone as the relay of messages whose loss is acceptable: the responsive
/// host with the largest processor share.
pub fn one_relay_per_zone(hosts: &mut [RelayCandidate]) -> Vec<SocketAddr> {
    hosts.sort_unstable_by_key(|host| host.zone_tag);
    let zones = hosts.chunk_by(|one, other| one.zone_tag == other.zone_tag);
    zones.filter_map(zone_aggregator).collect()
}

/// Baseline for the one-way delay of the heartbeats from the leader: the shortest delay seen in a
/// term. The clocks of two hosts are not comparable, so only the excess of a delay over the
/// shortest delay is known. A heartbeat that a relay delayed has such an excess, and its content
/// counts as that much older.
#[derive(Clone, Copy, Debug, Default)]
pub struct OneWayDelay {
    term: u64,
    /// Smallest difference seen between the receiver's clock on arrival and the sender's clock on
    /// sending.
    least_offset_ms: i64,
    /// Time at which the smallest difference was last seen, by the receiver's clock.
    at_ms: u64,
}

/// Time in which the clocks of two hosts may drift apart by 1 ms. The shortest delay seen is raised
/// by this drift. Otherwise all later messages could seem delayed.
const DRIFT_MS: u64 = 1_000;

impl OneWayDelay {
    /// Returns by how many milliseconds the delay of a heartbeat exceeds the shortest delay seen in
    /// `term`. The leader of `term` sent the heartbeat at `sent_ms` by the leader's clock; the
    /// heartbeat arrived at `now_ms` by the receiver's clock. Returns `u64::MAX` if `term` is
    /// earlier than the latest known term.
    pub fn delay_ms(&mut self, term: u64, sent_ms: u64, now_ms: u64) -> u64 {
        let offset_ms = now_ms as i64 - sent_ms as i64;
        if term < self.term {
            // Heartbeats from a previous leader count as too old to be trusted; the baseline of the
            // current leader is kept.
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
