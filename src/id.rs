//! Typed identifiers: small `Copy` keys into the tables of [`crate::state::State`], and counters.

use std::fmt;

use rand::Rng;
use serde::{Deserialize, Serialize};

macro_rules! number {
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

number!(
    /// Position of a change in the log; each accepted change has the next higher number.
    Revision,
    u64
);
number!(
    /// Fencing token of a slot's grant; never decreases.
    Epoch,
    u64
);
number!(
    /// Lease epoch of a server: a number that rises each time the server joins. A lease of a higher
    /// epoch ends all grants of the earlier ones.
    LeaseEpoch,
    u64
);
number!(
    /// Random number that identifies one run of a process; a restarted process draws a new one.
    Incarnation,
    u64
);
number!(
    /// Index of an entry host in the table of the state.
    HostKey,
    u32
);
number!(
    /// Index of a backend server in the table of the state.
    ServerKey,
    u32
);
number!(
    /// Index of a service of one workspace in the table of the state.
    ServiceKey,
    u32
);
number!(
    /// Number of a slot within its service, from 0.
    Slot,
    u32
);

impl Revision {
    /// Returns the revision of the next change in the log.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Epoch {
    /// Returns the epoch of the next grant of the slot.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Incarnation {
    /// Returns a new random number of 53 bits, which makes equal numbers of two processes
    /// improbable.
    pub fn random() -> Self {
        // JSON readers may hold numbers as doubles, so only 53 bits are used.
        Self(rand::rng().random::<u64>() >> 11)
    }
}

/// Idempotency identifier that a writer attaches to a change. If the response to the write is lost,
/// the writer looks the identifier up to learn whether the change was made.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct OperationId(pub String);

impl OperationId {
    /// Returns a new random identifier, used where neither an operator nor a caller supplies one.
    pub fn random() -> Self {
        Self(format!("{:032x}", rand::rng().random::<u128>()))
    }

    /// Returns the 128-bit hash that the state keeps instead of the identifier, to recognise
    /// retries.
    pub fn hash(&self) -> u128 {
        xxhash_rust::xxh3::xxh3_128(self.0.as_bytes())
    }
}

impl fmt::Display for OperationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
