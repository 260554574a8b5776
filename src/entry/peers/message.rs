//! Messages between hosts.

use serde::{Deserialize, Serialize};

use crate::entry::{freshness::StoreNews, hot_keys::HotKey, keys::Holding, view::Announcement};

/// Most servers and keys in one datagram; it stays under the usual packet size.
pub const ENTRIES_MAX: usize = 120;
/// Largest datagram.
pub const DATAGRAM_BYTES_MAX: usize = 2_048;
/// Version of the messages.
pub const VERSION: u8 = 4;

/// One host's requests at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerLoad {
    pub server_tag: u16,
    pub in_flight: u8,
}

/// Average run time of one server by one host's evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTime {
    pub server_tag: u16,
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
