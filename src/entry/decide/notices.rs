//! What a server tells a host in its answers: that it leaves, or that it wants no requests of this host for
//! a time. It holds for the host that was told, and whatever the server's row in the store says: the store may be
//! away, or have an older row.

use crate::entry::model::Notice;

/// Longest rest that is believed. A server that wants nothing for longer is as good as gone, and a damaged
/// figure must not keep it idle for good.
const REST_MAX_MS: u64 = 10 * 60 * 1_000;

/// What changed by a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Learned {
    /// The server was not known to leave by its own answers.
    pub leaves: bool,
    /// A rest has begun.
    pub rests: bool,
}

/// Notices of one incarnation of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Notices {
    /// When an answer first said that it leaves. That is never taken back.
    leaves_since_ms: Option<u64>,
    /// End of the latest rest that it asked for.
    rests_until_ms: u64,
}

impl Notices {
    /// Takes in what an answer said.
    pub fn note(&mut self, notice: Notice, now_ms: u64) -> Learned {
        let learned = Learned {
            leaves: notice.leaves && self.leaves_since_ms.is_none(),
            rests: notice.rest_ms.is_some() && self.rest_ms(now_ms) == 0,
        };
        if notice.leaves {
            self.leaves_since_ms.get_or_insert(now_ms);
        }
        if let Some(rest_ms) = notice.rest_ms {
            let until_ms = now_ms + rest_ms.min(REST_MAX_MS);
            self.rests_until_ms = self.rests_until_ms.max(until_ms);
        }
        learned
    }

    /// Time for which it wants no requests of this host; 0 if it takes them.
    pub fn rest_ms(&self, now_ms: u64) -> u64 {
        self.rests_until_ms.saturating_sub(now_ms)
    }
}
