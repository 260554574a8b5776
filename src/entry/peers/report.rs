//! Reports of a host: its requests at servers, by availability zone more or less often, its requests
//! by key for the holder of the duty, and the holder's own sign of life.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use tokio::time;

use super::{
    ReportedPace,
    fanout::RelayCandidate,
    intervals::{FULL_REPORT_EVERY, SUM_EVERY_MS, report_every_ms},
    message::{ENTRIES_MAX, KeyCount, Message, PACES_MAX, RunTime, Sender, ServerLoad, ServerPace},
};
use crate::{
    clock,
    entry::{Entry, server::tag_of},
};

/// Interval of counts by key to the duty's holder.
const KEYS_EVERY_MS: u64 = 150;
/// Interval at which reports of the other hosts are taken into the loads of up to [`TAKE_IN_SERVERS`]
/// servers; it grows in proportion to their number, so that a host's work does not.
const TAKE_IN_EVERY_MS: u64 = 25;
const TAKE_IN_SERVERS: u64 = 220;
/// Longest such interval.
const TAKE_IN_EVERY_MAX_MS: u64 = 150;
/// Sends reports.
#[derive(Debug, Default)]
struct Reporter {
    round: u64,
    /// When it reported last.
    at_ms: u64,
    last: Vec<ServerLoad>,
}

impl Reporter {
    /// Sends a report if it has anything new.
    fn report(&mut self, entry: &Entry, servers: Vec<ServerLoad>, to: &[SocketAddr]) {
        let full = self.round.is_multiple_of(FULL_REPORT_EVERY);
        self.round += 1;
        let paces = entry.own_paces(self.at_ms);
        self.at_ms = clock::now_ms();
        if servers == self.last && paces.is_empty() && !full {
            return;
        }
        self.last.clone_from(&servers);
        let sender = entry.as_sender();
        let report = Message::Report {
            sender,
            servers,
            paces,
        };
        entry.peers.send(&report, to);
        if !full {
            return;
        }
        let run_times = entry.own_run_times();
        if !run_times.is_empty() {
            entry.peers.send(&Message::RunTimes(run_times), to);
        }
    }
}

impl Entry {
    /// Reports requests at servers to the other hosts; among many, to those of the own zone.
    pub(in crate::entry) async fn keep_reporting(self: Arc<Self>) {
        let mut reporter = Reporter::default();
        loop {
            let every_ms = report_every_ms(self.peers.reporting_hosts());
            time::sleep(Duration::from_millis(every_ms)).await;
            let to = if self.peers.are_many() {
                self.peers.near_addresses()
            } else {
                self.peers.addresses()
            };
            reporter.report(&self, self.own_loads(), &to);
        }
    }

    /// Takes in what the other hosts report, soon after it comes.
    pub(in crate::entry) async fn keep_taking_in_reports(self: Arc<Self>) {
        loop {
            let servers = self.view.registry().servers().count() as u64;
            let every_ms = TAKE_IN_EVERY_MS * servers / TAKE_IN_SERVERS;
            let every_ms = every_ms.clamp(TAKE_IN_EVERY_MS, TAKE_IN_EVERY_MAX_MS);
            time::sleep(Duration::from_millis(every_ms)).await;
            self.take_in_reports();
        }
    }

    /// Tells the other zones what the hosts of the own one report.
    pub(in crate::entry) async fn keep_sending_zone_loads(self: Arc<Self>) {
        loop {
            time::sleep(Duration::from_millis(SUM_EVERY_MS)).await;
            if self.peers.are_many() {
                self.peers
                    .send_zone_loads(self.as_relay(), || (self.own_loads(), self.own_run_times()));
            }
        }
    }

    /// This host, as the choice of relays sees it.
    pub(in crate::entry) fn as_relay(&self) -> RelayCandidate {
        RelayCandidate {
            address: self.settings.listen.peers,
            zone_tag: tag_of(&self.settings.availability_zone),
            processor_share: self.settings.processor_share,
            is_silent: false,
        }
    }

