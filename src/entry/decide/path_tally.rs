//! Finds paths or contents of requests that crash servers whichever caller sends them.
//! [`CrashTally`](super::crash_tally::CrashTally) treats the request of each caller as a new
//! suspect, so such a path would cost a service one server for every caller. The tally here counts
//! the servers that crashed during requests with the same path or content, regardless of the
//! caller.
//!
//! Refusing a path for all callers is costly if the path is harmless. So more evidence is needed
//! than for refusing the request of one caller: crashes during the requests of two callers, and no
//! success in between. A success is a request with the same path or content that was sent after a
//! crash and that a server completed. A success drops the earlier evidence. A harmless path that is
//! requested often thus loses its evidence again and again.
//!
//! Once a server has crashed during a request, requests that are identical to it, including query
//! and body, are run only as trials. A trial is a single supervised attempt: one host at a time
//! sends the request, to a server that runs no other suspect (request that was in flight when a
//! server crashed). So a crash during a trial has a single cause, and two crashes are enough.
//! Requests for a path whose queries or bodies differ are not held back for trials, since most of
//! them may be harmless; for such a path, three crashes that are not simultaneous are needed.
//!
//! Several requests that crash servers at the same time look like a mass crash, whose crashes are
//! no evidence. Contents that were in flight at two servers of a mass crash are therefore pending:
//! they are also run only as trials until a success clears them, but only crashes during these
//! trials are evidence against them. If so many servers crash that requests cannot be the cause,
//! no content is pending.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::entry::digest::RequestDigest;

/// Number of different callers whose requests must have been in flight at crashes before a path or
/// content counts as the cause.
const CALLERS_NEEDED: usize = 2;
/// Number of servers that must have crashed during requests with the same content, at least one of
/// them during a trial (single supervised attempt), before the content counts as the cause.
const SERVERS_NEEDED: usize = 2;
/// Number of servers that must have crashed during requests for the same path before the path
/// counts as the cause.
const SERVERS_NEEDED_BY_PATH: usize = 3;
/// Minimum time, in milliseconds, from the first to the last of the crashes during requests for a
/// path, before the path counts as the cause. Within this time, a request for a harmless path would
/// have succeeded and dropped the evidence.
const SPAN_MIN_MS: u64 = 1_000;
/// Time for which a crash counts as evidence against a path or content, in milliseconds.
const EVIDENCE_MS: u64 = 15 * 60 * 1_000;
/// Maximum number of suspects (requests that were in flight at a server when the server crashed).
/// That many suspects take about 400 KB of memory. Beyond this number, the suspects with the least
/// and oldest evidence are dropped first.
const SUSPECTS_MAX: usize = 4_096;

/// Number of servers of a mass crash at which a content must have been in flight to be pending. A
/// host attempts a request twice, so a content that crashes servers reaches two. Most harmless
/// contents in flight at a mass crash reach one and are not held back for trials.
const PENDING_SERVERS: usize = 2;
/// Maximum number of contents that are observed in mass crashes. Further contents are not observed
/// until the time of the others has passed.
const PENDING_MAX: usize = 1_024;

/// Part of a request that a digest without the caller covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DigestScope {
    /// Method, host, path, query and body: only identical requests have the same digest.
    Content,
    /// Method, host and path: requests with different queries and bodies have the same digest.
    Path,
}

/// A request that was in flight when a server crashed, identified by a digest that is independent
/// of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SharedSuspect {
    /// Digest of the request's content or path, as `scope` says; it does not cover the caller.
    pub digest: RequestDigest,
    /// Part of the request that the digest covers, on which depends how much evidence is needed.
    pub scope: DigestScope,
    /// Tag (short identifier) of the caller. A path or content counts as the cause only after
    /// crashes during the requests of [`CALLERS_NEEDED`] callers.
    pub caller_tag: u32,
    /// True if the request ran as a trial (single supervised attempt) at a server that ran no other
    /// suspect.
    pub is_trial: bool,
}

