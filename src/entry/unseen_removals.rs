//! Checks reports on the store whose sender may not have seen all removals of servers' entries. A
//! host that takes over the table of servers' entries as a whole does not learn which entries were
//! removed before: no row is left of them.

use super::{
    Entry,
    events::Event,
    updates::{
        followed::FollowedTable,
        report::{Reporter, StoreStateReport},
    },
};

impl Entry {
    /// Logs a report whose sender may not have seen removals of servers' entries that this host has
    /// not seen either. Logs one event for each version at which a sender read the table.
    pub(super) fn check_unseen_removals(&self, report: &StoreStateReport, reporter: Reporter) {
        let applied = self.freshness.applied(FollowedTable::Servers);
        if !report.may_hide_removals(applied) {
            return;
        }
        if !self.freshness.note_checked_read(report.full_read_version) {
            return;
        }
        let changed = report.changed[FollowedTable::Servers.index()];
        Event::UnseenRemovals {
            reporter,
            applied,
            full_read_version: report.full_read_version,
            up_to: report.up_to[FollowedTable::Servers.index()],
            changed,
            entries: report.server_entries,
            own_entries: self.view.registry().entries_count(),
            accepted: applied >= changed,
        }
        .log();
    }
}
