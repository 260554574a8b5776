//! Samples and summary of a load run.

use std::{fmt, net::SocketAddr};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::RequestOutcome;

/// Maximum latency in microseconds that the histogram records. A longer latency is recorded as this
/// maximum.
const LATENCY_US_MAX: u64 = 600_000_000;
/// Precision of the recorded latencies, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Request of a load run, with its outcome and latency.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Address that the request was sent to.
    pub address: SocketAddr,
    /// Index of the requested service in [`LoadConfig::services`](super::LoadConfig::services).
    pub service: usize,
    /// Number of the key among the keys of the service. With a Zipf distribution of the keys, the
    /// keys with low numbers are requested most often.
    pub key: u64,
    /// Idempotency key of an unrepeatable request; `None` for requests that may run twice.
    pub idempotency_key: Option<String>,
    /// Intended time of sending, as Unix time in microseconds.
    pub intended_us: u64,
    /// Time in microseconds from `intended_us` to the end of the request.
    pub latency_us: u64,
    /// Outcome of the request as its caller saw it.
    pub outcome: RequestOutcome,
}

/// Latency percentiles of answered requests. All fields are 0 if no request was answered.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LatencyReport {
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latencies in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of the latencies in microseconds.
    pub p999_us: u64,
    /// Maximum latency in microseconds.
    pub max_us: u64,
}

/// Numbers of requests of a load run by outcome, and the latency percentiles of the answered
/// requests.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Number of requests sent, duplicates included.
    pub requests: u64,
    /// Number of requests with the outcome [`RequestOutcome::Answered`].
    pub answered: u64,
    /// Number of requests with the outcome [`RequestOutcome::NotRun`].
    pub not_run: u64,
    /// Number of requests with the outcome [`RequestOutcome::Unknown`].
    pub unknown: u64,
    /// Number of requests with the outcome [`RequestOutcome::Wrong`].
    pub wrong_answers: u64,
    /// Latency percentiles over the answered requests only.
    pub latency: LatencyReport,
}

impl LatencyReport {
    /// Computes the percentiles of the given latencies, which are in microseconds.
    pub fn of(latencies_us: impl Iterator<Item = u64>) -> Self {
        let histogram = Histogram::<u64>::new_with_max(LATENCY_US_MAX, SIGNIFICANT_DIGITS);
        let Ok(mut histogram) = histogram else {
            return Self::default();
        };
        for latency_us in latencies_us {
            histogram.saturating_record(latency_us);
        }
        Self {
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}

impl LoadReport {
    /// Counts the samples of a run by outcome, and computes the latency percentiles.
    pub fn of(samples: &[Sample]) -> Self {
        let count = |outcome| samples.iter().filter(|s| s.outcome == outcome).count() as u64;
        let answered = samples
            .iter()
            .filter(|s| s.outcome == RequestOutcome::Answered);
        Self {
            requests: samples.len() as u64,
            answered: count(RequestOutcome::Answered),
            not_run: count(RequestOutcome::NotRun),
            unknown: count(RequestOutcome::Unknown),
            wrong_answers: count(RequestOutcome::Wrong),
            latency: LatencyReport::of(answered.map(|sample| sample.latency_us)),
        }
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} requests: {} answered, {} not run, {} unknown, {} wrong; \
             p50 {} us, p99 {} us, p99.9 {} us, max {} us",
            self.requests,
            self.answered,
            self.not_run,
            self.unknown,
            self.wrong_answers,
            self.latency.p50_us,
            self.latency.p99_us,
            self.latency.p999_us,
            self.latency.max_us
        )
    }
}
