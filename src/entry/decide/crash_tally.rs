//! Requests that were in flight when servers ended. A request may end each server that begins to run
//! it; its caller sends it again, it goes to the next server, and a service loses one after the other.
//! Each end leaves a dozen requests under suspicion, and only one of them is there again and again.
//!
//! Where nothing is tallied, one request that came every 0.3 s ended 14 of 14 servers that it could
//! reach, each with all that it had in flight (played with three hosts, tests/entry_crashes.rs).

use std::collections::HashMap;

use crate::entry::digest::RequestDigest;

/// Servers that must have ended under a request before it is held to be the cause. The users allow three
/// runs, of which several may end with one server: with three servers a request that came eight times a
/// second had eight runs. With two, no harmless request was held to be the cause on 18 days with trouble on
/// five sites, but for five after the loss of a zone, which [`MASS_CRASH_SERVERS`] excuses.
pub const SERVERS_NEEDED: usize = 2;
/// Servers that end within [`MASS_CRASH_WINDOW_MS`] of each other from which on their ends have one cause, such as the
/// loss of a zone. One request comes to [`SERVERS_NEEDED`] first.
const MASS_CRASH_SERVERS: usize = 3;
/// Time within which servers end at once: hosts notice and tell in 30 to 100 ms.
const MASS_CRASH_WINDOW_MS: u64 = 1_000;
/// Time for which an end counts as evidence. Such a request comes again after seconds to minutes;
/// chance gathers more the longer it may.
const EVIDENCE_MS: u64 = 15 * 60 * 1_000;
/// Most requests under suspicion, 200 KB. The loss of a zone of 216 servers leaves about 2,600.
const SUSPECTS_MAX: usize = 4_096;
/// Suspects that stay when there are too many, so that not each end ranks all of them.
const SUSPECTS_KEPT: usize = 3_072;

/// End of a server with a request in flight.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    server_tag: u32,
    at_ms: u64,
    /// True if many servers ended at once.
    is_mass_crash: bool,
}

/// Requests under suspicion, with the servers that ended under them.
#[derive(Debug, Default)]
pub struct CrashTally {
    suspects: HashMap<RequestDigest, Vec<Evidence>>,
    /// Servers that have just ended, and when.
    latest: Vec<(u32, u64)>,
}

impl CrashTally {
    /// Notes that a server ended with requests in flight. Returns those under which enough servers have
    /// ended now. The same end may be told more than once.
    pub fn note(
        &mut self,
        server_tag: u32,
        digests: &[RequestDigest],
        now_ms: u64,
    ) -> Vec<RequestDigest> {
        self.make_room(digests.len(), now_ms);
        let end = Evidence {
            server_tag,
            at_ms: now_ms,
            is_mass_crash: self.note_latest(server_tag, now_ms) >= MASS_CRASH_SERVERS,
        };
        let is_at_once = |other: &Evidence| now_ms < other.at_ms + MASS_CRASH_WINDOW_MS;
        let mut reached = Vec::new();
        for digest in digests {
            let evidence = self.suspects.entry(*digest).or_default();
            evidence.retain(|end| now_ms < end.at_ms + EVIDENCE_MS);
            if evidence.iter().any(|end| end.server_tag == server_tag) {
                continue;
            }
            evidence.push(end);
            let has_one_cause = end.is_mass_crash && evidence.iter().all(is_at_once);
            if evidence.len() >= SERVERS_NEEDED && !has_one_cause {
                reached.push(*digest);
            }
        }
        reached
    }

    /// Notes that a server has ended; how many have at once.
    fn note_latest(&mut self, server_tag: u32, now_ms: u64) -> usize {
        self.latest
            .retain(|(_, at_ms)| now_ms < at_ms + MASS_CRASH_WINDOW_MS);
        if !self.latest.iter().any(|(other, _)| *other == server_tag) {
            self.latest.push((server_tag, now_ms));
        }
        self.latest.len()
    }

    /// True if a server ended under a request while others lived: it may end the next one too.
    pub fn is_suspect(&self, digest: RequestDigest, now_ms: u64) -> bool {
        let is_fresh = |end: &Evidence| !end.is_mass_crash && now_ms < end.at_ms + EVIDENCE_MS;
        let evidence = self.suspects.get(&digest);
        evidence.is_some_and(|evidence| evidence.iter().any(is_fresh))
    }

    /// True if many servers have just ended.
    pub fn has_recent_mass_crash(&self, now_ms: u64) -> bool {
        let latest = self.latest.iter();
        latest
            .filter(|(_, at_ms)| now_ms < at_ms + MASS_CRASH_WINDOW_MS)
            .count()
            >= MASS_CRASH_SERVERS
    }

    /// Forgets the evidence against a request, since a server has run it to a good end; true if there was
    /// any.
    pub fn clear(&mut self, digest: RequestDigest) -> bool {
        self.suspects.remove(&digest).is_some()
    }

    /// Number of requests under suspicion.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// True if no request is under suspicion.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Drops what is too old, and then those with the least and oldest evidence, until there is room.
    fn make_room(&mut self, added: usize, now_ms: u64) {
        if self.suspects.len() + added <= SUSPECTS_MAX {
            return;
        }
        let is_fresh = |end: &Evidence| now_ms < end.at_ms + EVIDENCE_MS;
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

/// Order in which suspects are dropped.
fn rank((digest, evidence): (&RequestDigest, &Vec<Evidence>)) -> (usize, u64, RequestDigest) {
    let latest_ms = evidence.iter().map(|end| end.at_ms).max();
    (evidence.len(), latest_ms.unwrap_or(0), *digest)
}
