//! Whether a host asks a scheduler, and for how long it waits for the answer.

use std::time::Duration;

use crate::time;

/// Shortest and longest time that a host waits for the first answer.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(15);
const MAX_ANSWER_TIME: Duration = Duration::from_millis(40);

/// Time on top of two round trips.
const ANSWER_SLACK: Duration = Duration::from_millis(8);

/// Time for which a scheduler is not asked after it did not answer.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// The same after many times.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// What a host knows of one scheduler.
#[derive(Clone, Copy, Debug, Default)]
pub struct Asker {
    /// Usual round trip, if there was one.
    round_trip: Option<Duration>,
    /// Consecutive questions without an answer.
    unanswered: u32,
    /// Until when it is not asked.
    resting_until: time::Time,
}

impl Asker {
    /// Whether to ask.
    #[must_use]
    pub fn may_ask(&self, now: time::Time) -> bool {
        now >= self.resting_until
    }

    /// Time to wait for the first answer: two round trips and a little.
    #[must_use]
    pub fn answer_time(&self) -> Duration {
        let time = self
            .round_trip
            .map_or(MAX_ANSWER_TIME, |round_trip| round_trip * 2 + ANSWER_SLACK);
        time.clamp(MIN_ANSWER_TIME, MAX_ANSWER_TIME)
    }

    /// Records the time that an answer took.
    pub fn record_answer(&mut self, round_trip: Duration) {
        let mean = self
            .round_trip
            .map_or(round_trip, |mean| (mean * 7 + round_trip) / 8);
        self.round_trip = Some(mean);
        self.unanswered = 0;
        self.resting_until = time::Time::ZERO;
    }

    /// Records that a question was not answered by now. Others that end in the pause that follows are not
    /// counted. Returns whether a pause begins.
    pub fn record_silence(&mut self, now: time::Time) -> bool {
        if now < self.resting_until {
            return false;
        }
        let doubled = MIN_BACKOFF * 2_u32.saturating_pow(self.unanswered.min(8));
        self.unanswered += 1;
        self.resting_until = now + doubled.min(MAX_BACKOFF);
        true
    }
}
