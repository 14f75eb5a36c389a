//! Bounded thread pool for blocking work: requests, calls of endpoints and store writes.
//!
//! A job occupies one thread until it ends; a call of an endpoint ends with its answer. The size of
//! the pool therefore bounds the number of jobs in progress. There is no queue: a job that finds no
//! thread is refused.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel;

/// Stack size of a thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// Time after which an idle thread exits.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

type Job = Box<dyn FnOnce() + Send>;

/// Bounded thread pool. Clones share the threads.
#[derive(Clone)]
pub struct Pool {
    shared: Arc<Shared>,
}

struct Shared {
    name: &'static str,
    /// Maximum number of threads.
    limit: usize,
    /// Number of threads. Invariant: at most `limit`.
    threads: AtomicUsize,
    /// Number of threads that wait for a job and are not claimed for one.
    idle: AtomicUsize,
    tx: channel::Sender<Job>,
    rx: channel::Receiver<Job>,
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Pool")
            .field("name", &self.shared.name)
            .field("limit", &self.shared.limit)
            .field("threads", &self.shared.threads)
            .finish_non_exhaustive()
    }
}

/// Error of [`Pool::run`]: every thread is busy and the pool is at its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

impl Pool {
    /// Creates a pool of at most `limit` threads. Threads start when they are needed.
    #[must_use]
    pub fn new(name: &'static str, limit: usize) -> Self {
        // A job is in the channel only until the idle thread that was claimed for it wakes up.
        let (tx, rx) = channel::bounded(limit);
        let shared = Shared {
            name,
            limit,
            threads: AtomicUsize::new(0),
            idle: AtomicUsize::new(0),
            tx,
            rx,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Runs a job on an idle or a new thread.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] if every thread is busy and the pool is at its limit, or if the system
    /// cannot start a thread.
    pub fn run<F>(&self, job: F) -> Result<(), Full>
    where
        F: FnOnce() + Send + 'static,
    {
        let shared = &self.shared;
        if shared.claim_idle() {
            return shared.tx.try_send(Box::new(job)).map_err(|_| Full);
        }
        if !shared.claim_thread() {
            return Err(Full);
        }
        self.spawn(Box::new(job)).map_err(|_| Full)
    }

    /// Number of threads that run a job.
    #[must_use]
    pub fn busy(&self) -> usize {
        let threads = self.shared.threads.load(Ordering::Acquire);
        threads.saturating_sub(self.shared.idle.load(Ordering::Acquire))
    }

    fn spawn(&self, job: Job) -> io::Result<()> {
        let shared = Arc::clone(&self.shared);
        let spawned = thread::Builder::new()
            .name(self.shared.name.to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || shared.run_jobs(job));
        if spawned.is_err() {
            self.shared.threads.fetch_sub(1, Ordering::AcqRel);
        }
        spawned.map(drop)
    }
}

impl Shared {
    /// Claims one idle thread. Returns false if there is none.
    fn claim_idle(&self) -> bool {
        self.idle
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |idle| {
                idle.checked_sub(1)
            })
            .is_ok()
    }

    /// Reserves a slot for a new thread. Returns false if the pool is at its limit.
    fn claim_thread(&self) -> bool {
        let claim = |threads| Some(threads + 1).filter(|&threads| threads <= self.limit);
        self.threads
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, claim)
            .is_ok()
    }

    fn run_jobs(&self, first: Job) {
        let _guard = ThreadCountGuard(&self.threads);
        let mut job = first;
        loop {
            job();
            self.idle.fetch_add(1, Ordering::AcqRel);
            job = match self.rx.recv_timeout(IDLE_TIMEOUT) {
                Ok(next) => next,
                // The thread exits only if no job has claimed it in the meantime.
                Err(_) if self.claim_idle() => return,
                Err(_) => match self.rx.recv() {
                    Ok(next) => next,
                    Err(_) => return,
                },
            };
        }
    }
}

/// Decrements the thread count when a thread exits, also if its job panics.
struct ThreadCountGuard<'a>(&'a AtomicUsize);

impl Drop for ThreadCountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
