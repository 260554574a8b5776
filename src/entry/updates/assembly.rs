//! Reassembles content that was split into pieces which each fit a datagram.

/// Place of a piece among the pieces of one content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PiecePosition {
    /// Index of the piece, counted from 0.
    pub index: u16,
    /// Number of pieces that the content was split into.
    pub count: u16,
}

/// Pieces received so far of one content, which a key identifies.
#[derive(Debug)]
pub struct Assembly<K, T> {
    key: Option<K>,
    pieces: Vec<Option<T>>,
}

impl<K, T> Default for Assembly<K, T> {
    fn default() -> Self {
        Self {
            key: None,
            pieces: Vec::new(),
        }
    }
}

impl<K: PartialEq, T: Clone> Assembly<K, T> {
    /// Adds a piece of the content with a key, and discards the pieces of other contents. Returns all
    /// pieces in their order if none is missing, also if this one had arrived before. A piece whose
    /// index is not less than the number of pieces is ignored.
    pub fn add(&mut self, key: K, position: PiecePosition, piece: T) -> Option<Vec<T>> {
        let count = usize::from(position.count);
        if self.key.as_ref() != Some(&key) || self.pieces.len() != count {
            self.key = Some(key);
            self.pieces = (0..count).map(|_| None).collect();
        }
        *self.pieces.get_mut(usize::from(position.index))? = Some(piece);
        if self.pieces.iter().any(Option::is_none) {
            return None;
        }
        self.pieces.iter().cloned().collect()
    }
}
