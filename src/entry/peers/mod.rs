//! What hosts tell each other, by datagrams: their requests at each server, requests by key for
//! the planner, moves and grants. All of that is best effort and only improves decisions. One
//! message does more: an earlier holder's word that it gives no more leases ends a wait that keeps
//! ownership single. All are sealed with a secret that the hosts share.

pub mod fanout;
mod intervals;
pub mod message;
pub mod outbox;
mod receive;
mod report;
mod send;
pub mod zone_loads;

pub use self::{intervals::report_every_ms, message::KeyCount};

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
};

use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;

use self::{
    fanout::{DIRECT_HOSTS_MAX, Fanout, OneWayDelay, RELAY_SILENT_MS, RelayCandidate},
    intervals::report_age_max_ms,
    message::{Message, RunTime, ServerLoad, ServerPace, VERSION},
    outbox::Outbox,
    zone_loads::{ZoneLoads, ZoneNews},
};
use super::{
    decide::choice::HostCount, seal::Seal, server::tag_of, updates::snapshot::SnapshotHost,
};
use crate::clock;

/// What the other hosts reported of a server.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedLoad {
    in_flight: u32,
    run_ms_sum: f64,
    reporters: f64,
}

/// What another host reported of a server's pace.
#[derive(Clone, Copy, Debug)]
struct ReportedPace {
    server_tag: u32,
    pace: f64,
    /// When the server told that, by this host's clock.
    at_ms: u64,
}

/// A host that others may ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Guide {
    /// Address for other hosts.
    pub address: SocketAddr,
    /// Short name of its availability zone.
    pub zone_tag: u32,
}

/// What a host's row tells of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostFacts {
    /// Process that runs there, if its row was read.
    pub incarnation: Option<u64>,
    /// Short name of its availability zone.
    pub zone_tag: u32,
    /// True if that is the own zone.
    pub is_near: bool,
    /// Share of a processor that it has.
    pub processor_share: f32,
}

#[derive(Debug)]
struct Peer {
    facts: HostFacts,
    /// When it was first given a message to relay since it was last heard; 0 if it was not.
    asked_ms: u64,
    heard_ms: u64,
    loads: Vec<ServerLoad>,
    run_times: Vec<RunTime>,
}

impl Peer {
    fn view(&self, address: SocketAddr, now_ms: u64) -> RelayCandidate {
        RelayCandidate {
            address,
            zone_tag: self.facts.zone_tag,
            processor_share: self.facts.processor_share,
            is_silent: self.asked_ms > 0 && now_ms > self.asked_ms + RELAY_SILENT_MS,
        }
    }

    fn add_to(&self, sums: &mut HashMap<u32, ReportedLoad>) {
        add_report(sums, &self.loads, &self.run_times);
    }
}

fn add_report(sums: &mut HashMap<u32, ReportedLoad>, loads: &[ServerLoad], run_times: &[RunTime]) {
    for load in loads {
        sums.entry(load.server_tag).or_default().in_flight += u32::from(load.in_flight);
    }
    for run_time in run_times {
        let sum = sums.entry(run_time.server_tag).or_default();
        sum.run_ms_sum += f64::from(run_time.run_ms);
        sum.reporters += 1.0;
    }
}

/// The other hosts.
#[derive(Debug, Default)]
pub struct Peers {
    /// Seals and opens datagrams.
    pub seal: Seal,
    /// Word of moves and grants that waits to be sent.
    pub outbox: Outbox,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    socket: std::sync::OnceLock<Arc<UdpSocket>>,
    /// Requests by service tag and key since the last report.
    counted: Mutex<HashMap<(u32, u16), u16>>,
    /// Requests that other hosts reported to this one, while it has the duty.
    reported: Mutex<Vec<KeyCount>>,
    holder: Mutex<Option<SocketAddr>>,
    holder_term: AtomicU64,
    told_hosts: AtomicUsize,
    holder_heard_ms: AtomicU64,
    /// Paces that other hosts reported, until they are taken in.
    paces: Mutex<Vec<ReportedPace>>,
    one_way_delay: Mutex<OneWayDelay>,
    zone_loads: Mutex<ZoneLoads>,
    /// What this host has told the other zones, if it speaks for its own.
    zone_news: Mutex<ZoneNews>,
}

impl Peers {
    /// Notes a host.
    pub fn add(&self, address: SocketAddr, facts: HostFacts) {
        let mut peers = self.peers();
        let peer = peers.entry(address).or_insert_with(|| Peer {
            facts,
            asked_ms: 0,
            heard_ms: 0,
            loads: Vec::new(),
            run_times: Vec::new(),
        });
        peer.facts = facts;
    }

    /// Notes that a host was heard.
    fn note_heard(&self, address: SocketAddr) {
        if let Some(peer) = self.peers().get_mut(&address) {
            peer.asked_ms = 0;
        }
    }

    /// What is known of the other hosts, for one that starts.
    pub fn known_hosts(&self) -> Vec<SnapshotHost> {
        let peers = self.peers();
        let hosts = peers.iter().map(|(address, peer)| SnapshotHost {
            address: *address,
            incarnation: peer.facts.incarnation,
            zone_tag: peer.facts.zone_tag,
            processor_share: peer.facts.processor_share,
        });
        hosts.collect()
    }

