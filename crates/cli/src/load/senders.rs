//! Threads that send the requests of the plan.

use std::io::{IsTerminal as _, Write as _};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use std::{io, thread};

use crossbeam::channel;
use rand::SeedableRng as _;

use crate::client;
use crate::load::{args, chats, plan, tally};

/// Planned requests that may wait for a sender.
const BACKLOG: usize = 65_536;

/// Time between two lines of progress.
const PROGRESS: Duration = Duration::from_millis(500);

/// A request that is to be sent.
struct Job {
    at: Duration,
    account: usize,
    target: usize,
    turn: chats::Turn,
}

/// Counts that the progress line shows.
#[derive(Debug, Default)]
struct Progress {
    planned: AtomicU64,
    done: AtomicU64,
    whole: AtomicU64,
}

/// Sends the whole plan and returns the tally of all senders.
///
/// # Errors
///
/// Returns an error if a thread cannot be started or the rate is not positive.
pub(super) fn run(cfg: &args::Config) -> eyre::Result<tally::Tally> {
    let progress = Progress::default();
    let (tx, rx) = channel::bounded(BACKLOG);
    let (stop_tx, stop_rx) = channel::bounded::<()>(0);
    let start = Instant::now();
    thread::scope(|scope| {
        let senders: Vec<_> = (0..cfg.senders)
            .map(|_| {
                let rx = rx.clone();
                let progress = &progress;
                scope.spawn(move || send(cfg, start, &rx, progress))
            })
            .collect();
        if io::stderr().is_terminal() {
            let progress = &progress;
            scope.spawn(move || show(cfg, start, progress, &stop_rx));
        }
        let fed = feed(cfg, start, tx, &progress);
        let mut total = tally::Tally::new();
        for sender in senders {
            let tally = sender.join();
            total.merge(tally.map_err(|_| eyre::eyre!("a sender panicked"))?);
        }
        drop(stop_tx);
        fed.map(|()| total)
    })
}

/// Hands the requests of the plan to the senders at their times.
fn feed(
    cfg: &args::Config,
    start: Instant,
    tx: channel::Sender<Job>,
    progress: &Progress,
) -> eyre::Result<()> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(cfg.seed);
    let mut chats = chats::Chats::new(cfg, rand_chacha::ChaCha8Rng::from_rng(&mut rng));
    for (i, arrival) in plan::Plan::new(cfg, rng)?.enumerate() {
        thread::sleep(arrival.at.saturating_sub(start.elapsed()));
        progress.planned.fetch_add(1, Ordering::Relaxed);
        let job = Job {
            at: arrival.at,
            account: arrival.account,
            target: i % cfg.targets.len(),
            turn: chats.turn(arrival.account),
        };
        tx.send(job)
            .map_err(|_| eyre::eyre!("every sender ended"))?;
    }
    Ok(())
}

fn send(
    cfg: &args::Config,
    start: Instant,
    rx: &channel::Receiver<Job>,
    progress: &Progress,
) -> tally::Tally {
    let mut tally = tally::Tally::new();
    for job in rx {
        let client =
            client::Client::new(cfg.targets[job.target], &cfg.keys[job.account], cfg.timeout);
        let body = job.turn.body(cfg);
        let begun = start.elapsed();
        let reply = client.chat(&job.turn.chat, &body);
        let took = start.elapsed() - begun;
        tally.add(&reply, begun.saturating_sub(job.at), took);
        progress.done.fetch_add(1, Ordering::Relaxed);
        progress
            .whole
            .fetch_add(u64::from(reply.is_whole()), Ordering::Relaxed);
    }
    tally
}

/// Shows the progress on the terminal until the load has ended.
fn show(cfg: &args::Config, start: Instant, progress: &Progress, stop: &channel::Receiver<()>) {
    let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let mut stderr = io::stderr();
    while stop.recv_timeout(PROGRESS) == Err(channel::RecvTimeoutError::Timeout) {
        let line = write!(
            stderr,
            "\r{:6.1} of {:.1} s  planned {}  done {}  whole {} ",
            start.elapsed().as_secs_f64(),
            cfg.duration.as_secs_f64(),
            count(&progress.planned),
            count(&progress.done),
            count(&progress.whole),
        );
        if line.and_then(|()| stderr.flush()).is_err() {
            return;
        }
    }
    // The terminal may be gone, which changes nothing.
    let _ = writeln!(stderr);
}
