//! Requests of this host at one server: those that would be in flight if it ended now.

use crate::entry::{
    decide::path_tally::{SharedSuspect, Width},
    digest::{RequestDigest, RequestDigests},
};

/// Time after which a request that was given up is no longer taken for running: its caller left, or
/// its deadline passed, while the server may have worked on it.
const ABANDONED_MS: u64 = 2_000;

/// A request that was given up without an answer.
#[derive(Clone, Copy, Debug)]
struct AbandonedRequest {
    digests: RequestDigests,
    at_ms: u64,
}

/// Requests at one server.
#[derive(Debug, Default)]
pub struct RunningRequests {
    running: Vec<RequestDigests>,
    abandoned: Vec<AbandonedRequest>,
    /// What is tried here as a suspect.
    trials: Vec<RequestDigests>,
}

impl RunningRequests {
    /// Notes that a request is sent.
    pub fn begin(&mut self, digests: RequestDigests) {
        self.running.push(digests);
    }

    /// Notes that a request is sent for a trial: no other suspect runs there.
    pub fn begin_trial(&mut self, digests: RequestDigests) {
        self.trials.push(digests);
        self.begin(digests);
    }

    /// Notes that the server has answered a request.
    pub fn answered(&mut self, digests: RequestDigests) {
        self.trials.retain(|trial| *trial != digests);
        self.end(digests);
    }

    fn end(&mut self, digests: RequestDigests) {
        let mut running = self.running.iter();
        if let Some(place) = running.position(|running| *running == digests) {
            self.running.swap_remove(place);
        }
    }

    /// Notes that a request ended without an answer.
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

    /// Digests of the requests that the server may have been running just now, each once.
    pub fn suspects(&self, now_ms: u64) -> Vec<RequestDigest> {
        let running = self.latest(now_ms);
        let mut digests: Vec<RequestDigest> = running.flat_map(RequestDigests::iter).collect();
        digests.sort_unstable();
        digests.dedup();
        digests
    }

    /// The same requests without their callers.
    pub fn shared_suspects(&self, now_ms: u64) -> Vec<SharedSuspect> {
        let suspects = self.latest(now_ms).flat_map(|digests| {
            let is_trial = self.trials.contains(&digests);
            let widths = [
                (digests.content, Width::Content),
                (digests.any_path, Width::Path),
            ];
            widths.map(|(digest, width)| SharedSuspect {
                digest,
                width,
                caller_tag: digests.caller_tag,
                is_trial,
            })
        });
        let mut suspects: Vec<SharedSuspect> = suspects.collect();
        suspects.sort_unstable();
        suspects.dedup();
        suspects
    }

    /// Requests that the server may have been running just now.
    fn latest(&self, now_ms: u64) -> impl Iterator<Item = RequestDigests> {
        let is_fresh = move |abandoned: &&AbandonedRequest| now_ms < abandoned.at_ms + ABANDONED_MS;
        let abandoned = self.abandoned.iter().filter(is_fresh);
        let abandoned = abandoned.map(|abandoned| abandoned.digests);
        abandoned.chain(self.running.iter().copied())
    }
}