    /// Hosts that others may ask when they start: those that get messages for all, and this one.
    pub fn guides(&self, own: Guide) -> Vec<Guide> {
        let Fanout { direct, relays } = self.present_fanout();
        let peers = self.peers();
        let zone_tag = |address: &SocketAddr| peers.get(address).map(|peer| peer.facts.zone_tag);
        let others = direct.iter().chain(&relays);
        let others = others.filter_map(|address| {
            Some(Guide {
                address: *address,
                zone_tag: zone_tag(address)?,
            })
        });
        let mut guides: Vec<Guide> = others.chain([own]).collect();
        guides.sort_unstable();
        guides
    }

    /// The hosts that pass messages on to the zone of this one, which may be one of them.
    pub(in crate::entry) fn zone_relays(&self, own: RelayCandidate) -> Vec<SocketAddr> {
        let now_ms = clock::now_ms();
        let near: Vec<RelayCandidate> = {
            let peers = self.peers();
            let near = peers.iter().filter(|(_, peer)| peer.facts.is_near);
            near.map(|(address, peer)| peer.view(*address, now_ms))
                .collect()
        };
        let term = self.holder_term.load(Ordering::Relaxed);
        let zone: Vec<RelayCandidate> = near.into_iter().chain([own]).collect();
        fanout::zone_pair(&zone, term)
    }

    /// The host that this one asks for what it has missed: among many, one that passes messages on to its zone; the holder
    /// of the duty among few, and for those that others ask.
    pub fn guide_for(&self, own: RelayCandidate) -> Option<SocketAddr> {
        if !self.are_many() {
            return *self.holder();
        }
        let relays = self.zone_relays(own);
        if relays.contains(&own.address) {
            return *self.holder();
        }
        relays.choose(&mut rand::rng()).copied()
    }

    /// True if a host at this address is known.
    pub fn knows(&self, address: SocketAddr) -> bool {
        self.peers().contains_key(&address)
    }

    /// Forgets a host.
    pub fn remove(&self, address: SocketAddr) {
        self.peers().remove(&address);
    }

    /// Number of hosts, this one included: those that this host knows, or more if the holder of the duty knows more.
    /// What all hosts share is divided by it, so that too many are better than too few.
    pub fn hosts(&self) -> usize {
        self.known().max(self.told_hosts.load(Ordering::Relaxed))
    }

    /// Number of hosts that this host knows, itself included.
    pub fn known(&self) -> usize {
        self.peers().len() + 1
    }

    /// Notes how many hosts the holder of the duty knows.
    fn note_told_hosts(&self, hosts: u32) {
        self.told_hosts.store(hosts as usize, Ordering::Relaxed);
    }

    /// Numbers of hosts in the own zone and in all.
    pub fn host_count(&self) -> HostCount {
        let peers = self.peers();
        HostCount {
            near: peers.values().filter(|peer| peer.facts.is_near).count() + 1,
            all: peers.len() + 1,
        }
    }

    /// Number of hosts that come before the one at `own` in the order in which they look after the
    /// duty: those with a larger share of a processor first, since the holder has messages for all and
    /// orders for all servers with keys. Among equals the order is another one for each term, so that
    /// hosts that are gone do not always come first.
    pub fn takeover_rank(&self, own: SocketAddr, processor_share: f32) -> usize {
        let term = self.holder_term.load(Ordering::Relaxed);
        let place = |address: &SocketAddr| tag_of(&format!("{address} {term}"));
        let own = place(&own);
        let is_before = |address: &SocketAddr, share: f32| {
            share > processor_share || share == processor_share && place(address) < own
        };
        let peers = self.peers();
        let others = peers.iter();
        others
            .filter(|(address, peer)| is_before(address, peer.facts.processor_share))
            .count()
    }

    /// True if messages for all hosts go by relays.
    pub(in crate::entry) fn are_many(&self) -> bool {
        self.hosts() > DIRECT_HOSTS_MAX
    }

    /// Number of hosts that hear each other's reports, this one included.
    fn reporting_hosts(&self) -> usize {
        let hosts = self.host_count();
        if self.are_many() {
            hosts.near
        } else {
            hosts.all
        }
    }

    /// Term of the latest holder of the duty that was heard.
    pub fn holder_term(&self) -> u64 {
        self.holder_term.load(Ordering::Relaxed)
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
        let near = peers.iter().filter(|(_, peer)| peer.facts.is_near);
        near.map(|(address, _)| *address).collect()
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn holder(&self) -> MutexGuard<'_, Option<SocketAddr>> {
        self.holder.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a message to the holder of the duty; false if none is known.
    pub(in crate::entry) fn send_to_holder(&self, message: &Message) -> bool {
        let Some(holder) = *self.holder() else {
            return false;
        };
        self.send(message, &[holder]);
        true
    }

    pub(in crate::entry) fn send(&self, message: &Message, to: &[SocketAddr]) {
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

    fn note_paces(&self, paces: &[ServerPace]) {
        let now_ms = clock::now_ms();
        let told = paces.iter().map(|pace| ReportedPace {
            server_tag: pace.server_tag,
            pace: f64::from(pace.percent) / 100.0,
            at_ms: now_ms.saturating_sub(u64::from(pace.age_ms)),
        });
        self.paces().extend(told);
    }

    /// Paces that other hosts reported since the last call.
    fn take_paces(&self) -> Vec<ReportedPace> {
        std::mem::take(&mut *self.paces())
    }

    fn paces(&self) -> MutexGuard<'_, Vec<ReportedPace>> {
        self.paces.lock().unwrap_or_else(PoisonError::into_inner)
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
