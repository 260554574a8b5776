//! Decides whether a request is held (made to wait) in the host while its key is being moved
//! between servers, or refused at once.

use serde::{Deserialize, Serialize};

use super::Policy;

/// Shortest time for which a request is held; with less time left it is refused.
const HOLD_MIN_MS: u64 = 10;

/// Condition that a move waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MoveWait {
    /// Completion of the requests that the former server runs for the keys: usually some hundred
    /// milliseconds, at most the announced time.
    Work,
    /// Expiry of the last lease of a server that does not answer: exactly the announced time.
    Lease,
}

/// Expected time until a move completes, as announced by the leader of the hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveTimeLeft {
    /// Condition that the move waits for, which decides how exact `remaining_ms` is.
    pub wait: MoveWait,
    /// Time left until the move completes: an upper bound or the exact time, depending on `wait`.
    pub remaining_ms: u64,
}

/// Decision to hold or refuse a request for a key that is being moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// The request is held for at most this time, in milliseconds.
    For(u64),
    /// The request is refused at once: the move is not expected to complete within the time for
    /// which the request may still be held.
    Refuse,
}

/// Decides on a request that has been held for `held_ms` and has its deadline in `left_ms`;
/// `objective_ms` is the route's latency objective.
pub fn decide(
    time_left: MoveTimeLeft,
    held_ms: u64,
    left_ms: u64,
    objective_ms: u64,
    policy: &Policy,
) -> Hold {
    let share_ms = (objective_ms as f64 * policy.hold_share) as u64;
    let hold_max_ms = policy.hold_ms.max(share_ms);
    let room_ms = hold_max_ms.saturating_sub(held_ms).min(left_ms);
    if room_ms < HOLD_MIN_MS {
        return Hold::Refuse;
    }
    match time_left.wait {
        MoveWait::Work => Hold::For(room_ms),
        MoveWait::Lease if time_left.remaining_ms <= room_ms => Hold::For(time_left.remaining_ms),
        MoveWait::Lease => Hold::Refuse,
    }
}
