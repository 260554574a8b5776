//! Datagrams that hosts send each other: the load of a host on each server, request counts by key
//! for the planner of moves, and announcements of moves and grants of keys. Datagrams may be lost,
//! and their content only improves decisions, with one exception: the statement of a previous
//! leader that it grants no more leases ends a wait of the current leader that keeps the ownership
//! of keys exclusive. All datagrams are sealed with a secret that the hosts share.

pub mod fanout;
mod intervals;
pub mod message;
pub mod outbox;
mod peer;
mod receive;
mod report;
mod send;
pub mod zone_loads;

pub use self::{
    intervals::report_every_ms,
    message::KeyCount,
    peer::{HostProperties, SeedHost},
};

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;

use self::{
    fanout::{DIRECT_HOSTS_MAX, Fanout, OneWayDelay, RelayCandidate},
    intervals::report_age_max_ms,
    message::{Message, RunTime, ServerLoad, ServerSlowdown, VERSION},
    outbox::Outbox,
    peer::{Peer, ReportedLoad},
    zone_loads::{ZoneLoadChanges, ZoneLoads},
};
use super::{decide::choice::HostCount, seal::Seal, tag::tag_of, updates::snapshot::SnapshotHost};
use crate::clock;

/// Slowdown (factor by which a server currently runs slower than usual) that a server announced to
/// another host and that the other host reported to this host.
#[derive(Clone, Copy, Debug)]
struct ReportedSlowdown {
    server_tag: u32,
    slowdown: f64,
    /// Time at which the server announced the slowdown, by this host's clock.
    at_ms: u64,
}

/// Other hosts that this host knows, and the messages exchanged with them.
#[derive(Debug, Default)]
pub struct Peers {
    /// Seals and opens datagrams with the secret of the hosts.
    pub seal: Seal,
    /// Announcements of moves and grants that wait to be sent.
    pub outbox: Outbox,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    socket: std::sync::OnceLock<Arc<UdpSocket>>,
    /// Numbers of requests that this host received since its last report to the leader, by service
    /// tag and key.
    counted: Mutex<HashMap<(u32, u16), u16>>,
    /// Request counts by key of all hosts, this host included, that were reported to this host
    /// while it is the leader and that are not yet added up.
    reported: Mutex<Vec<KeyCount>>,
    /// Address of the leader that sent the latest heartbeat.
    leader: Mutex<Option<SocketAddr>>,
    leader_term: AtomicU64,
    /// Number of hosts that the leader knows, as stated in its latest heartbeat.
    hosts_known_to_leader: AtomicUsize,
    leader_heard_ms: AtomicU64,
    /// True if the leader has given up the leadership since its latest heartbeat.
    is_leader_gone: AtomicBool,
    /// Slowdowns of servers that other hosts reported and that are not applied yet.
    slowdowns: Mutex<Vec<ReportedSlowdown>>,
    /// Baseline for the delays of the heartbeats from the leader, by which delayed heartbeats are
    /// recognised.
    one_way_delay: Mutex<OneWayDelay>,
    /// Loads that the aggregators of the other zones have sent.
    zone_loads: Mutex<ZoneLoads>,
    /// Loads that this host has sent to other zones as the aggregator of its zone, from which the
    /// loads that have changed are determined.
    zone_load_changes: Mutex<ZoneLoadChanges>,
}

impl Peers {
    /// Adds a host. If the host is already known, replaces the properties of the host and keeps the
    /// reports that the host has sent.
    pub fn add(&self, address: SocketAddr, properties: HostProperties) {
        let mut peers = self.peers();
        let peer = peers.entry(address).or_insert_with(|| Peer {
            properties,
            relay_since_ms: 0,
            heard_ms: 0,
            loads: Vec::new(),
            run_times: Vec::new(),
        });
        peer.properties = properties;
    }

