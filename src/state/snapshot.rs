//! Snapshots of the state: encoding, naming and verification by hash and revision.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::ensure;

use super::{
    entry::State,
    error::{Result, SnapshotSnafu},
};
use crate::id::Revision;

/// Pointer to a snapshot: the name and hash of its object in the object store. The pointer to the
/// latest snapshot is kept as JSON in a row of the table service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPointer {
    /// Revision of the state in the snapshot.
    pub revision: Revision,
    /// Name of the object in the object store, which contains the revision and the start of the
    /// hash.
    pub object: String,
    /// SHA-256 of the object, in hexadecimal.
    pub sha256: String,
}

/// Encoded state, with the pointer by which readers find and verify the encoded state.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Name, revision and hash of the body, by which readers find and verify the body.
    pub pointer: SnapshotPointer,
    /// State in the postcard encoding.
    pub body: Vec<u8>,
}

impl Snapshot {
    /// Encodes a state and computes its pointer.
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

    /// Decodes a state after verifying the hash and the revision of its pointer.
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
