//! Datagrams that hosts send each other: the load of a host on each server, request counts by key
//! for the planner of moves, and announcements of moves and grants of keys. Datagrams may be lost,
//! and their content only improves decisions, with one exception: the statement of a previous
//! leader that it grants no more leases ends a wait of the current leader that keeps the ownership
//! of keys exclusive. All datagrams are sealed with a secret that the hosts share.

pub mod datagrams;
pub mod fanout;
mod intervals;
mod key_counts;
mod known_hosts;
mod leader;
mod loads;
pub mod message;
pub mod outbox;
mod peer;
mod receive;
mod relays;
mod report;
mod send;
mod slowdowns;
pub mod zone_loads;

pub use self::{
    intervals::report_every_ms,
    message::KeyCount,
    peer::{HostProperties, SeedHost},
};

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError},
};

use tokio::net::UdpSocket;

use self::{
    datagrams::Datagrams,
    key_counts::KeyCounts,
    leader::LeaderContact,
    message::{Message, VERSION},
    outbox::Outbox,
    peer::Peer,
    slowdowns::ReportedSlowdown,
    zone_loads::{ZoneLoadChanges, ZoneLoads},
};
use super::seal::Seal;
use crate::clock;

/// Other hosts that this host knows, and the messages exchanged with them.
#[derive(Debug, Default)]
pub struct Peers {
    /// Seals and opens datagrams with the secret of the hosts.
    pub seal: Seal,
    /// Announcements of moves and grants that wait to be sent.
    pub outbox: Outbox,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
    socket: OnceLock<Arc<UdpSocket>>,
    /// Datagrams to other hosts.
    pub(in crate::entry) datagrams: Datagrams,
    key_counts: KeyCounts,
    leader: LeaderContact,
    /// Slowdowns of servers that other hosts reported and that are not applied yet.
    slowdowns: Mutex<Vec<ReportedSlowdown>>,
    /// Loads that the aggregators of the other zones have sent.
    zone_loads: Mutex<ZoneLoads>,
    /// Loads that this host has sent to other zones as the aggregator of its zone, from which the
    /// loads that have changed are determined.
    zone_load_changes: Mutex<ZoneLoadChanges>,
}

impl Peers {
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
        let try_send = |datagram: &[u8], address| socket.try_send_to(datagram, address);
        self.datagrams
            .send(&datagram, to, clock::now_ms(), try_send);
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
