//! What hosts tell each other, by datagrams: their requests at each server, requests by key for
//! the planner, moves and grants. All of that is best effort and only improves decisions. One
//! message does more: an earlier holder's word that it gives no more leases ends a wait that keeps
//! ownership single. All are sealed with a secret that the hosts share.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::{net::UdpSocket, time};

use super::{
    Entry, choice::HostCount, freshness::StoreNews, hot_keys::HotKey, keys::Holding, seal::Seal,
    server::tag_of, view::Announcement,
};
use crate::clock;

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
/// Interval at which the duty's holder shows the others that it lives.
const HOLDER_EVERY_MS: u64 = 300;
/// Every so many intervals a report has the run times too and is sent even without news, to show
/// that the host lives.
const FULL_REPORT_EVERY: u64 = 8;
/// Age after which a report no longer counts, beyond the longest time between two of them.
const REPORT_AGE_SLACK_MS: u64 = 400;
/// Most servers and keys in one datagram; it stays under the usual packet size.
const ENTRIES_MAX: usize = 120;
/// Largest datagram.
const DATAGRAM_BYTES_MAX: usize = 2_048;
/// Version of the messages.
const VERSION: u8 = 4;

/// One host's requests at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ServerLoad {
    server_tag: u16,
    in_flight: u8,
}

/// Average run time of one server by one host's evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RunTime {
    server_tag: u16,
    run_ms: u16,
}

/// Requests for one key since the last report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyCount {
    /// Service.
    pub service_tag: u32,
    /// Key.
    pub key: u16,
    /// Requests.
    pub requests: u16,
}

/// Messages between hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Message {
    /// The sender has the duty.
    Holder {
        /// Number of its term.
        term: u64,
        /// What it knows of the store.
        news: StoreNews,
        /// Keys that get too many requests.
        hot: Vec<HotKey>,
    },
    Report {
        servers: Vec<ServerLoad>,
        /// Empty if they have not changed much since the last report that had them.
        run_times: Vec<RunTime>,
    },
    Keys(Vec<KeyCount>),
    Moving {
        service_tag: u32,
        announcement: Announcement,
    },
    /// The sender had the duty in this term and gives no more leases.
    Stopped {
        term: u64,
    },
    Held {
        service_tag: u32,
        holding: Holding,
    },
}

#[derive(Debug, Default)]
struct Peer {
    incarnation: u64,
    is_near: bool,
    heard_ms: u64,
    loads: Vec<ServerLoad>,
    run_times: Vec<RunTime>,
}

/// The other hosts.
#[derive(Debug, Default)]
pub struct Peers {
    /// Seals and opens datagrams.
    pub seal: Seal,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    socket: std::sync::OnceLock<Arc<UdpSocket>>,
    /// Requests by service tag and key since the last report.
    counted: Mutex<HashMap<(u32, u16), u16>>,
    /// Requests that other hosts reported to this one, while it has the duty.
    reported: Mutex<Vec<KeyCount>>,
    holder: Mutex<Option<SocketAddr>>,
    holder_term: AtomicU64,
    holder_heard_ms: AtomicU64,
}

impl Peers {
    /// Notes a host; it is near if it is in the own availability zone.
    pub fn add(&self, address: SocketAddr, incarnation: u64, is_near: bool) {
        let mut peers = self.peers();
        let peer = peers.entry(address).or_default();
        peer.incarnation = incarnation;
        peer.is_near = is_near;
    }

    /// Processes of the other hosts.
    pub fn processes(&self) -> Vec<(SocketAddr, u64)> {
        let peers = self.peers();
        let processes = peers.iter().map(|(address, p)| (*address, p.incarnation));
        processes.collect()
    }

    /// Forgets a host.
    pub fn remove(&self, address: SocketAddr) {
        self.peers().remove(&address);
    }

    /// Number of hosts, this one included.
    pub fn hosts(&self) -> usize {
        self.peers().len() + 1
    }

    /// Numbers of hosts in the own zone and in all.
    pub fn host_count(&self) -> HostCount {
        let peers = self.peers();
        HostCount {
            near: peers.values().filter(|peer| peer.is_near).count() + 1,
            all: peers.len() + 1,
        }
    }

