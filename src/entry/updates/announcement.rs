//! Moves of keys as the holder of the duty announces them.

use serde::{Deserialize, Serialize};

use crate::entry::{decide::hold::MoveRest, keys::KeyRange};

/// What the holder tells of keys that are on their way to another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveAnnouncement {
    /// Keys.
    pub range: KeyRange,
    /// They are there once a grant under a higher fence is announced.
    pub above_fence: u64,
    /// Time after which this no longer counts, whatever was heard.
    pub rest: MoveRest,
}
