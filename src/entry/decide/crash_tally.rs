//! Tally of the requests that were in flight when servers crashed. A request may crash each server
//! that begins to run it: its caller sends it again, it is forwarded to the next server, and a
//! service loses one server after the other. Each crash leaves a dozen suspect requests, and only
//! the one that causes the crashes is among them each time.
//!
//! Without the tally, one request that was sent every 0.3 s crashed 14 of the 14 servers that it
//! could reach, each with all its requests in flight (simulated with three hosts,
//! tests/entry_crashes.rs).

use std::collections::HashMap;

use crate::entry::digest::RequestDigest;

/// Number of servers that must have crashed during a request before it counts as the cause. The
/// users' requirements allow three runs, and one crash may end several of them: with three servers,
/// a request that was sent eight times per second had eight runs. With two servers, 18 days with
/// outages on five sites led to only five harmless requests being taken for the cause, all after
/// the loss of a zone, which [`MASS_CRASH_SERVERS`] excludes.
pub const SERVERS_NEEDED: usize = 2;
/// Number of crashed servers within [`MASS_CRASH_WINDOW_MS`] that counts as a mass crash: one
/// common cause, such as the loss of a zone, is then more likely than a request. A single request
/// reaches [`SERVERS_NEEDED`] first.
const MASS_CRASH_SERVERS: usize = 3;
/// Window in which crashes count as simultaneous: hosts detect and report a crash in 30 to 100 ms.
const MASS_CRASH_WINDOW_MS: u64 = 1_000;
/// Time for which a crash counts as evidence. A request that causes crashes is sent again after
/// seconds to minutes; a longer time gathers more coincidences.
const EVIDENCE_MS: u64 = 15 * 60 * 1_000;
/// Maximum number of suspects, 200 KB. The loss of a zone of 216 servers leaves about 2,600.
const SUSPECTS_MAX: usize = 4_096;
/// Number of suspects kept when there are too many, so that not every crash sorts all of them.
const SUSPECTS_KEPT: usize = 3_072;

/// Evidence against a request that was in flight when a server crashed.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    server_tag: u32,
    at_ms: u64,
    /// True if at least [`MASS_CRASH_SERVERS`] had crashed within the window, this one included.
    is_mass_crash: bool,
}

/// Evidence against suspects (requests in flight at a server when it crashed), by the digest that
/// includes the caller.
#[derive(Debug, Default)]
pub struct CrashTally {
    suspects: HashMap<RequestDigest, Vec<Evidence>>,
    /// Tags of the servers that crashed within the window, with the times.
    latest: Vec<(u32, u64)>,
}

impl CrashTally {
    /// Records the crash of a server with requests in flight. Returns the requests for which enough
    /// servers have crashed now. The same crash may be reported more than once.
    pub fn note(
        &mut self,
        server_tag: u32,
        digests: &[RequestDigest],
        now_ms: u64,
    ) -> Vec<RequestDigest> {
        self.make_room(digests.len(), now_ms);
        let crash = Evidence {
            server_tag,
            at_ms: now_ms,
            is_mass_crash: self.note_latest(server_tag, now_ms) >= MASS_CRASH_SERVERS,
        };
        let is_at_once = |other: &Evidence| now_ms < other.at_ms + MASS_CRASH_WINDOW_MS;
        let mut reached = Vec::new();
        for digest in digests {
            let evidence = self.suspects.entry(*digest).or_default();
            evidence.retain(|crash| now_ms < crash.at_ms + EVIDENCE_MS);
            if evidence.iter().any(|crash| crash.server_tag == server_tag) {
                continue;
            }
            evidence.push(crash);
            let has_one_cause = crash.is_mass_crash && evidence.iter().all(is_at_once);
            if evidence.len() >= SERVERS_NEEDED && !has_one_cause {
                reached.push(*digest);
            }
        }
        reached
    }

    /// Records the crash of a server and returns the number of servers that crashed within the
    /// window.
    fn note_latest(&mut self, server_tag: u32, now_ms: u64) -> usize {
        self.latest
            .retain(|(_, at_ms)| now_ms < at_ms + MASS_CRASH_WINDOW_MS);
        if !self.latest.iter().any(|(other, _)| *other == server_tag) {
            self.latest.push((server_tag, now_ms));
        }
        self.latest.len()
    }

    /// Returns true if a server crashed during a request, other than in a mass crash: the request
    /// may crash the next server too.
    pub fn is_suspect(&self, digest: RequestDigest, now_ms: u64) -> bool {
        let is_fresh =
            |crash: &Evidence| !crash.is_mass_crash && now_ms < crash.at_ms + EVIDENCE_MS;
        let evidence = self.suspects.get(&digest);
        evidence.is_some_and(|evidence| evidence.iter().any(is_fresh))
    }

    /// Returns true if a mass crash has happened within the last second.
    pub fn has_recent_mass_crash(&self, now_ms: u64) -> bool {
        let latest = self.latest.iter();
        latest
            .filter(|(_, at_ms)| now_ms < at_ms + MASS_CRASH_WINDOW_MS)
            .count()
            >= MASS_CRASH_SERVERS
    }

    /// Drops the evidence against a request, since a server has run it successfully. Returns true
    /// if there was any.
    pub fn clear(&mut self, digest: RequestDigest) -> bool {
        self.suspects.remove(&digest).is_some()
    }

    /// Returns the number of requests with evidence against them, including evidence that has
    /// expired and is not yet dropped.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns true if [`len`](Self::len) is 0: there is no evidence, not even expired evidence.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Makes room for `added` more suspects if there would be too many: drops those whose evidence
    /// has all expired, and then those with the least and oldest evidence.
    fn make_room(&mut self, added: usize, now_ms: u64) {
        if self.suspects.len() + added <= SUSPECTS_MAX {
            return;
        }
        let is_fresh = |crash: &Evidence| now_ms < crash.at_ms + EVIDENCE_MS;
        self.suspects
            .retain(|_, evidence| evidence.iter().any(is_fresh));
        let excess = (self.suspects.len() + added).saturating_sub(SUSPECTS_KEPT);
        let mut ranked: Vec<_> = self.suspects.iter().map(rank).collect();
        ranked.sort_unstable();
        for (_, _, digest) in ranked.into_iter().take(excess) {
            self.suspects.remove(&digest);
        }
    }
}

/// Returns the sort key by which suspects are dropped: fewest crashes first, then the oldest.
fn rank((digest, evidence): (&RequestDigest, &Vec<Evidence>)) -> (usize, u64, RequestDigest) {
    let latest_ms = evidence.iter().map(|crash| crash.at_ms).max();
    (evidence.len(), latest_ms.unwrap_or(0), *digest)
}
