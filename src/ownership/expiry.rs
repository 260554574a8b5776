//! Decides from which time on the lease of a lost server has certainly expired, so that its slots
//! may move.
//!
//! A host that has applied the loss of the server never renews the lease again, and it reports its
//! *lease horizon*: how long its earlier renewals may keep the lease valid. The renewals of a host
//! that has not applied the loss are bounded by the maximum staleness of its view: its up-to-date
//! time (see [`crate::membership::staleness`]) is earlier than the moment at which more than half
//! of the quorum members had applied the loss. The last renewal of such a host therefore ends at
//! most maximum staleness + TTL after that moment.

use crate::{
    id::{HostKey, Incarnation},
    membership::staleness::HostProcess,
};

/// Report from one host on its renewals of a lost server's lease. The times are on the clock of the
/// leader that requested the report.
#[derive(Clone, Copy, Debug)]
pub struct HorizonReport {
    /// Host whose renewals the report is about.
    pub host: HostKey,
    /// Incarnation of the process of `host` that sent the report and the renewals.
    pub incarnation: Incarnation,
    /// Latest possible time at which the reporting host applied the change that marks the server as
    /// lost.
    pub applied_ms: u64,
    /// Lease horizon: time after which no renewal of the reporting host keeps the lease valid, with
    /// allowance for clock drift.
    pub horizon_ms: u64,
}

/// Hosts whose renewals may keep the lease of a lost server valid.
#[derive(Clone, Copy, Debug)]
pub struct RenewingHosts<'a> {
    /// Processes of all registered hosts, whether or not they are quorum members.
    pub registered: &'a [HostProcess],
    /// Quorum members of the current registry: the hosts that count in majorities.
    pub quorum_members: &'a [HostProcess],
    /// Quorum members before the last promotion or removal of a host; empty once that change is
    /// complete.
    pub previous: &'a [HostProcess],
    /// Time by which the revision [`crate::state::Registry::majority_since`] was certainly in
    /// force. A majority counts only from this time on; a value that is too late only delays the
    /// time at which the lease counts as expired.
    pub majority_since_ms: u64,
    /// True if the last change of the registry is complete, so that only registered hosts act.
    pub change_complete: bool,
}

/// Returns the time from which the lease has certainly expired, or `None` while too few hosts have
/// reported.
///
/// Until a change of the registry is complete, a host may act on the new or on the previous version
/// of the registry. So a majority of the quorum members of each version is needed. A majority
/// counts only from the time at which no host acts on a version older than these two.
pub fn expired_at_ms(
    renewing_hosts: RenewingHosts<'_>,
    reports: &[HorizonReport],
    expiry_bound_ms: u64,
) -> Option<u64> {
    let majority = majority_ms(renewing_hosts.quorum_members, reports);
    let previous = match renewing_hosts.previous {
        [] => Some(0),
        previous => majority_ms(previous, reports),
    };
    let joint = majority.zip(previous).map(|(one, other)| one.max(other));
    let joint = joint.map(|at_ms| at_ms.max(renewing_hosts.majority_since_ms) + expiry_bound_ms);
    let by_all = all_reported(renewing_hosts, reports);
    [joint, by_all].into_iter().flatten().min()
}

fn all_reported(renewing_hosts: RenewingHosts<'_>, reports: &[HorizonReport]) -> Option<u64> {
    if !renewing_hosts.change_complete {
        return None;
    }
    let mut latest_ms = 0;
    for host_process in renewing_hosts.registered {
        let report = reports
            .iter()
            .find(|report| is_from(report, host_process))?;
        latest_ms = latest_ms.max(report.horizon_ms);
    }
    Some(latest_ms)
}

/// Returns the time at which more than half of `quorum_members` had applied the loss of the server;
/// `None` while too few of them have reported.
fn majority_ms(quorum_members: &[HostProcess], reports: &[HorizonReport]) -> Option<u64> {
    let mut applied: Vec<u64> = quorum_members
        .iter()
        .filter_map(|host_process| reports.iter().find(|report| is_from(report, host_process)))
        .map(|report| report.applied_ms)
        .collect();
    let needed = quorum_members.len() / 2 + 1;
    if applied.len() < needed {
        return None;
    }
    applied.sort_unstable();
    Some(applied[needed - 1])
}

fn is_from(report: &HorizonReport, host_process: &HostProcess) -> bool {
    report.host == host_process.host && report.incarnation == host_process.incarnation
}
