//! Loads and run times of servers that other hosts reported to this host.

use std::{
    net::SocketAddr,
    sync::{MutexGuard, PoisonError},
};

use super::{
    Peers,
    intervals::report_age_max_ms,
    message::{RunTime, ServerLoad, ServerSummary},
    peer::ReportedLoad,
    zone_loads::ZoneLoads,
};
use crate::{clock, entry::tag::TagMap};

impl Peers {
    pub(super) fn note_report(&self, from: SocketAddr, servers: Vec<ServerLoad>) {
        if let Some(peer) = self.peers().get_mut(&from) {
            peer.heard_ms = clock::now_ms();
            peer.loads = servers;
        }
    }

    pub(super) fn note_run_times(&self, from: SocketAddr, run_times: Vec<RunTime>) {
        if let Some(peer) = self.peers().get_mut(&from) {
            peer.run_times = run_times;
        }
    }

    /// Returns the loads and run times by server tag that other hosts reported and that are not
    /// stale.
    pub(super) fn reported_loads(&self) -> TagMap<ReportedLoad> {
        let now_ms = clock::now_ms();
        let age_max_ms = report_age_max_ms(self.reporting_hosts());
        let mut sums: TagMap<ReportedLoad> = TagMap::default();
        for peer in self.peers().values() {
            if now_ms > peer.heard_ms + age_max_ms {
                continue;
            }
            peer.add_to(&mut sums);
        }
        let zones = self.zone_loads();
        for summary in zones.latest(now_ms) {
            let sum = sums.entry(summary.server_tag).or_default();
            sum.in_flight += u32::from(summary.in_flight);
            if summary.run_ms > 0 {
                sum.run_ms_sum += f64::from(summary.run_ms);
                sum.reporters += 1.0;
            }
        }
        sums
    }

    pub(super) fn note_zone_loads(&self, zone_tag: u32, summaries: Vec<ServerSummary>) {
        self.zone_loads().note(zone_tag, summaries, clock::now_ms());
    }

    fn zone_loads(&self) -> MutexGuard<'_, ZoneLoads> {
        self.zone_loads
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
