//! Requests that no server gets any more, since several have ended under them.

use std::collections::HashMap;

use crate::entry::digest::RequestDigest;

/// Time for which a request is kept from servers. A later version of the service may run it, and a
/// caller whose request was there by chance is served again.
pub const QUARANTINE_MS: u64 = 60 * 60 * 1_000;
/// The same for what all callers are refused, which costs more if it is harmless. Its evidence lasts longer, so that it
/// is tried by one host after that: a good end frees it, and another end of a server puts it back.
pub const ANY_CALLER_QUARANTINE_MS: u64 = 10 * 60 * 1_000;
/// Most requests in quarantine, so that their row in the store stays under 5 KB. Beyond that the oldest
/// ones leave it.
const QUARANTINED_MAX: usize = 256;

/// Requests in quarantine, and since when this host knows that.
#[derive(Debug, Default)]
pub struct Quarantine {
    since_ms: HashMap<RequestDigest, u64>,
}

impl Quarantine {
    /// Adds a request; true if it was not in quarantine.
    pub fn add(&mut self, digest: RequestDigest, now_ms: u64) -> bool {
        if self.rest_ms(digest, now_ms).is_some() {
            return false;
        }
        self.since_ms.insert(digest, now_ms);
        for oldest in self.latest(now_ms).into_iter().skip(QUARANTINED_MAX) {
            self.since_ms.remove(&oldest);
        }
        true
    }

    /// Time for which a request stays in quarantine; `None` if it is not there.
    pub fn rest_ms(&self, digest: RequestDigest, now_ms: u64) -> Option<u64> {
        let until_ms = self.since_ms.get(&digest)? + quarantine_ms(digest);
        (now_ms < until_ms).then(|| until_ms - now_ms)
    }

    /// All of them, the latest first. Those whose time has passed are dropped.
    pub fn latest(&mut self, now_ms: u64) -> Vec<RequestDigest> {
        self.since_ms
            .retain(|digest, since_ms| now_ms < *since_ms + quarantine_ms(*digest));
        let known = self.since_ms.iter();
        let mut ranked: Vec<_> = known
            .map(|(digest, since_ms)| (*since_ms, *digest))
            .collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        ranked.into_iter().map(|(_, digest)| digest).collect()
    }

    /// Number of requests in quarantine, those included whose time has just passed.
    pub fn len(&self) -> usize {
        self.since_ms.len()
    }

    /// True if none is in quarantine.
    pub fn is_empty(&self) -> bool {
        self.since_ms.is_empty()
    }
}

/// Time for which a request with a digest is kept from servers.
fn quarantine_ms(digest: RequestDigest) -> u64 {
    if digest.is_of_any_caller() {
        ANY_CALLER_QUARANTINE_MS
    } else {
        QUARANTINE_MS
    }
}
