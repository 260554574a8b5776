//! Time after which a refused caller should retry. Callers wait for at most a third of the time
//! that they have left; each retry that is refused again costs them more than the first refusal.

use super::{Candidate, Policy, hot_keys::HotKey};

/// Longest retry time that a caller is given, except for requests in quarantine.
const RETRY_AFTER_MAX_MS: u64 = 5_000;
/// Retry time while a host loads its configuration after its start.
const START_RETRY_MS: u64 = 500;

/// Time after which the keys of a server that asks many hosts for a backoff have moved to another
/// one: 33 to 112 ms after the first response in 36 of 40 moves, with three hosts on one machine.
const BACKOFF_MOVE_MS: u64 = 150;

/// Time after which excess keys of a rate-limited server have moved to others: two rounds of the
/// planner, and a move.
const LIMIT_MOVE_MS: u64 = 300;

/// Retry time for a workspace that is over its quota, which is counted by the second.
const QUOTA_RETRY_MS: u64 = 1_000;

/// Refusal of a request that has not run, so that the caller can safely retry it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Reason that is sent to the caller and logged.
    pub reason: &'static str,
    /// Time after which the caller should retry, in milliseconds; sent in `Retry-After`.
    pub retry_after_ms: u64,
}

impl Refused {
    /// Refuses a request that another host may serve now, or this host a short time later; the
    /// caller should retry after the shortest retry time.
    pub fn soon(reason: &'static str, policy: &Policy) -> Self {
        Self::after(reason, 0, policy)
    }

    /// Refuses a request that can be served after `after_ms`; the retry time is limited to the
    /// range from `policy.return_min_ms` to [`RETRY_AFTER_MAX_MS`].
    pub fn after(reason: &'static str, after_ms: u64, policy: &Policy) -> Self {
        Self {
            reason,
            retry_after_ms: after_ms.clamp(policy.return_min_ms, RETRY_AFTER_MAX_MS),
        }
    }

    /// Refuses a request during which several servers have crashed. The time is not capped: an
    /// earlier retry would be refused as well.
    pub fn quarantined(remaining_ms: u64) -> Self {
        Self {
            reason: "several servers have ended under the request",
            retry_after_ms: remaining_ms,
        }
    }

    /// Refuses a request since the key's server has asked this host for a backoff. Before the end
    /// of the backoff the keys may have moved to another server, or another host may be served.
    pub fn in_backoff(backoff_ms: u64, policy: &Policy) -> Self {
        let reason = "the key's server wants a rest";
        Self::after(reason, backoff_ms.min(BACKOFF_MOVE_MS), policy)
    }

    /// Refuses a request since the key's server has reached its rate limit for all hosts. The
    /// excess keys move to other servers.
    pub fn limited(policy: &Policy) -> Self {
        let reason = "the key's server gets as much as it takes";
        Self::after(reason, LIMIT_MOVE_MS, policy)
    }

    /// Refuses a request of a workspace that has used up its quota, which is counted by the second.
    pub fn over_quota() -> Self {
        Self {
            reason: "the workspace is over its quota",
            retry_after_ms: QUOTA_RETRY_MS,
        }
    }

    /// Refuses a request since the host has just started and has not loaded its configuration yet.
    pub fn starting(reason: &'static str) -> Self {
        Self {
            reason,
            retry_after_ms: START_RETRY_MS,
        }
    }

    /// Refuses a request for a key that gets more requests than its server can serve. The retry
    /// time is about the typical run time, multiplied by the number of requests received for each
    /// one that can be served.
    pub fn hot_key(hot: HotKey, typical_ms: f64, policy: &Policy) -> Self {
        let turn_ms = (typical_ms * hot.excess()) as u64;
        let reason = "the key gets more requests than its server can serve";
        Self::after(reason, turn_ms, policy)
    }

    /// Refuses a request that the server reported as not run. A server with free slots sheds at
    /// random and has no queue to drain; otherwise some request must end first.
    pub fn not_run(server: &Candidate, typical_ms: f64, policy: &Policy) -> Self {
        let reason = "the server did not run the request";
        if server.load < server.slots {
            return Self {
                reason,
                retry_after_ms: policy.return_shed_ms,
            };
        }
        Self::after(reason, typical_ms as u64, policy)
    }
}
