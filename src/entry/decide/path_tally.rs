//! Requests of many callers that were in flight when servers ended. What ends a server may be what is asked for,
//! whoever asks: then each caller's request is a first suspect, and a service loses a server for every caller.
//!
//! Refusing a path for all callers costs much if it is harmless, so more is needed than for one caller's request: ends
//! under the requests of two callers, and no good end of a later request between them. A path that is merely read
//! often ends well all the time, and its evidence goes with the next good end.
//!
//! What is asked for with all its query and body is tried by one host at a time once a server has ended under it, at a
//! server that runs no other suspect. So an end under a trial has one cause, and two ends are enough. A path whose
//! queries or bodies differ is not held back for trials, since most of its requests may be harmless; it takes three
//! ends, not at once.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::entry::digest::RequestDigest;

/// Callers under whose requests servers must have ended.
const CALLERS_NEEDED: usize = 2;
/// Servers that must have ended, one of them under a trial.
const SERVERS_NEEDED: usize = 2;
/// Servers that must have ended under different requests for a path.
const SERVERS_NEEDED_BY_PATH: usize = 3;
/// Least time from the first of these ends to the last: a harmless request ends well meanwhile.
const SPAN_MIN_MS: u64 = 1_000;
/// Time for which an end counts as evidence.
const EVIDENCE_MS: u64 = 15 * 60 * 1_000;
/// Most suspects, 400 KB; the ones with the oldest evidence go first.
const SUSPECTS_MAX: usize = 4_096;

/// What tells requests of all callers apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum DigestScope {
    /// Method, host, path, query and body.
    Content,
    /// Method, host and path.
    Path,
}

/// A request that was in flight when a server ended, known without its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SharedSuspect {
    /// What is asked for.
    pub digest: RequestDigest,
    /// What of the request the digest goes by.
    pub scope: DigestScope,
    /// Short name of the caller.
    pub caller_tag: u32,
    /// True if it was tried there as a suspect, without another one.
    pub is_trial: bool,
}

/// End of a server under a request of a caller.
#[derive(Clone, Copy, Debug)]
struct Evidence {
    server_tag: u32,
    caller_tag: u32,
    is_trial: bool,
    at_ms: u64,
}

/// Suspects, with the servers that ended under them.
#[derive(Debug, Default)]
pub struct PathTally(HashMap<RequestDigest, Vec<Evidence>>);

impl PathTally {
    /// Notes that a server ended with requests in flight. Returns what is held to be the cause now. The same end may
    /// be told more than once. `is_mass_crash` if so many servers have ended at once that something else is the cause:
    /// only trials count then.
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
            evidence.retain(|end| now_ms < end.at_ms + EVIDENCE_MS);
            let is_same = |end: &&mut Evidence| {
                end.server_tag == server_tag && end.caller_tag == suspect.caller_tag
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

    /// True if a server ended under such a request.
    pub fn is_suspect(&self, digest: RequestDigest, now_ms: u64) -> bool {
        let evidence = self.0.get(&digest);
        let is_fresh = |end: &Evidence| now_ms < end.at_ms + EVIDENCE_MS;
        evidence.is_some_and(|evidence| evidence.iter().any(is_fresh))
    }

    /// Forgets the evidence from before a request was sent that a server has run to a good end; true if there was any.
    /// One that was in flight before shows nothing: it may have become deadly since.
    pub fn clear(&mut self, digest: RequestDigest, sent_ms: u64) -> bool {
        let Some(evidence) = self.0.get_mut(&digest) else {
            return false;
        };
        let known = evidence.len();
        evidence.retain(|end| end.at_ms >= sent_ms);
        let is_cleared = evidence.len() < known;
        if evidence.is_empty() {
            self.0.remove(&digest);
        }
        is_cleared
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// True if nothing is suspected.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Drops suspects until there is room for more.
    fn make_room(&mut self, added: usize, now_ms: u64) {
        if self.0.len() + added <= SUSPECTS_MAX {
            return;
        }
        let latest_ms = |evidence: &[Evidence]| evidence.iter().map(|end| end.at_ms).max();
        self.0.retain(|_, evidence| {
            latest_ms(evidence).is_some_and(|at_ms| now_ms < at_ms + EVIDENCE_MS)
        });
        // A quarter more, so that not each end ranks all of them.
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
    if distinct(|end| end.caller_tag) < CALLERS_NEEDED {
        return false;
    }
    let servers = distinct(|end| end.server_tag);
    match scope {
        DigestScope::Content => {
            servers >= SERVERS_NEEDED && evidence.iter().any(|end| end.is_trial)
        }
        DigestScope::Path => {
            let times = || evidence.iter().map(|end| end.at_ms);
            let span_ms = times()
                .max()
                .zip(times().min())
                .map(|(last, first)| last - first);
            servers >= SERVERS_NEEDED_BY_PATH && span_ms >= Some(SPAN_MIN_MS)
        }
    }
}
