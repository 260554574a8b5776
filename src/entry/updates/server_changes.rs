//! Changes of servers' entries as hosts tell them to each other.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::entry::model::ServerEntry;

/// Most changes in one datagram, of about 60 bytes each.
const CHANGES_MAX: usize = 24;

/// What happened to a server's entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ServerUpdate {
    /// It was written.
    Entry(ServerEntry),
    /// That of this name was removed.
    Removed(Arc<str>),
    /// That of this name cannot be read: no server is to be used under it.
    Unreadable(Arc<str>),
}

/// A change of a server's entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerChange {
    /// Version of the row.
    pub version: u64,
    /// What changed.
    pub what: ServerUpdate,
}

impl ServerChange {
    /// True if the server gets no new work after it.
    pub fn is_end(&self) -> bool {
        match &self.what {
            ServerUpdate::Entry(entry) => entry.leaving,
            ServerUpdate::Removed(_) | ServerUpdate::Unreadable(_) => true,
        }
    }
}

/// All changes of servers' entries after one version and up to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerChanges {
    /// Version after which they begin.
    pub after: u64,
    /// Version up to which they go.
    pub up_to: u64,
    /// The changes in order.
    pub changes: Vec<ServerChange>,
}

impl ServerChanges {
    /// Parts that fit a datagram each; together they say the same.
    pub fn split(self) -> Vec<Self> {
        let mut parts = Vec::new();
        let mut after = self.after;
        let chunks = self.changes.chunks(CHANGES_MAX);
        let number = chunks.len();
        for (index, changes) in chunks.enumerate() {
            let is_last = index + 1 == number;
            let last = changes.last().map_or(self.up_to, |change| change.version);
            let up_to = if is_last { self.up_to } else { last };
            parts.push(Self {
                after,
                up_to,
                changes: changes.to_vec(),
            });
            after = up_to;
        }
        parts
    }

    /// What is new for a host that has the table up to `applied`; `None` if it has missed changes
    /// before these.
    pub fn new_after(self, applied: u64) -> Option<Vec<ServerChange>> {
        if applied < self.after {
            return None;
        }
        let mut changes = self.changes;
        changes.retain(|change| change.version > applied);
        Some(changes)
    }
}

/// Most changes that are kept for other hosts, about 100 bytes each.
const KEPT_MAX: usize = 4_000;

/// The latest changes of servers' entries that a host knows without a gap.
#[derive(Debug, Default)]
pub struct RecentChanges {
    /// Version after which they begin.
    after: u64,
    up_to: u64,
    changes: VecDeque<ServerChange>,
}

impl RecentChanges {
    /// Notes changes; what was known is forgotten if there is a gap before them.
    pub fn note(&mut self, updates: &ServerChanges) {
        if updates.after > self.up_to {
            self.changes.clear();
            self.after = updates.after;
            self.up_to = updates.after;
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

    /// True if all changes since a version are known.
    pub fn reaches_back_to(&self, version: u64) -> bool {
        version >= self.after
    }

    /// All changes after a version; `None` if some of them are not known any more, or none is later.
    pub fn after(&self, version: u64) -> Option<ServerChanges> {
        if !self.reaches_back_to(version) || version >= self.up_to {
            return None;
        }
        let changes = self.changes.iter().filter(|c| c.version > version);
        Some(ServerChanges {
            after: version,
            up_to: self.up_to,
            changes: changes.cloned().collect(),
        })
    }
}
