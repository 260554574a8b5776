//! Exchange of configurations between hosts. The leader broadcasts a configuration in datagrams. A
//! host that learns from a report that it lacks a configuration asks the relays of its zone for the
//! datagrams again, and at the same time fetches the configuration over a connection.

use std::net::SocketAddr;

use super::{
    Entry,
    peers::message::Message,
    updates::{
        configuration_pieces::{
            Piece, PieceEncoding, Pieces, SnapshotConfiguration, split_into_pieces,
        },
        followed::FollowedTable,
        row_source::RowSource,
    },
};
use crate::platform::{
    config,
    store::{Row, Rows},
};

impl Entry {
    /// Broadcasts a configuration that this host, the leader, received from the store.
    pub(super) fn broadcast_configuration(&self, rows: &Rows) {
        let current = |row: &&Row| row.key == config::KEY && !row.removed;
        let Some(row) = rows.rows.iter().rfind(current) else {
            return;
        };
        let evacuations = self.view.evacuations().version;
        let pieces = split_into_pieces(row.version, evacuations, &row.value);
        if pieces.pieces.is_empty() {
            let bytes = row.value.len();
            log::warn!(
                "a configuration of {bytes} bytes is too large to be broadcast to the hosts"
            );
        }
        for message in piece_messages(pieces) {
            self.peers.send_to_all(message);
        }
    }

    /// Receives a piece of a configuration that the leader broadcast, and applies the configuration
    /// once it is complete.
    pub(super) fn receive_configuration_piece(&self, encoding: PieceEncoding, piece: Piece) {
        let version = piece.version;
        if version
            <= self
                .freshness
                .versions
                .applied(FollowedTable::Configuration)
        {
            return;
        }
        let evacuations = piece.evacuations;
        let Some(value) = self.broadcast.take_configuration_piece(encoding, piece) else {
            return;
        };
        let row = Row {
            key: config::KEY.to_owned(),
            value,
            version,
            removed: false,
        };
        self.apply(
            FollowedTable::Configuration,
            vec![row],
            RowSource::Broadcast,
        );
        // The version is not marked as applied while this host lacks the latest evacuation that the
        // leader knew. Otherwise an evacuation of an earlier version would be skipped.
        if self.view.evacuations().version >= evacuations {
            self.freshness
                .versions
                .note_applied(FollowedTable::Configuration, version);
        }
    }

    /// Returns the configuration and the evacuated zones that this host knows, for the response to
    /// another host; `None` before this host knows a configuration.
    pub(super) fn known_configuration(&self) -> Option<SnapshotConfiguration> {
        // The version is read first: the other values may be newer than this version, but not
        // older.
        let up_to = self
            .freshness
            .versions
            .applied(FollowedTable::Configuration);
        let evacuations = self.view.evacuations();
        let latest = self.broadcast.latest_configuration()?;
        Some(SnapshotConfiguration {
            version: latest.version,
            up_to,
            evacuations,
            value: latest.value,
        })
    }

    /// Applies the configuration and the evacuated zones in another host's response. A
    /// configuration or a list of zones is ignored if this host already knows the same or a later
    /// version of it.
    pub(super) fn apply_known_configuration(&self, known: SnapshotConfiguration) {
        self.view.evacuate(known.evacuations);
        let applied = self
            .freshness
            .versions
            .applied(FollowedTable::Configuration);
        if known.version > applied {
            let row = Row {
                key: config::KEY.to_owned(),
                value: known.value.to_vec(),
                version: known.version,
                removed: false,
            };
            self.apply(FollowedTable::Configuration, vec![row], RowSource::Peer);
        }
        self.freshness
            .versions
            .note_applied(FollowedTable::Configuration, known.up_to);
    }

    /// Asks the relays of this host's zone for the latest configuration if a report says that this
    /// host lacks it. A relay asks the leader. Returns true if this host lacks a configuration.
    pub(super) fn request_missed_configuration(&self) -> bool {
        let applied = self
            .freshness
            .versions
            .applied(FollowedTable::Configuration);
        if !self
            .freshness
            .is_behind(FollowedTable::Configuration, applied)
        {
            return false;
        }
        let to = self.peers.sync_peers(self.as_relay_candidate());
        self.peers
            .send(&Message::QueryConfiguration { applied }, &to);
        true
    }

    /// Sends the latest configuration to a host that has applied the operators' table up to the
    /// version `applied`, if the configuration is later and fits into datagrams.
    pub(super) fn send_configuration(&self, to: SocketAddr, applied: u64) {
        // The version of the evacuations is read first: the configuration may be newer, but not
        // older.
        let evacuations = self.view.evacuations().version;
        let Some(latest) = self.broadcast.latest_configuration() else {
            return;
        };
        if latest.version <= applied {
            return;
        }
        for message in piece_messages(latest.pieces(evacuations)) {
            self.peers.send(&message, &[to]);
        }
    }
}

fn piece_messages(Pieces { encoding, pieces }: Pieces) -> impl Iterator<Item = Message> {
    let message = match encoding {
        PieceEncoding::Plain => Message::Configuration,
        PieceEncoding::Compressed => Message::CompressedConfiguration,
    };
    pieces.into_iter().map(message)
}