    /// Number of hosts that come before the one at `own` in the order in which they look after the
    /// duty. The order is another one for each term, so that hosts that are gone do not always come
    /// first.
    pub fn takeover_rank(&self, own: SocketAddr) -> usize {
        let term = self.holder_term.load(Ordering::Relaxed);
        let place = |address: &SocketAddr| tag_of(&format!("{address} {term}"));
        let own = place(&own);
        let peers = self.peers();
        peers.keys().filter(|address| place(address) < own).count()
    }

    /// Intervals of reports at the present number of hosts.
    fn rhythm(&self) -> Rhythm {
        let hosts = self.host_count();
        Rhythm::new(hosts.near as u64, hosts.all as u64)
    }

    /// When the duty's holder was last heard.
    pub fn holder_heard_ms(&self) -> u64 {
        self.holder_heard_ms.load(Ordering::Relaxed)
    }

    /// Counts a request for a key.
    pub fn count(&self, service_tag: u32, key: u16) {
        let mut counted = self.counted.lock().unwrap_or_else(PoisonError::into_inner);
        *counted.entry((service_tag, key)).or_default() += 1;
    }

    /// Requests by key that all hosts reported since the last call.
    pub fn take_reported(&self) -> Vec<KeyCount> {
        let mut reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *reported)
    }

    fn take_counted(&self) -> Vec<KeyCount> {
        let mut counted = self.counted.lock().unwrap_or_else(PoisonError::into_inner);
        let counts = counted
            .drain()
            .map(|((service_tag, key), requests)| KeyCount {
                service_tag,
                key,
                requests,
            });
        counts.collect()
    }

    fn add_reported(&self, keys: &[KeyCount]) {
        let mut reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner);
        reported.extend_from_slice(keys);
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.peers().keys().copied().collect()
    }

    fn near_addresses(&self) -> Vec<SocketAddr> {
        let peers = self.peers();
        let near = peers.iter().filter(|(_, peer)| peer.is_near);
        near.map(|(address, _)| *address).collect()
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn holder(&self) -> MutexGuard<'_, Option<SocketAddr>> {
        self.holder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn send(&self, message: &Message, to: &[SocketAddr]) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let mut bytes = vec![VERSION];
        match postcard::to_stdvec(message) {
            Ok(encoded) => bytes.extend(encoded),
            Err(error) => {
                log::warn!("a message to hosts cannot be encoded: {error}");
                return;
            }
        }
        // Before the secret is read nothing is sent.
        let Some(datagram) = self.seal.seal(&bytes) else {
            return;
        };
        for address in to {
            // Best effort: the next report makes up for a lost one.
            if let Err(error) = socket.try_send_to(&datagram, *address) {
                log::debug!("no datagram to {address}: {error}");
            }
        }
    }

    /// Tells all hosts that keys are about to move.
    pub fn announce_move(&self, service: &str, announcement: Announcement) {
        let message = Message::Moving {
            service_tag: tag_of(service),
            announcement,
        };
        self.send(&message, &self.addresses());
    }

    /// Tells all hosts that a server has got keys.
    pub fn announce_holding(&self, service: &str, holding: &Holding) {
        let message = Message::Held {
            service_tag: tag_of(service),
            holding: holding.clone(),
        };
        self.send(&message, &self.addresses());
    }

    fn note_report(&self, from: SocketAddr, servers: Vec<ServerLoad>, run_times: Vec<RunTime>) {
        if let Some(peer) = self.peers().get_mut(&from) {
            peer.heard_ms = clock::now_ms();
            peer.loads = servers;
            if !run_times.is_empty() {
                peer.run_times = run_times;
            }
        }
    }

    /// Notes a host that says that it has the duty; true if no later holder is known.
    fn note_holder(&self, from: SocketAddr, term: u64) -> bool {
        if term < self.holder_term.load(Ordering::Relaxed) {
            return false;
        }
        self.holder_term.store(term, Ordering::Relaxed);
        self.holder_heard_ms
            .store(clock::now_ms(), Ordering::Relaxed);
        *self.holder() = Some(from);
        true
    }

    /// Load and average run time by server tag, as the other hosts reported them.
    fn loads(&self) -> HashMap<u16, ReportedLoad> {
        let now_ms = clock::now_ms();
        let rhythm = self.rhythm();
        let mut sums: HashMap<u16, ReportedLoad> = HashMap::new();
        for peer in self.peers().values() {
            if now_ms > peer.heard_ms + rhythm.age_max_ms(peer.is_near) {
                continue;
            }
            for load in &peer.loads {
                sums.entry(load.server_tag).or_default().in_flight += u32::from(load.in_flight);
            }
            for run_time in &peer.run_times {
                let sum = sums.entry(run_time.server_tag).or_default();
                sum.run_ms_sum += f64::from(run_time.run_ms);
                sum.reporters += 1.0;
            }
        }
        sums
    }
}

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
    fn age_max_ms(&self, is_near: bool) -> u64 {
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
        let report = Message::Report { servers, run_times };
        entry.peers.send(&report, to);
    }
}

