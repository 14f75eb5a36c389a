//! Callers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use pistachiochute_standins::platform::caller::{Answer, CallerRequest, read};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Longest pause of a caller between two requests, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 60;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Call,
    Once,
    Stream,
    Resumable,
}

impl Kind {
    /// Path of the route that serves it.
    pub(crate) const fn path(self) -> &'static str {
        match self {
            Self::Call => "/call/",
            Self::Once => "/once/",
            Self::Stream => "/stream/",
            Self::Resumable => "/resumable/",
        }
    }
}

/// A request and what came of it.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub id: String,
    pub kind: Kind,
    pub host: usize,
    /// Number of the key that it carried.
    pub key: u64,
    pub sent: Instant,
    pub ended: Instant,
    /// Whether the caller left before the answer.
    pub left: bool,
    pub answer: Answer,
}

/// What callers share.
#[derive(Default)]
pub(crate) struct Shared {
    pub records: Mutex<Vec<Record>>,
    /// Number of the newest key.
    pub key: AtomicU64,
    pub is_over: AtomicBool,
}

impl Shared {
    /// What came of the requests so far.
    pub(crate) fn records(&self) -> Vec<Record> {
        let records = self.records.lock();
        records.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Text of a key.
pub(crate) fn key(number: u64) -> String {
    format!("key-{number}")
}

/// Starts a caller that sends to one host until the soak is over.
pub(crate) fn start(
    shared: Arc<Shared>,
    (host, address): (usize, SocketAddr),
    (seed, number): (u64, usize),
) -> thread::JoinHandle<()> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ ((number as u64 + 1) << 32));
    thread::spawn(move || {
        let mut sent = 0_u64;
        while !shared.is_over.load(Ordering::Relaxed) {
            sent += 1;
            let id = format!("c{number}-{sent}");
            if let Some(record) = send(&shared, &mut rng, host, address, &id) {
                let mut records = shared
                    .records
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner);
                records.push(record);
            }
            let pause = rng.random_range(0..LONGEST_PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
        }
    })
}

/// Sends one request. Returns `None` if there was no connection.
fn send(
    shared: &Shared,
    rng: &mut ChaCha8Rng,
    host: usize,
    address: SocketAddr,
    id: &str,
) -> Option<Record> {
    let kind = match rng.random_range(0..10) {
        0..=2 => Kind::Call,
        3..=5 => Kind::Once,
        6 | 7 => Kind::Stream,
        _ => Kind::Resumable,
    };
    let leaves = rng.random_bool(0.05);
    let number = shared.key.load(Ordering::Relaxed);
    let sent = Instant::now();
    let ask = CallerRequest::new(id, kind.path(), &key(number));
    let mut stream = ask.open(address).ok()?;
    let answer = match leaves {
        true => {
            thread::sleep(Duration::from_millis(30));
            Answer::default()
        }
        false => read(&mut stream),
    };
    drop(stream);
    Some(Record {
        id: id.to_owned(),
        kind,
        host,
        key: number,
        sent,
        ended: Instant::now(),
        left: leaves,
        answer,
    })
}
