//! Tally of the requests of many callers that were in flight when servers crashed. A path or
//! content may crash servers regardless of the caller. Then each caller's request is a new suspect,
//! and a service loses one server for every caller.
//!
//! Refusing a path for all callers is costly if it is harmless, so it takes more evidence than
//! refusing one caller's request: crashes during the requests of two callers, and no later request
//! that succeeded in between. A path that is merely requested often succeeds all the time, and each
//! success drops its evidence.
//!
//! Requests that are identical including query and body are run as trials once a server has crashed
//! during one: by one host at a time, at a server that runs no other suspect. A crash during a
//! trial thus has a single cause, and two crashes are enough. A path whose queries or bodies differ
//! is not held back for trials, since most of its requests may be harmless; it takes three crashes
//! that are not simultaneous.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::entry::digest::RequestDigest;

/// Number of different callers whose requests must have been in flight at the crashes.
const CALLERS_NEEDED: usize = 2;
/// Number of servers that must have crashed during identical requests, at least one of them during
/// a trial.
const SERVERS_NEEDED: usize = 2;
/// Number of servers that must have crashed during different requests for a path.
const SERVERS_NEEDED_BY_PATH: usize = 3;
/// Minimum time from the first to the last of the crashes during requests for a path: a harmless
/// request succeeds in between.
const SPAN_MIN_MS: u64 = 1_000;
/// Time for which a crash counts as evidence against a request.
const EVIDENCE_MS: u64 = 15 * 60 * 1_000;
/// Maximum number of suspects, 400 KB; those with the least and oldest evidence are dropped first.
const SUSPECTS_MAX: usize = 4_096;

/// Part of a request that a digest without the caller covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DigestScope {
    /// Method, host, path, query and body, so that only identical requests share a digest.
    Content,
    /// Method, host and path; queries and bodies may differ.
    Path,
}

/// A request that was in flight when a server crashed, identified independently of its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SharedSuspect {
    /// Digest of the request's content or path, without the caller, as `scope` says.
    pub digest: RequestDigest,
    /// Part of the request that the digest covers; it decides how much evidence is needed.
    pub scope: DigestScope,
    /// Tag (short identifier) of the caller. Evidence needs crashes during the requests of several
    /// callers.
    pub caller_tag: u32,
    /// True if the request ran as a trial (single supervised attempt), with no other suspect at the
    /// server.
    pub is_trial: bool,
}

/// One server crash as evidence against a digest.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    server_tag: u32,
    caller_tag: u32,
    is_trial: bool,
    at_ms: u64,
}

/// Evidence against suspects (requests in flight at a server when it crashed), by a digest that
/// leaves out the caller.
#[derive(Debug, Default)]
pub struct PathTally(HashMap<RequestDigest, Vec<Evidence>>);

impl PathTally {
    /// Records the crash of a server with requests in flight. Returns the digests that now count as
    /// the cause. The same crash may be reported more than once. `is_mass_crash` is true if many
    /// servers have crashed at once, so that a request is unlikely to be the cause: then only
    /// trials count.
    pub fn note(
        &mut self,
        server_tag: u32,
        suspects: &[SharedSuspect],
        is_mass_crash: bool,
        now_ms: u64,
    ) -> Vec<RequestDigest> {
        self.make_room(suspects.len(), now_ms);
        let counted = suspects.iter().filter(|s| s.is_trial || !is_mass_crash);
        let mut reached = Vec::new();
        for suspect in counted {
            let evidence = self.0.entry(suspect.digest).or_default();
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

    /// Returns true if unexpired evidence links a server crash to this digest.
    pub fn is_suspect(&self, digest: RequestDigest, now_ms: u64) -> bool {
        let evidence = self.0.get(&digest);
        let is_fresh = |crash: &Evidence| now_ms < crash.at_ms + EVIDENCE_MS;
        evidence.is_some_and(|evidence| evidence.iter().any(is_fresh))
    }

    /// Drops the evidence from before `sent_ms`, when a request was sent that a server has run
    /// successfully. Returns true if there was any. A request that was already in flight at a crash
    /// proves nothing about it: the content may have become harmful since.
    pub fn clear(&mut self, digest: RequestDigest, sent_ms: u64) -> bool {
        let Some(evidence) = self.0.get_mut(&digest) else {
            return false;
        };
        let known = evidence.len();
        evidence.retain(|crash| crash.at_ms >= sent_ms);
        let is_cleared = evidence.len() < known;
        if evidence.is_empty() {
            self.0.remove(&digest);
        }
        is_cleared
    }

    /// Returns the number of digests with evidence, including expired evidence that is not yet
    /// dropped.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns true if [`len`](Self::len) is 0: there is no evidence, not even expired evidence.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Makes room if `added` more suspects would exceed [`SUSPECTS_MAX`]: drops those with expired
    /// evidence, and then those with the least and oldest evidence.
    fn make_room(&mut self, added: usize, now_ms: u64) {
        if self.0.len() + added <= SUSPECTS_MAX {
            return;
        }
        let latest_ms = |evidence: &[Evidence]| evidence.iter().map(|crash| crash.at_ms).max();
        self.0.retain(|_, evidence| {
            latest_ms(evidence).is_some_and(|at_ms| now_ms < at_ms + EVIDENCE_MS)
        });
        // Drops a quarter more than needed, so that not every crash sorts all suspects.
        let kept = (SUSPECTS_MAX * 3 / 4).saturating_sub(added);
        let mut ranked: Vec<_> = self
            .0
            .iter()
            .map(|(digest, evidence)| (evidence.len(), latest_ms(evidence), *digest))
            .collect();
        ranked.sort_unstable();
        let excess = ranked.len().saturating_sub(kept);
        for (_, _, digest) in ranked.into_iter().take(excess) {
            self.0.remove(&digest);
        }
    }
}

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
