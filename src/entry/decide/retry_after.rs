//! Computes the time after which a refused caller should retry. Callers wait for at most a third of
//! the time until their deadline, and each retry that is refused again costs them more than the
//! first refusal.

use super::{Candidate, Policy, hot_keys::HotKey};

/// Longest retry time, in milliseconds, that a refused caller is given. Requests in quarantine are
/// excepted: their callers may be given a longer retry time.
pub const RETRY_AFTER_MAX_MS: u64 = 5_000;
/// Retry time, in milliseconds, for requests to a host that has started and has not loaded its
/// configuration yet.
const START_RETRY_MS: u64 = 500;

/// Time, in milliseconds, after which the keys of a server that asks many hosts for a backoff have
/// usually been moved to other servers. With three hosts on one machine, 36 of 40 such moves took
/// 33 to 112 ms from the first response that asked for the backoff.
const BACKOFF_MOVE_MS: u64 = 150;

/// Time, in milliseconds, after which the keys whose load exceeds the rate limit of their server
/// have been moved to other servers: two rounds of the planner and one move of keys.
const LIMIT_MOVE_MS: u64 = 300;

/// Retry time, in milliseconds, for callers of a workspace that has used up its quota. The time is
/// one second because quotas are rates per second.
const QUOTA_RETRY_MS: u64 = 1_000;

/// Cause that blocks a refused request, by which retries at contended services are scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BlockedBy {
    /// The requests that the key's server already has.
    Queue,
    /// The requests for the key, which is hot: it gets more than its server can serve.
    HotKey,
    /// The move of the key to another server, or the lease of a lost server.
    Move,
    /// The key's server refuses connections, is not known, or another process answers at its
    /// address. The time at which the keys will have moved is not known.
    Unknown,
    /// Any other cause; the retry is not scheduled.
    Other,
}

/// Refusal of a request that has not run, so that the caller can safely send the request again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Reason that is sent to the caller and logged.
    pub reason: &'static str,
    /// Time after which the caller should retry, in milliseconds; sent in `Retry-After`.
    pub retry_after_ms: u64,
    /// Cause that blocks the request.
    pub blocked_by: BlockedBy,
}

impl Refused {
    /// Refuses a request that another host may serve at once, or that this host may serve a short
    /// time later. The caller is told to retry after the shortest retry time.
    pub fn soon(reason: &'static str, policy: &Policy) -> Self {
        Self::after(reason, 0, policy)
    }

    /// Refuses a request that is expected to be served after `after_ms`. The retry time is clamped
    /// to the range from `policy.return_min_ms` to [`RETRY_AFTER_MAX_MS`].
    pub fn after(reason: &'static str, after_ms: u64, policy: &Policy) -> Self {
        Self {
            reason,
            retry_after_ms: after_ms.clamp(policy.return_min_ms, RETRY_AFTER_MAX_MS),
            blocked_by: BlockedBy::Other,
        }
    }

    /// Returns the refusal with the cause that blocks the request.
    pub fn blocked_by(self, blocked_by: BlockedBy) -> Self {
        Self { blocked_by, ..self }
    }

    /// Returns the refusal with another retry time: at least `policy.return_min_ms`, and at most
    /// the longest time that the caller honours.
    pub fn at(&self, after_ms: u64, honoured_ms: u64, policy: &Policy) -> Self {
        Self {
            retry_after_ms: after_ms.max(policy.return_min_ms).min(honoured_ms),
            ..self.clone()
        }
    }

    /// Refuses a request that is in quarantine because several servers have crashed during that
    /// request. The retry time is the rest of the quarantine, without a maximum, because an earlier
    /// retry would be refused as well.
    pub fn quarantined(remaining_ms: u64) -> Self {
        Self {
            reason: "several servers have ended under the request",
            retry_after_ms: remaining_ms,
            blocked_by: BlockedBy::Other,
        }
    }

    /// Refuses a request because the server of its key has asked this host for a backoff. The retry
    /// time is at most [`BACKOFF_MOVE_MS`]: by then, the key may have been moved to another server,
    /// or the retry may reach another host that the server accepts requests from.
    pub fn in_backoff(backoff_ms: u64, policy: &Policy) -> Self {
        let reason = "the key's server wants a rest";
        Self::after(reason, backoff_ms.min(BACKOFF_MOVE_MS), policy)
    }

    /// Refuses a request because the server that holds the request's key has reached the rate limit
    /// that it advertises to all hosts together. The retry time allows for the move of the excess
    /// keys to other servers.
    pub fn limited(policy: &Policy) -> Self {
        let reason = "the key's server gets as much as it takes";
        Self::after(reason, LIMIT_MOVE_MS, policy)
    }

    /// Refuses a request from a workspace that has used up its quota. The retry time is
    /// [`QUOTA_RETRY_MS`], because quotas are rates per second.
    pub fn over_quota() -> Self {
        Self {
            reason: "the workspace is over its quota",
            retry_after_ms: QUOTA_RETRY_MS,
            blocked_by: BlockedBy::Other,
        }
    }

    /// Refuses a request because this host has just started and has not loaded its configuration
    /// yet.
    pub fn starting(reason: &'static str) -> Self {
        Self {
            reason,
            retry_after_ms: START_RETRY_MS,
            blocked_by: BlockedBy::Other,
        }
    }

    /// Refuses a request for a hot key, which gets more requests than its server can serve. The
    /// retry time is the typical run time of the service, multiplied by the ratio of the key's load
    /// to the server's capacity.
    pub fn hot_key(hot: HotKey, typical_ms: f64, policy: &Policy) -> Self {
        let turn_ms = (typical_ms * hot.excess()) as u64;
        let reason = "the key gets more requests than its server can serve";
        Self::after(reason, turn_ms, policy).blocked_by(BlockedBy::HotKey)
    }

    /// Refuses a request that a server did not run. A server with free slots sheds requests at
    /// random and has no queue that must drain first, so the retry time is
    /// [`Policy::return_shed_ms`]. Otherwise a request that runs at the server must end first, so
    /// the retry time is the typical run time of the service.
    pub fn not_run(server: &Candidate, typical_ms: f64, policy: &Policy) -> Self {
        let reason = "the server did not run the request";
        if server.load < server.slots {
            return Self {
                reason,
                retry_after_ms: policy.return_shed_ms,
                blocked_by: BlockedBy::Other,
            };
        }
        Self::after(reason, typical_ms as u64, policy).blocked_by(BlockedBy::Queue)
    }
}
