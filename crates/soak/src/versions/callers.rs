//! Callers that take a stream up after a cut, at any host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use pistachiochute_standins::platform::stream_caller::StreamCaller;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::load;
use crate::versions::ROUTE;
use crate::versions::releases::EVENTS;

/// Most tries of a stream.
const MAX_TRIES: usize = 6;

/// Probability with which a caller disconnects within a try.
const DISCONNECT_PROBABILITY: f64 = 0.5;

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
}

/// Where and when a try was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sent {
    pub host: usize,
    pub at: Instant,
}

/// A caller that sends one stream after another until the soak is over.
pub(crate) struct Caller {
    pub number: usize,
    pub hosts: Vec<SocketAddr>,
    pub shared: Arc<load::Shared>,
    pub is_over: Arc<AtomicBool>,
}

impl Caller {
    /// Starts the caller. Returns its streams.
    pub(crate) fn start(self, seed: u64) -> thread::JoinHandle<Vec<StreamRecord>> {
        let number = self.number as u64 + 1;
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (number << 32) ^ CALLER_SEED);
        thread::spawn(move || {
            let mut streams = Vec::new();
            while !self.is_over.load(Ordering::Relaxed) {
                let id = format!("v{}-{}", self.number, streams.len());
                streams.push(self.drive(&mut rng, &id));
                let pause = rng.random_range(0..LONGEST_PAUSE_MS);
                thread::sleep(Duration::from_millis(pause));
            }
            streams
        })
    }

    /// Takes a stream up until it is complete or the tries are used up.
    fn drive(&self, rng: &mut ChaCha8Rng, id: &str) -> StreamRecord {
        let mut caller = StreamCaller::new(id, &format!("/{ROUTE}/"), "");
        let mut sent = Vec::new();
        while sent.len() < MAX_TRIES && !caller.is_complete(EVENTS) {
            if !sent.is_empty() {
                let pause = rng.random_range(TAKE_UP_PAUSE_MS);
                thread::sleep(Duration::from_millis(pause));
            }
            caller.set_key(&load::key(self.shared.key.load(Ordering::Relaxed)));
            let host = rng.random_range(0..self.hosts.len());
            let at = Instant::now();
            sent.push(Sent { host, at });
            match rng.random_bool(DISCONNECT_PROBABILITY) {
                true => {
                    let events = rng.random_range(1..EVENTS) as usize;
                    caller.attempt_events(self.hosts[host], events);
                }
                false => {
                    caller.attempt(self.hosts[host]);
                }
            }
        }
        StreamRecord { caller, sent }
    }
}