    /// Records that a host has sent a datagram, which counts as an acknowledgement of all messages
    /// that this host has sent to that host to relay.
    fn note_heard(&self, address: SocketAddr) {
        if let Some(peer) = self.peers().get_mut(&address) {
            peer.relay_since_ms = 0;
        }
    }

    /// Returns the other hosts that this host knows, for a snapshot that is sent to a starting
    /// host.
    pub fn known_hosts(&self) -> Vec<SnapshotHost> {
        let peers = self.peers();
        let hosts = peers.iter().map(|(address, peer)| SnapshotHost {
            address: *address,
            incarnation: peer.properties.incarnation,
            zone_tag: peer.properties.zone_tag,
            processor_share: peer.properties.processor_share,
        });
        hosts.collect()
    }

    /// Returns the seed hosts: this host, and the hosts to which this host sends messages for all
    /// hosts. With many hosts, these are the relays of each zone; with few hosts, all other hosts.
    pub fn seed_hosts(&self, own: SeedHost) -> Vec<SeedHost> {
        let Fanout { direct, relays } = self.current_fanout();
        let peers = self.peers();
        let zone_tag =
            |address: &SocketAddr| peers.get(address).map(|peer| peer.properties.zone_tag);
        let others = direct.iter().chain(&relays);
        let others = others.filter_map(|address| {
            Some(SeedHost {
                address: *address,
                zone_tag: zone_tag(address)?,
            })
        });
        let mut seed_hosts: Vec<SeedHost> = others.chain([own]).collect();
        seed_hosts.sort_unstable();
        seed_hosts
    }

    /// Returns the relays of this host's zone, which may include this host.
    pub(in crate::entry) fn own_zone_relays(&self, own: RelayCandidate) -> Vec<SocketAddr> {
        let now_ms = clock::now_ms();
        let same_zone: Vec<RelayCandidate> = {
            let peers = self.peers();
            let same_zone = peers
                .iter()
                .filter(|(_, peer)| peer.properties.is_same_zone);
            same_zone
                .map(|(address, peer)| peer.relay_candidate(*address, now_ms))
                .collect()
        };
        let term = self.leader_term.load(Ordering::Relaxed);
        let zone: Vec<RelayCandidate> = same_zone.into_iter().chain([own]).collect();
        fanout::choose_zone_relays(&zone, term)
    }

    /// Returns the host from which this host fetches missed changes: with many hosts, a relay of
    /// this host's zone; with few hosts, or if this host is a relay itself, the leader.
    pub fn sync_peer(&self, own: RelayCandidate) -> Option<SocketAddr> {
        if !self.use_relays() {
            return *self.leader();
        }
        let relays = self.own_zone_relays(own);
        if relays.contains(&own.address) {
            return *self.leader();
        }
        relays.choose(&mut rand::rng()).copied()
    }

    /// Returns true if the host at this address is known to be in this host's zone.
    pub fn is_same_zone(&self, address: SocketAddr) -> bool {
        let peers = self.peers();
        let peer = peers.get(&address);
        peer.is_some_and(|peer| peer.properties.is_same_zone)
    }

    /// Returns up to `per_place` random hosts of this host's zone, and as many of other zones.
    pub fn sample(&self, per_place: usize) -> Vec<SocketAddr> {
        let peers = self.peers();
        let of_place = |is_same_zone: bool| {
            let in_place = peers
                .iter()
                .filter(|(_, peer)| peer.properties.is_same_zone == is_same_zone);
            let in_place: Vec<SocketAddr> = in_place.map(|(address, _)| *address).collect();
            let chosen = in_place.choose_multiple(&mut rand::rng(), per_place);
            chosen.copied().collect::<Vec<_>>()
        };
        [of_place(true), of_place(false)].concat()
    }

    /// Returns true if another host at this address is known, from its row or its own messages.
    pub fn knows(&self, address: SocketAddr) -> bool {
        self.peers().contains_key(&address)
    }

    /// Removes a host: this host sends no more messages to the removed host and ignores the loads
    /// that the removed host reported.
    pub fn remove(&self, address: SocketAddr) {
        self.peers().remove(&address);
    }

