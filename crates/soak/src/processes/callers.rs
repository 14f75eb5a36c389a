//! Callers whose requests are answered with all pieces or a failure.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use pistachiochute_standins::platform::caller::{Answer, CallerRequest};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::load;
use crate::processes::{ONCE_ROUTE, SAFE_ROUTE};

/// Longest pause between two calls of a caller, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 60;

/// Distinguishes the callers of a seed from its other callers.
const CALLER_SEED: u64 = 0x7072_6f63;

/// A call and its answer.
#[derive(Clone, Debug)]
pub(crate) struct CallRecord {
    pub id: String,
    pub host: usize,
    pub answer: Answer,
}

/// A caller that sends one call after another until the soak is over.
pub(crate) struct Caller {
    pub number: usize,
    pub hosts: Vec<SocketAddr>,
    pub shared: Arc<load::Shared>,
    pub is_over: Arc<AtomicBool>,
}

impl Caller {
    /// Starts the caller. Returns its calls.
    pub(crate) fn start(self, seed: u64) -> thread::JoinHandle<Vec<CallRecord>> {
        let number = self.number as u64 + 1;
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ (number << 32) ^ CALLER_SEED);
        thread::spawn(move || {
            let mut calls = Vec::new();
            while !self.is_over.load(Ordering::Relaxed) {
                let id = format!("q{}-{}", self.number, calls.len());
                calls.push(self.call(&mut rng, id));
                let pause = rng.random_range(0..LONGEST_PAUSE_MS);
                thread::sleep(Duration::from_millis(pause));
            }
            calls
        })
    }

    fn call(&self, rng: &mut ChaCha8Rng, id: String) -> CallRecord {
        let route = [SAFE_ROUTE, ONCE_ROUTE][rng.random_range(0..2)];
        let host = rng.random_range(0..self.hosts.len());
        let key = load::key(self.shared.key.load(Ordering::Relaxed));
        let request = CallerRequest::new(&id, &format!("/{route}/{id}"), &key);
        let request = request.version(load::draw_version(rng));
        CallRecord {
            answer: request.send(self.hosts[host]),
            id,
            host,
        }
    }
}
