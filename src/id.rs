//! Typed identifiers: indices into the tables of [`crate::state::State`], counters such as
//! revisions and epochs, and random identifiers of processes and changes.

use std::fmt;

use rand::Rng;
use serde::{Deserialize, Serialize};

macro_rules! numeric_id {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }
    };
}

numeric_id!(
    /// Position of a change in the change log. The first change has revision 1, and each later
    /// change has the next higher number.
    Revision,
    u64
);
numeric_id!(
    /// Epoch of a slot, which is the fencing token of its grants. Each grant of the slot to a
    /// server has a higher epoch than the previous grant, and a server refuses requests that carry
    /// an outdated epoch.
    Epoch,
    u64
);
numeric_id!(
    /// Lease epoch of a backend server: a number that rises by one each time the server joins. A
    /// change that refers to an earlier lease epoch of the server is refused.
    LeaseEpoch,
    u64
);
numeric_id!(
    /// Random number that identifies one run of a process of a host or a backend server. A
    /// restarted process draws a new number.
    Incarnation,
    u64
);
numeric_id!(
    /// Index of an entry host in the table of hosts in [`crate::state::State`].
    HostKey,
    u32
);
numeric_id!(
    /// Index of a backend server in the table of servers in [`crate::state::State`].
    ServerKey,
    u32
);
numeric_id!(
    /// Index of a service of one workspace in the table of services in [`crate::state::State`].
    ServiceKey,
    u32
);
numeric_id!(
    /// Number of a slot within its service, counted from 0. A slot is the group of keys whose
    /// hashes fall into the same part of the range of hashes. One server owns all keys of a slot at
    /// a time, and a slot moves as a whole.
    Slot,
    u32
);

impl Revision {
    /// Returns the revision of the change that follows this revision in the change log.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Epoch {
    /// Returns the epoch that the next grant of the same slot gets.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Incarnation {
    /// Returns a new random number of 53 bits, so that two processes are unlikely to have the same
    /// number.
    pub fn random() -> Self {
        // Readers of JSON may represent numbers as doubles, which are exact up to 53 bits.
        Self(rand::rng().random::<u64>() >> 11)
    }
}

/// Idempotency identifier that a writer attaches to a change. If the response to the write is lost,
/// the writer looks up the identifier to find out whether the change was made.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OperationId(pub String);

impl OperationId {
    /// Returns a new random identifier, used where neither an operator nor a caller supplies one.
    pub fn random() -> Self {
        Self(format!("{:032x}", rand::rng().random::<u128>()))
    }

    /// Returns the 128-bit hash of the identifier. The state keeps the hash instead of the
    /// identifier, to recognise retries.
    pub fn hash(&self) -> u128 {
        xxhash_rust::xxh3::xxh3_128(self.0.as_bytes())
    }
}

impl fmt::Display for OperationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