    /// Returns the number of hosts, this host included: the larger of the numbers that this host
    /// and the leader know. Limits that apply to all hosts together are divided by this number, so
    /// an overestimate is safer than an underestimate.
    pub fn hosts(&self) -> usize {
        self.known()
            .max(self.hosts_known_to_leader.load(Ordering::Relaxed))
    }

    /// Returns the number of hosts that this host knows, itself included.
    pub fn known(&self) -> usize {
        self.peers().len() + 1
    }

    /// Records the number of hosts that the leader knows, as stated in its heartbeat.
    fn note_hosts_known_to_leader(&self, hosts: u32) {
        self.hosts_known_to_leader
            .store(hosts as usize, Ordering::Relaxed);
    }

    /// Returns the numbers of hosts in this host's zone and in all zones.
    pub fn host_count(&self) -> HostCount {
        let peers = self.peers();
        HostCount {
            same_zone: peers
                .values()
                .filter(|peer| peer.properties.is_same_zone)
                .count()
                + 1,
            all: peers.len() + 1,
        }
    }

    /// Returns the number of hosts that come before the host at `own` in the takeover order. Hosts
    /// that may use a larger fraction of a processor come first, since the leader sends messages to
    /// all hosts and commands to all servers that hold keys. The order of hosts with equal fractions
    /// differs by term, so that the same crashed hosts do not come first in every term.
    pub fn takeover_rank(&self, own: SocketAddr, processor_share: f32) -> usize {
        let term = self.leader_term.load(Ordering::Relaxed);
        let place = |address: &SocketAddr| tag_of(&format!("{address} {term}"));
        let own = place(&own);
        let is_before = |address: &SocketAddr, share: f32| {
            share > processor_share || share == processor_share && place(address) < own
        };
        let peers = self.peers();
        let others = peers.iter();
        others
            .filter(|(address, peer)| is_before(address, peer.properties.processor_share))
            .count()
    }

    /// Returns true if messages to all hosts are sent through relays.
    pub(in crate::entry) fn use_relays(&self) -> bool {
        self.hosts() > DIRECT_HOSTS_MAX
    }

    /// Returns the number of hosts that receive each other's load reports, this host included. With
    /// relays, hosts report only to the hosts of their own zone.
    fn reporting_hosts(&self) -> usize {
        let hosts = self.host_count();
        if self.use_relays() {
            hosts.same_zone
        } else {
            hosts.all
        }
    }

    /// Returns the latest term for which a heartbeat from the leader was received.
    pub fn leader_term(&self) -> u64 {
        self.leader_term.load(Ordering::Relaxed)
    }

    /// Returns the time at which this host received the last heartbeat from the leader; 0 if this
    /// host has received none.
    pub fn leader_heard_ms(&self) -> u64 {
        self.leader_heard_ms.load(Ordering::Relaxed)
    }

    /// Counts a request that this host received for a key. The next report to the leader contains
    /// the count.
    pub fn count(&self, service_tag: u32, key: u16) {
        let mut counted = self.counted.lock().unwrap_or_else(PoisonError::into_inner);
        *counted.entry((service_tag, key)).or_default() += 1;
    }

