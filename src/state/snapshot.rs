//! Snapshots of the state for the object store and for peers.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::ensure;

use super::{
    entry::State,
    error::{Result, SnapshotSnafu},
};
use crate::id::Revision;

/// Row that points at the latest snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPointer {
    /// Revision of the snapshot.
    pub revision: Revision,
    /// Name of the object.
    pub object: String,
    /// SHA-256 of the object, in hexadecimal.
    pub sha256: String,
}

/// An encoded state.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Where to find and how to check it.
    pub pointer: SnapshotPointer,
    /// Encoded state.
    pub body: Vec<u8>,
}

impl Snapshot {
    /// Encodes a state.
    pub fn encode(state: &State) -> Result<Self> {
        let body = postcard::to_allocvec(state).map_err(unreadable)?;
        let sha256 = digest(&body);
        let pointer = SnapshotPointer {
            revision: state.revision,
            object: format!("snapshot-{:020}-{}", state.revision.0, &sha256[..16]),
            sha256,
        };
        Ok(Self { pointer, body })
    }

    /// Decodes an object after checking it against its pointer.
    pub fn decode(pointer: &SnapshotPointer, body: &[u8]) -> Result<State> {
        let message = "its hash differs from the pointer's";
        ensure!(digest(body) == pointer.sha256, SnapshotSnafu { message });
        let state: State = postcard::from_bytes(body).map_err(unreadable)?;
        let message = "its revision differs from the pointer's";
        ensure!(
            state.revision == pointer.revision,
            SnapshotSnafu { message }
        );
        Ok(state)
    }
}

fn unreadable(error: postcard::Error) -> super::Error {
    super::Error::Snapshot {
        message: error.to_string(),
    }
}

fn digest(body: &[u8]) -> String {
    let hash = Sha256::digest(body);
    hash.iter().map(|byte| format!("{byte:02x}")).collect()
}
