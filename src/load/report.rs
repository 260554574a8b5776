//! Figures of a run of load.

use std::{fmt, net::SocketAddr};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::RequestOutcome;

/// Longest latency that is told apart.
const LATENCY_US_MAX: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// One request's end.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Address that it was sent to.
    pub address: SocketAddr,
    /// Index of its service.
    pub service: usize,
    /// Its key.
    pub key: u64,
    /// Its idempotency key, if it was an order.
    pub idempotency_key: Option<String>,
    /// When it should have been sent, by the wall clock.
    pub intended_us: u64,
    /// Time from then to its end.
    pub latency_us: u64,
    /// How it ended.
    pub outcome: RequestOutcome,
}

/// Percentiles of answered requests.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LatencyReport {
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Longest.
    pub max_us: u64,
}

/// Figures of a run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Requests sent.
    pub requests: u64,
    /// Requests with their own whole answer.
    pub answered: u64,
    /// Requests told that they did not run.
    pub not_run: u64,
    /// Requests whose end is unknown.
    pub unknown: u64,
    /// Requests with a wrong answer.
    pub wrong_answers: u64,
    /// Latency of the answered requests.
    pub latency: LatencyReport,
}

impl LatencyReport {
    /// Percentiles of some latencies.
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
    /// Figures of some samples.
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
