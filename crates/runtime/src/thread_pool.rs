//! Bounded pool of threads that carry traffic.
//!
//! One call at an endpoint occupies one thread for as long as its answer lasts, so the size of
//! the pool bounds the calls in progress on the host.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel;

/// Stack of a traffic thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// Time for which an idle thread is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

type Job = Box<dyn FnOnce() + Send>;

/// Bounded pool of threads.
#[derive(Clone)]
pub struct Pool {
    shared: Arc<Shared>,
}

struct Shared {
    name: &'static str,
    /// Largest number of threads.
    limit: usize,
    /// Threads that exist. Invariant: at most `limit`.
    threads: AtomicUsize,
    /// Threads that wait for a job.
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

/// The pool has as many jobs as it may run at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

impl Pool {
    /// Makes a pool of at most `limit` threads.
    #[must_use]
    pub fn new(name: &'static str, limit: usize) -> Self {
        // The channel holds jobs only between their hand-over and an idle thread's wake-up.
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
    /// Returns [`Full`] if every thread is busy and no more may be made.
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

    /// Threads that run a job now.
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
    /// Takes one idle thread out of the count, if there is one.
    fn claim_idle(&self) -> bool {
        self.idle
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |idle| {
                idle.checked_sub(1)
            })
            .is_ok()
    }

    /// Counts one more thread, if there may be one.
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
                // A thread leaves only if no job was promised to it meanwhile.
                Err(_) if self.claim_idle() => return,
                Err(_) => match self.rx.recv() {
                    Ok(next) => next,
                    Err(_) => return,
                },
            };
        }
    }
}

/// Takes a thread out of the count also when its job panics.
struct ThreadCountGuard<'a>(&'a AtomicUsize);

impl Drop for ThreadCountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
