//! Result of the demonstration: compares the responses that callers got with the records of the
//! servers.

use std::{collections::HashMap, fmt, net::SocketAddr};

use serde::Serialize;

use super::undisturbed;
use crate::{
    load::{LatencyReport, LoadReport, RequestOutcome, Sample},
    standin::{backend::Record, invariants},
};

/// Key that the lost server owned. The latency of the first request for this key after the loss is
/// the time for which the key was unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LostKey {
    pub(crate) service: usize,
    pub(crate) key: u64,
}

/// Host that made a planned stop, with the time at which the stop began.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stopped {
    pub(crate) address: SocketAddr,
    pub(crate) at_us: u64,
}

/// Disturbances, i.e. events injected during the run that may fail requests: the loss of a server
/// and the planned stop of a host. The requests that a disturbance may have affected are left out
/// of [`Summary::undisturbed_answered`].
#[derive(Clone, Debug)]
pub(crate) struct Disturbances {
    pub(crate) lost_us: u64,
    pub(crate) lost_keys: Vec<LostKey>,
    pub(crate) stopped: Stopped,
}

/// Reports on two runs of the same load: `direct` on the requests sent directly to the servers, and
/// `through` on the requests sent through the hosts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Baseline {
    pub(crate) direct: LoadReport,
    pub(crate) through: LoadReport,
}

/// Figures of the demonstration, printed as JSON at its end.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Summary {
    /// Number of requests sent during the run, duplicates included.
    pub requests: u64,
    /// Number of requests that got a complete response to the request itself.
    pub answered: u64,
    /// Number of requests that did not run: the response said so, or no connection could be
    /// established.
    pub not_run: u64,
    /// Number of requests that may have run: the response said so, was incomplete or did not
    /// arrive.
    pub unknown: u64,
    /// Number of requests that got the response to another request, or an error without a stated
    /// outcome.
    pub wrong_answers: u64,
    /// Number of pairs of overlapping time spans in which two servers owned the same slot.
    pub double_owned: u64,
    /// Number of unrepeatable requests that ran more than once.
    pub double_run: u64,
    /// Number of runs of unrepeatable requests (requests that must run at most once) for which the
    /// callers learned the opposite: the request, and its duplicate if one was sent, ended with the
    /// outcome [`RequestOutcome::NotRun`].
    pub false_not_run: u64,
    /// Fraction of requests that were answered, from 0 to 1. Only requests that were sent without a
    /// duplicate and that no disturbance (the loss of a server or the planned stop of a host) can
    /// have affected are counted.
    pub undisturbed_answered: f64,
    /// 99th percentile, in milliseconds, of the time until the keys of the lost server were served
    /// again.
    pub unavailable_ms_p99: u64,
    /// Median latency of the requests sent through the hosts minus the median latency of the
    /// requests sent directly to the servers, in microseconds.
    pub added_latency_us_p50: i64,
    /// 99th percentile of the latency of the requests sent through the hosts minus the 99th
    /// percentile of the latency of the requests sent directly to the servers, in microseconds.
    pub added_latency_us_p99: i64,
}

impl Summary {
    /// Returns true if the run violated no invariant: no wrong response, no slot with two owners,
    /// no request that ran twice, and no request that ran although every response denied the run.
    pub fn invariants_hold(&self) -> bool {
        let broken = self.wrong_answers + self.double_owned + self.double_run + self.false_not_run;
        broken == 0
    }
}

