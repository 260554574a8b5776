//! Decides which idle connections to the servers of a service may be reused. Handles servers that
//! forget idle connections without closing them, for example because a network element between host
//! and server has lost its state: requests on such connections are reset or get no response.
//!
//! A reused connection that fails without a response shows that connections which were idle for as
//! long or longer may be forgotten. A repeatable request is sent again after a failure, so that for
//! it a bound needs two failures: a single one is a server's crash, or a server that closes the
//! connection at the moment of its reuse. For an unrepeatable request one failure suffices, because
//! it cannot be sent again.

/// Time, in milliseconds, for which a failure bounds the reuse of connections. Afterwards longer idle
/// connections are tried again, since new connections are billed.
const FAILURE_MEMORY_MS: u64 = 10_000;
/// Lowest bound, in milliseconds. A failure after a shorter idle time still counts, but connections
/// that were idle for less than this stay in use: requests in quick succession need no new ones.
const BOUND_MIN_MS: u64 = 50;
/// Time, in milliseconds, within which failures at one server count as one: a crash breaks all
/// connections to the server at once.
const SAME_CAUSE_MS: u64 = 100;
/// Number of failures that are kept for a service. Those after the shortest idle times are kept: the
/// two shortest determine the bound, and the others take their place when these are withdrawn.
const FAILURES_MAX: usize = 16;

/// Recent failures of reused connections to the servers of one service, as one host saw them.
#[derive(Clone, Debug, Default)]
pub struct IdleReuse {
    failures: Vec<Failure>,
}

#[derive(Clone, Copy, Debug)]
struct Failure {
    /// Tag of the server.
    server: u32,
    /// Idle time that the connection had when it was reused.
    idle_ms: u64,
    at_ms: u64,
}

impl IdleReuse {
    /// Records that a connection to a server, reused after `idle_ms`, gave no response. Several
    /// failures at one server within [`SAME_CAUSE_MS`] count as one, with the shortest idle time.
    pub fn note_failure(&mut self, server: u32, idle_ms: u64, now_ms: u64) {
        self.failures.retain(|failure| failure.is_recent(now_ms));
        let same_cause = self
            .failures
            .iter_mut()
            .find(|failure| failure.server == server && now_ms < failure.at_ms + SAME_CAUSE_MS);
        if let Some(failure) = same_cause {
            failure.idle_ms = failure.idle_ms.min(idle_ms);
            return;
        }
        self.failures.push(Failure {
            server,
            idle_ms,
            at_ms: now_ms,
        });
        self.failures.sort_by_key(|failure| failure.idle_ms);
        self.failures.truncate(FAILURES_MAX);
    }

    /// Removes all failures at a server that has crashed. The crash has caused the latest ones, and
    /// earlier ones are not told apart.
    pub fn withdraw(&mut self, server: u32) {
        self.failures.retain(|failure| failure.server != server);
    }

    /// Returns the idle time from which connections to the servers of the service are not reused;
    /// `None` if recent failures do not suffice for a bound. For a repeatable request the bound is
    /// the second shortest idle time of the recent failures, so that two failures support it; for
    /// an unrepeatable one the shortest.
    pub fn bound_ms(&self, is_repeatable: bool, now_ms: u64) -> Option<u64> {
        let recent = self.failures.iter().filter(|f| f.is_recent(now_ms));
        let mut idle_ms: Vec<u64> = recent.map(|failure| failure.idle_ms).collect();
        idle_ms.sort_unstable();
        let bound_ms = *idle_ms.get(usize::from(is_repeatable))?;
        Some(bound_ms.max(BOUND_MIN_MS))
    }

    /// Returns true if no recent failure is left.
    pub fn is_outdated(&self, now_ms: u64) -> bool {
        !self.failures.iter().any(|f| f.is_recent(now_ms))
    }
}

impl Failure {
    fn is_recent(&self, now_ms: u64) -> bool {
        now_ms < self.at_ms + FAILURE_MEMORY_MS
    }
}
