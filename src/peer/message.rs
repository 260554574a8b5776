//! Messages of the peer protocol. Heartbeats are datagrams; everything else is one request and one
//! reply on a stream of its own. Each message starts with a version byte; the rest is postcard.

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ensure};

use super::error::{DecodeSnafu, Error, Result};
use crate::{
    id::{HostKey, Incarnation, LeaseEpoch, Revision, ServerKey, ServiceKey, Slot},
    state::{LogEntry, SnapshotPointer},
};

/// Version of the protocol, the first byte of each message; messages of other versions are
/// rejected.
pub const VERSION: u8 = 1;
/// Maximum size of an encoded message, which bounds the memory that one peer can occupy.
pub const MESSAGE_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Heartbeats between hosts, sent as datagrams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Queries a peer for its revision and the staleness of its view (the time since that view was
    /// known to be complete).
    Ping {
        /// Sender, by its key in the registry of hosts.
        host: HostKey,
        /// Incarnation of the host's process; it changes when the host restarts.
        incarnation: Incarnation,
        /// Time at which the ping was sent, on the sender's clock; returned unchanged.
        sent_ms: u64,
        /// Revision that the sender has applied.
        revision: Revision,
    },
    /// Reply to a ping, sent on the same connection.
    Pong {
        /// Host that replies, by its key in the registry of hosts.
        host: HostKey,
        /// Incarnation of the host's process; it changes when the host restarts.
        incarnation: Incarnation,
        /// Time of sending, copied from the ping.
        sent_ms: u64,
        /// Revision that the host has applied.
        revision: Revision,
        /// Staleness of the replying host's view (see [`crate::membership::staleness`]); `None` if
        /// the host has not been up to date yet.
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
    /// Queries the receiver for the time for which its renewals may still keep the lease of a lost
    /// server valid.
    LeaseHorizon {
        /// Server that was declared lost.
        server: ServerKey,
        /// Lease epoch of the server that ended when the server was declared lost.
        lease_epoch: LeaseEpoch,
        /// Revision of the change that recorded the loss of the server.
        lost: Revision,
    },
    /// Requests a probe: the receiver checks if a server responds.
    Probe {
        /// Server to check, by its key in the state.
        server: ServerKey,
    },
    /// Requests the load that the receiver has counted since the last such request.
    Loads,
}

/// Replies to a [`PeerRequest`], on the same stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Revision that the host has applied, in reply to a push.
    Applied {
        /// Revision after the pushed entries were applied.
        revision: Revision,
    },
    /// Log entries after the requested revision.
    Entries {
        /// Entries with consecutive revisions, oldest first.
        entries: Vec<LogEntry>,
    },
    /// The host no longer holds the requested entries.
    Truncated,
    /// Snapshot of the whole state, for a host that is far behind.
    Snapshot {
        /// Revision and hash of the snapshot.
        pointer: SnapshotPointer,
        /// State in the postcard encoding, to be verified against `pointer`.
        body: Vec<u8>,
    },
    /// Reply to [`PeerRequest::LeaseHorizon`], from which [`crate::ownership::expiry`] computes
    /// when the lost server's lease has ended.
    Horizon {
        /// Time since the host applied the change that records the loss of the server; `None` if it
        /// has not applied that change.
        applied_age_ms: Option<u64>,
        /// Time for which the host's renewals may still keep the lease valid.
        remaining_ms: u64,
    },
    /// Result of a probe, in reply to [`PeerRequest::Probe`].
    Probed {
        /// True if the process that holds the lease responded.
        alive: bool,
    },
    /// Requests by slot, counted by the replying host since the last such request.
    Loads {
        /// Slots with at least one request.
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
    /// Number of requests that the host routed to the slot since the previous
    /// [`PeerRequest::Loads`].
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
