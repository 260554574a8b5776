//! Whether a request waits in the host while its key is on its way between servers.

use serde::{Deserialize, Serialize};

use super::Policy;

/// Least time for which it is worth holding a request.
const HOLD_MIN_MS: u64 = 10;

/// What ends a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MoveWait {
    /// The former server's work on the keys: some hundred ms as a rule, at most the time told.
    Work,
    /// The last lease of a server that does not answer: just the time told.
    Lease,
}

/// How long a move may still take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveTimeLeft {
    /// What ends it.
    pub wait: MoveWait,
    /// Time left.
    pub rest_ms: u64,
}

/// What becomes of a request for a key on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// It waits for this long at most.
    For(u64),
    /// It is refused at once: its key will not be there before it must be answered.
    Refuse,
}

/// Decides for a request that has been here for `held_ms` and must be answered within `left_ms`.
pub fn decide(
    rest: MoveTimeLeft,
    held_ms: u64,
    left_ms: u64,
    aim_ms: u64,
    policy: &Policy,
) -> Hold {
    let share_ms = (aim_ms as f64 * policy.hold_share) as u64;
    let most_ms = policy.hold_ms.max(share_ms);
    let room_ms = most_ms.saturating_sub(held_ms).min(left_ms);
    if room_ms < HOLD_MIN_MS {
        return Hold::Refuse;
    }
    match rest.wait {
        MoveWait::Work => Hold::For(room_ms),
        MoveWait::Lease if rest.rest_ms <= room_ms => Hold::For(rest.rest_ms),
        MoveWait::Lease => Hold::Refuse,
    }
}
