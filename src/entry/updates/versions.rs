//! Versions of the followed tables up to which a host has applied changes, and the versions of the
//! latest changes that the host has seen. From these, hosts conclude whether a report of another host
//! states changes that they lack.

use std::sync::atomic::{AtomicU64, Ordering};

use super::{
    followed::FollowedTable,
    report::TABLES,
    server_changes::{Selection, ServerChanges},
    snapshot::TableVersions,
};

/// Versions of a host's own view of the followed tables.
#[derive(Debug, Default)]
pub struct FollowedVersions {
    /// Version up to which this host has applied each table.
    applied: [AtomicU64; TABLES],
    /// Version of the latest change that this host has seen, by table.
    changed: [AtomicU64; TABLES],
    /// Version of the latest change of a server's entry that ends new work for the server.
    leave_version: AtomicU64,
    /// Version at which this host last took over the table of servers' entries as a whole.
    full_read_version: AtomicU64,
    /// Latest version of a full read by another host whose report was checked for unseen removals.
    checked_read_version: AtomicU64,
}

impl FollowedVersions {
    /// Records that this host has applied all changes of a table up to a version.
    pub fn note_applied(&self, followed: FollowedTable, version: u64) {
        self.applied[followed.index()].fetch_max(version, Ordering::Relaxed);
    }

    /// Returns the version up to which this host has applied a table; 0 if the table was never
    /// read.
    pub fn applied(&self, followed: FollowedTable) -> u64 {
        self.applied[followed.index()].load(Ordering::Relaxed)
    }

    /// Records the version of a change that this host has seen, for this host's reports to others.
    /// A version earlier than the latest recorded one is ignored.
    pub fn note_change(&self, followed: FollowedTable, version: u64) {
        self.changed[followed.index()].fetch_max(version, Ordering::Relaxed);
    }

    /// Returns the version of the latest change of a table that this host has seen; 0 before the
    /// first.
    pub fn changed(&self, followed: FollowedTable) -> u64 {
        self.changed[followed.index()].load(Ordering::Relaxed)
    }

    /// Returns this host's progress in following a table; a version is 0 until it is known.
    pub fn known(&self, followed: FollowedTable) -> TableVersions {
        TableVersions {
            up_to: self.applied(followed),
            changed: self.changed(followed),
        }
    }

    /// Returns the version of the latest change of a server's entry that ends new work for the
    /// server; 0 before the first such change.
    pub fn leave_version(&self) -> u64 {
        self.leave_version.load(Ordering::Relaxed)
    }

    /// Records the version of a change of a server's entry that ends new work for the server. A
    /// version earlier than the latest recorded one is ignored.
    pub fn note_leave(&self, version: u64) {
        self.leave_version.fetch_max(version, Ordering::Relaxed);
    }

    /// Records that this host has taken over the table of servers' entries as a whole at `version`,
    /// so that it may not have seen entries that were removed before. A version earlier than the
    /// latest recorded one is ignored.
    pub fn note_full_read(&self, version: u64) {
        self.full_read_version.fetch_max(version, Ordering::Relaxed);
    }

    /// Records that this host has applied changes of servers' entries, up to the end of their range.
    pub fn note_server_changes(&self, range: &ServerChanges) {
        for change in &range.changes {
            self.note_change(FollowedTable::Servers, change.version);
        }
        if range.selection == Selection::Difference {
            self.note_full_read(range.up_to);
        }
        self.note_applied(FollowedTable::Servers, range.up_to);
    }

    /// Records that a report was checked whose sender took over the table of servers' entries as a
    /// whole at `version`. Returns false if a report with that version or a later one was checked
    /// before.
    pub(super) fn note_checked_read(&self, version: u64) -> bool {
        let before = self
            .checked_read_version
            .fetch_max(version, Ordering::Relaxed);
        before < version
    }

    /// Returns the version at which this host last took over the table of servers' entries as a whole;
    /// 0 before the first time.
    pub fn full_read_version(&self) -> u64 {
        self.full_read_version.load(Ordering::Relaxed)
    }
}
