//! Load reports that lag behind the actual load.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::sync;

/// Maximum number of retained samples. The oldest is dropped first.
const MAX_HISTORY: usize = 8192;

#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub(super) struct LoadSample {
    running: u32,
    queued: u32,
    /// Prompt tokens to process and answer tokens to generate, over all accepted requests.
    tokens: u64,
}

#[derive(Debug, serde::Serialize)]
pub(super) struct Report {
    #[serde(flatten)]
    sample: LoadSample,
    slots: u32,
}

#[derive(Debug)]
pub(super) struct LoadReporter {
    lag: Duration,
    /// Invariant: not empty, in order of time.
    history: Mutex<VecDeque<(Instant, LoadSample)>>,
}

impl LoadReporter {
    pub(super) fn new(lag: Duration) -> Self {
        let start = VecDeque::from([(Instant::now(), LoadSample::default())]);
        Self {
            lag,
            history: Mutex::new(start),
        }
    }

    pub(super) fn queue(&self, tokens: u64) {
        self.change(|sample| {
            sample.queued += 1;
            sample.tokens += tokens;
        });
    }

    pub(super) fn reject(&self, tokens: u64) {
        self.change(|sample| {
            sample.queued -= 1;
            sample.tokens -= tokens;
        });
    }

    pub(super) fn start(&self) {
        self.change(|sample| {
            sample.queued -= 1;
            sample.running += 1;
        });
    }

    pub(super) fn process_tokens(&self, tokens: u64) {
        self.change(|sample| sample.tokens -= tokens);
    }

    pub(super) fn finish(&self, tokens: u64) {
        self.change(|sample| {
            sample.running -= 1;
            sample.tokens -= tokens;
        });
    }

    fn change<F>(&self, f: F)
    where
        F: FnOnce(&mut LoadSample),
    {
        let mut history = sync::lock(&self.history);
        let (_, mut sample) = history.back().copied().expect("the history is never empty");
        f(&mut sample);
        let now = Instant::now();
        history.push_back((now, sample));
        while history.len() > MAX_HISTORY || history.get(1).is_some_and(|c| c.0 + self.lag <= now) {
            history.pop_front();
        }
    }

    /// The load as it was `lag` ago.
    pub(super) fn report(&self, slots: u32) -> Report {
        let history = sync::lock(&self.history);
        let now = Instant::now();
        let reported = history.iter().rev().find(|(at, _)| *at + self.lag <= now);
        let sample = reported
            .or(history.front())
            .map(|(_, sample)| *sample)
            .unwrap_or_default();
        Report { sample, slots }
    }
}
