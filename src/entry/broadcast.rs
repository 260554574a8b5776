//! Broadcasts changes of server entries from the leader to the other hosts.
//! Calls to the store are billed, so the other hosts apply the broadcast changes and do not read
//! them from the store themselves. The leader's heartbeat also states the version up to which the
//! leader has read each table, so that a host that missed a change notices and queries another host
//! or the store.

use std::sync::{
    Arc, Mutex, MutexGuard, OnceLock, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use super::{
    Entry,
    peers::message::Message,
    rows::decode_servers,
    updates::{
        changes_pieces::{self, ChangesAssembly, ChangesPiece},
        configuration_pieces::{
            Piece, PieceAssembly, PieceEncoding, Pieces, decode_content, split_into_pieces,
        },
        followed::FollowedTable,
        server_changes::{RecentChanges, Selection, ServerChanges},
    },
};
use crate::platform::store::{Row, Rows};

/// State of a host for receiving broadcast changes, and the latest configuration and changes of
/// server entries, kept for hosts that have missed them.
#[derive(Debug, Default)]
pub struct Broadcast {
    /// False until the table of server entries has been read as a whole, and while it is being read
    /// again. Broadcast changes are ignored meanwhile, since the rows that are being read may be
    /// older and would undo the broadcast changes.
    servers_read: AtomicBool,
    /// Pieces received so far of the latest configuration that other hosts have sent.
    configuration: Mutex<PieceAssembly>,
    /// Pieces received so far of the latest configuration that other hosts have sent compressed.
    compressed_configuration: Mutex<PieceAssembly>,
    /// Latest configuration as stored, kept for hosts that have missed the configuration.
    latest: Mutex<Option<LatestConfiguration>>,
    /// Pieces received so far of the latest changes of server entries that the leader broadcast.
    changes: Mutex<ChangesAssembly>,
    /// Latest changes of server entries, kept for hosts that have missed some of the changes.
    recent: Mutex<RecentChanges>,
}

/// Configuration as stored, with the version of its row.
#[derive(Clone, Debug)]
pub(super) struct LatestConfiguration {
    /// Version of the row in the store.
    pub version: u64,
    /// Content of the row.
    pub value: Arc<[u8]>,
    /// Pieces of the content, made once when the first host asks for them.
    pieces: Arc<OnceLock<Pieces>>,
}

impl LatestConfiguration {
    /// Returns the pieces of the configuration, for a host that has lost some of them.
    pub(super) fn pieces(&self, evacuations: u64) -> Pieces {
        let split = || split_into_pieces(self.version, evacuations, &self.value);
        let pieces = self.pieces.get_or_init(split).clone();
        pieces.with_evacuations(evacuations)
    }
}

impl Broadcast {
    /// Records the row of the latest configuration, for hosts that have missed the configuration.
    pub fn note_configuration(&self, row: &Row) {
        *self.latest() = Some(LatestConfiguration {
            version: row.version,
            value: row.value.as_slice().into(),
            pieces: Arc::default(),
        });
    }

    /// Returns the latest configuration as stored, without the evacuated zones; `None` before this
    /// host has applied one.
    pub(super) fn latest_configuration(&self) -> Option<LatestConfiguration> {
        self.latest().clone()
    }

    /// Adds a piece of a configuration. Returns the whole configuration once all of its pieces have
    /// arrived.
    pub(super) fn take_configuration_piece(
        &self,
        encoding: PieceEncoding,
        piece: Piece,
    ) -> Option<Vec<u8>> {
        let assembly = match encoding {
            PieceEncoding::Plain => &self.configuration,
            PieceEncoding::Compressed => &self.compressed_configuration,
        };
        let mut assembly = assembly.lock().unwrap_or_else(PoisonError::into_inner);
        let whole = assembly.take(piece)?;
        decode_content(encoding, whole)
            .inspect_err(|error| log::warn!("a configuration cannot be decompressed: {error}"))
            .ok()
    }

    /// Adds a piece of the changes of server entries in a range of versions. Returns all changes of
    /// the range once all of its pieces have arrived.
    fn take_changes_piece(&self, piece: ChangesPiece) -> Option<ServerChanges> {
        let mut assembly = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        assembly.take(piece)
    }

    fn latest(&self) -> MutexGuard<'_, Option<LatestConfiguration>> {
        self.latest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts to ignore broadcast changes of a table that is about to be read as a whole. This
    /// affects only the table of server entries.
    pub fn begin_reading(&self, followed: FollowedTable) {
        if followed == FollowedTable::Servers {
            self.servers_read.store(false, Ordering::Relaxed);
        }
    }

    /// Accepts broadcast changes of a table again after the table was read as a whole.
    pub fn end_reading(&self, followed: FollowedTable) {
        if followed == FollowedTable::Servers {
            self.servers_read.store(true, Ordering::Relaxed);
        }
    }

    /// Records changes of server entries that this host has applied, for hosts that have missed
    /// them.
    pub fn note_changes(&self, changes: &ServerChanges) {
        self.recent().note(changes);
    }

    /// Returns true if this host knows all changes of server entries since a version.
    pub fn reaches_back_to(&self, version: u64) -> bool {
        self.recent().reaches_back_to(version)
    }

    /// Returns all changes of server entries after a version; `None` if this host does not know all
    /// of them, or knows no later version.
    pub fn changes_after(&self, after: u64) -> Option<ServerChanges> {
        self.recent().after(after)
    }

    fn recent(&self) -> MutexGuard<'_, RecentChanges> {
        self.recent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn accepts_changes(&self) -> bool {
        self.servers_read.load(Ordering::Relaxed)
    }
}

impl Entry {
    /// Broadcasts changes of server entries that this host, the leader, received from the store.
    /// Too many changes are not broadcast, and each of the other hosts fetches them itself.
    pub(super) fn broadcast_server_changes(&self, updates: &ServerChanges) {
        for piece in changes_pieces::split_into_pieces(updates) {
            self.peers.send_to_all(Message::Servers(piece));
        }
    }

    /// Broadcasts the differences between the table as this host, the leader, knew it and `rows`,
    /// the whole table as read from the store. The leader has read the whole table because the
    /// store no longer had the changes that the leader had missed. Without the broadcast, each of
    /// the other hosts, for example 295, would read the whole table as well.
    pub(super) fn broadcast_difference(&self, followed: FollowedTable, rows: &Rows) {
        let after = self.freshness.versions.applied(followed);
        if after == 0 {
            return;
        }
        match followed {
            FollowedTable::Servers => {
                let difference = self.view.registry().difference(rows, after);
                self.broadcast_server_changes(&ServerChanges {
                    selection: Selection::Difference,
                    after,
                    up_to: difference.version,
                    changes: decode_servers(&difference.rows),
                });
            }
            FollowedTable::Configuration => self.broadcast_configuration(rows),
            FollowedTable::Own => {}
        }
    }

    /// Applies the changes of server entries that the leader broadcast once all of their pieces have
    /// arrived.
    pub(super) fn receive_changes_piece(&self, piece: ChangesPiece) {
        if let Some(changes) = self.broadcast.take_changes_piece(piece) {
            self.receive_server_changes(changes);
        }
    }

    /// Applies changes of server entries that another host sent, unless the whole table is being
    /// read.
    pub(super) fn receive_server_changes(&self, changes: ServerChanges) {
        if self.broadcast.accepts_changes() {
            self.apply_server_changes(changes);
        }
    }

    /// Applies changes of server entries. Ignores all of them if they do not lead on from the version
    /// that this host has applied.
    pub(super) fn apply_server_changes(&self, updates: ServerChanges) {
        let ServerChanges {
            selection, up_to, ..
        } = updates;
        let applied = self.freshness.versions.applied(FollowedTable::Servers);
        let Some(changes) = updates.new_after(applied) else {
            return;
        };
        let new = ServerChanges {
            selection,
            after: applied,
            up_to,
            changes,
        };
        self.broadcast.note_changes(&new);
        self.freshness.versions.note_server_changes(&new);
        if !new.changes.is_empty() {
            self.change_servers(new.changes);
        }
    }
}