    /// What this host tells others of itself.
    pub(in crate::entry) fn as_sender(&self) -> Sender {
        Sender {
            zone_tag: tag_of(&self.settings.availability_zone),
            processor_share: self.settings.processor_share,
        }
    }

    /// Reports requests by key to the holder of the duty.
    pub(in crate::entry) async fn keep_counting(self: Arc<Self>) {
        loop {
            time::sleep(Duration::from_millis(KEYS_EVERY_MS)).await;
            let keys = self.peers.take_counted();
            if self.duty.term() > 0 {
                self.peers.add_reported(&keys);
            } else if !keys.is_empty() {
                self.report_keys(&keys);
            }
        }
    }

    /// Shows the other hosts that this one has the duty, while it is confirmed: without that they
    /// must look whether to take it.
    pub(in crate::entry) async fn keep_showing_duty(self: Arc<Self>) {
        loop {
            time::sleep(Duration::from_millis(self.limits.holder_heartbeat_ms)).await;
            self.show_duty();
        }
    }

    /// Sends one heartbeat of the holder, if this host is it.
    pub(in crate::entry) fn show_duty(&self) {
        if !self.duty.is_confirmed() {
            return;
        }
        let message = Message::Holder {
            term: self.duty.term(),
            sent_ms: clock::now_ms(),
            updates: self.freshness.updates(self.view.store_answered_ms()),
            hosts: self.peers.known() as u32,
            hot: self.hot_keys.tell(clock::now_ms()),
            evacuations: self.view.evacuations(),
            quarantined: self.crashes.told(),
        };
        self.peers.send_to_all(message);
    }

    fn own_loads(&self) -> Vec<ServerLoad> {
        let registry = self.view.registry();
        let mut loads: Vec<ServerLoad> = registry
            .servers()
            .map(|server| ServerLoad {
                server_tag: server.tag,
                in_flight: server.own_load().min(255) as u8,
            })
            .filter(|load| load.in_flight > 0)
            .collect();
        loads.sort_unstable_by_key(|load| (255 - load.in_flight, load.server_tag));
        loads.truncate(ENTRIES_MAX);
        loads
    }

    /// Paces that servers told this host since a time.
    fn own_paces(&self, since_ms: u64) -> Vec<ServerPace> {
        let now_ms = clock::now_ms();
        let registry = self.view.registry();
        let told = registry.servers().filter_map(|server| {
            let (pace, at_ms) = server.own_pace()?;
            (at_ms >= since_ms).then_some(ServerPace {
                server_tag: server.tag,
                percent: (pace * 100.0) as u16,
                age_ms: now_ms.saturating_sub(at_ms) as u16,
            })
        });
        told.take(PACES_MAX).collect()
    }

    fn own_run_times(&self) -> Vec<RunTime> {
        let registry = self.view.registry();
        let known = registry.servers().filter_map(|server| {
            let run_ms = server.own_run_ms() as u16;
            (run_ms > 0).then_some(RunTime {
                server_tag: server.tag,
                run_ms,
            })
        });
        known.take(ENTRIES_MAX).collect()
    }

    fn report_keys(&self, keys: &[KeyCount]) {
        let Some(holder) = *self.peers.holder() else {
            return;
        };
        for keys in keys.chunks(ENTRIES_MAX) {
            self.peers.send(&Message::Keys(keys.to_vec()), &[holder]);
        }
    }

    fn take_in_reports(&self) {
        let loads = self.peers.loads();
        let mut latest: HashMap<u32, ReportedPace> = HashMap::new();
        for reported in self.peers.take_paces() {
            let known = latest.entry(reported.server_tag).or_insert(reported);
            if reported.at_ms > known.at_ms {
                *known = reported;
            }
        }
        for server in self.view.registry().servers() {
            let reported = loads.get(&server.tag).copied().unwrap_or_default();
            let run_ms = reported.run_ms_sum / reported.reporters.max(1.0);
            server.set_others(reported.in_flight, run_ms);
            if let Some(reported) = latest.get(&server.tag) {
                server.note_pace(reported.pace, reported.at_ms);
            }
        }
    }
}
