//! Pieces that wait for a point at which the answer can be cut and go on.

use bytes::Bytes;
use smallvec::SmallVec;

/// Most bytes of one answer that are held back, in bytes.
pub const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Received pieces that were not delivered yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Buffer {
    chunks: SmallVec<[Bytes; 4]>,
    /// Bytes of `chunks`. Invariant: at most [`MAX_BUFFERED_BYTES`] and one piece.
    len: usize,
}

impl Buffer {
    pub(super) fn push(&mut self, chunk: Bytes) {
        self.len += chunk.len();
        self.chunks.push(chunk);
    }

    pub(super) fn take(&mut self) -> SmallVec<[Bytes; 4]> {
        self.len = 0;
        std::mem::take(&mut self.chunks)
    }

    /// Whether no more may be held back.
    pub(super) fn is_full(&self) -> bool {
        self.len > MAX_BUFFERED_BYTES
    }
}
