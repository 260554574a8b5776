//! Splits the operators' configuration into pieces that each fit a datagram, and reassembles the
//! pieces, so that not every host has to read the configuration from the store. A configuration that
//! needs too many pieces is compressed.

use std::{
    io::{self, Read, Write},
    sync::Arc,
};

use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use serde::{Deserialize, Serialize};

use super::{
    assembly::{Assembly, PiecePosition},
    evacuation::Evacuations,
};

/// Maximum number of content bytes in one piece, chosen to keep the datagram below the usual packet
/// size.
const PIECE_BYTES: usize = 1_200;
/// Maximum number of pieces of a configuration that is broadcast. A larger configuration would
/// occupy the links of small hosts for longer than each of these hosts takes to read the
/// configuration from the store.
const PIECES_MAX: usize = 12;
/// Maximum size of a configuration after decompression: more than the maximum number of pieces can
/// hold, so that only damaged content exceeds it.
const CONFIGURATION_BYTES_MAX: u64 = 16 * 1024 * 1024;

/// Encoding of the content that pieces are made of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceEncoding {
    /// Content as stored.
    Plain,
    /// Content compressed with DEFLATE.
    Compressed,
}

/// Pieces of one configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pieces {
    /// Encoding of the content.
    pub encoding: PieceEncoding,
    /// All pieces, in order; empty if the configuration is too large to be sent in datagrams.
    pub pieces: Vec<Piece>,
}

/// One piece of a configuration row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Version of the configuration row in the store.
    pub version: u64,
    /// Version of the latest evacuation known to the sender. The receiver marks the configuration's
    /// version as applied only if the receiver knows that evacuation too.
    pub evacuations: u64,
    /// Index of this piece among the pieces of the configuration, counted from 0.
    pub index: u16,
    /// Number of pieces that the configuration was split into.
    pub count: u16,
    /// Content bytes of this piece, at most `PIECE_BYTES`.
    pub bytes: Vec<u8>,
}

/// Configuration and evacuated zones as one host knows them, in the response to the query of
/// another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotConfiguration {
    /// Version of the configuration row in the store.
    pub version: u64,
    /// Version up to which all changes of the operators' table are included.
    pub up_to: u64,
    /// Evacuated zones that the responding host knows, with the version of the operators' table to
    /// which the list of zones belongs.
    pub evacuations: Evacuations,
    /// Content of the configuration row, byte for byte as stored.
    pub value: Arc<[u8]>,
}

impl Pieces {
    /// Returns the pieces with the version of the latest evacuation that their sender knows.
    pub fn with_evacuations(mut self, evacuations: u64) -> Self {
        for piece in &mut self.pieces {
            piece.evacuations = evacuations;
        }
        self
    }
}

/// Splits a configuration into pieces, compressed if there are too many without compression.
pub fn split_into_pieces(version: u64, evacuations: u64, content: &[u8]) -> Pieces {
    let plain = pieces_of(version, evacuations, content);
    if !plain.is_empty() {
        return Pieces {
            encoding: PieceEncoding::Plain,
            pieces: plain,
        };
    }
    let pieces = match compress(content) {
        Ok(compressed) => pieces_of(version, evacuations, &compressed),
        Err(error) => {
            log::warn!("a configuration cannot be compressed: {error}");
            Vec::new()
        }
    };
    Pieces {
        encoding: PieceEncoding::Compressed,
        pieces,
    }
}

fn compress(content: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(content)?;
    encoder.finish()
}

/// Returns the content of a configuration from the content of all of its pieces. Fails if the
/// pieces are not the compressed form of a configuration, or of one that is too large.
pub fn decode_content(encoding: PieceEncoding, content: Vec<u8>) -> io::Result<Vec<u8>> {
    if encoding == PieceEncoding::Plain {
        return Ok(content);
    }
    let mut decoder = DeflateDecoder::new(&*content).take(CONFIGURATION_BYTES_MAX + 1);
    let mut decoded = Vec::new();
    decoder.read_to_end(&mut decoded)?;
    if decoded.len() as u64 > CONFIGURATION_BYTES_MAX {
        let message = format!("more than {CONFIGURATION_BYTES_MAX} bytes after decompression");
        return Err(io::Error::new(io::ErrorKind::InvalidData, message));
    }
    Ok(decoded)
}

/// Returns the pieces of a content; none if there are too many.
fn pieces_of(version: u64, evacuations: u64, content: &[u8]) -> Vec<Piece> {
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

/// Pieces received so far of the latest configuration version.
#[derive(Debug, Default)]
pub struct PieceAssembly {
    version: u64,
    pieces: Assembly<u64, Vec<u8>>,
}

impl PieceAssembly {
    /// Adds a piece. Returns the whole content once all pieces of the latest version have arrived;
    /// pieces of earlier versions are ignored.
    pub fn take(&mut self, piece: Piece) -> Option<Vec<u8>> {
        if piece.version < self.version || usize::from(piece.count) > PIECES_MAX {
            return None;
        }
        self.version = piece.version;
        let position = PiecePosition {
            index: piece.index,
            count: piece.count,
        };
        let pieces = self.pieces.add(piece.version, position, piece.bytes)?;
        Some(pieces.concat())
    }
}
