//! Notices that a server sends to a host in its responses: that the server leaves, or that it asks
//! the host for a backoff, which is a period in which the host must send the server no requests. A
//! host follows a notice that it has received, whatever the server's row in the store says: the
//! store may be unavailable or contain an older row.

use super::rate_limit::RateLimit;
use crate::entry::model::Notice;

/// Longest backoff that a host accepts, in milliseconds; a longer backoff is cut to this length. A
/// server that needs a longer backoff should leave, and a corrupt value must not keep a server idle
/// forever.
const BACKOFF_MAX_MS: u64 = 10 * 60 * 1_000;

/// Changes that one notice makes to the state that the host keeps about a server. Servers repeat
/// their notices, and the host acts on each change only once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoticeEffect {
    /// True if the notice is in the server's first response to this host that announces that the
    /// server leaves.
    pub leaves: bool,
    /// True if the notice begins a backoff. False if the notice extends the current backoff or asks
    /// for no backoff.
    pub starts_backoff: bool,
}

/// Notices that this host has received from one incarnation of a server, and the rate limit of that
/// server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Notices {
    /// Time of the first response to this host that announced that the server leaves; `None` before
    /// that. A server never withdraws this announcement.
    leaves_since_ms: Option<u64>,
    /// Time at which this host first learned that the server leaves, from a response of the server
    /// or from another host; `None` while this host does not know that.
    known_since_ms: Option<u64>,
    /// Latest end of the backoffs that the server asked this host for; 0 if there was none.
    backoff_until_ms: u64,
    /// Rate limit that the server advertises to all hosts together.
    pub rate_limit: RateLimit,
}

impl Notices {
    /// Applies a notice and returns what the notice changes. A backoff that ends later than the
    /// current backoff extends the current backoff. The announcement that the server leaves is
    /// final.
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

    /// Records that the server announced to another host that it leaves. Returns true if this host
    /// did not know that yet.
    pub fn note_leaving_elsewhere(&mut self, now_ms: u64) -> bool {
        let is_new = self.known_since_ms.is_none();
        self.known_since_ms.get_or_insert(now_ms);
        is_new
    }

    /// Returns true if this host knows that the server has announced to any host that it leaves.
    /// Such a server gets no further keys, and no requests that another server can run.
    pub fn leaves(&self) -> bool {
        self.known_since_ms.is_some()
    }

    /// Returns the time, in milliseconds, since this host first learned that the server leaves;
    /// `None` if the server does not leave.
    pub fn leaves_for_ms(&self, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(self.known_since_ms?))
    }

    /// Returns true if the server has announced in a response to this host that it leaves; reports
    /// from other hosts do not count.
    pub fn has_announced_leaving(&self) -> bool {
        self.leaves_since_ms.is_some()
    }

    /// Returns true if a request that arrived at this host at `arrived_ms` must not be sent to the
    /// server, even if no other server may run the request. This is the case if the server had
    /// announced to this host, at least `hold_ms` before the request arrived, that it leaves.
    /// Announcements to other hosts do not count: while the store is unavailable, a host that
    /// learned only from other hosts that the server leaves can keep serving the keys of that
    /// server.
    pub fn is_closed_to(&self, arrived_ms: u64, hold_ms: u64) -> bool {
        let since_ms = self.leaves_since_ms;
        since_ms.is_some_and(|since_ms| arrived_ms >= since_ms + hold_ms)
    }

    /// Returns the remaining time, in milliseconds, of the backoff that the server asked this host
    /// for; 0 if the server accepts requests from this host.
    pub fn backoff_ms(&self, now_ms: u64) -> u64 {
        self.backoff_until_ms.saturating_sub(now_ms)
    }
}
