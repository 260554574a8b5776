//! Loads of servers by availability zone. Among many hosts one of each zone sums up what the hosts
//! there report, and tells the other zones: what each host hears then grows with the zones, not with
//! the hosts, and is half a second old in place of four.

use std::collections::HashMap;

use super::message::ServerSummary;

/// Age after which a zone's sums of requests no longer count: some of them may be lost.
const SUMS_KEPT_MS: u64 = 1_600;
/// The same of run times, which change little.
const RUNS_KEPT_MS: u64 = 12_000;
/// Servers in one datagram, of at most 11 bytes each.
const SUMMARIES_MAX: usize = 120;
/// Time after which requests that are still there are told again.
const LOADS_AGAIN_MS: u64 = 500;
/// The same of run times.
const RUNS_AGAIN_MS: u64 = 5_000;
/// Change of a run time that is told at once, as a share of what was told.
const RUN_CHANGE: f64 = 0.25;

/// Sums that were heard of the other zones.
#[derive(Debug, Default)]
pub struct ZoneLoads {
    zones: HashMap<u32, HashMap<u32, Heard>>,
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
        zone.retain(|_, heard| now_ms < heard.at_ms + RUNS_KEPT_MS);
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
            .filter(move |heard| now_ms < heard.at_ms + RUNS_KEPT_MS)
            .map(move |heard| {
                if now_ms < heard.at_ms + SUMS_KEPT_MS {
                    return heard.summary;
                }
                ServerSummary {
                    in_flight: 0,
                    ..heard.summary
                }
            })
    }
}

/// What the host that speaks for its zone has told. Thousands of servers that run no requests would fill the links of
/// small hosts with what these know already.
#[derive(Debug, Default)]
pub struct ZoneNews {
    told: HashMap<u32, Heard>,
}

impl ZoneNews {
    /// Those of the sums that say something new.
    pub fn updates(&mut self, sums: Vec<ServerSummary>, now_ms: u64) -> Vec<ServerSummary> {
        let mut updates: Vec<ServerSummary> = sums
            .iter()
            .copied()
            .filter(|sum| self.is_news(*sum, now_ms))
            .collect();
        let named: std::collections::HashSet<u32> = sums.iter().map(|sum| sum.server_tag).collect();
        let ended = self.told.iter().filter(|(tag, told)| {
            let told = told.summary;
            told.in_flight > 0 && !named.contains(tag)
        });
        updates.extend(ended.map(|(_, told)| ServerSummary {
            in_flight: 0,
            ..told.summary
        }));
        for sum in &updates {
            let told = Heard {
                summary: *sum,
                at_ms: now_ms,
            };
            self.told.insert(sum.server_tag, told);
        }
        self.told
            .retain(|_, told| now_ms < told.at_ms + RUNS_KEPT_MS);
        updates
    }

    fn is_news(&self, sum: ServerSummary, now_ms: u64) -> bool {
        let Some(told) = self.told.get(&sum.server_tag) else {
            return true;
        };
        let again_ms = if sum.in_flight > 0 {
            LOADS_AGAIN_MS
        } else {
            RUNS_AGAIN_MS
        };
        sum.in_flight != told.summary.in_flight
            || now_ms >= told.at_ms + again_ms
            || has_changed(told.summary.run_ms, sum.run_ms)
    }
}

fn has_changed(told_ms: u16, run_ms: u16) -> bool {
    let change_ms = f64::from(told_ms.abs_diff(run_ms));
    change_ms > f64::from(told_ms) * RUN_CHANGE
}

/// Sums in parts that fit a datagram each.
pub fn parts(summaries: &[ServerSummary]) -> impl Iterator<Item = Vec<ServerSummary>> {
    summaries.chunks(SUMMARIES_MAX).map(<[_]>::to_vec)
}
