//! Admission of requests by slots and a queue, and the registry of runs.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

use crate::{engine, server, sync};

/// Maximum number of request ids whose runs are counted.
pub(super) const MAX_COUNTED_IDS: usize = 200_000;

/// Maximum number of runs that can be resumed. The oldest is evicted first.
const MAX_RUNS: usize = 4096;

/// Interval at which a waiting request checks whether the engine closes.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A run of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Run {
    /// Number of the run among all runs of the engine, from which its text is derived.
    pub(super) number: u64,
    /// Number of tokens generated so far.
    pub(super) generated: u32,
    /// Number of the connection that receives the answer, incremented by each resume.
    pub(super) connection: u32,
    cancelled: bool,
}

#[derive(Debug, Default)]
struct RunsInner {
    runs: BTreeMap<String, Run>,
    start_order: VecDeque<String>,
    next: u64,
    counters: engine::Counters,
}

/// Registry of runs by request id, with the counters of the engine.
#[derive(Debug, Default)]
pub(super) struct Runs {
    inner: Mutex<RunsInner>,
}

impl Runs {
    /// Starts a new run of request `id`.
    pub(super) fn start(&self, id: &str) -> Run {
        let mut inner = sync::lock(&self.inner);
        inner.next += 1;
        let run = Run {
            number: inner.next,
            generated: 0,
            connection: 0,
            cancelled: false,
        };
        if inner.runs.insert(id.to_owned(), run).is_none() {
            inner.start_order.push_back(id.to_owned());
        }
        if inner.start_order.len() > MAX_RUNS {
            let oldest = inner.start_order.pop_front();
            oldest.and_then(|id| inner.runs.remove(&id));
        }
        let counted = &mut inner.counters.runs;
        if counted.len() < MAX_COUNTED_IDS || counted.contains_key(id) {
            *counted.entry(id.to_owned()).or_default() += 1;
        }
        run
    }

    /// Moves the run of `id` to a new connection. Returns `None` if there is no run to resume.
    pub(super) fn resume(&self, id: &str) -> Option<Run> {
        let mut inner = sync::lock(&self.inner);
        let run = inner.runs.get_mut(id).filter(|run| !run.cancelled)?;
        run.connection += 1;
        let run = *run;
        inner.counters.resumes += 1;
        Some(run)
    }

    /// Whether the run is not cancelled and still belongs to the connection of `run`.
    pub(super) fn is_current(&self, id: &str, run: Run) -> bool {
        let inner = sync::lock(&self.inner);
        let now = inner.runs.get(id);
        now.is_some_and(|now| {
            !now.cancelled && now.number == run.number && now.connection == run.connection
        })
    }

    /// Records that token number `generated` of a run has been generated.
    pub(super) fn generate(&self, id: &str, generated: u32) {
        let mut inner = sync::lock(&self.inner);
        let Some(run) = inner.runs.get_mut(id) else {
            return;
        };
        if generated > run.generated {
            run.generated = generated;
            inner.counters.tokens += 1;
        }
    }

    /// Cancels the run of `id`, so that it cannot be resumed. Returns false if there is none.
    pub(super) fn cancel(&self, id: &str) -> bool {
        let mut inner = sync::lock(&self.inner);
        let Some(run) = inner.runs.get_mut(id).filter(|run| !run.cancelled) else {
            return false;
        };
        run.cancelled = true;
        inner.counters.cancels += 1;
        true
    }

    /// Changes the counters.
    pub(super) fn count<F>(&self, f: F)
    where
        F: FnOnce(&mut engine::Counters),
    {
        f(&mut sync::lock(&self.inner).counters);
    }

    pub(super) fn counters(&self) -> engine::Counters {
        sync::lock(&self.inner).counters.clone()
    }
}

#[derive(Debug, Default)]
struct SlotState {
    running: u32,
    next: u64,
    /// Waiting requests: the highest priority first, then the earliest.
    waiting: BTreeSet<(Reverse<u8>, u64)>,
}

/// Limits concurrency, with a bounded priority queue of waiting requests.
#[derive(Debug)]
pub(super) struct Slots {
    slots: u32,
    queue: usize,
    state: Mutex<SlotState>,
    changed: Condvar,
}

impl Slots {
    pub(super) fn new(slots: u32, queue: usize) -> Self {
        Self {
            slots,
            queue,
            state: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    /// Waits for a slot. Returns false if the queue is full or the engine closes.
    pub(super) fn acquire(&self, priority: u8, control: &server::Control) -> bool {
        let mut state = sync::lock(&self.state);
        if state.running >= self.slots && state.waiting.len() >= self.queue {
            return false;
        }
        state.next += 1;
        let ticket = (Reverse(priority), state.next);
        state.waiting.insert(ticket);
        while state.running >= self.slots || state.waiting.first() != Some(&ticket) {
            if control.is_closing() {
                state.waiting.remove(&ticket);
                return false;
            }
            let waited = self.changed.wait_timeout(state, QUEUE_POLL_INTERVAL);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        state.waiting.remove(&ticket);
        state.running += 1;
        self.changed.notify_all();
        true
    }

    /// Releases a slot.
    pub(super) fn release(&self) {
        sync::lock(&self.state).running -= 1;
        self.changed.notify_all();
    }
}
