//! What a host learns of a server from its own attempts: run time, failures, and connections that do
//! not come up. Old evidence fades, so that a server that was avoided is tried again.

/// Share of a new sample in the average of run times.
const RUN_SAMPLE_WEIGHT: f64 = 0.2;
/// Share of a new outcome in the share of failures.
const FAILURE_SAMPLE_WEIGHT: f64 = 0.15;
/// Time in which half of what is known of a server is forgotten, so that one that was avoided is
/// tried again.
const FORGET_HALF_MS: f64 = 3_000.0;
/// First pause after a failed connect; it doubles with each further one.
const PAUSE_FIRST_MS: u64 = 200;
/// Longest pause after failed connects.
const PAUSE_MAX_MS: u64 = 2_000;

/// A server's recent behaviour.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptStats {
    /// Average time of requests that found a free slot; 0 if unknown.
    run_ms: f64,
    /// Share of attempts that failed or were shed.
    failures: f64,
    /// When the two were last brought up to date.
    at_ms: u64,
    /// Failed connects in a row.
    connect_failures: u32,
    /// No attempt before this time.
    paused_until_ms: u64,
}

impl AttemptStats {
    /// Average run time; 0 if unknown. After long silence the evidence is worth nothing.
    pub fn run_ms(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        if age_ms > 2.0 * FORGET_HALF_MS {
            return 0.0;
        }
        self.run_ms
    }

    /// Time since the latest outcome of an attempt.
    pub fn since_outcome_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.at_ms)
    }

    /// Share of attempts that failed of late.
    pub fn failures(&self, now_ms: u64) -> f64 {
        self.failures * self.remembered(now_ms)
    }

    /// True while no attempt should be made because connections fail.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms
    }

    /// Notes an answer; `found_free_slot` if it did not have to queue.
    pub fn answered(&mut self, run_ms: f64, found_free_slot: bool, now_ms: u64) {
        self.note_outcome(0.0, now_ms);
        self.connect_failures = 0;
        self.paused_until_ms = 0;
        if !found_free_slot {
            return;
        }
        self.run_ms = if self.run_ms == 0.0 {
            run_ms
        } else {
            self.run_ms + RUN_SAMPLE_WEIGHT * (run_ms - self.run_ms)
        };
    }

    /// Notes an attempt that was shed, broke off or timed out.
    pub fn failed(&mut self, now_ms: u64) {
        self.note_outcome(1.0, now_ms);
    }

    /// Notes a connection that did not come up.
    pub fn not_connected(&mut self, now_ms: u64) {
        self.note_outcome(1.0, now_ms);
        let pause_ms = PAUSE_FIRST_MS << self.connect_failures.min(8);
        self.connect_failures += 1;
        self.paused_until_ms = now_ms + pause_ms.min(PAUSE_MAX_MS);
    }

    fn note_outcome(&mut self, outcome: f64, now_ms: u64) {
        let before = self.failures * self.remembered(now_ms);
        self.failures = before + FAILURE_SAMPLE_WEIGHT * (outcome - before);
        self.at_ms = now_ms;
    }

    /// Share of the evidence that still counts.
    fn remembered(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        0.5_f64.powf(age_ms / FORGET_HALF_MS)
    }
}
