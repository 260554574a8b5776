//! When the lease of a lost server has lapsed for certain.
//!
//! A host that has applied the loss never renews the lease again, and tells how long its earlier
//! renewals may still hold. A host that has not applied it is bounded by its freshness: its basis
//! is older than the moment at which more than half of the counted hosts had applied the loss (see
//! [`crate::membership::freshness`]), so its last renewal ends at most freshness + TTL after that.

use crate::{
    id::{HostKey, Incarnation},
    membership::freshness::Voter,
};

/// What one host said about a lost server, on the asking host's clock.
#[derive(Clone, Copy, Debug)]
pub struct HorizonReport {
    /// Host.
    pub host: HostKey,
    /// Its process.
    pub incarnation: Incarnation,
    /// No later than this had the host applied the loss.
    pub applied_ms: u64,
    /// After this none of its renewals holds.
    pub horizon_ms: u64,
}

/// Hosts whose renewals may hold the lease.
#[derive(Clone, Copy, Debug)]
pub struct Holders<'a> {
    /// Every registered host.
    pub registered: &'a [Voter],
    /// Those that count in the majority.
    pub voters: &'a [Voter],
    /// False while a host that was removed a short time ago may still act.
    pub complete: bool,
}

/// Time at which the lease has lapsed for certain; none as long as too few hosts have reported.
pub fn lapsed_at_ms(
    holders: Holders<'_>,
    reports: &[HorizonReport],
    lapse_ms: u64,
    margin_ms: u64,
) -> Option<u64> {
    let by_all = all_reported(holders, reports, margin_ms);
    let by_majority = majority_reported(holders, reports, lapse_ms);
    match (by_all, by_majority) {
        (Some(all), Some(majority)) => Some(all.min(majority)),
        (one, other) => one.or(other),
    }
}

fn all_reported(holders: Holders<'_>, reports: &[HorizonReport], margin_ms: u64) -> Option<u64> {
    if !holders.complete {
        return None;
    }
    let mut latest_ms = 0;
    for voter in holders.registered {
        let report = reports.iter().find(|report| says(report, voter))?;
        latest_ms = latest_ms.max(report.horizon_ms);
    }
    Some(latest_ms + margin_ms)
}

fn majority_reported(
    holders: Holders<'_>,
    reports: &[HorizonReport],
    lapse_ms: u64,
) -> Option<u64> {
    let mut applied: Vec<u64> = holders
        .voters
        .iter()
        .filter_map(|voter| reports.iter().find(|report| says(report, voter)))
        .map(|report| report.applied_ms)
        .collect();
    let needed = holders.voters.len() / 2 + 1;
    if applied.len() < needed {
        return None;
    }
    applied.sort_unstable();
    Some(applied[needed - 1] + lapse_ms)
}

fn says(report: &HorizonReport, voter: &Voter) -> bool {
    report.host == voter.host && report.incarnation == voter.incarnation
}
