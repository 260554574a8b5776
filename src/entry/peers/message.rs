//! Messages between hosts.

use serde::{Deserialize, Serialize};

use crate::entry::{
    decide::hot_keys::HotKey, freshness::StoreNews, keys::Holding, relay::ServerChanges,
    view::Announcement,
};

/// Most servers and keys in one datagram; it stays under the usual packet size.
pub const ENTRIES_MAX: usize = 120;
/// Largest datagram.
pub const DATAGRAM_BYTES_MAX: usize = 2_048;
/// Version of the messages.
pub const VERSION: u8 = 8;

/// One host's requests at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    /// Server.
    pub server_tag: u16,
    /// Requests of the host that are there.
    pub in_flight: u8,
}

/// Average run time of one server by one host's evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTime {
    /// Server.
    pub server_tag: u16,
    /// Average run time.
    pub run_ms: u16,
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
pub enum Message {
    /// The sender has the duty.
    Holder {
        /// Number of its term.
        term: u64,
        /// What it knows of the store.
        news: StoreNews,
        /// Keys that get too many requests.
        hot: Vec<HotKey>,
    },
    /// What the sender knows of servers.
    Report {
        /// Its requests there.
        servers: Vec<ServerLoad>,
        /// Their run times; empty if they have not changed much since the last report that had
        /// them.
        run_times: Vec<RunTime>,
    },
    /// Requests by key, for the holder of the duty.
    Keys(Vec<KeyCount>),
    /// Keys are on their way to other servers.
    Moving {
        /// Service.
        service_tag: u32,
        /// Keys.
        announcements: Vec<Announcement>,
    },
    /// Changes of servers' entries that the sender, which has the duty, was told by the store.
    Servers(ServerChanges),
    /// Asks the holder of the duty who holds a key.
    WhoHolds {
        /// Service.
        service_tag: u32,
        /// Key.
        key: u16,
    },
    /// The sender had the duty in this term and gives no more leases.
    Stopped {
        /// Number of the term.
        term: u64,
    },
    /// Servers have got keys.
    Held {
        /// Service.
        service_tag: u32,
        /// Keys and servers.
        holdings: Vec<Holding>,
    },
}