/// One crash of a server, as evidence against the path or content of a request that was in flight
/// there.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    server_tag: u32,
    caller_tag: u32,
    is_trial: bool,
    at_ms: u64,
}

/// Evidence against suspects (requests in flight at a server when the server crashed), by a digest
/// that does not cover the caller.
#[derive(Debug, Default)]
pub struct PathTally {
    evidence: HashMap<RequestDigest, Vec<Evidence>>,
    /// Servers of mass crashes at which a content was in flight, as `(server tag, time in ms)`.
    pending: HashMap<RequestDigest, Vec<(u32, u64)>>,
}

impl PathTally {
    /// Records the crash of a server while `suspects` were in flight there. Returns the digests
    /// that count as the cause because there is enough evidence against them. A repeated report of
    /// the same crash adds no evidence. `is_mass_crash` is true if many servers have crashed at
    /// once, so that a request is unlikely to be the cause; then only crashes during trials count,
    /// and the contents of the other requests may become pending.
    pub fn note(
        &mut self,
        server_tag: u32,
        suspects: &[SharedSuspect],
        is_mass_crash: bool,
        now_ms: u64,
    ) -> Vec<RequestDigest> {
        self.make_room(suspects.len(), now_ms);
        if is_mass_crash {
            self.note_pending(server_tag, suspects, now_ms);
        }
        let counted = suspects.iter().filter(|s| s.is_trial || !is_mass_crash);
        let mut reached = Vec::new();
        for suspect in counted {
            let evidence = self.evidence.entry(suspect.digest).or_default();
            evidence.retain(|crash| now_ms < crash.at_ms + EVIDENCE_MS);
            let is_same = |crash: &&mut Evidence| {
                crash.server_tag == server_tag && crash.caller_tag == suspect.caller_tag
            };
            if let Some(known) = evidence.iter_mut().find(is_same) {
                known.is_trial |= suspect.is_trial;
            } else {
                evidence.push(Evidence {
                    server_tag,
                    caller_tag: suspect.caller_tag,
                    is_trial: suspect.is_trial,
                    at_ms: now_ms,
                });
            }
            if is_enough(suspect.scope, evidence) {
                reached.push(suspect.digest);
            }
        }
        reached.sort_unstable();
        reached.dedup();
        reached
    }

    /// Records a mass crash of a server while `suspects` were in flight there.
    fn note_pending(&mut self, server_tag: u32, suspects: &[SharedSuspect], now_ms: u64) {
        self.pending.retain(|_, servers| {
            servers.retain(|(_, at_ms)| now_ms < at_ms + EVIDENCE_MS);
            !servers.is_empty()
        });
        let contents = suspects.iter().filter(|s| s.scope == DigestScope::Content);
        for suspect in contents {
            let is_known = self.pending.contains_key(&suspect.digest);
            if !is_known && self.pending.len() >= PENDING_MAX {
                continue;
            }
            let servers = self.pending.entry(suspect.digest).or_default();
            if servers.iter().all(|(server, _)| *server != server_tag) {
                servers.push((server_tag, now_ms));
            }
        }
    }

    /// Drops all pending contents. Called in a large crash, which requests do not cause.
    pub fn drop_pending(&mut self) {
        self.pending.clear();
    }

    /// Returns true if a content was in flight at [`PENDING_SERVERS`] servers of mass crashes
    /// within the last [`EVIDENCE_MS`], and has not succeeded since.
    fn is_pending(&self, digest: RequestDigest, now_ms: u64) -> bool {
        let is_fresh = |(_, at_ms): &&(u32, u64)| now_ms < at_ms + EVIDENCE_MS;
        let servers = self.pending.get(&digest);
        servers.is_some_and(|all| all.iter().filter(is_fresh).count() >= PENDING_SERVERS)
    }

    /// Returns true if a server crashed during a request with this digest within the last
    /// [`EVIDENCE_MS`], or the content is pending, and no success has cleared it.
    pub fn is_suspect(&self, digest: RequestDigest, now_ms: u64) -> bool {
        if self.is_pending(digest, now_ms) {
            return true;
        }
        let evidence = self.evidence.get(&digest);
        let is_fresh = |crash: &Evidence| now_ms < crash.at_ms + EVIDENCE_MS;
        evidence.is_some_and(|evidence| evidence.iter().any(is_fresh))
    }

