//! When the entry of an endpoint is written and when the store removes it.
//!
//! A process writes its entry some time after its start, and renews it as long as it runs and reaches
//! the store. What a process leaves behind that ends without notice, or that is cut off from the store,
//! stands until its silence has lasted for [`LAPSE`], unless the next process writes its own before.

use std::time::{Duration, Instant};

/// Interval at which a process renews its entry.
pub(crate) const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Silence after which the store removes an entry.
pub(crate) const LAPSE: Duration = HEARTBEAT.saturating_mul(3);

/// What is to be done to the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// The running process writes it.
    Write {
        /// Number of the write within the life of the process.
        sequence: u64,
    },
    /// The store removes it.
    Remove,
}

/// The entry of an endpoint, which outlives the processes that write it.
#[derive(Clone, Debug)]
pub(crate) struct Registration {
    /// Writes of the process that runs, or of the last one.
    sequence: u64,
    /// Next write of the process that runs. `None` while none does.
    next_write: Option<Instant>,
    /// Silence of the entry that stands. `None` while none does.
    silence: Option<Duration>,
    /// End of the time in which the endpoint does not reach the store.
    cut_until: Option<Instant>,
    last_advance: Instant,
}

impl Registration {
    /// No entry, and no process.
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            sequence: 0,
            next_write: None,
            silence: None,
            cut_until: None,
            last_advance: now,
        }
    }

    /// A process starts, and writes its first entry at a time.
    pub(crate) const fn start(&mut self, first_write: Instant) {
        self.sequence = 0;
        self.next_write = Some(first_write);
    }

    /// The endpoint does not reach the store until a time, whichever of its processes runs.
    pub(crate) const fn cut(&mut self, until: Instant) {
        self.cut_until = Some(until);
    }

    /// The process has something new to write.
    pub(crate) fn write_now(&mut self, now: Instant) {
        self.next_write = self.next_write.map(|_| now);
    }

    /// The process ends without notice. It writes nothing any more, and its entry stands.
    pub(crate) const fn end(&mut self) {
        self.next_write = None;
    }

    /// The process ends after it has removed its entry.
    pub(crate) const fn leave(&mut self) {
        self.end();
        self.silence = None;
    }

    /// What is due. While the store is away, nothing is written, and silence does not count.
    pub(crate) fn advance(&mut self, now: Instant, is_store_away: bool) -> Option<Step> {
        let elapsed = now.saturating_duration_since(self.last_advance);
        self.last_advance = now;
        if is_store_away {
            return None;
        }
        self.silence = self.silence.map(|silence| silence + elapsed);
        if self.reaches_store(now) && self.next_write.is_some_and(|at| at <= now) {
            self.sequence += 1;
            self.next_write = Some(now + HEARTBEAT);
            self.silence = Some(Duration::ZERO);
            let sequence = self.sequence;
            return Some(Step::Write { sequence });
        }
        let has_lapsed = self.silence.is_some_and(|silence| silence >= LAPSE);
        has_lapsed.then(|| {
            self.silence = None;
            Step::Remove
        })
    }

    fn reaches_store(&self, now: Instant) -> bool {
        self.cut_until.is_none_or(|until| until <= now)
    }
}
