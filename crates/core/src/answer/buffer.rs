//! Buffer for received chunks that cannot be delivered yet.

use bytes::Bytes;
use smallvec::SmallVec;

/// Size above which the buffered part of an answer is delivered before the answer is complete, in
/// bytes.
pub const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Received chunks that were not delivered yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Buffer {
    chunks: SmallVec<[Bytes; 4]>,
    /// Total size of `chunks`. Invariant: at most [`MAX_BUFFERED_BYTES`] plus one chunk.
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

    /// Whether the buffer has to be delivered without waiting for the rest.
    pub(super) fn is_full(&self) -> bool {
        self.len > MAX_BUFFERED_BYTES
    }
}
