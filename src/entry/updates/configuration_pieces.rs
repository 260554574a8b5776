//! The operators' configuration on its way from one host to another, so that not each of them calls the store for it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::evacuation::Evacuations;

/// Bytes of one piece, which stays under the usual packet size.
const PIECE_BYTES: usize = 1_200;
/// Most pieces of a configuration that is passed on. A larger one would fill the links of small
/// hosts for longer than each of them takes to read it by itself.
const PIECES_MAX: usize = 12;

/// Piece of a configuration as it stands in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Version of the row.
    pub version: u64,
    /// Version of the latest evacuation that the sender knows.
    pub evacuations: u64,
    /// Place of this piece.
    pub index: u16,
    /// Number of pieces.
    pub count: u16,
    /// Content.
    pub bytes: Vec<u8>,
}

/// A configuration as one host knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotConfiguration {
    /// Version of the row.
    pub version: u64,
    /// Version up to which all changes of the operators' table are in.
    pub up_to: u64,
    /// Zones that are evacuated.
    pub evacuations: Evacuations,
    /// Content.
    pub value: Arc<[u8]>,
}

/// Pieces of a configuration; none if it is too large to be passed on.
pub fn cut(version: u64, evacuations: u64, content: &[u8]) -> Vec<Piece> {
    let pieces = content.chunks(PIECE_BYTES);
    let count = pieces.len();
    if count > PIECES_MAX {
        return Vec::new();
    }
    let piece = |(index, bytes): (usize, &[u8])| Piece {
        version,
        evacuations,
        index: index as u16,
        count: count as u16,
        bytes: bytes.to_vec(),
    };
    pieces.enumerate().map(piece).collect()
}

/// Pieces of the latest configuration that have arrived.
#[derive(Debug, Default)]
pub struct PieceAssembly {
    version: u64,
    pieces: Vec<Option<Vec<u8>>>,
}

impl PieceAssembly {
    /// Takes a piece; the whole content once all pieces of the latest version are there.
    pub fn take(&mut self, piece: Piece) -> Option<Vec<u8>> {
        let count = usize::from(piece.count);
        if piece.version < self.version || count > PIECES_MAX {
            return None;
        }
        if piece.version > self.version {
            self.version = piece.version;
            self.pieces = vec![None; count];
        }
        *self.pieces.get_mut(usize::from(piece.index))? = Some(piece.bytes);
        let whole: Option<Vec<&[u8]>> = self.pieces.iter().map(Option::as_deref).collect();
        whole.map(|pieces| pieces.concat())
    }
}
