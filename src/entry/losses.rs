//! Counts what was lost, by second, route and reason, from the logs of several hosts: which requests
//! were refused, failed or repeated, what the hosts believed, and how long the requests had waited.

use std::collections::BTreeMap;

use serde::Serialize;

use super::explain::{Source, read};

/// Requests with the same fate.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Loss {
    /// Second since 1970, rounded down to a multiple of the step.
    pub at_unix_s: u64,
    /// Route.
    pub route: String,
    /// What was decided.
    pub decision: String,
    /// Why, without the numbers.
    pub reason: String,
    /// Number of requests.
    pub requests: u64,
    /// Servers that were concerned.
    pub servers: u64,
    /// Average load of the server, as the hosts knew it.
    pub load_mean: f64,
    /// Average time from arrival to the decision.
    pub after_mean_ms: f64,
}

/// What the logs say.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Losses {
    /// Losses by time.
    pub losses: Vec<Loss>,
    /// Log lines that the hosts dropped: so much may be missing.
    pub dropped_lines: u64,
}

type GroupKey = (u64, String, String, String);

#[derive(Default)]
struct Totals {
    requests: u64,
    servers: BTreeMap<String, u64>,
    load: f64,
    after_ms: f64,
}

/// Sums the losses in steps of so many seconds. Lines that are no events are passed over.
pub fn losses(sources: &[Source<'_>], step_s: u64) -> Losses {
    let step_s = step_s.max(1);
    let mut sums: BTreeMap<GroupKey, Totals> = BTreeMap::new();
    let mut dropped_lines = 0;
    for line in sources.iter().flat_map(read) {
        let event = &line.event;
        let text = |name: &str| event[name].as_str().unwrap_or_default().to_owned();
        if event["event"] == "dropped" {
            dropped_lines += event["lines"].as_u64().unwrap_or(0);
        }
        // Answers are only sampled.
        if event["event"] != "request" || event["decision"] == "answered" {
            continue;
        }
        let at_s = line.at_unix_ms / 1_000 / step_s * step_s;
        let reason = without_numbers(&text("reason"));
        let place = (at_s, text("route"), text("decision"), reason);
        let sum = sums.entry(place).or_default();
        sum.requests += 1;
        *sum.servers.entry(text("server")).or_default() += 1;
        sum.load += event["load"].as_f64().unwrap_or(0.0);
        sum.after_ms += event["after_ms"].as_f64().unwrap_or(0.0);
    }
    let losses = sums.into_iter().map(|(place, sum)| loss(place, &sum));
    Losses {
        losses: losses.collect(),
        dropped_lines,
    }
}

fn loss((at_unix_s, route, decision, reason): GroupKey, sum: &Totals) -> Loss {
    let requests = sum.requests as f64;
    Loss {
        at_unix_s,
        route,
        decision,
        reason,
        requests: sum.requests,
        servers: sum.servers.len() as u64,
        load_mean: sum.load / requests,
        after_mean_ms: sum.after_ms / requests,
    }
}

/// A reason with each number replaced, so that like ones are counted together.
fn without_numbers(reason: &str) -> String {
    let mut text = String::with_capacity(reason.len());
    let mut in_number = false;
    for sign in reason.chars() {
        let is_part = sign.is_ascii_digit() || in_number && sign == '.';
        if is_part && !in_number {
            text.push('N');
        }
        if !is_part {
            text.push(sign);
        }
        in_number = is_part;
    }
    text
}
