//! Callers.

use std::net::{SocketAddr, TcpStream};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use pistachiochute_standins::platform::caller::{Answer, CallerRequest, Version, read};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Longest pause of a caller between two requests, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 60;

/// Probability with which a caller speaks HTTP/1.0 on a connection that takes one request.
const OLD_VERSION_PROBABILITY: f64 = 0.2;

/// Draws the version of HTTP that a caller speaks on a connection that takes one request.
pub(crate) fn draw_version(rng: &mut ChaCha8Rng) -> Version {
    match rng.random_bool(OLD_VERSION_PROBABILITY) {
        true => Version::Http10,
        false => Version::Http11,
    }
}

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Call,
    Once,
    Stream,
    Resumable,
    /// A stream of seconds.
    Long,
    /// A stream of seconds that may be resumed.
    LongResumable,
}

impl Kind {
    /// Path of the route that serves it.
    pub(crate) const fn path(self) -> &'static str {
        match self {
            Self::Call => "/call/",
            Self::Once => "/once/",
            Self::Stream => "/stream/",
            Self::Resumable => "/resumable/",
            Self::Long => "/long/",
            Self::LongResumable => "/long-resumable/",
        }
    }

    /// Whether it may run more than once.
    pub(crate) const fn may_repeat(self) -> bool {
        match self {
            Self::Call | Self::Resumable | Self::LongResumable => true,
            Self::Once | Self::Stream | Self::Long => false,
        }
    }

    /// Whether its answer is a stream.
    pub(crate) const fn is_stream(self) -> bool {
        match self {
            Self::Call | Self::Once => false,
            Self::Stream | Self::Resumable | Self::Long | Self::LongResumable => true,
        }
    }

    const fn is_long(self) -> bool {
        matches!(self, Self::Long | Self::LongResumable)
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

/// How a caller uses its connections.
#[derive(Clone, Debug)]
pub(crate) enum Habit {
    /// It opens a connection for each request, and asks for short answers.
    Fresh,
    /// It keeps its connection for as long as the host does, and also asks for streams of seconds,
    /// whose events have pauses drawn from `pause_ms`, in milliseconds.
    Keeping { pause_ms: Range<u64> },
    /// It sends calls with keys that were taken away, one after the other, and none while there is none.
    Withdrawn,
}

/// Keys that were taken away last, which callers go on using.
const WITHDRAWN_KEYS: u64 = 4;

impl Habit {
    /// Number of the key that the next request carries, after so many.
    fn key(&self, newest: u64, sent: u64) -> Option<u64> {
        match self {
            Self::Fresh | Self::Keeping { .. } => Some(newest),
            Self::Withdrawn => {
                let withdrawn = newest.min(WITHDRAWN_KEYS);
                (withdrawn > 0).then(|| newest - 1 - sent % withdrawn)
            }
        }
    }
}

/// A caller that sends to one host until the soak is over.
pub(crate) struct Caller {
    pub number: usize,
    pub host: usize,
    pub address: SocketAddr,
    pub habit: Habit,
}

impl Caller {
    /// Starts the caller.
    pub(crate) fn start(self, shared: Arc<Shared>, seed: u64) -> thread::JoinHandle<()> {
        let number = self.number as u64 + 1;
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (number << 32));
        thread::spawn(move || {
            let mut sent = 0_u64;
            let mut kept = None;
            while !shared.is_over.load(Ordering::Relaxed) {
                sent += 1;
                let id = format!("c{}-{sent}", self.number);
                let newest = shared.key.load(Ordering::Relaxed);
                let key = self.habit.key(newest, sent);
                if let Some(key) = key
                    && let Some(record) = self.send(key, &mut rng, &id, &mut kept)
                {
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

    /// Sends one request with a key. Returns `None` if there was no connection.
    fn send(
        &self,
        number: u64,
        rng: &mut ChaCha8Rng,
        id: &str,
        kept: &mut Option<TcpStream>,
    ) -> Option<Record> {
        let kind = self.draw_kind(rng);
        let leaves = rng.random_bool(0.05);
        let sent = Instant::now();
        let mut ask = CallerRequest::new(id, kind.path(), &key(number));
        if matches!(self.habit, Habit::Fresh) {
            ask = ask.version(draw_version(rng));
        }
        if let (Habit::Keeping { pause_ms }, true) = (&self.habit, kind.is_long()) {
            let pause = rng.random_range(pause_ms.clone());
            ask = ask.event_pause(Duration::from_millis(pause));
        }
        let mut stream = match kept.take() {
            Some(mut stream) => ask.write_to(&mut stream).ok().map(|()| stream),
            None => ask.open(self.address).ok(),
        }?;
        let answer = match leaves {
            true => {
                thread::sleep(Duration::from_millis(30));
                Answer::default()
            }
            false => read(&mut stream),
        };
        if matches!(self.habit, Habit::Keeping { .. }) && answer.keeps_connection() {
            *kept = Some(stream);
        }
        Some(Record {
            id: id.to_owned(),
            kind,
            host: self.host,
            key: number,
            sent,
            ended: Instant::now(),
            left: leaves,
            answer,
        })
    }

    fn draw_kind(&self, rng: &mut ChaCha8Rng) -> Kind {
        let draw = rng.random_range(0..10);
        match (&self.habit, draw) {
            (Habit::Withdrawn, _) | (Habit::Fresh, 0..=2) => Kind::Call,
            (Habit::Fresh, 3..=5) => Kind::Once,
            (Habit::Fresh, 6 | 7) => Kind::Stream,
            (Habit::Fresh, _) => Kind::Resumable,
            (Habit::Keeping { .. }, 0 | 1) => Kind::Call,
            (Habit::Keeping { .. }, 2 | 3) => Kind::Once,
            (Habit::Keeping { .. }, 4) => Kind::Stream,
            (Habit::Keeping { .. }, 5) => Kind::Resumable,
            (Habit::Keeping { .. }, 6 | 7) => Kind::Long,
            (Habit::Keeping { .. }, _) => Kind::LongResumable,
        }
    }
}
