//! Requests of this host at one server: those in flight, and those abandoned lately, which the
//! server may still be running.

use crate::entry::{
    decide::path_tally::{DigestScope, SharedSuspect},
    digest::{RequestDigest, RequestDigests},
};

/// Time after which an abandoned request no longer counts as running. The server may have continued
/// to run the request after the caller disconnected or the deadline passed.
const ABANDONED_MS: u64 = 2_000;

/// Request that this host abandoned without a response, because its caller disconnected, its
/// deadline passed or its connection broke.
#[derive(Clone, Copy, Debug)]
struct AbandonedRequest {
    digests: RequestDigests,
    /// Time at which this host abandoned the request, by the clock of this process.
    at_ms: u64,
}

/// Requests of this host that one server may be running.
#[derive(Debug, Default)]
pub struct RunningRequests {
    running: Vec<RequestDigests>,
    abandoned: Vec<AbandonedRequest>,
    /// Requests that run on the server as trials. A trial is the single supervised attempt of a
    /// suspect, a request that may crash servers.
    trials: Vec<RequestDigests>,
}

impl RunningRequests {
    /// Records that a request is sent to the server.
    pub fn begin(&mut self, digests: RequestDigests) {
        self.running.push(digests);
    }

    /// Records that a request is sent as a trial (single supervised attempt) of a suspect. The
    /// server runs no other suspect at the same time.
    pub fn begin_trial(&mut self, digests: RequestDigests) {
        self.trials.push(digests);
        self.begin(digests);
    }

    /// Records that the server has answered a request. If the request was a trial, the trial ends.
    pub fn answered(&mut self, digests: RequestDigests) {
        self.trials.retain(|trial| *trial != digests);
        self.end(digests);
    }

    /// Removes a request from those in flight; identical requests in flight stay.
    fn end(&mut self, digests: RequestDigests) {
        let mut running = self.running.iter();
        if let Some(place) = running.position(|running| *running == digests) {
            self.running.swap_remove(place);
        }
    }

    /// Records that a request was abandoned without a response. If the request is a trial, the
    /// trial lasts as long as the request counts as running.
    pub fn abandoned(&mut self, digests: RequestDigests, now_ms: u64) {
        self.end(digests);
        self.abandoned
            .retain(|abandoned| now_ms < abandoned.at_ms + ABANDONED_MS);
        let abandoned = self.abandoned.iter();
        let known: Vec<_> = abandoned.map(|abandoned| abandoned.digests).collect();
        self.trials
            .retain(|trial| *trial == digests || known.contains(trial));
        self.abandoned.push(AbandonedRequest {
            digests,
            at_ms: now_ms,
        });
    }

    /// Returns the distinct digests, which cover the caller, of the requests that the server may be
    /// running.
    pub fn suspects(&self, now_ms: u64) -> Vec<RequestDigest> {
        let running = self.possibly_running(now_ms);
        let mut digests: Vec<RequestDigest> = running.flat_map(RequestDigests::iter).collect();
        digests.sort_unstable();
        digests.dedup();
        digests
    }

    /// Returns the distinct digests, which do not cover the caller, of the requests that the server
    /// may be running.
    pub fn shared_suspects(&self, now_ms: u64) -> Vec<SharedSuspect> {
        let suspects = self.possibly_running(now_ms).flat_map(|digests| {
            let is_trial = self.trials.contains(&digests);
            let scopes = [
                (digests.content, DigestScope::Content),
                (digests.any_path, DigestScope::Path),
            ];
            scopes.map(|(digest, scope)| SharedSuspect {
                digest,
                scope,
                caller_tag: digests.caller_tag,
                is_trial,
            })
        });
        let mut suspects: Vec<SharedSuspect> = suspects.collect();
        suspects.sort_unstable();
        suspects.dedup();
        suspects
    }

    /// Returns the requests in flight and those abandoned in the last [`ABANDONED_MS`].
    fn possibly_running(&self, now_ms: u64) -> impl Iterator<Item = RequestDigests> {
        let is_fresh = move |abandoned: &&AbandonedRequest| now_ms < abandoned.at_ms + ABANDONED_MS;
        let abandoned = self.abandoned.iter().filter(is_fresh);
        let abandoned = abandoned.map(|abandoned| abandoned.digests);
        abandoned.chain(self.running.iter().copied())
    }
}
