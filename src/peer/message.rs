//! Messages of the peer protocol, by which entry hosts talk to each other. Heartbeats are
//! datagrams; all other messages are pairs of a request and its reply, each pair on a stream of its
//! own. A message starts with a version byte, which the message in the postcard encoding follows.

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ensure};

use super::error::{DecodeSnafu, Error, Result};
use crate::{
    id::{HostKey, Incarnation, LeaseEpoch, Revision, ServerKey, ServiceKey, Slot},
    state::{LogEntry, SnapshotPointer},
};

/// Version of the peer protocol, which is the first byte of each message. Messages with
/// another version are rejected.
pub const VERSION: u8 = 1;
/// Maximum size of an encoded message, which bounds the memory that one peer can occupy.
pub const MESSAGE_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Heartbeats between hosts, sent as datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Queries a peer for its revision and the staleness of its view (the time since that view was
    /// known to be complete).
    Ping {
        /// Key of the sender in the registry of hosts.
        host: HostKey,
        /// Incarnation of the sender's process, which changes when the sender restarts.
        incarnation: Incarnation,
        /// Time in milliseconds at which the ping was sent, on the sender's clock; the peer returns
        /// it unchanged.
        sent_ms: u64,
        /// Revision that the sender has applied.
        revision: Revision,
    },
    /// Reply to a ping, sent on the same connection.
    Pong {
        /// Key of the replying host in the registry of hosts.
        host: HostKey,
        /// Incarnation of the replying host's process, which changes when that host restarts.
        incarnation: Incarnation,
        /// Time at which the ping was sent, copied from the ping.
        sent_ms: u64,
        /// Revision that the replying host has applied.
        revision: Revision,
        /// Staleness of the replying host's view (see [`crate::membership::staleness`]); `None` if
        /// that view was never known to be complete.
        #[serde(rename = "basis_age_ms")]
        staleness_ms: Option<u64>,
    },
}

/// Requests from one host to another, each on a stream of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Delivers new log entries, which the receiver relays to the hosts in `relay`.
    Push {
        /// Entries with consecutive revisions, oldest first.
        entries: Vec<LogEntry>,
        /// Hosts that the receiver must relay the entries to.
        relay: Vec<HostKey>,
    },
    /// Requests the log entries after a revision.
    Entries {
        /// Last revision that the sender has applied.
        after: Revision,
    },
    /// Requests a snapshot of the whole state.
    Snapshot,
    /// Asks for how long the lease renewals that the receiver has sent to a lost server may still
    /// keep the lease of that server valid.
    LeaseHorizon {
        /// Server that was declared lost.
        server: ServerKey,
        /// Lease epoch of the server that ended when the server was declared lost.
        lease_epoch: LeaseEpoch,
        /// Revision of the change that recorded the loss of the server.
        lost: Revision,
    },
    /// Requests a probe: the receiver sends a check to a server and reports whether the server
    /// responds.
    Probe {
        /// Key of the server to check.
        server: ServerKey,
    },
    /// Requests the numbers of requests by slot that the receiver has counted since it last
    /// reported them.
    Loads,
}

/// Replies to a [`PeerRequest`], on the same stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Reply to [`PeerRequest::Push`].
    Applied {
        /// Latest revision that the replying host has applied, after the push was handled.
        revision: Revision,
    },
    /// Reply to [`PeerRequest::Entries`]: log entries after the requested revision.
    Entries {
        /// Entries with consecutive revisions, oldest first.
        entries: Vec<LogEntry>,
    },
    /// Reply to [`PeerRequest::Entries`] if the replying host no longer holds the requested
    /// entries.
    Truncated,
    /// Reply to [`PeerRequest::Snapshot`]: snapshot of the whole state, for a host that is far
    /// behind.
    Snapshot {
        /// Revision and hash of the snapshot.
        pointer: SnapshotPointer,
        /// State in the postcard encoding, to be verified against `pointer`.
        body: Vec<u8>,
    },
    /// Reply to [`PeerRequest::LeaseHorizon`], from which [`crate::ownership::expiry`] computes
    /// when the lost server's lease has ended.
    Horizon {
        /// Time in milliseconds since the replying host applied the change that records the loss of
        /// the server; `None` if the replying host has not applied that change.
        applied_age_ms: Option<u64>,
        /// Time in milliseconds for which renewals sent by the replying host may still keep the
        /// lease valid.
        remaining_ms: u64,
    },
    /// Result of a probe, in reply to [`PeerRequest::Probe`].
    Probed {
        /// True if the process that holds the lease responded.
        alive: bool,
    },
    /// Reply to [`PeerRequest::Loads`]: numbers of requests by slot that the replying host has
    /// counted since it last reported them.
    Loads {
        /// Loads of the slots that got at least one request.
        loads: Vec<SlotLoad>,
    },
}

/// Requests that one host routed to one slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotLoad {
    /// Service that the slot belongs to.
    pub service: ServiceKey,
    /// Slot that the keys of the requests belong to.
    pub slot: Slot,
    /// Number of requests that the host routed to the slot since the host last reported its loads.
    pub requests: u32,
}

/// Encodes a message, with the version byte first.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let buffer = vec![VERSION];
    postcard::to_extend(message, buffer).map_err(decode_error)
}

/// Decodes a message and checks its version.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T> {
    let (version, body) = bytes.split_first().context(DecodeSnafu {
        message: "it is empty",
    })?;
    ensure!(
        *version == VERSION,
        DecodeSnafu {
            message: format!("its version is {version}, not {VERSION}")
        }
    );
    postcard::from_bytes(body).map_err(decode_error)
}

fn decode_error(error: postcard::Error) -> Error {
    Error::Decode {
        message: error.to_string(),
    }
}
