//! Decides whether a host holds a request whose key is being moved between servers, or refuses the
//! request at once. A held request waits in the host until the move completes.

use serde::{Deserialize, Serialize};

use super::Policy;

/// Shortest time for which a request is held, in milliseconds. A request that could be held only
/// for a shorter time is refused.
const HOLD_MIN_MS: u64 = 10;

/// Condition that a move waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MoveWait {
    /// The former server completes the requests that it runs for the keys: usually within some
    /// hundred milliseconds, at most [`MoveTimeLeft::remaining_ms`].
    Work,
    /// The last lease of the former server expires, since that server does not answer: after
    /// exactly [`MoveTimeLeft::remaining_ms`].
    Lease,
}

/// Expected time until a move of keys completes, as announced by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveTimeLeft {
    /// Condition that the move waits for, which decides how exact `remaining_ms` is.
    pub wait: MoveWait,
    /// Time left until the move completes, in milliseconds: an upper bound for [`MoveWait::Work`],
    /// the exact time for [`MoveWait::Lease`].
    pub remaining_ms: u64,
}

/// Decision to hold or refuse a request for a key that is being moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    /// The host holds the request for at most this time, in milliseconds.
    For(u64),
    /// The host refuses the request at once, because the move is not expected to complete within
    /// the time for which the request may still be held.
    Refuse,
}

/// Time from a host's first knowledge of a reason to move keys within which the leader announces the
/// move: it records the move in the store first. A response of the store that is lost delays the
/// announcement by the timeout of a write.
pub const ANNOUNCEMENT_DUE_MS: u64 = 1_500;

/// Returns the expected time until a move that is not announced yet completes. The former server of
/// the keys left, or the move was recorded, `known_for_ms` ago. Returns `None` if the announcement is
/// overdue or cannot come, because the leader cannot record a move while the store does not answer.
pub fn unannounced(known_for_ms: u64, is_store_lost: bool) -> Option<MoveTimeLeft> {
    let remaining_ms = ANNOUNCEMENT_DUE_MS.saturating_sub(known_for_ms);
    (remaining_ms > 0 && !is_store_lost).then_some(MoveTimeLeft {
        wait: MoveWait::Work,
        remaining_ms,
    })
}

/// Decides whether to hold or refuse a request that has already been held for `held_ms` and whose
/// deadline is in `left_ms`; `objective_ms` is the latency objective of the request's route.
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
