//! Notices that a server sends to a host in its responses: that it leaves, or that it asks for a
//! backoff, which is a period in which the host must send it no requests. A notice applies to the
//! host that received it, regardless of the server's row in the store: the store may be unavailable
//! or hold an older row.

use super::rate_limit::RateLimit;
use crate::entry::model::Notice;

/// Longest backoff that is accepted. A longer backoff amounts to leaving, and a corrupt value must
/// not keep a server idle forever.
const BACKOFF_MAX_MS: u64 = 10 * 60 * 1_000;

/// Changes that one notice makes to the state of a server, so that the host acts on each only once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoticeEffect {
    /// True if this is the server's first response to this host that announces its leaving.
    pub leaves: bool,
    /// True if the notice begins a backoff; false if it extends a backoff or asks for none.
    pub starts_backoff: bool,
}

/// Notices received from one incarnation of a server, and its rate limit.
#[derive(Clone, Copy, Debug, Default)]
pub struct Notices {
    /// Time of the first response to this host that announced the leaving. It is never withdrawn.
    leaves_since_ms: Option<u64>,
    /// Time at which this host first learned of the leaving, from such a response or from another
    /// host.
    known_since_ms: Option<u64>,
    /// Latest end of the backoffs that the server asked this host for; 0 if there was none.
    backoff_until_ms: u64,
    /// Rate limit that the server advertises to all hosts together.
    pub rate_limit: RateLimit,
}

impl Notices {
    /// Applies a notice and returns what it changes. A longer backoff extends the current one;
    /// leaving is final.
    pub fn note(&mut self, notice: Notice, now_ms: u64) -> NoticeEffect {
        let learned = NoticeEffect {
            leaves: notice.leaves && self.leaves_since_ms.is_none(),
            starts_backoff: notice.backoff_ms.is_some() && self.backoff_ms(now_ms) == 0,
        };
        if notice.leaves {
            self.leaves_since_ms.get_or_insert(now_ms);
            self.known_since_ms.get_or_insert(now_ms);
        }
        if let Some(backoff_ms) = notice.backoff_ms {
            let until_ms = now_ms + backoff_ms.min(BACKOFF_MAX_MS);
            self.backoff_until_ms = self.backoff_until_ms.max(until_ms);
        }
        learned
    }

    /// Records that the server announced its leaving to another host; returns true if this host did
    /// not know.
    pub fn note_leaving_elsewhere(&mut self, now_ms: u64) -> bool {
        let is_new = self.known_since_ms.is_none();
        self.known_since_ms.get_or_insert(now_ms);
        is_new
    }

    /// Returns true if the server has announced its leaving to any host, as far as this one knows:
    /// it gets neither keys nor requests that another server can run.
    pub fn leaves(&self) -> bool {
        self.known_since_ms.is_some()
    }

    /// Returns the time since this host first learned that the server leaves; `None` if it does not
    /// leave.
    pub fn leaves_for_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.known_since_ms?))
    }

    /// Returns true if the server has announced its leaving in a response to this host; reports of
    /// other hosts do not count.
    pub fn has_announced_leaving(&self) -> bool {
        self.leaves_since_ms.is_some()
    }

    /// Returns true if a request that arrived at this host at `arrived_ms` must not be sent to the
    /// server, even if no other server may run it: the server had announced its leaving to this
    /// host at least `hold_ms` earlier. Announcements to other hosts do not count: while the store
    /// is unavailable, a host that learned of the leaving only from other hosts can keep serving
    /// the keys of that server.
    pub fn is_closed_to(&self, arrived_ms: u64, hold_ms: u64) -> bool {
        let since_ms = self.leaves_since_ms;
        since_ms.is_some_and(|since_ms| arrived_ms >= since_ms + hold_ms)
    }

    /// Returns the remaining time of the backoff that the server asked this host for; 0 if it
    /// accepts requests.
    pub fn backoff_ms(&self, now_ms: u64) -> u64 {
        self.backoff_until_ms.saturating_sub(now_ms)
    }
}
