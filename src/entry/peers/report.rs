//! Periodic reports of a host: its load on servers, its request counts by key for the leader, and,
//! if the host is the leader, the heartbeats that the host sends.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::time;

use super::{
    fanout::RelayCandidate,
    intervals::{FULL_REPORT_EVERY, ZONE_LOADS_EVERY_MS, report_every_ms},
    message::{
        ENTRIES_MAX, KeyCount, Message, RunTime, SLOWDOWNS_MAX, Sender, ServerLoad, ServerSlowdown,
    },
    slowdowns::ReportedSlowdown,
};
use crate::{
    clock,
    entry::{
        Entry,
        tag::{TagMap, tag_of},
    },
};

/// Interval at which request counts by key are sent to the leader.
const KEYS_EVERY_MS: u64 = 150;
/// Interval at which reports from the other hosts are applied to the loads of up to
/// [`APPLY_SERVERS`] servers. With more servers the interval grows in proportion to their number,
/// which keeps the processor time constant.
const APPLY_EVERY_MS: u64 = 25;
const APPLY_SERVERS: u64 = 220;
/// Upper bound of the interval at which reports are applied.
const APPLY_EVERY_MAX_MS: u64 = 150;

/// State of the periodic load reports: the loads that were sent last, and the number of rounds.
#[derive(Debug, Default)]
struct Reporter {
    round: u64,
    /// Time of the last round. The report of that round may have been skipped because the loads had
    /// not changed.
    at_ms: u64,
    last: Vec<ServerLoad>,
}

