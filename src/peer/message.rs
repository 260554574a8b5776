//! The peer protocol: heartbeats as datagrams, everything else as one request and one answer on a
//! stream of its own. Each message starts with a version byte; the rest is postcard.

use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ensure};

use super::error::{DecodeSnafu, Error, Result};
use crate::{
    id::{HostKey, Incarnation, LeaseEpoch, Revision, ServerKey, ServiceKey, Slot},
    state::{LogEntry, SnapshotPointer},
};

/// Version of the protocol.
pub const VERSION: u8 = 1;
/// Largest message.
pub const MESSAGE_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// Question.
    Ping {
        /// Host that asks.
        host: HostKey,
        /// Its process.
        incarnation: Incarnation,
        /// Time of the sender, returned unread.
        sent_ms: u64,
        /// Revision that the sender has applied.
        revision: Revision,
    },
    /// Answer.
    Pong {
        /// Host that answers.
        host: HostKey,
        /// Its process.
        incarnation: Incarnation,
        /// Time from the question.
        sent_ms: u64,
        /// Revision that it has applied.
        revision: Revision,
        /// Age of its basis.
        basis_age_ms: Option<u64>,
    },
}

/// Requests on streams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// New entries, to be passed on to the hosts of `relay`.
    Push {
        /// Entries in order.
        entries: Vec<LogEntry>,
        /// Hosts still to be told.
        relay: Vec<HostKey>,
    },
    /// Asks for the entries after a revision.
    Entries {
        /// Revision.
        after: Revision,
    },
    /// Asks for the whole state.
    Snapshot,
    /// Asks how long a lost server's lease may still be valid by this host's renewals.
    LeaseHorizon {
        /// Server.
        server: ServerKey,
        /// Membership period.
        lease_epoch: LeaseEpoch,
        /// Revision of the loss.
        lost: Revision,
    },
    /// Asks to try whether a server answers.
    Probe {
        /// Server.
        server: ServerKey,
    },
    /// Asks for the requests seen since the last such question.
    Loads,
}

/// Answers on streams.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Revision that the host has applied now.
    Applied {
        /// Revision.
        revision: Revision,
    },
    /// Entries after the revision asked for.
    Entries {
        /// Entries in order.
        entries: Vec<LogEntry>,
    },
    /// The host no longer holds these entries.
    Truncated,
    /// The whole state.
    Snapshot {
        /// Revision and hash.
        pointer: SnapshotPointer,
        /// Encoded state.
        body: Vec<u8>,
    },
    /// Facts for [`crate::ownership::lapse`].
    Horizon {
        /// Time since the host applied the loss; none if it has not.
        applied_age_ms: Option<u64>,
        /// Time for which its own renewals may still hold.
        remaining_ms: u64,
    },
    /// Outcome of a probe.
    Probed {
        /// True if the server answered.
        alive: bool,
    },
    /// Requests by slot.
    Loads {
        /// Slots with requests.
        loads: Vec<SlotLoad>,
    },
}

/// Requests that one host routed to one slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotLoad {
    /// Service.
    pub service: ServiceKey,
    /// Slot.
    pub slot: Slot,
    /// Requests.
    pub requests: u32,
}

/// Encodes a message.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let buffer = vec![VERSION];
    postcard::to_extend(message, buffer).map_err(unreadable)
}

/// Decodes a message.
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
    postcard::from_bytes(body).map_err(unreadable)
}

fn unreadable(error: postcard::Error) -> Error {
    Error::Decode {
        message: error.to_string(),
    }
}
