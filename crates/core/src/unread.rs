//! Whether bytes of an answer waited so long to be read that their sender may have cut it off.
//!
//! An endpoint may give up an answer that is not read, and close the connection in order. The system still
//! delivers what it holds, and then the end. A sender has to wait only once the buffers of the connection are
//! full, so two things show together that it may have: nothing was known to be read to its end for a while,
//! and then more bytes waited than these buffers always hold.

use std::time::Duration;

use crate::time::Time;

/// Time for which a sender waits at least before it cuts off what is not read.
pub const MIN_PATIENCE: Duration = Duration::from_secs(1);

/// Bytes that the buffers of a connection always hold, so that their sender does not wait.
pub const ALWAYS_BUFFERED_BYTES: usize = 16 << 10;

/// How one answer is read.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// When all that had arrived was last known to be read.
    caught_up_at: Time,
    /// Bytes that were read since then, and late.
    late_bytes: usize,
    may_be_cut: bool,
}

impl Reading {
    /// The reading of an answer whose request is sent now.
    #[must_use]
    pub const fn begin(now: Time) -> Self {
        Self {
            caught_up_at: now,
            late_bytes: 0,
            may_be_cut: false,
        }
    }

    /// Records that nothing waits to be read.
    pub const fn record_caught_up(&mut self, now: Time) {
        self.caught_up_at = now;
        self.late_bytes = 0;
    }

    /// Records that bytes were read.
    pub fn record_read(&mut self, bytes: usize, now: Time) {
        if now.since(self.caught_up_at) < MIN_PATIENCE {
            return;
        }
        self.late_bytes += bytes;
        self.may_be_cut |= self.late_bytes >= ALWAYS_BUFFERED_BYTES;
    }

    /// Whether the answer stayed unread for so long that its sender may have cut it off.
    #[must_use]
    pub const fn may_be_cut(&self) -> bool {
        self.may_be_cut
    }
}
