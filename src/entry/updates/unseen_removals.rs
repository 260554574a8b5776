//! Checks reports on the store whose sender may not have seen all removals of servers' entries. A
//! host that takes over the table of servers' entries as a whole does not learn which entries were
//! removed before: no row is left of them. If the table may have changed unseen, the host that
//! receives the report fetches the changes that it has missed. It does not fetch them if the table is
//! certainly the same, since otherwise each restart of the leader would cost a call of every host.

use serde::Serialize;

use super::{followed::FollowedTable, report::StoreStateReport, versions::FollowedVersions};

/// Report whose sender took over the table of servers' entries as a whole, at a version that the
/// receiver has not applied yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct UnseenRemovals {
    /// Version up to which the receiver has applied the table.
    pub applied: u64,
    /// Version at which the sender took over the table as a whole.
    pub full_read_version: u64,
    /// Version up to which the sender has read the table.
    pub up_to: u64,
    /// Version of the latest change that the sender has seen.
    pub changed: u64,
    /// Number of entries that the sender knows.
    pub entries: u32,
    /// Number of entries that the receiver knows.
    pub own_entries: u32,
    /// True if the table is the same at both versions, so that the receiver counts it as applied up to
    /// the sender's version; false if the receiver fetches the changes that it has missed.
    pub accepted: bool,
}

/// Report as it counts for the host that received it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CheckedReport {
    /// Report with a change that ends new work, in place of the removals that may have been missed.
    pub report: StoreStateReport,
    /// Removals that the sender may not have seen; `None` if the sender has seen all of them, or if
    /// an earlier report of the same full read was checked before.
    pub first_found: Option<UnseenRemovals>,
}

impl UnseenRemovals {
    /// Compares a report with the receiver's version and number of entries. Returns `None` if the
    /// sender has seen all removals after the receiver's version, or if the receiver has not read the
    /// table yet.
    fn find(report: &StoreStateReport, applied: u64, own_entries: u32) -> Option<Self> {
        let is_gap = applied > 0 && applied < report.full_read_version;
        let changed = report.changed[FollowedTable::Servers.index()];
        // If no entry has changed after the receiver's version, the sender's entries are among the
        // receiver's entries, so that equal numbers mean equal entries.
        let is_same = changed <= applied && report.server_entries == own_entries;
        is_gap.then_some(Self {
            applied,
            full_read_version: report.full_read_version,
            up_to: report.up_to[FollowedTable::Servers.index()],
            changed,
            entries: report.server_entries,
            own_entries,
            accepted: is_same,
        })
    }
}

impl StoreStateReport {
    /// Returns this report with a change that ends new work at the version at which the sender took
    /// over the table of servers' entries.
    fn with_unseen_removals(self) -> Self {
        let mut changed = self.changed;
        let servers_changed = &mut changed[FollowedTable::Servers.index()];
        *servers_changed = self.full_read_version.max(*servers_changed);
        Self {
            changed,
            leave_version: self.leave_version.max(self.full_read_version),
            ..self
        }
    }
}

impl FollowedVersions {
    /// Checks a report of another host for removals that neither the sender nor this host has seen.
    /// `own_entries` is the number of servers' entries that this host knows.
    pub fn check_unseen_removals(
        &self,
        report: StoreStateReport,
        own_entries: u32,
    ) -> CheckedReport {
        let applied = self.applied(FollowedTable::Servers);
        let Some(found) = UnseenRemovals::find(&report, applied, own_entries) else {
            return CheckedReport {
                report,
                first_found: None,
            };
        };
        let is_first = self.note_checked_read(found.full_read_version);
        let report = if found.accepted {
            // An entry may have been added and removed between the two versions, so that this host
            // has not seen all removals either.
            self.note_full_read(found.full_read_version);
            report
        } else {
            report.with_unseen_removals()
        };
        CheckedReport {
            report,
            first_found: is_first.then_some(found),
        }
    }
}
