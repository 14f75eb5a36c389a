//! Journal of actions in the key-value service, which makes actions run at most once.
//!
//! One thread runs the state machine of `pistachiochute_core::journal`. Calls to the service block,
//! so they run on a small thread pool, which returns the results as events. Threads that serve
//! requests wait for the decision on their attempt.

mod reservation;
mod store;

use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crossbeam::channel;
use eyre::WrapErr as _;
use pistachiochute_core::journal;

use crate::platform::key_value;
use crate::{clock, settings, thread_pool};

pub use reservation::{Decision, Permit, Reservation};

/// Maximum number of concurrent calls to the key-value service.
const STORE_THREADS: usize = 16;

/// Capacity of the command channel.
const COMMAND_BUFFER: usize = 4_096;

/// Maximum time between two timer ticks of the state machine.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum time to record the outcomes of finished actions when the host stops.
const CLOSE_WAIT: Duration = Duration::from_secs(2);

pub(crate) enum Command {
    Begin {
        begin: journal::NewAttempt,
        tx: channel::Sender<Decision>,
    },
    Event(journal::Event),
    Close,
}

/// Handle through which threads that serve requests use the journal.
#[derive(Clone, Debug)]
pub struct Handle {
    tx: channel::Sender<Command>,
}

/// A running journal.
#[derive(Debug)]
pub struct Journal {
    handle: Handle,
    thread: thread::JoinHandle<()>,
}

impl Journal {
    /// Starts the journal's thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(
        settings: &settings::Journal,
        store: Arc<dyn key_value::KeyValue>,
    ) -> eyre::Result<Self> {
        let cfg = config(settings);
        let (tx, rx) = channel::bounded(COMMAND_BUFFER);
        let pool = thread_pool::Pool::new("journal-store", STORE_THREADS);
        let worker = Worker {
            journal: journal::Journal::new(cfg),
            waiting: HashMap::new(),
            store: Arc::new(store::Store::new(store, &cfg.window)),
            pool,
            tx: tx.clone(),
        };
        let thread = thread::Builder::new()
            .name("journal".to_owned())
            .spawn(move || worker.run(&rx))
            .wrap_err("cannot start the journal's thread")?;
        let handle = Handle { tx };
        Ok(Self { handle, thread })
    }

    /// Returns a handle for other threads.
    #[must_use]
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Records the outcomes of finished actions for a limited time, and stops the journal.
    pub fn close(self) {
        let _ = self.handle.tx.send(Command::Close);
        let _ = self.thread.join();
    }
}

fn config(settings: &settings::Journal) -> journal::Config {
    journal::Config {
        window: journal::Window {
            retention_ms: settings.retention.as_millis() as u64,
            ..journal::Window::default()
        },
        slots: settings.shards,
        ..journal::Config::default()
    }
}

/// Reads the wall clock, from which the age of keys is computed.
pub(crate) fn wall_clock() -> journal::UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    journal::UnixMillis(since.unwrap_or_default().as_millis() as u64)
}

struct Worker {
    journal: journal::Journal,
    /// Threads that wait for the decision on their attempt. The size of the owner's thread pool
    /// limits their number.
    waiting: HashMap<journal::AttemptId, channel::Sender<Decision>>,
    store: Arc<store::Store>,
    pool: thread_pool::Pool,
    tx: channel::Sender<Command>,
}

impl Worker {
    fn run(mut self, rx: &channel::Receiver<Command>) {
        let mut closing = None;
        while closing.is_none_or(|until| clock::now() < until && !self.journal.is_idle()) {
            let event = match rx.recv_timeout(self.time_to_wakeup()) {
                Ok(Command::Begin { begin, tx }) => {
                    self.waiting.insert(begin.attempt, tx);
                    journal::Event::Begin(begin)
                }
                Ok(Command::Event(event)) => event,
                Err(channel::RecvTimeoutError::Timeout) => journal::Event::Tick,
                Ok(Command::Close) => {
                    closing = Some(clock::now() + CLOSE_WAIT);
                    continue;
                }
                Err(channel::RecvTimeoutError::Disconnected) => return,
            };
            self.handle_event(event);
        }
    }

    /// Time until the next timer tick of the state machine.
    fn time_to_wakeup(&self) -> Duration {
        let due = self.journal.wakeup();
        due.map_or(MAX_TICK_INTERVAL, |due| {
            due.since(clock::now()).min(MAX_TICK_INTERVAL)
        })
    }

    fn handle_event(&mut self, event: journal::Event) {
        if let journal::Event::Cancel(attempt) = &event {
            self.waiting.remove(attempt);
        }
        for effect in self.journal.handle(event, clock::now(), wall_clock()) {
            match effect {
                journal::Effect::Read { .. } | journal::Effect::Swap { .. } => self.call(effect),
                journal::Effect::Dispatch {
                    attempt, not_after, ..
                } => self.decide(attempt, Decision::Dispatch { not_after }),
                journal::Effect::Answer { attempt, answer } => {
                    self.decide(attempt, Decision::Answer(answer));
                }
            }
        }
    }

    fn decide(&mut self, attempt: journal::AttemptId, decision: Decision) {
        if let Some(tx) = self.waiting.remove(&attempt) {
            let _ = tx.send(decision);
        }
    }

    /// Makes a call on a thread of the pool. If no thread is free, the call is not sent, which
    /// the state machine may treat as a call without effect.
    fn call(&self, effect: journal::Effect) {
        let not_sent = store::not_sent(&effect);
        let store = Arc::clone(&self.store);
        let tx = self.tx.clone();
        let call = move || {
            if let Some(event) = store.call(effect) {
                let _ = tx.send(Command::Event(event));
            }
        };
        if self.pool.run(call).is_err()
            && let Some(event) = not_sent
        {
            // The journal's thread must not block on its own command channel.
            let tx = self.tx.clone();
            thread::spawn(move || {
                let _ = tx.send(Command::Event(event));
            });
        }
    }
}
