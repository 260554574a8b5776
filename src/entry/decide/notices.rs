//! What a server tells a host in its answers: that it leaves, or that it wants no requests of this host for
//! a time. It holds for the host that was told, and whatever the server's row in the store says: the store may be
//! away, or have an older row.

use super::rate_limit::RateLimit;
use crate::entry::model::Notice;

/// Longest rest that is believed. A server that wants nothing for longer is as good as gone, and a damaged
/// figure must not keep it idle for good.
const REST_MAX_MS: u64 = 10 * 60 * 1_000;

/// What changed by a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoticeEffect {
    /// The server was not known to leave by its own answers.
    pub leaves: bool,
    /// A rest has begun.
    pub rests: bool,
}

/// Notices of one incarnation of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Notices {
    /// When an answer to this host first said that it leaves. That is never taken back.
    leaves_since_ms: Option<u64>,
    /// When this host first knew that it leaves, by such an answer or from another host.
    known_since_ms: Option<u64>,
    /// End of the latest rest that it asked for.
    rests_until_ms: u64,
    /// Rate that it takes from all hosts together.
    pub rate_limit: RateLimit,
}

impl Notices {
    /// Takes in what an answer said.
    pub fn note(&mut self, notice: Notice, now_ms: u64) -> NoticeEffect {
        let learned = NoticeEffect {
            leaves: notice.leaves && self.leaves_since_ms.is_none(),
            rests: notice.rest_ms.is_some() && self.rest_ms(now_ms) == 0,
        };
        if notice.leaves {
            self.leaves_since_ms.get_or_insert(now_ms);
            self.known_since_ms.get_or_insert(now_ms);
        }
        if let Some(rest_ms) = notice.rest_ms {
            let until_ms = now_ms + rest_ms.min(REST_MAX_MS);
            self.rests_until_ms = self.rests_until_ms.max(until_ms);
        }
        learned
    }

    /// Notes that the server told another host that it leaves; true if this host did not know.
    pub fn note_leaving_elsewhere(&mut self, now_ms: u64) -> bool {
        let is_new = self.known_since_ms.is_none();
        self.known_since_ms.get_or_insert(now_ms);
        is_new
    }

    /// True if it has told any host, as far as this one knows, that it leaves: it gets neither keys nor
    /// requests that another server can run.
    pub fn leaves(&self) -> bool {
        self.known_since_ms.is_some()
    }

    /// Time since this host first knew that it leaves.
    pub fn leaves_for_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.known_since_ms?))
    }

    /// True if it has told this host that it leaves.
    pub fn has_announced_leaving(&self) -> bool {
        self.leaves_since_ms.is_some()
    }

    /// True if a request that came to this host at a time must not go there whatever else may run it: the server
    /// had told this host `hold_ms` before that it leaves. Only its own word counts, so that a host which hears it
    /// from others while the store is away can go on serving the keys of that server.
    pub fn is_closed_to(&self, arrived_ms: u64, hold_ms: u64) -> bool {
        let since_ms = self.leaves_since_ms;
        since_ms.is_some_and(|since_ms| arrived_ms >= since_ms + hold_ms)
    }

    /// Time for which it wants no requests of this host; 0 if it takes them.
    pub fn rest_ms(&self, now_ms: u64) -> u64 {
        self.rests_until_ms.saturating_sub(now_ms)
    }
}
