//! Checks two invariants over the records of stand-in servers: no slot has two owners at the same
//! time, and no request runs twice.

use std::collections::HashMap;

use super::{
    backend::{Record, RunCount},
    grants::OwnershipSpan,
};

/// Violation of exclusive ownership: two servers owned one slot at the same time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DoubleOwned {
    /// Ownership span of one of the two servers.
    pub one: OwnershipSpan,
    /// Ownership span of the other server; it overlaps `one`.
    pub other: OwnershipSpan,
}

/// Returns every pair of overlapping ownership spans of different servers.
pub fn double_owned(records: &[Record]) -> Vec<DoubleOwned> {
    let mut spans: Vec<(usize, &OwnershipSpan)> = Vec::new();
    for (server, record) in records.iter().enumerate() {
        spans.extend(record.held.iter().map(|span| (server, span)));
    }
    spans.sort_by(|(_, a), (_, b)| sort_key(a).cmp(&sort_key(b)));
    let mut found = Vec::new();
    for (index, (server, span)) in spans.iter().enumerate() {
        let later = spans[index + 1..].iter();
        let overlapping = later
            .take_while(|(_, other)| same_slot(span, other) && other.from_us < span.until_us)
            .filter(|(other_server, _)| other_server != server);
        found.extend(overlapping.map(|(_, other)| DoubleOwned {
            one: (*span).clone(),
            other: (*other).clone(),
        }));
    }
    found
}

fn sort_key(span: &OwnershipSpan) -> (&str, u32, u64) {
    (&span.service, span.slot.0, span.from_us)
}

fn same_slot(one: &OwnershipSpan, other: &OwnershipSpan) -> bool {
    one.service == other.service && one.slot == other.slot
}

/// Returns the requests that ran more than once, with the number of their runs on all servers
/// together.
pub fn double_runs(records: &[Record]) -> Vec<RunCount> {
    let mut runs: HashMap<&str, u64> = HashMap::new();
    for run in records.iter().flat_map(|record| &record.runs) {
        *runs.entry(&run.request).or_default() += run.runs;
    }
    let double = runs.into_iter().filter(|(_, runs)| *runs > 1);
    let count = |(request, runs): (&str, u64)| RunCount {
        request: request.to_owned(),
        runs,
    };
    double.map(count).collect()
}
