//! When a refused caller should come back. Callers obey up to a third of the time that they have
//! left; each return that is refused again costs them more than the first refusal.

use super::{Candidate, Policy, hot_keys::HotKey};

/// Longest time after which a caller should come back.
const RETRY_AFTER_MAX_MS: u64 = 5_000;
/// Time after which a host that has just started knows what it needs.
const START_RETRY_MS: u64 = 500;

/// Time after which the keys of a server that wants a rest are at another one, if it wants it of many hosts: 33 to 112
/// ms after the first answer in 36 of 40 moves, with three hosts on one machine.
const REST_MOVE_MS: u64 = 150;

/// Time after which keys that are too many for a limited server are at others: two rounds of the planner, and a
/// move.
const LIMIT_MOVE_MS: u64 = 300;

/// Time after which a workspace that is over its quota may send again.
const QUOTA_RETRY_MS: u64 = 1_000;

/// Why a request is refused. It has not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Reason, for the caller and the log.
    pub reason: &'static str,
    /// Time after which the caller should come back.
    pub retry_after_ms: u64,
}

impl Refused {
    /// Another host, or this one in a moment, may serve the request.
    pub fn soon(reason: &'static str, policy: &Policy) -> Self {
        Self::after(reason, 0, policy)
    }

    /// The request can be served after a time.
    pub fn after(reason: &'static str, after_ms: u64, policy: &Policy) -> Self {
        Self {
            reason,
            retry_after_ms: after_ms.clamp(policy.return_min_ms, RETRY_AFTER_MAX_MS),
        }
    }

    /// Servers have ended under the request. It says the true time, however long: no caller is served
    /// by coming back sooner.
    pub fn quarantined(rest_ms: u64) -> Self {
        Self {
            reason: "several servers have ended under the request",
            retry_after_ms: rest_ms,
        }
    }

    /// The key's server wants nothing of this host for a time. Before its end the keys may have gone to another
    /// server, or another host may be served.
    pub fn resting(rest_ms: u64, policy: &Policy) -> Self {
        let reason = "the key's server wants a rest";
        Self::after(reason, rest_ms.min(REST_MOVE_MS), policy)
    }

    /// The key's server gets as many requests as it takes from all hosts. The keys that are too many for it go to
    /// others.
    pub fn limited(policy: &Policy) -> Self {
        let reason = "the key's server gets as much as it takes";
        Self::after(reason, LIMIT_MOVE_MS, policy)
    }

    /// The workspace has used what it may send. Quotas count requests a second.
    pub fn over_quota() -> Self {
        Self {
            reason: "the workspace is over its quota",
            retry_after_ms: QUOTA_RETRY_MS,
        }
    }

    /// The host has just started.
    pub fn starting(reason: &'static str) -> Self {
        Self {
            reason,
            retry_after_ms: START_RETRY_MS,
        }
    }

    /// The key gets more requests than its server can serve: a caller's turn comes after about as
    /// many runs as there are requests for each one that is served.
    pub fn hot_key(hot: HotKey, typical_ms: f64, policy: &Policy) -> Self {
        let turn_ms = (typical_ms * hot.excess()) as u64;
        let reason = "the key gets more requests than its server can serve";
        Self::after(reason, turn_ms, policy)
    }

    /// A server said that it did not run the request. If it has free slots, it sheds at random and
    /// nothing has to drain; else some work must end first.
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
