//! Up to when a host knows the endpoints of the store, and how long each part of the way of a change may
//! take.

use std::time::Duration;

use crate::time;

/// Point in time, by the clock of this host, up to which it knows all changes of the endpoints.
///
/// Invariant: made only from an answer, and never later than the question, or than the time for which the
/// store has held it. Neither a clock that goes on,
/// nor a message that waits on its way, makes what it says newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct KnownUpTo(time::Time);

impl KnownUpTo {
    /// What an answer of the store shows to a call that was sent at `asked_at`.
    #[must_use]
    pub const fn by_store(asked_at: time::Time) -> Self {
        Self(asked_at)
    }

    /// What an answer without a change shows to a watch that was sent at `asked_at`: the store answers it so
    /// when it has held the watch for `wait`. One that came sooner shows no more than any other answer.
    #[must_use]
    pub fn by_held_watch(asked_at: time::Time, wait: Duration, answered_at: time::Time) -> Self {
        match answered_at.since(asked_at) >= wait {
            true => Self(asked_at + wait),
            false => Self(asked_at),
        }
    }

    /// What another host states in its answer to a question that was sent at `asked_at`: its own knowledge
    /// had the age `age` when the question arrived.
    #[must_use]
    pub fn by_host(asked_at: time::Time, age: Duration) -> Self {
        Self(asked_at - age)
    }

    /// The point in time.
    #[must_use]
    pub const fn at(self) -> time::Time {
        self.0
    }

    /// Time since then.
    #[must_use]
    pub fn age(self, now: time::Time) -> Duration {
        now.since(self.0)
    }
}

/// Time from the store's acknowledgement that an endpoint leaves to the last request that any host sends to
/// it, and the shares of the parts of that way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainBudget {
    drain: Duration,
}

impl DrainBudget {
    /// Shortest whole time that the shares add up to, in milliseconds.
    pub const MIN_MS: u64 = 1_600;

    /// The budget for a whole time.
    #[must_use]
    pub const fn new(drain: Duration) -> Self {
        Self { drain }
    }

    /// The whole time.
    #[must_use]
    pub const fn whole(self) -> Duration {
        self.drain
    }

    /// Time that the store holds a watch without a change.
    #[must_use]
    pub fn watch_wait(self) -> Duration {
        self.drain / 4
    }

    /// Silence after which a watch counts as dead.
    #[must_use]
    pub fn watch_silence(self) -> Duration {
        self.drain * 3 / 8
    }

    /// Time between two questions to another host for what it knows.
    #[must_use]
    pub fn ask_interval(self) -> Duration {
        self.drain / 8
    }

    /// Age of its knowledge from which on a host asks every host that it is linked with.
    #[must_use]
    pub fn ask_all_after(self) -> Duration {
        self.watch_silence()
    }

    /// Age of its knowledge from which on a host that follows others reads the store itself.
    #[must_use]
    pub fn read_after(self) -> Duration {
        self.drain / 2
    }

    /// Time that the store has to answer that read.
    #[must_use]
    pub fn read_timeout(self) -> Duration {
        self.drain / 4
    }
}
