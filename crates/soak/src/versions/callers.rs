//! Callers that take a stream up after a cut, at any host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use pistachiochute_standins::platform::stream_caller::{StreamCaller, Try, bytes_of_no_event};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::asked::Asker;
use crate::load;
use crate::schedule::Fault;
use crate::versions::releases::EVENTS;

/// Most tries of a stream.
const MAX_TRIES: usize = 6;

/// Probability with which a caller disconnects within a try.
const DISCONNECT_PROBABILITY: f64 = 0.5;

/// Probability with which a caller that may do so has the host of a new stream killed.
const KILL_PROBABILITY: f64 = 0.05;

/// The same probability while kills are to be frequent.
const FREQUENT_KILL_PROBABILITY: f64 = 0.35;

/// Time from a request to the end of its host, in milliseconds: within 150 ms of the first event.
const KILL_AFTER_MS: std::ops::Range<u64> = 40..190;

/// Time for which a host that was killed is down, in milliseconds.
const DOWN_MS: std::ops::Range<u64> = 200..1_000;

/// Pause before a stream is taken up, in milliseconds.
const TAKE_UP_PAUSE_MS: std::ops::Range<u64> = 200..800;

/// Longest pause between two streams of a caller, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 100;

/// Distinguishes the callers of a seed from its other callers.
const CALLER_SEED: u64 = 0x7665_7273;

/// A stream, and when its tries were sent.
#[derive(Clone, Debug)]
pub(crate) struct StreamRecord {
    pub caller: StreamCaller,
    /// One entry for each try of the caller.
    pub sent: Vec<Sent>,
    /// What the last try got that is no event of a stream, if it got such bytes. That try is not among
    /// those of `caller`.
    pub foreign: Option<String>,
}

/// Where and when a try was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    pub host: usize,
    pub at: Instant,
    /// Time of day, as in the logs of the hosts.
    pub time: SystemTime,
    /// Time until its answer ended or its caller left.
    pub lasted: Duration,
}

/// A caller that sends one stream after another until the soak is over.
#[derive(Clone)]
pub(crate) struct Caller {
    pub number: usize,
    /// Start of the ids of its requests.
    pub prefix: &'static str,
    /// Route of its requests.
    pub route: &'static str,
    pub hosts: Vec<SocketAddr>,
    pub shared: Arc<load::Shared>,
    pub is_over: Arc<AtomicBool>,
    /// Which hosts are killed on which a stream has just begun, if any.
    pub kills: Option<Kills>,
}

/// Kills of hosts on which a stream has just begun.
#[derive(Clone)]
pub(crate) struct Kills {
    pub is_frequent: Arc<AtomicBool>,
    pub asker: Asker,
}

impl Kills {
    /// Has the host of a new stream killed, now and then. Returns whether it is.
    fn draw(&self, rng: &mut ChaCha8Rng, host: usize) -> bool {
        let probability = match self.is_frequent.load(Ordering::Relaxed) {
            true => FREQUENT_KILL_PROBABILITY,
            false => KILL_PROBABILITY,
        };
        let is_killed = rng.random_bool(probability);
        if is_killed {
            let after = Duration::from_millis(rng.random_range(KILL_AFTER_MS));
            let down = Duration::from_millis(rng.random_range(DOWN_MS));
            let at = Instant::now() + after;
            self.asker.ask(at, Fault::Kill { host, down });
        }
        is_killed
    }
}

impl Caller {
    /// Starts a number of callers like this one.
    pub(crate) fn start_many(
        &self,
        count: usize,
        seed: u64,
    ) -> Vec<thread::JoinHandle<Vec<StreamRecord>>> {
        let numbered = |number| Self {
            number,
            ..self.clone()
        };
        (0..count).map(|i| numbered(i).start(seed)).collect()
    }

    /// Starts the caller. Returns its streams.
    fn start(self, seed: u64) -> thread::JoinHandle<Vec<StreamRecord>> {
        let number = self.number as u64 + 1;
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (number << 32) ^ CALLER_SEED);
        thread::spawn(move || {
            let mut streams = Vec::new();
            while !self.is_over.load(Ordering::Relaxed) {
                let id = format!("{}{}-{}", self.prefix, self.number, streams.len());
                streams.push(self.drive(&mut rng, &id));
                let pause = rng.random_range(0..LONGEST_PAUSE_MS);
                thread::sleep(Duration::from_millis(pause));
            }
            streams
        })
    }

    /// Takes a stream up until an answer looks complete or the tries are used up.
    fn drive(&self, rng: &mut ChaCha8Rng, id: &str) -> StreamRecord {
        // Equal requests beside ends of processes would be taken for one that crashes endpoints.
        let path = format!("/{}/{id}", self.route);
        let mut record = StreamRecord {
            caller: StreamCaller::new(id, &path, "").version(load::draw_version(rng)),
            sent: Vec::new(),
            foreign: None,
        };
        while record.sent.len() < MAX_TRIES && !record.has_end() {
            if !record.sent.is_empty() {
                let pause = rng.random_range(TAKE_UP_PAUSE_MS);
                thread::sleep(Duration::from_millis(pause));
            }
            let key = load::key(self.shared.key.load(Ordering::Relaxed));
            record.caller.set_key(&key);
            let host = rng.random_range(0..self.hosts.len());
            let is_first = record.sent.is_empty();
            let kills = self.kills.as_ref().filter(|_| is_first);
            let is_killed = kills.is_some_and(|kills| kills.draw(rng, host));
            let events = match !is_killed && rng.random_bool(DISCONNECT_PROBABILITY) {
                true => rng.random_range(1..EVENTS) as usize,
                false => usize::MAX,
            };
            let (at, time) = (Instant::now(), SystemTime::now());
            record.attempt(self.hosts[host], events);
            record.sent.push(Sent {
                host,
                at,
                time,
                lasted: at.elapsed(),
            });
        }
        record
    }
}

impl StreamRecord {
    /// Sends the next try to a host, and disconnects once `events` events have arrived.
    fn attempt(&mut self, host: SocketAddr, events: usize) {
        let (request, answer) = self.caller.ask_events(host, events);
        self.foreign = bytes_of_no_event(&answer).map(str::to_owned);
        if self.foreign.is_none() {
            self.caller.record(&request, answer);
        }
    }

    /// Whether its caller has no reason to go on: an answer looked complete, or was no stream.
    fn has_end(&self) -> bool {
        let last = self.caller.tries().last();
        self.foreign.is_some() || last.is_some_and(Try::is_end)
    }
}