    /// Drops the evidence that is older than `sent_ms`, the time at which a request was sent that a
    /// server has completed. Returns true if any evidence was dropped. The success of a request
    /// that was already in flight at a crash does not drop the evidence of that crash: the content
    /// may have become harmful after that request was sent.
    pub fn clear(&mut self, digest: RequestDigest, sent_ms: u64) -> bool {
        let is_pending_cleared =
            drop_older(&mut self.pending, digest, |(_, at_ms)| *at_ms < sent_ms);
        drop_older(&mut self.evidence, digest, |crash| crash.at_ms < sent_ms) || is_pending_cleared
    }

    /// Returns the number of digests against which there is evidence. Digests whose evidence has
    /// expired but is not dropped yet are included, pending contents are not.
    pub fn len(&self) -> usize {
        self.evidence.len()
    }

    /// Returns true if [`len`](Self::len) is 0: there is no evidence, not even expired evidence.
    pub fn is_empty(&self) -> bool {
        self.evidence.is_empty()
    }

    /// Drops suspects if `added` more would exceed [`SUSPECTS_MAX`]: first the suspects whose
    /// evidence has expired, then those with the least and oldest evidence.
    fn make_room(&mut self, added: usize, now_ms: u64) {
        if self.evidence.len() + added <= SUSPECTS_MAX {
            return;
        }
        let latest_ms = |evidence: &[Evidence]| evidence.iter().map(|crash| crash.at_ms).max();
        self.evidence.retain(|_, evidence| {
            latest_ms(evidence).is_some_and(|at_ms| now_ms < at_ms + EVIDENCE_MS)
        });
        // Keeps three quarters of the maximum, so that not every crash has to sort all suspects.
        let kept = (SUSPECTS_MAX * 3 / 4).saturating_sub(added);
        let mut ranked: Vec<_> = self
            .evidence
            .iter()
            .map(|(digest, evidence)| (evidence.len(), latest_ms(evidence), *digest))
            .collect();
        ranked.sort_unstable();
        let excess = ranked.len().saturating_sub(kept);
        for (_, _, digest) in ranked.into_iter().take(excess) {
            self.evidence.remove(&digest);
        }
    }
}

/// Drops the entries of a digest for which `is_old` returns true. Returns true if there were any.
fn drop_older<T>(
    by_digest: &mut HashMap<RequestDigest, Vec<T>>,
    digest: RequestDigest,
    is_old: impl Fn(&T) -> bool,
) -> bool {
    let Some(entries) = by_digest.get_mut(&digest) else {
        return false;
    };
    let known = entries.len();
    entries.retain(|entry| !is_old(entry));
    let is_changed = entries.len() < known;
    if entries.is_empty() {
        by_digest.remove(&digest);
    }
    is_changed
}

/// Returns true if the evidence against a digest is enough to count it as the cause of the crashes.
/// How many crashes are needed depends on `scope`.
fn is_enough(scope: DigestScope, evidence: &[Evidence]) -> bool {
    let distinct = |of: fn(&Evidence) -> u32| {
        let mut tags: Vec<u32> = evidence.iter().map(of).collect();
        tags.sort_unstable();
        tags.dedup();
        tags.len()
    };
    if distinct(|crash| crash.caller_tag) < CALLERS_NEEDED {
        return false;
    }
    let servers = distinct(|crash| crash.server_tag);
    match scope {
        DigestScope::Content => {
            servers >= SERVERS_NEEDED && evidence.iter().any(|crash| crash.is_trial)
        }
        DigestScope::Path => {
            let times = || evidence.iter().map(|crash| crash.at_ms);
            let span_ms = times()
                .max()
                .zip(times().min())
                .map(|(last, first)| last - first);
            servers >= SERVERS_NEEDED_BY_PATH && span_ms >= Some(SPAN_MIN_MS)
        }
    }
}
