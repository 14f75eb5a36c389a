//! Whether bytes of an answer waited so long to be read that their sender may have cut it off.
//!
//! An endpoint may give up an answer that is not read, and close the connection in order. The system still
//! delivers what it holds, and then the end. A sender has to wait only once the buffers of the connection are
//! full, so two things show together that it may have: nothing was known to be read to its end for a while,
//! and then more bytes waited than these buffers always hold.
//!
//! A process that waits for bytes and is awake reads them as they come. One that was stopped, or had no turn, did not
//! look meanwhile, and cannot tell when they came, nor when the end did.

use std::time::Duration;

use crate::time::Time;

/// Time for which a sender waits at least before it cuts off what is not read.
pub const MIN_PATIENCE: Duration = Duration::from_secs(1);

/// Bytes that the buffers of a connection always hold, so that their sender does not wait.
pub const ALWAYS_BUFFERED_BYTES: usize = 16 << 10;

/// When the process is known to have looked at its connections.
#[derive(Clone, Copy, Debug)]
pub struct Attention {
    looked_at: Time,
    /// End of the last time in which it did not look for [`MIN_PATIENCE`] or longer.
    absent_until: Option<Time>,
}

impl Attention {
    /// The attention of a process that starts now.
    #[must_use]
    pub const fn new(now: Time) -> Self {
        Self {
            looked_at: now,
            absent_until: None,
        }
    }

    /// Records that the process looks at its connections. To be called more often than [`MIN_PATIENCE`].
    pub fn record(&mut self, now: Time) {
        if now.since(self.looked_at) >= MIN_PATIENCE {
            self.absent_until = Some(now);
        }
        self.looked_at = now;
    }

    /// Whether the process has been looking from one time to the other, which is now.
    fn lasted(&self, from: Time, now: Time) -> bool {
        let is_awake = now.since(self.looked_at) < MIN_PATIENCE;
        is_awake && self.absent_until.is_none_or(|end| end <= from)
    }
}

/// What the reading of an answer says of its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was read as it came.
    Attended,
    /// The process did not look when it came. What lives now may not have lived then.
    Unattended,
    /// The answer stayed unread for so long that its sender may have cut it off.
    MayBeCut,
}

/// How one answer is read.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// When all that had arrived was last known to be read.
    caught_up_at: Time,
    /// Whether nothing has been read since then.
    is_waiting: bool,
    /// Whether the process did not look for a while before what was read last.
    is_unattended: bool,
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
            is_waiting: true,
            is_unattended: false,
            late_bytes: 0,
            may_be_cut: false,
        }
    }

    /// Records that nothing waits to be read.
    pub const fn record_caught_up(&mut self, now: Time) {
        self.caught_up_at = now;
        self.is_waiting = true;
        self.is_unattended = false;
        self.late_bytes = 0;
    }

    /// Records that bytes were read, or the end if there are none.
    pub fn record_read(&mut self, bytes: usize, attention: &Attention, now: Time) {
        self.is_unattended |= !attention.lasted(self.caught_up_at, now);
        if std::mem::replace(&mut self.is_waiting, false) && !self.is_unattended {
            // Nothing had come when the process looked last.
            self.caught_up_at = self.caught_up_at.max(attention.looked_at);
        }
        if now.since(self.caught_up_at) < MIN_PATIENCE {
            return;
        }
        self.late_bytes += bytes;
        self.may_be_cut |= self.late_bytes >= ALWAYS_BUFFERED_BYTES;
    }

    /// What the reading says of the end of the answer, once that is read.
    #[must_use]
    pub const fn end(&self) -> End {
        match (self.may_be_cut, self.is_unattended) {
            (true, _) => End::MayBeCut,
            (false, true) => End::Unattended,
            (false, false) => End::Attended,
        }
    }
}
