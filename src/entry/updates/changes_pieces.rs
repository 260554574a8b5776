//! Splits the changes of servers' entries in a range of versions into pieces that each fit a
//! datagram, and reassembles them. A host applies all changes of a range together: several changes
//! may have the same version, so that no version describes a state between two pieces.

use serde::{Deserialize, Serialize};

use super::{
    assembly::{Assembly, PiecePosition},
    server_changes::{Selection, ServerChange, ServerChanges},
};

/// Maximum number of changes in one piece; a change takes about 60 bytes.
const CHANGES_MAX: usize = 24;
/// Maximum number of changes that are sent in pieces, about 30 KB. More changes would fill the links
/// of small hosts.
pub const PIECES_CHANGES_MAX: usize = 600;
/// Maximum number of pieces of a range.
const PIECES_MAX: usize = PIECES_CHANGES_MAX.div_ceil(CHANGES_MAX);

/// One piece of the changes in a range of versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChangesPiece {
    /// Selection of the changes of the whole range.
    pub selection: Selection,
    /// Version after which the whole range begins, exclusive.
    pub after: u64,
    /// Last version of the whole range, inclusive.
    pub up_to: u64,
    /// Index of this piece among the pieces of the range, counted from 0.
    pub index: u16,
    /// Number of pieces of the range.
    pub count: u16,
    /// Changes of this piece, in the order of their versions.
    pub changes: Vec<ServerChange>,
}

/// Splits the changes of a range into pieces; returns no pieces if there are no changes or more than
/// [`PIECES_CHANGES_MAX`].
pub fn split_into_pieces(range: &ServerChanges) -> Vec<ChangesPiece> {
    if range.changes.len() > PIECES_CHANGES_MAX {
        return Vec::new();
    }
    let chunks = range.changes.chunks(CHANGES_MAX);
    let count = chunks.len() as u16;
    let piece = |(index, changes): (usize, &[ServerChange])| ChangesPiece {
        selection: range.selection,
        after: range.after,
        up_to: range.up_to,
        index: index as u16,
        count,
        changes: changes.to_vec(),
    };
    chunks.enumerate().map(piece).collect()
}

/// Selection, first and last version of a range, which identify it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RangeKey {
    selection: Selection,
    after: u64,
    up_to: u64,
}

/// Pieces received so far of the latest range of versions.
#[derive(Debug, Default)]
pub struct ChangesAssembly {
    /// Last version of the latest range.
    up_to: u64,
    pieces: Assembly<RangeKey, Vec<ServerChange>>,
}

impl ChangesAssembly {
    /// Adds a piece. Returns the changes of the whole range once all of its pieces have arrived.
    /// Pieces of earlier ranges are ignored: the second relay of a zone may forward them late.
    pub fn take(&mut self, piece: ChangesPiece) -> Option<ServerChanges> {
        if piece.up_to < self.up_to || usize::from(piece.count) > PIECES_MAX {
            return None;
        }
        self.up_to = piece.up_to;
        let key = RangeKey {
            selection: piece.selection,
            after: piece.after,
            up_to: piece.up_to,
        };
        let position = PiecePosition {
            index: piece.index,
            count: piece.count,
        };
        let changes = self.pieces.add(key, position, piece.changes)?;
        Some(ServerChanges {
            selection: piece.selection,
            after: piece.after,
            up_to: piece.up_to,
            changes: changes.concat(),
        })
    }
}
