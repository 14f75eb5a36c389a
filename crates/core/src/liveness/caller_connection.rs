//! When a host closes the connection of a caller.

use std::time::Duration;

use crate::{reason, time};

/// Time between two checks for idleness above which the process was paused. What callers sent
/// meanwhile has not been read yet.
const MAX_CHECK_GAP: Duration = Duration::from_secs(5);

/// Time for which a caller may be behind the least rate with reading an answer.
const MAX_ANSWER_BEHIND: Duration = Duration::from_secs(15);

/// Time beyond the deadline of a stream in which its caller may still read what is ready.
const STREAM_GRACE: Duration = Duration::from_secs(2);

/// Requests in a row that may be sent ahead of the answers before them.
const MAX_REQUESTS_AHEAD: u32 = 16;

/// What to do with a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStep {
    /// Leave it as it is.
    Keep,
    /// Accept no further request on it, and close it once the answer in progress has ended.
    ShutDown,
    /// Close it at once.
    Close,
}

/// State of one connection.
#[derive(Clone, Copy, Debug)]
pub struct CallerConnection {
    /// Requests that have arrived and whose answers have not ended. An answer ends when its body
    /// ends, not with its head: a stream may go on for longer than the idle timeout. The last bytes
    /// may still wait to be sent then; shutting the connection down does not cut them off.
    unfinished: u32,
    /// Whether a request has ever arrived.
    has_had_request: bool,
    /// When the connection was accepted, its last answer ended, or the process went on after a pause.
    last_active: time::Time,
    /// When the connection was accepted or last checked for idleness.
    last_checked: time::Time,
    /// Whether bytes have arrived since the last answer ended.
    has_arrived: bool,
    /// Requests in a row that were here before the answer before them had ended.
    ahead: u32,
    /// When the first byte of a head arrived that is not complete yet.
    head_since: Option<time::Time>,
    /// Whether the bytes that have arrived end within a head.
    is_within_head: bool,
    /// Whether bytes wait since the caller does not read.
    is_blocked: bool,
    /// Deadline of the stream in progress.
    stream_deadline: Option<time::Time>,
    is_shutting_down: bool,
}

impl CallerConnection {
    /// Creates the state of a connection that was accepted at `now`.
    #[must_use]
    pub const fn new(now: time::Time) -> Self {
        Self {
            unfinished: 0,
            has_had_request: false,
            last_active: now,
            last_checked: now,
            has_arrived: false,
            ahead: 0,
            head_since: None,
            is_within_head: false,
            is_blocked: false,
            stream_deadline: None,
            is_shutting_down: false,
        }
    }

    /// Records that a request has arrived.
    pub const fn request_arrived(&mut self) {
        let is_ahead = self.has_had_request && !self.has_arrived;
        self.ahead = if is_ahead { self.ahead + 1 } else { 0 };
        self.unfinished += 1;
        self.has_had_request = true;
        self.head_since = None;
    }

    /// Records that bytes have arrived. Returns whether they begin a head.
    pub const fn bytes_arrived(&mut self, now: time::Time) -> bool {
        self.has_arrived |= self.unfinished == 0;
        let begins = self.unfinished == 0 && self.head_since.is_none();
        if begins {
            self.head_since = Some(now);
        }
        begins
    }

    /// Records whether the bytes that have arrived end within a head. The time of one that came behind a
    /// request begins with the end of that request's answer.
    pub const fn set_within_head(&mut self, is_within_head: bool) {
        self.is_within_head = is_within_head;
    }

    /// Whether the caller has sent too many requests without waiting for answers.
    #[must_use]
    pub const fn is_too_far_ahead(&self) -> bool {
        self.ahead > MAX_REQUESTS_AHEAD
    }

    /// Whether bytes of a head have arrived, but not all of it.
    #[must_use]
    pub const fn is_reading_head(&self) -> bool {
        self.head_since.is_some()
    }

    /// Whether the answer in progress is a stream.
    #[must_use]
    pub const fn is_streaming(&self) -> bool {
        self.stream_deadline.is_some()
    }

    /// Records that the answer is a stream with a deadline.
    pub const fn stream_began(&mut self, deadline: time::Time) {
        self.stream_deadline = Some(deadline);
    }

    /// Records whether bytes wait for the caller to read. Returns whether this has changed.
    pub const fn set_blocked(&mut self, is_blocked: bool) -> bool {
        let changed = self.is_blocked != is_blocked;
        self.is_blocked = is_blocked;
        changed
    }

    /// Whether bytes wait for the caller to read.
    #[must_use]
    pub const fn is_blocked(&self) -> bool {
        self.is_blocked
    }

    /// Whether the process was paused since the last check.
    #[must_use]
    pub fn was_paused(&self, now: time::Time) -> bool {
        now.since(self.last_checked) > MAX_CHECK_GAP
    }

    /// Checks whether the caller makes progress. `behind` is the time for which it is behind the least
    /// rate. To be called before [`CallerConnection::check_idle`]; time in which the process was paused
    /// does not count.
    pub fn check_progress(
        &mut self,
        now: time::Time,
        head_timeout: Duration,
        behind: Duration,
    ) -> Option<reason::Close> {
        if self.was_paused(now) {
            self.head_since = self.head_since.map(|_| now);
            return None;
        }
        if self
            .head_since
            .is_some_and(|since| now.since(since) > head_timeout)
        {
            return Some(reason::Close::HeadTimeout);
        }
        if !self.is_blocked {
            return None;
        }
        let is_unread = match self.unfinished {
            0 => behind > MAX_ANSWER_BEHIND,
            _ => self
                .stream_deadline
                .is_some_and(|end| now > end + STREAM_GRACE),
        };
        is_unread.then_some(reason::Close::AnswerUnread)
    }

    /// Records that the answer to a request has ended.
    pub const fn answer_ended(&mut self, now: time::Time) {
        self.unfinished = self.unfinished.saturating_sub(1);
        self.stream_deadline = None;
        self.has_arrived = false;
        self.last_active = now;
        if self.unfinished == 0 && self.is_within_head {
            self.head_since = Some(now);
        }
    }

    /// Number of requests whose answers have not ended.
    #[must_use]
    pub const fn unfinished(&self) -> u32 {
        self.unfinished
    }

    /// Begins to shut the connection down because the host stops.
    pub const fn stop(&mut self) -> ConnectionStep {
        match std::mem::replace(&mut self.is_shutting_down, true) {
            true => ConnectionStep::Keep,
            false => ConnectionStep::ShutDown,
        }
    }

    /// Checks whether the connection is idle. An idle connection is shut down, which closes it if
    /// it has ever had a request; one that never had any is closed at the next check. The time in which
    /// the process was paused does not count.
    pub fn check_idle(&mut self, now: time::Time, idle_timeout: Duration) -> ConnectionStep {
        let last_checked = std::mem::replace(&mut self.last_checked, now);
        if now.since(last_checked) > MAX_CHECK_GAP {
            self.last_active = now;
        }
        if self.unfinished > 0 || now.since(self.last_active) <= idle_timeout {
            return ConnectionStep::Keep;
        }
        match self.stop() {
            ConnectionStep::Keep if !self.has_had_request => ConnectionStep::Close,
            step => step,
        }
    }
}
