//! Finds the request of a caller that crashes servers. Such a request may crash each server that
//! begins to run it: its caller sends it again, a host forwards it to the next server, and a
//! service loses one server after the other. Each crash leaves about a dozen suspects, which are
//! the requests that were in flight at the server; only the request that causes the crashes is
//! among the suspects each time. The tally therefore counts, for each suspect, the servers that
//! crashed while the suspect was in flight.
//!
//! Without the tally, a request that its caller sent every 0.3 s crashed all 14 servers that it
//! could reach, each with all requests in flight there (simulated with three hosts,
//! tests/entry_crashes.rs).

use std::collections::HashMap;

use crate::entry::digest::RequestDigest;

/// Number of servers that must have crashed during a request before the request counts as the cause
/// of the crashes. The users' requirements allow three runs of such a request, and several runs may
/// be in progress at one crash: with three servers needed, a request that was sent eight times per
/// second had eight runs. With two servers needed, 18 days with outages on five sites led to only
/// five harmless requests that were taken for the cause, all after the loss of a zone, which
/// [`MASS_CRASH_SERVERS`] excludes.
pub const SERVERS_NEEDED: usize = 2;
/// Number of servers that must crash within [`MASS_CRASH_WINDOW_MS`] for the crashes to count as a
/// mass crash. In a mass crash, a common cause, such as the loss of a zone, is more likely than a
/// request. A single request that crashes servers reaches [`SERVERS_NEEDED`] first.
const MASS_CRASH_SERVERS: usize = 3;
/// Number of servers that must crash within [`MASS_CRASH_WINDOW_MS`] for the crashes to count as a
/// large crash, which requests do not cause. Two requests that each crash servers at both attempts
/// of two callers reach 8.
const LARGE_CRASH_SERVERS: usize = 9;
/// Time in which crashes count as simultaneous, in milliseconds. Hosts detect and report a crash in
/// 30 to 100 ms.
const MASS_CRASH_WINDOW_MS: u64 = 1_000;
/// Time for which a large crash counts as recent, in milliseconds. Hosts repeat each report for about
/// a second; reports repeated after the window would look like a small crash.
const LARGE_CRASH_MS: u64 = 3_000;
/// Time for which a crash counts as evidence against a request, in milliseconds. The caller of a
/// request that causes crashes sends it again after seconds to minutes; with a longer time, more
/// harmless requests would be in flight at two crashes by coincidence.
const EVIDENCE_MS: u64 = 15 * 60 * 1_000;
/// Maximum number of suspects (requests that were in flight at a server when the server crashed).
/// That many suspects take about 200 KB of memory. The loss of a zone of 216 servers leaves about
/// 2,600 suspects.
const SUSPECTS_MAX: usize = 4_096;
/// Number of suspects that are kept when [`SUSPECTS_MAX`] is exceeded. This number is lower than
/// the maximum, so that not every crash has to sort all suspects.
const SUSPECTS_KEPT: usize = 3_072;

/// One crash of a server, as evidence against a request that was in flight there.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    server_tag: u32,
    at_ms: u64,
    /// True if at least [`MASS_CRASH_SERVERS`] servers, including this one, had crashed within
    /// [`MASS_CRASH_WINDOW_MS`].
    is_mass_crash: bool,
}

/// Evidence against suspects (requests in flight at a server when the server crashed). Suspects are
/// identified by a digest that includes the caller, so that the same request from two callers
/// counts as two suspects.
#[derive(Debug, Default)]
pub struct CrashTally {
    suspects: HashMap<RequestDigest, Vec<Evidence>>,
    /// Tags (hashes that name servers in messages) of the servers that crashed within the last
    /// [`MASS_CRASH_WINDOW_MS`], with the times of the crashes.
    latest: Vec<(u32, u64)>,
    /// Time of the latest crash that was part of a large crash; `None` before the first.
    large_crash_ms: Option<u64>,
}

impl CrashTally {
    /// Records the crash of a server during the requests with these digests. Returns the digests of
    /// the requests that count as the cause because enough servers have crashed during them. A
    /// repeated report of the same crash adds no evidence.
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

    /// Records the crash of a server and returns the number of servers that crashed within the last
    /// [`MASS_CRASH_WINDOW_MS`].
    fn note_latest(&mut self, server_tag: u32, now_ms: u64) -> usize {
        self.latest
            .retain(|(_, at_ms)| now_ms < at_ms + MASS_CRASH_WINDOW_MS);
        if !self.latest.iter().any(|(other, _)| *other == server_tag) {
            self.latest.push((server_tag, now_ms));
        }
        if self.latest.len() >= LARGE_CRASH_SERVERS {
            self.large_crash_ms = Some(now_ms);
        }
        self.latest.len()
    }

    /// Returns true if a server crashed during the request with this digest within the last
    /// [`EVIDENCE_MS`], other than in a mass crash. The request may crash the next server too.
    pub fn is_suspect(&self, digest: RequestDigest, now_ms: u64) -> bool {
        let is_fresh =
            |crash: &Evidence| !crash.is_mass_crash && now_ms < crash.at_ms + EVIDENCE_MS;
        let evidence = self.suspects.get(&digest);
        evidence.is_some_and(|evidence| evidence.iter().any(is_fresh))
    }

    /// Returns true if at least [`MASS_CRASH_SERVERS`] servers crashed within the last
    /// [`MASS_CRASH_WINDOW_MS`].
    pub fn has_recent_mass_crash(&self, now_ms: u64) -> bool {
        let latest = self.latest.iter();
        latest
            .filter(|(_, at_ms)| now_ms < at_ms + MASS_CRASH_WINDOW_MS)
            .count()
            >= MASS_CRASH_SERVERS
    }

    /// Returns true if at least [`LARGE_CRASH_SERVERS`] servers crashed within
    /// [`MASS_CRASH_WINDOW_MS`], the last of them at most [`LARGE_CRASH_MS`] ago.
    pub fn has_recent_large_crash(&self, now_ms: u64) -> bool {
        let is_recent = |at_ms| now_ms < at_ms + LARGE_CRASH_MS;
        self.large_crash_ms.is_some_and(is_recent)
    }

    /// Drops the evidence against a request that a server has run successfully. Returns true if
    /// there was any evidence.
    pub fn clear(&mut self, digest: RequestDigest) -> bool {
        self.suspects.remove(&digest).is_some()
    }

    /// Returns the number of requests against which there is evidence. Requests whose evidence has
    /// expired but is not dropped yet are included.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns true if [`len`](Self::len) is 0: there is no evidence, not even expired evidence.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Drops suspects if `added` more would exceed [`SUSPECTS_MAX`]: first the suspects whose
    /// evidence has expired, then those with the least and oldest evidence, until [`SUSPECTS_KEPT`]
    /// suspects remain including the added ones.
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

/// Returns the sort key of a suspect. Suspects are dropped in ascending order: those with the
/// fewest crashes first, and among them those whose latest crash is the oldest.
fn rank((digest, evidence): (&RequestDigest, &Vec<Evidence>)) -> (usize, u64, RequestDigest) {
    let latest_ms = evidence.iter().map(|crash| crash.at_ms).max();
    (evidence.len(), latest_ms.unwrap_or(0), *digest)
}
