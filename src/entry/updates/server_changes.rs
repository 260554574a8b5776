//! Changes of servers' entries that hosts send each other in place of reads from the store.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::entry::model::ServerEntry;

/// State of a server's entry after a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ServerUpdate {
    /// The entry was added or renewed, with this content.
    Entry(ServerEntry),
    /// The entry of this name was removed.
    Removed(Arc<str>),
    /// The entry of this name cannot be decoded, so no server may be used under it.
    Unreadable(Arc<str>),
}

/// One change of a server's entry, with the version that determines its place in the order of
/// changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerChange {
    /// Version that the row has in the store after the change.
    pub version: u64,
    /// New content of the entry, or the name of an entry that was removed or cannot be decoded.
    pub update: ServerUpdate,
}

impl ServerChange {
    /// Returns true if the server takes no new work after this change.
    pub fn ends_new_work(&self) -> bool {
        match &self.update {
            ServerUpdate::Entry(entry) => entry.leaving,
            ServerUpdate::Removed(_) | ServerUpdate::Unreadable(_) => true,
        }
    }
}

/// Selection of the changes in a range of versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Selection {
    /// All changes in the range.
    All,
    /// Changes that lead from the table at the beginning of the range to the table at its end.
    /// Entries that were added and removed in between are left out.
    Difference,
}

/// Changes of servers' entries in a range of versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerChanges {
    /// Selection of the changes.
    pub selection: Selection,
    /// Version after which the range begins, exclusive.
    pub after: u64,
    /// Last version of the range, inclusive. It may be later than the last change.
    pub up_to: u64,
    /// Changes in the order of their versions.
    pub changes: Vec<ServerChange>,
}

impl ServerChanges {
    /// Returns the changes in this range that are new to a host that has applied the table up to
    /// the version `applied`. Returns `None` if changes are missing between `applied` and the
    /// beginning of the range, or if the changes are a difference from another version: a host at a
    /// later version may know entries whose removals the difference does not contain.
    pub fn new_after(self, applied: u64) -> Option<Vec<ServerChange>> {
        let is_usable = match self.selection {
            Selection::All => applied >= self.after,
            Selection::Difference => applied == self.after,
        };
        if !is_usable {
            return None;
        }
        let mut changes = self.changes;
        changes.retain(|change| change.version > applied);
        Some(changes)
    }
}

/// Maximum number of changes that a host keeps for hosts that have missed some changes; each kept
/// change takes about 100 bytes.
const KEPT_MAX: usize = 4_000;

/// Latest changes of servers' entries, as a range without gaps.
#[derive(Debug, Default)]
pub struct RecentChanges {
    /// Version after which the range begins, exclusive.
    after: u64,
    /// Last version of the range, inclusive.
    up_to: u64,
    changes: VecDeque<ServerChange>,
}

impl RecentChanges {
    /// Appends changes. If `updates` does not continue the kept range of versions without a gap,
    /// the kept changes are discarded. A difference is not kept, and the kept range begins after it.
    pub fn note(&mut self, updates: &ServerChanges) {
        if updates.selection == Selection::Difference {
            self.restart_at(updates.up_to);
            return;
        }
        if updates.after > self.up_to {
            self.restart_at(updates.after);
        }
        let known_up_to = self.up_to;
        let new = updates.changes.iter().filter(|c| c.version > known_up_to);
        self.changes.extend(new.cloned());
        self.up_to = self.up_to.max(updates.up_to);
        while self.changes.len() > KEPT_MAX {
            let dropped = self.changes.pop_front();
            self.after = dropped.map_or(self.after, |change| change.version);
        }
    }

    fn restart_at(&mut self, version: u64) {
        self.changes.clear();
        self.after = version;
        self.up_to = version;
    }

    /// Returns true if the kept range of versions begins at or before the given version, so that no
    /// change between that version and the end of the range is missing.
    pub fn reaches_back_to(&self, version: u64) -> bool {
        version >= self.after
    }

    /// Returns all changes after a version. Returns `None` if some of these changes are no longer
    /// kept, or if the kept range ends at or before the version.
    pub fn after(&self, version: u64) -> Option<ServerChanges> {
        if !self.reaches_back_to(version) || version >= self.up_to {
            return None;
        }
        let changes = self.changes.iter().filter(|c| c.version > version);
        Some(ServerChanges {
            selection: Selection::All,
            after: version,
            up_to: self.up_to,
            changes: changes.cloned().collect(),
        })
    }
}
