//! Changes of servers' entries and configurations that the holder of the duty passes on to the other
//! hosts, so that not every host asks the store for them: calls are priced. The holder also tells how far it has read
//! each table, so a host that has missed a change notices and asks the store.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use super::{
    Entry,
    peers::message::Message,
    rows::decode_servers,
    updates::{
        configuration_pieces::{Piece, PieceAssembly, SnapshotConfiguration, split_into_pieces},
        followed::FollowedTable,
        server_changes::{RecentChanges, ServerChanges},
    },
};
use crate::platform::{
    config,
    store::{Row, Rows},
};

/// Most changes that are passed on at a time, 30 KB. More would fill the links of small hosts; the
/// others read that by themselves.
const PASSED_MAX: usize = 600;

/// Whether this host can take what is passed on.
#[derive(Debug, Default)]
pub struct Relay {
    /// False while the table is being read as a whole, whose result would undo later changes.
    servers_read: AtomicBool,
    /// Pieces of the latest configuration.
    configuration: Mutex<PieceAssembly>,
    /// The latest configuration as it stands in the store, for hosts that have missed it.
    latest: Mutex<Option<LatestConfiguration>>,
    /// Latest changes of servers' entries, for hosts that have missed some.
    recent: Mutex<RecentChanges>,
}

/// A configuration as it stands in the store.
#[derive(Clone, Debug)]
struct LatestConfiguration {
    version: u64,
    value: Arc<[u8]>,
}

impl Relay {
    /// Notes the row of a configuration.
    pub fn note_configuration(&self, row: &Row) {
        *self.latest() = Some(LatestConfiguration {
            version: row.version,
            value: row.value.as_slice().into(),
        });
    }

    fn latest(&self) -> MutexGuard<'_, Option<LatestConfiguration>> {
        self.latest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a whole table is about to be read.
    pub fn begin_reading(&self, followed: FollowedTable) {
        if followed == FollowedTable::Servers {
            self.servers_read.store(false, Ordering::Relaxed);
        }
    }

    /// Notes that a whole table was read.
    pub fn end_reading(&self, followed: FollowedTable) {
        if followed == FollowedTable::Servers {
            self.servers_read.store(true, Ordering::Relaxed);
        }
    }

    /// Notes changes of servers' entries that this host has taken in.
    pub fn note_changes(&self, changes: &ServerChanges) {
        self.recent().note(changes);
    }

    /// True if this host knows all changes of servers' entries since a version.
    pub fn reaches_back_to(&self, version: u64) -> bool {
        self.recent().reaches_back_to(version)
    }

    /// All changes of servers' entries after a version; `None` if this host does not know them all.
    pub fn changes_after(&self, after: u64) -> Option<ServerChanges> {
        self.recent().after(after)
    }

    fn recent(&self) -> MutexGuard<'_, RecentChanges> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn can_take(&self) -> bool {
        self.servers_read.load(Ordering::Relaxed)
    }
}

impl Entry {
    /// Passes changes of servers' entries on that the store told this host, which has the duty.
    pub(super) fn pass_servers_on(&self, updates: &ServerChanges) {
        if updates.changes.is_empty() || updates.changes.len() > PASSED_MAX {
            return;
        }
        for part in updates.clone().split() {
            self.peers.send_to_all(Message::Servers(part));
        }
    }

    /// Passes on what has changed since this host, which has the duty, followed a table that it has
    /// read as a whole because the store had dropped its history. Otherwise 295 hosts would read it.
    pub(super) fn pass_difference_on(&self, followed: FollowedTable, rows: &Rows) {
        let after = self.freshness.applied(followed);
        if after == 0 {
            return;
        }
        match followed {
            FollowedTable::Servers => {
                let difference = self.view.registry().difference(rows, after);
                self.pass_servers_on(&ServerChanges {
                    after,
                    up_to: difference.version,
                    changes: decode_servers(&difference.rows),
                });
            }
            FollowedTable::Configuration => self.pass_configuration_on(rows),
            FollowedTable::Own => {}
        }
    }

    /// Passes a configuration on that the store told this host, which has the duty.
    pub(super) fn pass_configuration_on(&self, rows: &Rows) {
        let current = |row: &&Row| row.key == config::KEY && !row.removed;
        let Some(row) = rows.rows.iter().rfind(current) else {
            return;
        };
        let evacuations = self.view.evacuations().version;
        for piece in split_into_pieces(row.version, evacuations, &row.value) {
            self.peers.send_to_all(Message::Configuration(piece));
        }
    }

    /// Takes a piece of a configuration that the holder of the duty has passed on.
    pub(super) fn take_configuration(&self, piece: Piece) {
        let version = piece.version;
        if version <= self.freshness.applied(FollowedTable::Configuration) {
            return;
        }
        let evacuations = piece.evacuations;
        let assembly = &self.relay.configuration;
        let whole = assembly
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take(piece);
        let Some(value) = whole else {
            return;
        };
        let row = Row {
            key: config::KEY.to_owned(),
            value,
            version,
            removed: false,
        };
        self.apply(FollowedTable::Configuration, vec![row]);
        // An evacuation of an earlier version whose news is still on its way must not be skipped.
        if self.view.evacuations().version >= evacuations {
            self.freshness
                .note_applied(FollowedTable::Configuration, version);
        }
    }

    /// The configuration that this host knows, for others; `None` before there is one.
    pub(super) fn known_configuration(&self) -> Option<SnapshotConfiguration> {
        // Read before the rest, which may be later then.
        let up_to = self.freshness.applied(FollowedTable::Configuration);
        let evacuations = self.view.evacuations();
        let latest = self.relay.latest().clone()?;
        Some(SnapshotConfiguration {
            version: latest.version,
            up_to,
            evacuations,
            value: latest.value,
        })
    }

    /// Takes the configuration that another host knows.
    pub(super) fn take_known_configuration(&self, known: SnapshotConfiguration) {
        self.view.evacuate(known.evacuations);
        let applied = self.freshness.applied(FollowedTable::Configuration);
        if known.version > applied {
            let row = Row {
                key: config::KEY.to_owned(),
                value: known.value.to_vec(),
                version: known.version,
                removed: false,
            };
            self.apply(FollowedTable::Configuration, vec![row]);
        }
        self.freshness
            .note_applied(FollowedTable::Configuration, known.up_to);
    }

    /// Takes changes of servers' entries that the holder of the duty has passed on.
    pub(super) fn take_servers(&self, passed: ServerChanges) {
        if self.relay.can_take() {
            self.apply_server_changes(passed);
        }
    }

    /// Takes in changes of servers' entries, unless some before them are not known here.
    pub(super) fn apply_server_changes(&self, updates: ServerChanges) {
        let up_to = updates.up_to;
        let applied = self.freshness.applied(FollowedTable::Servers);
        let Some(changes) = updates.new_after(applied) else {
            return;
        };
        self.relay.note_changes(&ServerChanges {
            after: applied,
            up_to,
            changes: changes.clone(),
        });
        for change in &changes {
            self.freshness
                .note_change(FollowedTable::Servers, change.version);
        }
        if !changes.is_empty() {
            self.change_servers(changes);
        }
        self.freshness.note_applied(FollowedTable::Servers, up_to);
    }
}