    /// Takes the request counts by key that all hosts reported since the last call.
    pub fn take_reported_key_counts(&self) -> Vec<KeyCount> {
        let mut reported = self.reported.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *reported)
    }

    fn take_key_counts(&self) -> Vec<KeyCount> {
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

    fn same_zone_addresses(&self) -> Vec<SocketAddr> {
        let peers = self.peers();
        let same_zone = peers
            .iter()
            .filter(|(_, peer)| peer.properties.is_same_zone);
        same_zone.map(|(address, _)| *address).collect()
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn leader(&self) -> MutexGuard<'_, Option<SocketAddr>> {
        self.leader.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a message to the leader. Returns false if this host knows no leader.
    pub(in crate::entry) fn send_to_leader(&self, message: &Message) -> bool {
        let Some(leader) = *self.leader() else {
            return false;
        };
        self.send(message, &[leader]);
        true
    }

    /// Seals a message and sends it to the hosts at the addresses `to`. Failures are logged, and
    /// the message is not sent again.
    pub(in crate::entry) fn send(&self, message: &Message, to: &[SocketAddr]) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        let mut bytes = vec![VERSION];
        match postcard::to_stdvec(message) {
            Ok(encoded) => bytes.extend(encoded),
            Err(error) => {
                log::warn!("a message to other hosts cannot be encoded: {error}");
                return;
            }
        }
        // The message is dropped if this host has not read the secret of the hosts yet, since the
        // message cannot be sealed.
        let Some(datagram) = self.seal.seal(&bytes) else {
            return;
        };
        for address in to {
            // A failure is only logged: the network may lose datagrams as well, and the next report
            // replaces a lost report.
            if let Err(error) = socket.try_send_to(&datagram, *address) {
                log::debug!("sending a datagram to {address} failed: {error}");
            }
        }
    }

    fn note_report(&self, from: SocketAddr, servers: Vec<ServerLoad>) {
        if let Some(peer) = self.peers().get_mut(&from) {
            peer.heard_ms = clock::now_ms();
            peer.loads = servers;
        }
    }

    fn note_run_times(&self, from: SocketAddr, run_times: Vec<RunTime>) {
        if let Some(peer) = self.peers().get_mut(&from) {
            peer.run_times = run_times;
        }
    }

    fn note_slowdowns(&self, slowdowns: &[ServerSlowdown]) {
        let now_ms = clock::now_ms();
        let announced = slowdowns.iter().map(|slowdown| ReportedSlowdown {
            server_tag: slowdown.server_tag,
            slowdown: f64::from(slowdown.percent) / 100.0,
            at_ms: now_ms.saturating_sub(u64::from(slowdown.age_ms)),
        });
        self.slowdowns().extend(announced);
    }

    /// Takes the slowdowns that other hosts reported since the last call.
    fn take_slowdowns(&self) -> Vec<ReportedSlowdown> {
        std::mem::take(&mut *self.slowdowns())
    }

    fn slowdowns(&self) -> MutexGuard<'_, Vec<ReportedSlowdown>> {
        self.slowdowns
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a heartbeat from the leader. Returns false and ignores the heartbeat if this host
    /// knows a leader of a later term.
    fn note_leader(&self, from: SocketAddr, term: u64) -> bool {
        if term < self.leader_term.load(Ordering::Relaxed) {
            return false;
        }
        self.leader_term.store(term, Ordering::Relaxed);
        self.is_leader_gone.store(false, Ordering::Relaxed);
        self.leader_heard_ms
            .store(clock::now_ms(), Ordering::Relaxed);
        *self.leader() = Some(from);
        true
    }

    /// Records that the leader at `from` has given up the leadership of `term`.
    fn note_released(&self, from: SocketAddr, term: u64) {
        let is_current = term >= self.leader_term.load(Ordering::Relaxed);
        if is_current && *self.leader() == Some(from) {
            self.is_leader_gone.store(true, Ordering::Relaxed);
        }
    }

    /// Returns true if the leader has announced that it has given up the leadership, and no
    /// heartbeat has arrived since.
    pub fn is_leader_gone(&self) -> bool {
        self.is_leader_gone.load(Ordering::Relaxed)
    }

    /// Returns the loads and run times by server tag that other hosts reported and that are not
    /// stale.
    fn loads(&self) -> HashMap<u32, ReportedLoad> {
        let now_ms = clock::now_ms();
        let age_max_ms = report_age_max_ms(self.reporting_hosts());
        let mut sums: HashMap<u32, ReportedLoad> = HashMap::new();
        for peer in self.peers().values() {
            if now_ms > peer.heard_ms + age_max_ms {
                continue;
            }
            peer.add_to(&mut sums);
        }
        let zones = self
            .zone_loads
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
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
}
