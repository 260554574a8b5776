//! Quarantine of requests: hosts refuse these requests instead of forwarding them to servers,
//! because several servers have crashed during them.

use std::collections::HashMap;

use crate::entry::digest::RequestDigest;

/// Time for which one caller's request is in quarantine, in milliseconds. After this time, a later
/// version of the service may run the request, and a caller whose request was suspected by
/// coincidence is served again.
pub const QUARANTINE_MS: u64 = 60 * 60 * 1_000;
/// Time for which a content or path is in quarantine for all callers, in milliseconds. The time is
/// shorter than [`QUARANTINE_MS`] because refusing a harmless path for all callers costs more. The
/// evidence against the content or path lasts longer than this quarantine, so one host runs a trial
/// (a single supervised attempt) afterwards: a success drops the evidence, and another crash starts
/// a new quarantine.
pub const ANY_CALLER_QUARANTINE_MS: u64 = 10 * 60 * 1_000;
/// Maximum number of requests in quarantine, which keeps their row in the store under 5 KB. Beyond
/// this number, the oldest requests are released.
const QUARANTINED_MAX: usize = 256;

/// Requests in quarantine. Each request is stored with the time at which this host learned of the
/// quarantine of that request.
#[derive(Debug, Default)]
pub struct Quarantine {
    since_ms: HashMap<RequestDigest, u64>,
}

impl Quarantine {
    /// Starts the quarantine of a request, and releases the oldest requests beyond
    /// [`QUARANTINED_MAX`]. Returns false if the request is in quarantine already; the quarantine
    /// then ends at the same time as before.
    pub fn add(&mut self, digest: RequestDigest, now_ms: u64) -> bool {
        if self.remaining_ms(digest, now_ms).is_some() {
            return false;
        }
        self.since_ms.insert(digest, now_ms);
        for oldest in self.latest(now_ms).into_iter().skip(QUARANTINED_MAX) {
            self.since_ms.remove(&oldest);
        }
        true
    }

    /// Returns the time, in milliseconds, until the quarantine of a request ends; `None` if the
    /// request is not in quarantine.
    pub fn remaining_ms(&self, digest: RequestDigest, now_ms: u64) -> Option<u64> {
        let until_ms = self.since_ms.get(&digest)? + quarantine_ms(digest);
        (now_ms < until_ms).then(|| until_ms - now_ms)
    }

    /// Returns all requests in quarantine, the latest first, after dropping those whose quarantine
    /// has ended.
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

    /// Returns the number of requests in quarantine, including those whose quarantine has ended and
    /// that are not dropped yet.
    pub fn len(&self) -> usize {
        self.since_ms.len()
    }

    /// Returns true if [`len`](Self::len) is 0: no request is in quarantine, and none has expired
    /// without being dropped.
    pub fn is_empty(&self) -> bool {
        self.since_ms.is_empty()
    }
}

/// Returns the duration of the quarantine of a digest, in milliseconds. The duration depends on
/// whether the digest covers one caller or all callers.
fn quarantine_ms(digest: RequestDigest) -> u64 {
    if digest.is_of_any_caller() {
        ANY_CALLER_QUARANTINE_MS
    } else {
        QUARANTINE_MS
    }
}
