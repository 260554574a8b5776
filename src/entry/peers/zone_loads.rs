//! Loads of servers by availability zone. Among many hosts one of each zone sums up what the hosts
//! there report, and tells the other zones: what each host hears then grows with the zones, not with
//! the hosts, and is half a second old in place of four.

use std::collections::HashMap;

use super::message::ServerSummary;

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
