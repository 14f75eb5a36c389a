//! What is known of another host: whether it answers, and the numbers that passed.
//!
//! A host that receives a delegation counts its span from when it sent the number that the delegation
//! repeats. The other host got that number before it delegated, so its own count ends later, whatever the
//! delay, and without comparing clocks.

use std::time::Duration;

use smallvec::SmallVec;

use crate::permits::{Number, RENEWAL, SPAN};
use crate::time;

/// Numbers of which the time is remembered: those that may be under way at once.
const MAX_NUMBERS: usize = 8;

/// Datagrams without an answer after which a host is not asked any more.
const MAX_UNANSWERED: u32 = 2;

/// Time after which a delegation counts as unanswered.
const DELEGATION_TIMEOUT: Duration = Duration::from_millis(400);

/// Shortest and longest time between two probes of a host that does not answer.
const PROBES: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(32));

/// Another host.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// Whether it has answered and has not left several datagrams unanswered since.
    is_answering: bool,
    /// Datagrams without an answer since its last one.
    unanswered: u32,
    /// When the oldest delegation without an answer was sent.
    waiting_since: Option<time::Time>,
    /// When it may be probed again.
    probe_at: time::Time,
    /// Time between the next two probes.
    probe_interval: Duration,
    /// Last number that it sent, and when it arrived.
    heard: Option<(Number, time::Time)>,
    /// Last numbers sent to it, and when.
    sent: SmallVec<[(Number, time::Time); MAX_NUMBERS]>,
}

impl Default for Peer {
    fn default() -> Self {
        Self {
            is_answering: false,
            unanswered: 0,
            waiting_since: None,
            probe_at: time::Time::ZERO,
            probe_interval: PROBES.0,
            heard: None,
            sent: SmallVec::new(),
        }
    }
}

impl Peer {
    pub(super) const fn is_answering(&self) -> bool {
        self.is_answering
    }

    /// Whether its last number is so new that a delegation that repeats it holds for a while.
    pub(super) fn is_heard(&self, now: time::Time) -> bool {
        let is_new = |(_, at): (Number, time::Time)| now.since(at) + RENEWAL < SPAN;
        self.heard.is_some_and(is_new)
    }

    /// Its last number.
    pub(super) fn number(&self) -> Option<Number> {
        self.heard.map(|(number, _)| number)
    }

    pub(super) fn may_probe(&self, now: time::Time) -> bool {
        self.probe_at <= now
    }

    /// Records that a [`super::Delegate`] is sent to it.
    pub(super) fn record_sent(&mut self, now: time::Time) {
        self.waiting_since.get_or_insert(now);
        self.probe_at = now + self.probe_interval;
        if !self.is_answering {
            self.probe_interval = (self.probe_interval * 2).min(PROBES.1);
        }
    }

    /// Records a datagram of it.
    pub(super) fn record_datagram(&mut self) {
        self.is_answering = true;
        self.unanswered = 0;
        self.probe_interval = PROBES.0;
    }

    /// Records a number of it.
    pub(super) fn record_number(&mut self, number: Number, now: time::Time) {
        self.heard = Some((number, now));
        self.waiting_since = None;
    }

    /// Records that a question has not been answered.
    pub(super) fn record_unanswered(&mut self, now: time::Time) {
        self.unanswered += 1;
        if self.unanswered >= MAX_UNANSWERED && self.is_answering {
            self.is_answering = false;
            self.heard = None;
            self.probe_at = now + self.probe_interval;
        }
    }

    /// Counts a delegation without an answer.
    pub(super) fn expire(&mut self, now: time::Time) {
        let is_late = |since| now.since(since) > DELEGATION_TIMEOUT;
        if self.waiting_since.is_some_and(is_late) {
            self.waiting_since = None;
            self.record_unanswered(now);
        }
    }

    /// Records that a number is sent to it.
    pub(super) fn record_number_sent(&mut self, number: Number, now: time::Time) {
        if self.sent.len() == MAX_NUMBERS {
            self.sent.remove(0);
        }
        self.sent.push((number, now));
    }

    /// When a number was sent to it, if that was lately.
    pub(super) fn sent_at(&self, number: Number) -> Option<time::Time> {
        let entry = self.sent.iter().find(|(sent, _)| *sent == number);
        entry.map(|(_, at)| *at)
    }
}
