//! Loads of servers by availability zone. Among many hosts one of each zone sums up what the hosts
//! there report, and tells the other zones: what each host hears then grows with the zones, not with
//! the hosts, and is half a second old in place of four.

use std::{collections::HashMap, sync::PoisonError};

use super::{
    Peer, Peers, ReportedLoad, add_report,
    fanout::{self, RelayCandidate},
    message::{Message, RunTime, ServerLoad, ServerSummary},
    report::report_age_max_ms,
};
use crate::clock;

/// Interval of the sums.
pub const SUM_EVERY_MS: u64 = 250;
/// Age after which a zone's sums no longer count: some of them may be lost.
const SUMS_KEPT_MS: u64 = 1_600;
/// Servers in one datagram, of at most 6 bytes each.
const SUMMARIES_MAX: usize = 220;

/// Sums that were heard of the other zones.
#[derive(Debug, Default)]
pub struct ZoneLoads {
    zones: HashMap<u32, HashMap<u16, Heard>>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    summary: ServerSummary,
    at_ms: u64,
}

impl ZoneLoads {
    /// Notes sums of a zone.
    pub fn note(&mut self, zone_tag: u32, summaries: Vec<ServerSummary>, now_ms: u64) {
        let zone = self.zones.entry(zone_tag).or_default();
        zone.retain(|_, heard| now_ms < heard.at_ms + SUMS_KEPT_MS);
        for summary in summaries {
            let heard = Heard {
                summary,
                at_ms: now_ms,
            };
            zone.insert(summary.server_tag, heard);
        }
    }

    /// Latest sums of all zones.
    pub fn latest(&self, now_ms: u64) -> impl Iterator<Item = ServerSummary> {
        let heard = self.zones.values().flat_map(HashMap::values);
        heard
            .filter(move |heard| now_ms < heard.at_ms + SUMS_KEPT_MS)
            .map(|heard| heard.summary)
    }
}

/// Sums in parts that fit a datagram each.
pub fn parts(summaries: &[ServerSummary]) -> impl Iterator<Item = Vec<ServerSummary>> {
    summaries.chunks(SUMMARIES_MAX).map(<[_]>::to_vec)
}

impl Peers {
    /// Sends the loads of servers by the hosts of the own zone to the other zones, if this host is its
    /// aggregator.
    pub(super) fn send_zone_loads(
        &self,
        own: RelayCandidate,
        own_loads: &[ServerLoad],
        own_run_times: &[RunTime],
    ) {
        let now_ms = clock::now_ms();
        let age_max_ms = report_age_max_ms(self.reporting_hosts());
        let mut sums: HashMap<u16, ReportedLoad> = HashMap::new();
        let mut relays = Vec::new();
        {
            let peers = self.peers();
            let is_heard = |peer: &Peer| now_ms <= peer.heard_ms + age_max_ms;
            let near = peers.iter().filter(|(_, peer)| peer.facts.is_near);
            let heard = near.filter(|(_, peer)| is_heard(peer));
            let mut zone = vec![own];
            for (address, peer) in heard {
                zone.push(peer.view(*address, now_ms));
                peer.add_to(&mut sums);
            }
            if fanout::zone_aggregator(&zone) != Some(own.address) {
                return;
            }
            let mut others: Vec<RelayCandidate> = peers
                .iter()
                .filter(|(_, peer)| !peer.facts.is_near)
                .map(|(address, peer)| peer.view(*address, now_ms))
                .collect();
            relays.extend(fanout::zone_relays(&mut others));
        }
        self.note_asked(&relays);
        add_report(&mut sums, own_loads, own_run_times);
        let mut summaries: Vec<ServerSummary> = sums
            .iter()
            .map(|(server_tag, sum)| ServerSummary {
                server_tag: *server_tag,
                in_flight: sum.in_flight.min(u32::from(u16::MAX)) as u16,
                run_ms: (sum.run_ms_sum / sum.reporters.max(1.0)) as u16,
            })
            .collect();
        summaries.sort_unstable_by_key(|summary| summary.server_tag);
        for summaries in parts(&summaries) {
            let zone_tag = own.zone_tag;
            let message = Message::ZoneLoads {
                zone_tag,
                summaries,
            };
            self.send(&Message::Relay(Box::new(message)), &relays);
        }
    }

    pub(super) fn note_zone_loads(&self, zone_tag: u32, summaries: Vec<ServerSummary>) {
        let mut loads = self
            .zone_loads
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        loads.note(zone_tag, summaries, clock::now_ms());
    }
}
