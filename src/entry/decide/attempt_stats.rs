//! Statistics that a host keeps about each server from its own attempts (requests that it sent, or
//! tried to send, to the server): run time, failures and failed connection attempts. Old samples
//! lose weight, so that a server that was avoided gets requests again.

/// Weight of a new sample in the moving average of run times, from 0 to 1.
const RUN_SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of a new sample in the moving fraction of failed attempts, from 0 to 1. The sample is 1
/// for a failure and 0 for a response.
const FAILURE_SAMPLE_WEIGHT: f64 = 0.15;
/// Half-life of the weight of a server's samples, in milliseconds. Because old failures lose
/// weight, a server that was avoided gets requests again.
const FORGET_HALF_MS: f64 = 3_000.0;
/// Time, in milliseconds, for which a host makes no attempts at a server after a failed connection
/// attempt. The time doubles with each further consecutive failed connection attempt.
const PAUSE_FIRST_MS: u64 = 200;
/// Longest time, in milliseconds, for which a host makes no attempts at a server after consecutive
/// failed connection attempts.
const PAUSE_MAX_MS: u64 = 2_000;

/// Run time, failure rate and connection failures of one server, as seen by one host.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptStats {
    /// Moving average of the run times, in milliseconds, of requests that found a free slot at the
    /// server; 0 before the first such request.
    run_ms: f64,
    /// Moving fraction of attempts that failed or were shed (refused by the server because of
    /// overload), from 0 to 1, as of `at_ms`.
    failures: f64,
    /// Time of the last outcome, from which the weight of the samples decays.
    at_ms: u64,
    /// Number of consecutive failed connection attempts, which determines the length of the next
    /// pause in attempts; a response resets the number to 0.
    connect_failures: u32,
    /// Time until which the host makes no attempts at the server because connection attempts
    /// failed; 0 if attempts are not paused.
    paused_until_ms: u64,
}

impl AttemptStats {
    /// Returns the average run time in milliseconds. The result is 0 if the run time is unknown, or
    /// if the last outcome is older than twice the half-life of the samples.
    pub fn run_ms(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        if age_ms > 2.0 * FORGET_HALF_MS {
            return 0.0;
        }
        self.run_ms
    }

    /// Returns the milliseconds since the last response, failure or failed connection attempt.
    pub fn since_outcome_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.at_ms)
    }

    /// Returns the fraction of recent attempts that failed, from 0 to 1. The fraction decays to 0
    /// while no attempts are made.
    pub fn failures(&self, now_ms: u64) -> f64 {
        self.failures * self.sample_weight(now_ms)
    }

    /// Returns true while the host should make no attempts at the server because the last
    /// connection attempts to the server failed.
    pub fn is_paused(&self, now_ms: u64) -> bool {
        now_ms < self.paused_until_ms
    }

    /// Records a response from the server. `found_free_slot` is true if the request did not have to
    /// queue; only then is `run_ms` a sample of the run time.
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

    /// Records a failed attempt other than a failed connection attempt, for example a request that
    /// the server shed, a lost connection or a timeout. The attempt counts as a failure, but does
    /// not pause further attempts.
    pub fn failed(&mut self, now_ms: u64) {
        self.note_outcome(1.0, now_ms);
    }

    /// Records a failed connection attempt. The failed connection attempt counts as a failure, and
    /// pauses further attempts for a time that doubles with each consecutive failed connection
    /// attempt, up to [`PAUSE_MAX_MS`].
    pub fn not_connected(&mut self, now_ms: u64) {
        self.note_outcome(1.0, now_ms);
        let pause_ms = PAUSE_FIRST_MS << self.connect_failures.min(8);
        self.connect_failures += 1;
        self.paused_until_ms = now_ms + pause_ms.min(PAUSE_MAX_MS);
    }

    /// Forgets the failed attempts, and ends the pause after failed connection attempts.
    pub fn reset_failures(&mut self) {
        self.failures = 0.0;
        self.connect_failures = 0;
        self.paused_until_ms = 0;
    }

    /// Adds an outcome, 1 for a failure and 0 for a response, to the moving fraction of failed
    /// attempts.
    fn note_outcome(&mut self, outcome: f64, now_ms: u64) {
        let before = self.failures * self.sample_weight(now_ms);
        self.failures = before + FAILURE_SAMPLE_WEIGHT * (outcome - before);
        self.at_ms = now_ms;
    }

    /// Returns the weight that the samples up to the last outcome still have at `now_ms`, from 0 to
    /// 1.
    fn sample_weight(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        0.5_f64.powf(age_ms / FORGET_HALF_MS)
    }
}