impl Reporter {
    /// Sends a report if the loads have changed, a server announced a slowdown, or a full report is
    /// due.
    fn report(&mut self, entry: &Entry, servers: Vec<ServerLoad>, to: &[SocketAddr]) {
        let full = self.round.is_multiple_of(FULL_REPORT_EVERY);
        self.round += 1;
        let slowdowns = entry.own_slowdowns(self.at_ms);
        self.at_ms = clock::now_ms();
        if servers == self.last && slowdowns.is_empty() && !full {
            return;
        }
        self.last.clone_from(&servers);
        let sender = entry.as_sender();
        let report = Message::Report {
            sender,
            servers,
            slowdowns,
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
    /// Reports this host's load on servers to the other hosts; with many hosts, only to those of
    /// this host's zone.
    pub(in crate::entry) async fn keep_reporting(self: Arc<Self>) {
        let mut reporter = Reporter::default();
        loop {
            let every_ms = report_every_ms(self.peers.reporting_hosts());
            time::sleep(Duration::from_millis(every_ms)).await;
            let to = if self.peers.use_relays() {
                self.peers.same_zone_addresses()
            } else {
                self.peers.addresses()
            };
            reporter.report(&self, self.own_loads(), &to);
        }
    }

    /// Periodically applies the requests in flight, run times and slowdowns that other hosts have
    /// reported to the servers in the registry.
    pub(in crate::entry) async fn keep_applying_reports(self: Arc<Self>) {
        loop {
            let servers = self.view.registry().servers_count() as u64;
            let every_ms = APPLY_EVERY_MS * servers / APPLY_SERVERS;
            let every_ms = every_ms.clamp(APPLY_EVERY_MS, APPLY_EVERY_MAX_MS);
            time::sleep(Duration::from_millis(every_ms)).await;
            self.apply_reports();
        }
    }

    /// Sends the summed loads of this zone to other zones, if this host is the zone aggregator.
    pub(in crate::entry) async fn keep_sending_zone_loads(self: Arc<Self>) {
        loop {
            time::sleep(Duration::from_millis(ZONE_LOADS_EVERY_MS)).await;
            if self.peers.use_relays() {
                self.peers.send_zone_loads(self.as_relay_candidate(), || {
                    (self.own_loads(), self.own_run_times())
                });
            }
        }
    }

    /// Returns the properties by which this host may be chosen as a relay of its zone.
    pub(in crate::entry) fn as_relay_candidate(&self) -> RelayCandidate {
        RelayCandidate {
            address: self.settings.listen.peers,
            zone_tag: tag_of(&self.settings.availability_zone),
            processor_share: self.settings.processor_share,
            is_silent: false,
        }
    }

    /// Returns the zone and processor share of this host, for hosts that have not read the row of
    /// this host yet.
    pub(in crate::entry) fn as_sender(&self) -> Sender {
        Sender {
            zone_tag: tag_of(&self.settings.availability_zone),
            processor_share: self.settings.processor_share,
        }
    }

    /// Reports this host's request counts by key to the leader at the interval [`KEYS_EVERY_MS`].
    /// While this host is the leader, its counts are added to the reported counts without a
    /// message.
    pub(in crate::entry) async fn keep_reporting_keys(self: Arc<Self>) {
        loop {
            time::sleep(Duration::from_millis(KEYS_EVERY_MS)).await;
            let keys = self.peers.take_key_counts();
            if self.leadership.term() > 0 {
                self.peers.add_reported_key_counts(&keys);
            } else if !keys.is_empty() {
                self.report_keys(&keys);
            }
        }
    }

    /// Sends heartbeats while this host's leadership is confirmed. Without heartbeats, the other
    /// hosts must check whether to take over the leadership.
    pub(in crate::entry) async fn keep_sending_heartbeats(self: Arc<Self>) {
        loop {
            time::sleep(Duration::from_millis(self.limits.leader_heartbeat_ms)).await;
            self.send_heartbeat();
        }
    }

    /// Sends one heartbeat if this host is the leader and has confirmed the leadership recently.
    pub(in crate::entry) fn send_heartbeat(&self) {
        if !self.leadership.is_confirmed() {
            return;
        }
        let message = Message::Heartbeat {
            term: self.leadership.term(),
            sent_ms: clock::now_ms(),
            updates: self.store_state_report(),
            hosts: self.peers.known_count() as u32,
            hot: self.hot_keys.announce(clock::now_ms()),
            evacuations: self.view.evacuations(),
            quarantined: self.crashes.announced(),
        };
        self.peers.send_to_all(message);
    }

    /// Returns this host's requests in flight by server, for the servers with the most requests if
    /// there are more than [`ENTRIES_MAX`].
    fn own_loads(&self) -> Vec<ServerLoad> {
        let engaged = self.view.registry().engaged();
        let mut loads: Vec<ServerLoad> = engaged
            .iter()
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

    /// Returns the slowdowns that servers announced to this host at `since_ms` or later.
    fn own_slowdowns(&self, since_ms: u64) -> Vec<ServerSlowdown> {
        let now_ms = clock::now_ms();
        let engaged = self.view.registry().engaged();
        let announced = engaged.iter().filter_map(|server| {
            let (slowdown, at_ms) = server.own_slowdown()?;
            (at_ms >= since_ms).then_some(ServerSlowdown {
                server_tag: server.tag,
                percent: (slowdown * 100.0) as u16,
                age_ms: now_ms.saturating_sub(at_ms) as u16,
            })
        });
        announced.take(SLOWDOWNS_MAX).collect()
    }

    /// Returns the average run times that this host has measured, for at most [`ENTRIES_MAX`]
    /// servers.
    fn own_run_times(&self) -> Vec<RunTime> {
        let engaged = self.view.registry().engaged();
        let known = engaged.iter().filter_map(|server| {
            let run_ms = server.own_run_ms() as u16;
            (run_ms > 0).then_some(RunTime {
                server_tag: server.tag,
                run_ms,
            })
        });
        known.take(ENTRIES_MAX).collect()
    }

    fn report_keys(&self, keys: &[KeyCount]) {
        let Some(leader) = *self.peers.leader() else {
            return;
        };
        for keys in keys.chunks(ENTRIES_MAX) {
            self.peers.send(&Message::Keys(keys.to_vec()), &[leader]);
        }
    }

    fn apply_reports(&self) {
        let loads = self.peers.reported_loads();
        let mut latest: TagMap<ReportedSlowdown> = TagMap::default();
        for reported in self.peers.take_slowdowns() {
            let known = latest.entry(reported.server_tag).or_insert(reported);
            if reported.at_ms > known.at_ms {
                *known = reported;
            }
        }
        for server in self.view.registry().servers() {
            let reported = loads.get(&server.tag).copied().unwrap_or_default();
            let run_ms = reported.run_ms_sum / reported.reporters.max(1.0);
            server.set_other_hosts_load(reported.in_flight, run_ms);
            if let Some(reported) = latest.get(&server.tag) {
                server.note_slowdown(reported.slowdown, reported.at_ms);
            }
        }
    }
}
