//! What hosts tell each other, by datagrams: their requests at each server, requests by key for
//! the planner, moves and grants. All of that is best effort and only improves decisions. One
//! message does more: an earlier holder's word that it gives no more leases ends a wait that keeps
//! ownership single. All are sealed with a secret that the hosts share.

pub mod message;
pub mod outbox;
mod receive;
mod report;

pub use self::{message::KeyCount, report::Rhythm};

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use tokio::net::UdpSocket;

use self::{
    message::{Message, RunTime, ServerLoad, VERSION},
    outbox::Outbox,
};
use super::{decide::choice::HostCount, seal::Seal, server::tag_of};
use crate::clock;

/// What the other hosts reported of a server.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedLoad {
    in_flight: u32,
    run_ms_sum: f64,
    reporters: f64,
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

    /// True if a host at this address is known.
    pub fn knows(&self, address: SocketAddr) -> bool {
        self.peers().contains_key(&address)
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

    /// Sends a message to all other hosts.
    pub(in crate::entry) fn send_to_all(&self, message: &Message) {
        self.send(message, &self.addresses());
    }

    /// Sends a message to the holder of the duty; false if none is known.
    pub(in crate::entry) fn send_to_holder(&self, message: &Message) -> bool {
        let Some(holder) = *self.holder() else {
            return false;
        };
        self.send(message, &[holder]);
        true
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
