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
    /// After this none of its renewals holds, clock drift allowed for.
    pub horizon_ms: u64,
}

/// Hosts whose renewals may hold the lease.
#[derive(Clone, Copy, Debug)]
pub struct RenewingHosts<'a> {
    /// Every registered host.
    pub registered: &'a [Voter],
    /// Those that count in the majority.
    pub voters: &'a [Voter],
    /// Those that counted before the registry's last change; none once that is settled.
    pub previous: &'a [Voter],
    /// No earlier than this did [`crate::state::Registry::since`] come into force.
    pub since_ms: u64,
    /// True if the registry is settled, so that no host besides the registered ones acts.
    pub settled: bool,
}

/// Time at which the lease has lapsed for certain; none as long as too few hosts have reported.
///
/// A host may act on the last registry or, until that is settled, on the one before it. So before
/// then a majority of each is needed, and no majority counts from before its registry was the only
/// one of its predecessors to act on.
pub fn lapsed_at_ms(
    renewing_hosts: RenewingHosts<'_>,
    reports: &[HorizonReport],
    lapse_ms: u64,
) -> Option<u64> {
    let majority = majority_ms(renewing_hosts.voters, reports);
    let previous = match renewing_hosts.previous {
        [] => Some(0),
        previous => majority_ms(previous, reports),
    };
    let joint = majority.zip(previous).map(|(one, other)| one.max(other));
    let joint = joint.map(|at_ms| at_ms.max(renewing_hosts.since_ms) + lapse_ms);
    let by_all = all_reported(renewing_hosts, reports);
    [joint, by_all].into_iter().flatten().min()
}

fn all_reported(renewing_hosts: RenewingHosts<'_>, reports: &[HorizonReport]) -> Option<u64> {
    if !renewing_hosts.settled {
        return None;
    }
    let mut latest_ms = 0;
    for voter in renewing_hosts.registered {
        let report = reports.iter().find(|report| is_from(report, voter))?;
        latest_ms = latest_ms.max(report.horizon_ms);
    }
    Some(latest_ms)
}

/// When more than half of `voters` had applied the loss.
fn majority_ms(voters: &[Voter], reports: &[HorizonReport]) -> Option<u64> {
    let mut applied: Vec<u64> = voters
        .iter()
        .filter_map(|voter| reports.iter().find(|report| is_from(report, voter)))
        .map(|report| report.applied_ms)
        .collect();
    let needed = voters.len() / 2 + 1;
    if applied.len() < needed {
        return None;
    }
    applied.sort_unstable();
    Some(applied[needed - 1])
}

fn is_from(report: &HorizonReport, voter: &Voter) -> bool {
    report.host == voter.host && report.incarnation == voter.incarnation
}
