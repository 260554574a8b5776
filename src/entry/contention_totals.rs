//! Adds up the `contention` events in the logs of several hosts: what happened to the requests for
//! contended services, by service and urgency.

use std::collections::BTreeMap;

use serde::Serialize;

use super::{
    contention::RequestStep,
    explain::{Source, read},
};

/// Requests of one service and urgency.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ContentionTotal {
    /// Name of the service.
    pub service: String,
    /// True for requests that are more urgent than others of the service.
    pub is_urgent: bool,
    /// Number of requests by step, in the order of the columns of [`ContentionTotals`].
    pub requests: Vec<u64>,
}

/// Requests of all contended services in a set of logs, and the number of dropped log lines that
/// may have reported more requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ContentionTotals {
    /// Names of the steps: all that this build counts, then others that the logs name.
    pub steps: Vec<String>,
    /// Requests in order of service, the urgent ones of a service after the others.
    pub totals: Vec<ContentionTotal>,
    /// Number of log lines that the hosts dropped; if not 0, requests may be missing.
    pub dropped_lines: u64,
}

/// Adds up the `contention` events of the logs. Lines that are not events are skipped.
pub fn contention_totals(sources: &[Source<'_>]) -> ContentionTotals {
    let known = RequestStep::ALL.map(|step| step.name().to_owned());
    let mut steps = Vec::from(known);
    let mut sums: BTreeMap<(String, bool), BTreeMap<String, u64>> = BTreeMap::new();
    let mut dropped_lines = 0;
    for line in sources.iter().flat_map(read) {
        let event = &line.event;
        if event["event"] == "dropped" {
            dropped_lines += event["lines"].as_u64().unwrap_or(0);
        }
        let (Some("contention"), Some(service), Some(counts)) = (
            event["event"].as_str(),
            event["service"].as_str(),
            event["steps"].as_object(),
        ) else {
            continue;
        };
        let is_urgent = event["is_urgent"].as_bool().unwrap_or(false);
        let sum = sums.entry((service.to_owned(), is_urgent)).or_default();
        for (step, count) in counts {
            if !steps.contains(step) {
                steps.push(step.clone());
            }
            *sum.entry(step.clone()).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    let total = |((service, is_urgent), sum): ((String, bool), BTreeMap<String, u64>)| {
        let requests = steps.iter().map(|step| sum.get(step).copied().unwrap_or(0));
        ContentionTotal {
            service,
            is_urgent,
            requests: requests.collect(),
        }
    };
    let totals = sums.into_iter().map(total).collect();
    ContentionTotals {
        steps,
        totals,
        dropped_lines,
    }
}
