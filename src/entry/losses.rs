//! Counts lost requests by time step, route, decision and reason from the logs of several hosts.
//! Lost requests are requests that were refused, failed or were retried. Each count comes with the
//! mean load of the servers as the hosts knew it, and with the mean time from the arrival of the
//! requests to the decision.

use std::collections::BTreeMap;

use serde::Serialize;

use super::explain::{Source, read};

/// Requests of one time step that have the same route, decision and reason.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Loss {
    /// Start of the time step in seconds since 1970, a multiple of the step's length.
    pub at_unix_s: u64,
    /// Name of the route; empty if the `request` event names no route.
    pub route: String,
    /// Decision on the requests, as in the `request` event.
    pub decision: String,
    /// Reason for the decision, with each number replaced by `N`.
    pub reason: String,
    /// Number of lost requests that agree in time step, route, decision and reason.
    pub requests: u64,
    /// Number of distinct servers that got the last attempts of the requests. All requests without
    /// an attempt together count as one more server.
    pub servers: u64,
    /// Mean load of the servers that got the last attempts, as the hosts knew the load.
    pub load_mean: f64,
    /// Mean time from a request's arrival to the decision.
    pub after_mean_ms: f64,
}

/// Losses found in a set of logs, and the number of dropped log lines that may have reported more
/// losses.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Losses {
    /// Losses in order of time.
    pub losses: Vec<Loss>,
    /// Number of log lines that the hosts dropped; if not 0, losses may be missing.
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

/// Counts lost requests in time steps of `step_s` seconds. Lines that are not events are skipped.
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
        // Answered requests are skipped, since only a sample of them is logged.
        if event["event"] != "request" || event["decision"] == "answered" {
            continue;
        }
        let at_s = line.at_unix_ms / 1_000 / step_s * step_s;
        let reason = without_numbers(&text("reason"));
        let group_key = (at_s, text("route"), text("decision"), reason);
        let sum = sums.entry(group_key).or_default();
        sum.requests += 1;
        *sum.servers.entry(text("server")).or_default() += 1;
        sum.load += event["load"].as_f64().unwrap_or(0.0);
        sum.after_ms += event["after_ms"].as_f64().unwrap_or(0.0);
    }
    let losses = sums
        .into_iter()
        .map(|(group_key, sum)| loss(group_key, &sum));
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

/// Replaces each number in a reason by `N`, so that reasons that differ only in numbers are counted
/// together.
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
