//! Reports of a host: its requests at servers, by availability zone more or less often, its requests
//! by key for the holder of the duty, and the holder's own sign of life.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::time;

use super::{
    message::{ENTRIES_MAX, KeyCount, Message, RunTime, Sender, ServerLoad},
    spread::{DIRECT_HOSTS_MAX, HostView},
    zone_loads::SUM_EVERY_MS,
};
use crate::{
    clock,
    entry::{Entry, server::tag_of},
};

/// Interval of reports among up to [`REPORT_HOSTS`] hosts; it grows in proportion to their number,
/// so that a host's datagrams do not.
const REPORT_EVERY_MS: u64 = 100;
const REPORT_HOSTS: u64 = 20;
/// Longest interval of reports.
const REPORT_EVERY_MAX_MS: u64 = 1_000;
/// Reports to other availability zones are so much rarer once there are more than
/// [`REPORT_HOSTS`] hosts: bytes between zones are priced, and servers of the own zone come first.
const FAR_FACTOR: u64 = 4;
/// Interval of counts by key to the duty's holder.
const KEYS_EVERY_MS: u64 = 150;
/// Every so many intervals a report has the run times too and is sent even without news, to show
/// that the host lives.
const FULL_REPORT_EVERY: u64 = 8;
/// Age after which a report no longer counts, beyond the longest time between two of them.
const REPORT_AGE_SLACK_MS: u64 = 400;
/// Intervals of reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rhythm {
    /// Interval of reports to hosts of the own availability zone.
    pub near_ms: u64,
    /// Interval of reports to the others.
    pub far_ms: u64,
}

impl Rhythm {
    /// Intervals for numbers of hosts, the own one included: in the own zone, and in all zones.
    pub fn new(near: u64, all: u64) -> Self {
        let scaled = |hosts: u64, factor: u64| {
            let every_ms = factor * REPORT_EVERY_MS * hosts / REPORT_HOSTS;
            every_ms.clamp(REPORT_EVERY_MS, factor * REPORT_EVERY_MAX_MS)
        };
        if all <= REPORT_HOSTS {
            return Self {
                near_ms: REPORT_EVERY_MS,
                far_ms: REPORT_EVERY_MS,
            };
        }
        Self {
            near_ms: scaled(near, 1),
            far_ms: scaled(all, FAR_FACTOR),
        }
    }

    /// Age up to which a report counts.
    pub(super) fn age_max_ms(&self, is_near: bool) -> u64 {
        let every_ms = if is_near { self.near_ms } else { self.far_ms };
        every_ms * FULL_REPORT_EVERY + REPORT_AGE_SLACK_MS
    }
}

/// Sends reports of one interval.
#[derive(Debug, Default)]
struct Reporter {
    sent_ms: u64,
    round: u64,
    last: Vec<ServerLoad>,
}

impl Reporter {
    /// Sends a report if it is due and has anything new.
    fn report(&mut self, entry: &Entry, servers: &[ServerLoad], every_ms: u64, to: &[SocketAddr]) {
        let now_ms = clock::now_ms();
        if now_ms < self.sent_ms + every_ms {
            return;
        }
        self.sent_ms = now_ms;
        let full = self.round.is_multiple_of(FULL_REPORT_EVERY);
        self.round += 1;
        if servers == self.last && !full {
            return;
        }
        let run_times = if full {
            entry.own_run_times()
        } else {
            Vec::new()
        };
        let servers = servers.to_vec();
        self.last.clone_from(&servers);
        let sender = Sender {
            zone_tag: tag_of(&entry.settings.availability_zone),
            processor_share: entry.settings.processor_share,
        };
        let report = Message::Report {
            sender,
            servers,
            run_times,
        };
        entry.peers.send(&report, to);
    }
}

impl Entry {
    /// Reports requests at servers to the other hosts.
    pub(in crate::entry) async fn keep_reporting(self: Arc<Self>) {
        let mut near = Reporter::default();
        let mut far = Reporter::default();
        loop {
            let rhythm = self.peers.rhythm();
            time::sleep(Duration::from_millis(rhythm.near_ms)).await;
            self.take_in_reports();
            let servers = self.own_loads();
            if rhythm.far_ms == rhythm.near_ms {
                near.report(&self, &servers, rhythm.near_ms, &self.peers.addresses());
                continue;
            }
            let to = self.peers.near_addresses();
            near.report(&self, &servers, rhythm.near_ms, &to);
            if self.peers.hosts() <= DIRECT_HOSTS_MAX {
                far.report(&self, &servers, rhythm.far_ms, &self.peers.addresses());
            }
        }
    }

    /// Tells the other zones what the hosts of the own one report.
    pub(in crate::entry) async fn keep_telling_zones(self: Arc<Self>) {
        loop {
            time::sleep(Duration::from_millis(SUM_EVERY_MS)).await;
            if self.peers.hosts() > DIRECT_HOSTS_MAX {
                let own = HostView {
                    address: self.settings.listen.peers,
                    zone_tag: tag_of(&self.settings.availability_zone),
                    processor_share: self.settings.processor_share,
                    is_silent: false,
                };
                let run_times = self.own_run_times();
                self.peers.tell_zones(own, &self.own_loads(), &run_times);
            }
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
            time::sleep(Duration::from_millis(self.limits.word_every_ms)).await;
            if self.duty.is_confirmed() {
                let message = Message::Holder {
                    term: self.duty.term(),
                    sent_ms: clock::now_ms(),
                    news: self.freshness.news(self.view.store_heard_ms()),
                    hot: self.hot_keys.tell(clock::now_ms()),
                };
                self.peers.send_to_all(message);
            }
        }
    }

    fn own_loads(&self) -> Vec<ServerLoad> {
        let registry = self.view.registry();
        let mut loads: Vec<ServerLoad> = registry
            .servers()
            .map(|server| ServerLoad {
                server_tag: server.tag as u16,
                in_flight: server.own_load().min(255) as u8,
            })
            .filter(|load| load.in_flight > 0)
            .collect();
        loads.sort_unstable_by_key(|load| (255 - load.in_flight, load.server_tag));
        loads.truncate(ENTRIES_MAX);
        loads
    }

    fn own_run_times(&self) -> Vec<RunTime> {
        let registry = self.view.registry();
        let known = registry.servers().filter_map(|server| {
            let run_ms = server.own_run_ms() as u16;
            (run_ms > 0).then_some(RunTime {
                server_tag: server.tag as u16,
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
        for server in self.view.registry().servers() {
            let reported = loads.get(&(server.tag as u16)).copied().unwrap_or_default();
            let run_ms = reported.run_ms_sum / reported.reporters.max(1.0);
            server.set_others(reported.in_flight, run_ms);
        }
    }
}
