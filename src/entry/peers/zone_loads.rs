//! Loads of servers by availability zone. With many hosts, one aggregator in each zone sums the
//! reports from the hosts of its zone and sends the sums to the other zones. The number of messages
//! that a host receives then grows with the number of zones instead of hosts, and the loads in
//! these messages are half a second old instead of four seconds.

use std::collections::HashMap;

use super::message::ServerSummary;
use crate::entry::tag::TagMap;

/// Age after which a zone's sums of requests in flight are ignored, since updates may have been
/// lost.
const LOADS_KEPT_MS: u64 = 1_600;
/// Age after which the run times received from a zone are ignored, and after which an aggregator
/// forgets the sums that it has sent. This age is longer than [`LOADS_KEPT_MS`] because run times
/// change little.
const RUN_TIMES_KEPT_MS: u64 = 12_000;
/// Maximum number of server summaries in one datagram, of up to 11 bytes each.
const SUMMARIES_MAX: usize = 120;
/// Time after which an unchanged, non-zero number of requests in flight is sent again.
const LOADS_RESEND_MS: u64 = 500;
/// Time after which the unchanged summary of an idle server, with its run time, is sent again.
const RUN_TIMES_RESEND_MS: u64 = 5_000;
/// Relative change of a server's run time above which the changed summary is sent without waiting
/// for [`LOADS_RESEND_MS`] or [`RUN_TIMES_RESEND_MS`].
const RUN_CHANGE: f64 = 0.25;

/// Latest load sums of servers that the aggregators of the other zones have sent, by zone tag and
/// server tag.
#[derive(Debug, Default)]
pub struct ZoneLoads {
    zones: HashMap<u32, TagMap<ReceivedSummary>>,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedSummary {
    summary: ServerSummary,
    at_ms: u64,
}

impl ZoneLoads {
    /// Records the load sums that the aggregator of a zone has sent in one message. Servers that
    /// are not in the message keep their previous sums.
    pub fn note(&mut self, zone_tag: u32, summaries: Vec<ServerSummary>, now_ms: u64) {
        let zone = self.zones.entry(zone_tag).or_default();
        zone.retain(|_, heard| now_ms < heard.at_ms + RUN_TIMES_KEPT_MS);
        for summary in summaries {
            let heard = ReceivedSummary {
                summary,
                at_ms: now_ms,
            };
            zone.insert(summary.server_tag, heard);
        }
    }

    /// Returns the latest load sums of servers in all other zones. If a sum is older than
    /// `LOADS_KEPT_MS`, the returned number of requests in flight is 0.
    pub fn latest(&self, now_ms: u64) -> impl Iterator<Item = ServerSummary> {
        let heard = self.zones.values().flat_map(HashMap::values);
        heard
            .filter(move |heard| now_ms < heard.at_ms + RUN_TIMES_KEPT_MS)
            .map(move |heard| {
                if now_ms < heard.at_ms + LOADS_KEPT_MS {
                    return heard.summary;
                }
                ServerSummary {
                    in_flight: 0,
                    ..heard.summary
                }
            })
    }
}

/// Load sums of servers that a zone aggregator has sent. The aggregator compares the current sums
/// with the sent sums to determine which sums have changed and must be sent. Sending the sums of
/// thousands of idle servers each time would fill the links of small hosts with unchanged values.
#[derive(Debug, Default)]
pub struct ZoneLoadChanges {
    sent: TagMap<ReceivedSummary>,
}

impl ZoneLoadChanges {
    /// Returns the load sums that have changed since this aggregator last sent them, or that must
    /// be sent again although they have not changed. A server that had requests in flight and is no
    /// longer in `sums` is included with 0 requests in flight.
    pub fn updates(&mut self, sums: Vec<ServerSummary>, now_ms: u64) -> Vec<ServerSummary> {
        let mut updates: Vec<ServerSummary> = sums
            .iter()
            .copied()
            .filter(|sum| self.must_send(*sum, now_ms))
            .collect();
        let named: std::collections::HashSet<u32> = sums.iter().map(|sum| sum.server_tag).collect();
        let ended = self.sent.iter().filter(|(tag, sent)| {
            let sent = sent.summary;
            sent.in_flight > 0 && !named.contains(tag)
        });
        updates.extend(ended.map(|(_, sent)| ServerSummary {
            in_flight: 0,
            ..sent.summary
        }));
        for sum in &updates {
            let sent = ReceivedSummary {
                summary: *sum,
                at_ms: now_ms,
            };
            self.sent.insert(sum.server_tag, sent);
        }
        self.sent
            .retain(|_, sent| now_ms < sent.at_ms + RUN_TIMES_KEPT_MS);
        updates
    }

    fn must_send(&self, sum: ServerSummary, now_ms: u64) -> bool {
        let Some(sent) = self.sent.get(&sum.server_tag) else {
            return true;
        };
        let again_ms = if sum.in_flight > 0 {
            LOADS_RESEND_MS
        } else {
            RUN_TIMES_RESEND_MS
        };
        sum.in_flight != sent.summary.in_flight
            || now_ms >= sent.at_ms + again_ms
            || has_changed(sent.summary.run_ms, sum.run_ms)
    }
}

fn has_changed(sent_run_ms: u16, run_ms: u16) -> bool {
    let change_ms = f64::from(sent_run_ms.abs_diff(run_ms));
    change_ms > f64::from(sent_run_ms) * RUN_CHANGE
}

/// Splits load sums into parts that each fit into one datagram.
pub fn parts(summaries: &[ServerSummary]) -> impl Iterator<Item = Vec<ServerSummary>> {
    summaries.chunks(SUMMARIES_MAX).map(<[_]>::to_vec)
}
