//! Pieces that wait for a point at which the answer can be cut and go on.

use bytes::Bytes;
use smallvec::SmallVec;

/// Most bytes of one answer that are held back, in bytes.
pub const MAX_HELD: usize = 256 * 1024;

/// Received pieces that were not delivered yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Held {
    pieces: SmallVec<[Bytes; 4]>,
    /// Bytes of `pieces`. Invariant: at most [`MAX_HELD`] and one piece.
    len: usize,
}

impl Held {
    pub(super) fn push(&mut self, piece: Bytes) {
        self.len += piece.len();
        self.pieces.push(piece);
    }

    pub(super) fn take(&mut self) -> SmallVec<[Bytes; 4]> {
        self.len = 0;
        std::mem::take(&mut self.pieces)
    }

    /// Whether no more may be held back.
    pub(super) fn is_full(&self) -> bool {
        self.len > MAX_HELD
    }
}