pub(crate) fn summarize(
    samples: &[Sample],
    records: &[Record],
    baseline: Baseline,
    disturbances: &Disturbances,
) -> Summary {
    let report = LoadReport::of(samples);
    let added = |through: u64, direct: u64| through as i64 - direct as i64;
    let (through, direct) = (baseline.through.latency, baseline.direct.latency);
    Summary {
        requests: report.requests,
        answered: report.answered,
        not_run: report.not_run,
        unknown: report.unknown,
        wrong_answers: report.wrong_answers,
        double_owned: invariants::double_owned(records).len() as u64,
        double_run: invariants::double_runs(records).len() as u64,
        false_not_run: false_not_run(samples, records),
        undisturbed_answered: undisturbed_answered(samples, disturbances),
        unavailable_ms_p99: unavailability(samples, disturbances).p99_us / 1_000,
        added_latency_us_p50: added(through.p50_us, direct.p50_us),
        added_latency_us_p99: added(through.p99_us, direct.p99_us),
    }
}

/// Counts the runs, in the records of the servers, of unrepeatable requests whose callers were told
/// the opposite: the request, and its duplicate if one was sent, ended with the outcome
/// [`RequestOutcome::NotRun`].
fn false_not_run(samples: &[Sample], records: &[Record]) -> u64 {
    let mut all_not_run: HashMap<&str, bool> = HashMap::new();
    for sample in samples {
        if let Some(key) = &sample.idempotency_key {
            let refused = all_not_run.entry(key).or_insert(true);
            *refused &= sample.outcome == RequestOutcome::NotRun;
        }
    }
    let runs = records.iter().flat_map(|record| &record.runs);
    let violations = runs.filter(|run| all_not_run.get(run.request.as_str()) == Some(&true));
    violations.count() as u64
}

/// Returns the fraction of requests that were answered, among the requests that neither the loss of
/// the server nor the planned stop of the host can have affected. Requests with duplicates are left
/// out, because a host may correctly refuse a duplicate.
fn undisturbed_answered(samples: &[Sample], disturbances: &Disturbances) -> f64 {
    let mut arrivals: HashMap<&str, u64> = HashMap::new();
    for key in samples.iter().filter_map(|s| s.idempotency_key.as_deref()) {
        *arrivals.entry(key).or_default() += 1;
    }
    let single = |sample: &&Sample| {
        let key = sample.idempotency_key.as_deref();
        key.is_none_or(|key| arrivals.get(key) == Some(&1))
    };
    let counted_samples = || {
        let samples = samples.iter().filter(single);
        samples.filter(|sample| undisturbed(sample, disturbances))
    };
    let answered = counted_samples()
        .filter(|s| s.outcome == RequestOutcome::Answered)
        .count();
    answered as f64 / counted_samples().count().max(1) as f64
}

/// Returns the percentiles of the time for which the keys of the lost server were unavailable. The
/// time for each key is the latency of the first request for the key after the loss of the server.
fn unavailability(samples: &[Sample], disturbances: &Disturbances) -> LatencyReport {
    let first_latencies_us = disturbances.lost_keys.iter().filter_map(|lost| {
        let of_key = samples.iter().filter(|sample| {
            let same = sample.service == lost.service && sample.key == lost.key;
            same && sample.intended_us >= disturbances.lost_us
        });
        let first = of_key.min_by_key(|sample| sample.intended_us)?;
        Some(first.latency_us)
    });
    LatencyReport::of(first_latencies_us)
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "requests             {}", self.requests)?;
        writeln!(f, "  answered           {}", self.answered)?;
        writeln!(f, "  not run            {}", self.not_run)?;
        writeln!(f, "  unknown            {}", self.unknown)?;
        writeln!(f, "  wrong answers      {}", self.wrong_answers)?;
        writeln!(f, "slots owned twice    {}", self.double_owned)?;
        writeln!(f, "orders run twice     {}", self.double_run)?;
        writeln!(f, "false 'not run'      {}", self.false_not_run)?;
        let share = self.undisturbed_answered * 100.0;
        writeln!(f, "answered, no fault   {share:.3}%")?;
        writeln!(f, "unavailable, p99     {} ms", self.unavailable_ms_p99)?;
        writeln!(f, "added latency, p50   {} us", self.added_latency_us_p50)?;
        write!(f, "added latency, p99   {} us", self.added_latency_us_p99)
    }
}
