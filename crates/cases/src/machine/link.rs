//! The liveness of a link between two hosts.

use pistachiochute_core::{liveness, time};

/// Settings of the machine.
pub type Config = liveness::LinkConfig;

/// Event of the machine.
#[derive(Clone, Copy, Debug, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A stream is opened.
    Opened,
    /// A stream is closed.
    Closed,
    /// Something arrives.
    Heard,
    /// The link is asked what it needs.
    Check,
    /// The link is asked whether it may carry a request that runs at most once.
    Trusted,
}

/// Outcome of an event.
#[derive(Clone, Copy, Debug, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Nothing is needed while the link is idle.
    Idle,
    /// Nothing is needed before this time, in milliseconds.
    WaitUntilMs(u64),
    /// A ping is sent, and has to be answered before this time, in milliseconds.
    PingUntilMs(u64),
    /// The link is given up.
    Silent,
    /// Whether the link is trusted.
    Trusted(bool),
}

/// The machine.
#[derive(Debug)]
pub struct Machine(liveness::Link);

impl Machine {
    pub(super) fn new(cfg: &Config) -> Self {
        Self(liveness::Link::new(*cfg, time::Time::ZERO))
    }

    pub(super) fn apply(&mut self, now: time::Time, event: Event) -> Option<Outcome> {
        match event {
            Event::Opened => self.0.stream_opened(now),
            Event::Closed => self.0.stream_closed(),
            Event::Heard => self.0.record_received(now),
            Event::Check => return Some(check(self.0.check(now))),
            Event::Trusted => return Some(Outcome::Trusted(self.0.is_trusted(now))),
        }
        None
    }
}

fn check(check: liveness::Check) -> Outcome {
    match check {
        liveness::Check::Wait(None) => Outcome::Idle,
        liveness::Check::Wait(Some(until)) => Outcome::WaitUntilMs(super::millis(until)),
        liveness::Check::Ping(until) => Outcome::PingUntilMs(super::millis(until)),
        liveness::Check::Silent => Outcome::Silent,
    }
}
