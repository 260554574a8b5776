//! Another host as this host knows it, and its reports.

use std::{collections::HashMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use super::{
    fanout::{RELAY_SILENT_MS, RelayCandidate},
    message::{RunTime, ServerLoad},
};
use crate::entry::tag::TagMap;

/// Load of one server, summed over the reports from the other hosts: their requests in flight at
/// the server and the run times that they measured there.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedLoad {
    /// Number of the hosts' requests in flight at the server.
    pub in_flight: u32,
    /// Sum of the run times that the hosts measured, in milliseconds.
    pub run_ms_sum: f64,
    /// Number of reports that contain a run time of the server. The average run time is
    /// `run_ms_sum` divided by this number.
    pub reporters: f64,
}

/// Seed host: a host that is listed in the store and from which starting hosts fetch a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SeedHost {
    /// Address at which the host receives datagrams (UDP) and queries (TCP) from other hosts.
    pub address: SocketAddr,
    /// Tag of the host's availability zone: a hash of its name, the same for all hosts of the zone.
    pub zone_tag: u32,
}

/// Properties of a host from its row in the store, or from its own messages.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostProperties {
    /// Incarnation of the process on the described host. `None` while the described host is known
    /// only from its own messages, which do not contain the incarnation.
    pub incarnation: Option<u64>,
    /// Tag of the host's availability zone: a hash of its name, the same for all hosts of the zone.
    pub zone_tag: u32,
    /// True if the described host is in the same availability zone as this host.
    pub is_same_zone: bool,
    /// Fraction of a processor that the host may use; 1.0 is a whole processor.
    pub processor_share: f32,
}

/// Another host that this host knows, with the latest reports from the other host.
#[derive(Debug)]
pub struct Peer {
    /// Properties of the other host.
    pub properties: HostProperties,
    /// Time at which this host sent the first message to relay that the other host has not
    /// acknowledged; 0 if there is no such message.
    pub relay_since_ms: u64,
    /// Time at which this host received the latest load report from the other host; 0 before the
    /// first report.
    pub heard_ms: u64,
    /// Loads of the latest report.
    pub loads: Vec<ServerLoad>,
    /// Run times of the latest report that contained any.
    pub run_times: Vec<RunTime>,
}

impl Peer {
    /// Returns the properties by which the host may be chosen as a relay.
    fn relay_candidate(&self, address: SocketAddr, now_ms: u64) -> RelayCandidate {
        RelayCandidate {
            address,
            zone_tag: self.properties.zone_tag,
            processor_share: self.properties.processor_share,
            is_silent: self.relay_since_ms > 0 && now_ms > self.relay_since_ms + RELAY_SILENT_MS,
        }
    }

    /// Adds the reports of the host to sums by server tag.
    pub fn add_to(&self, sums: &mut TagMap<ReportedLoad>) {
        add_report(sums, &self.loads, &self.run_times);
    }
}

/// Returns the hosts of this host's zone; if `is_same_zone` is false, those of the other zones.
pub fn of_zone(
    peers: &HashMap<SocketAddr, Peer>,
    is_same_zone: bool,
) -> impl Iterator<Item = (&SocketAddr, &Peer)> {
    peers
        .iter()
        .filter(move |(_, peer)| peer.properties.is_same_zone == is_same_zone)
}

/// Returns the properties by which hosts may be chosen as relays.
pub fn relay_candidates<'a>(
    peers: impl Iterator<Item = (&'a SocketAddr, &'a Peer)>,
    now_ms: u64,
) -> impl Iterator<Item = RelayCandidate> {
    peers.map(move |(address, peer)| peer.relay_candidate(*address, now_ms))
}

/// Adds the loads and run times that one host has reported to sums by server tag.
pub fn add_report(sums: &mut TagMap<ReportedLoad>, loads: &[ServerLoad], run_times: &[RunTime]) {
    for load in loads {
        sums.entry(load.server_tag).or_default().in_flight += u32::from(load.in_flight);
    }
    for run_time in run_times {
        let sum = sums.entry(run_time.server_tag).or_default();
        sum.run_ms_sum += f64::from(run_time.run_ms);
        sum.reporters += 1.0;
    }
}
