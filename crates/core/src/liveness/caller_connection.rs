//! When a host closes the connection of a caller.

use std::time::Duration;

use crate::time;

/// Time between two checks for idleness above which the process was paused. What callers sent
/// meanwhile has not been read yet.
const MAX_CHECK_GAP: Duration = Duration::from_secs(5);

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
            is_shutting_down: false,
        }
    }

    /// Records that a request has arrived.
    pub const fn request_arrived(&mut self) {
        self.unfinished += 1;
        self.has_had_request = true;
    }

    /// Records that the answer to a request has ended.
    pub const fn answer_ended(&mut self, now: time::Time) {
        self.unfinished = self.unfinished.saturating_sub(1);
        self.last_active = now;
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