/// What the other hosts reported of a server.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedLoad {
    in_flight: u32,
    run_ms_sum: f64,
    reporters: f64,
}

impl Entry {
    /// Reports requests at servers to the other hosts.
    pub(super) async fn keep_reporting(self: Arc<Self>) {
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
            far.report(&self, &servers, rhythm.far_ms, &self.peers.addresses());
        }
    }

    /// Reports requests by key to the holder of the duty.
    pub(super) async fn keep_counting(self: Arc<Self>) {
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
    pub(super) async fn keep_showing_duty(self: Arc<Self>) {
        loop {
            time::sleep(Duration::from_millis(HOLDER_EVERY_MS)).await;
            if self.duty.is_confirmed() {
                let message = Message::Holder {
                    term: self.duty.term(),
                    news: self.freshness.news(self.view.store_heard_ms()),
                    hot: self.hot_keys.tell(),
                };
                self.peers.send(&message, &self.peers.addresses());
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

    /// Takes in what the other hosts send.
    pub(super) async fn keep_listening(self: Arc<Self>, socket: UdpSocket) {
        let socket = Arc::new(socket);
        if self.peers.socket.set(socket.clone()).is_err() {
            log::warn!("the socket for hosts is set already");
        }
        let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
        loop {
            let (length, from) = match socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("no datagram: {error}");
                    time::sleep(Duration::from_millis(REPORT_EVERY_MS)).await;
                    continue;
                }
            };
            self.take_in(&buffer[..length], from);
        }
    }

    fn take_in(&self, datagram: &[u8], from: SocketAddr) {
        let Some(message) = self.peers.seal.open(datagram) else {
            log::debug!("datagram of {from} has no known seal");
            return;
        };
        let Some((&VERSION, body)) = message.split_first() else {
            return;
        };
        match postcard::from_bytes(body) {
            Ok(Message::Holder { term, news, hot }) => self.note_holder(from, term, news, hot),
            Ok(Message::Report { servers, run_times }) => {
                self.peers.note_report(from, servers, run_times);
            }
            Ok(Message::Stopped { term }) => self.duty.note_stopped(from, term),
            Ok(Message::Keys(keys)) => {
                if self.duty.term() > 0 {
                    self.peers.add_reported(&keys);
                }
            }
            Ok(Message::Held {
                service_tag,
                holding,
            }) => {
                if let Some(service) = self.service_of(service_tag) {
                    self.view.note_granted(&service, holding);
                }
            }
            Ok(Message::Moving {
                service_tag,
                announcement,
            }) => self.note_move(service_tag, announcement),
            Err(error) => log::debug!("datagram of {from} cannot be read: {error}"),
        }
    }

    fn note_holder(&self, from: SocketAddr, term: u64, news: StoreNews, hot: Vec<HotKey>) {
        if let Some(term) = self.duty.note_other_term(term) {
            self.peers.send(&Message::Stopped { term }, &[from]);
        }
        if self.peers.note_holder(from, term) {
            self.heard_store(self.freshness.note_told(news));
            self.hot_keys.note_told(hot);
        }
    }

    fn note_move(&self, service_tag: u32, announcement: Announcement) {
        if let Some(service) = self.service_of(service_tag) {
            self.view.announce_move(&service, announcement);
        }
    }

    fn service_of(&self, tag: u32) -> Option<Arc<str>> {
        let configuration = self.view.configuration()?;
        let mut services = configuration.services();
        let service = services.find(|service| tag_of(&service.name) == tag)?;
        Some(service.name.clone())
    }
}
