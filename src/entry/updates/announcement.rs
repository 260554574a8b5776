//! Announcements by the leader that keys are being moved between servers.

use serde::{Deserialize, Serialize};

use crate::entry::{decide::hold::MoveTimeLeft, keys::KeyRange};

/// Message from the leader that a range of keys is being moved to another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveAnnouncement {
    /// Keys being moved. Requests for these keys wait until a grant of the keys is announced or
    /// this announcement expires.
    pub range: KeyRange,
    /// Fence above which a grant of the range completes the move.
    pub above_fence: u64,
    /// Remaining time after which the announcement expires, even if no grant of the keys was
    /// announced.
    pub time_left: MoveTimeLeft,
}
