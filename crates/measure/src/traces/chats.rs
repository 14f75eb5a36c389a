//! Generator of returning chats.

use std::time::Duration;

use pistachiochute_core::{request, time, units};
use rand::{Rng as _, SeedableRng as _};
use rand_distr::Distribution as _;

use crate::traces;

/// Longest prompt, in tokens.
const MAX_PROMPT: u64 = 32_768;

/// Longest answer, in tokens.
const MAX_ANSWER: u64 = 2_048;

/// Time from a request to the start of its answer that the trace assumes, in seconds.
const FIRST_TOKEN_S: f64 = 0.48;

/// Mean of a log-normal value over its median.
fn mean_over_median(sigma: f64) -> f64 {
    (sigma * sigma / 2.0).exp()
}

/// Generates the trace of a deployment, in the order of arrival.
#[must_use]
pub fn generate(deployment: &traces::Deployment) -> Vec<traces::Arrival> {
    let mut generator = Generator::new(deployment);
    generator.chats_in_progress();
    generator.new_chats();
    generator.finish()
}

struct Generator<'a> {
    deployment: &'a traces::Deployment,
    rng: rand_chacha::ChaCha8Rng,
    /// Cumulated shares of the accounts.
    shares: Vec<f64>,
    arrivals: Vec<traces::Arrival>,
    chats: u64,
}

impl<'a> Generator<'a> {
    fn new(deployment: &'a traces::Deployment) -> Self {
        let size = |k: u32| f64::from(k).powf(-deployment.account_exponent);
        let total: f64 = (1..=deployment.accounts).map(size).sum();
        let mut sum = 0.0;
        let shares = (1..=deployment.accounts).map(|k| {
            sum += size(k) / total;
            sum
        });
        Self {
            deployment,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(deployment.seed),
            shares: shares.collect(),
            arrivals: Vec::new(),
            chats: 0,
        }
    }

    /// New chats a second without a surge.
    fn rate(&self) -> f64 {
        let deployment = self.deployment;
        let answer = deployment.answer * mean_over_median(deployment.answer_sigma);
        let service_s = answer * traces::TIME_PER_TOKEN.as_secs_f64();
        let requests_per_s = deployment.in_flight * deployment.endpoints as f64 / service_s;
        requests_per_s / deployment.turns
    }

    /// Chats that began before the trace, at a random point of their life.
    fn chats_in_progress(&mut self) {
        let deployment = self.deployment;
        let between_s = deployment.pause_s * mean_over_median(deployment.pause_sigma)
            + deployment.answer * traces::TIME_PER_TOKEN.as_secs_f64();
        let count = (self.rate() * deployment.turns * between_s) as usize;
        for _ in 0..count {
            let at_s = self.rest_of_pause_s();
            let account = self.account(0.0);
            self.chat(at_s, account);
        }
    }

    fn new_chats(&mut self) {
        let deployment = self.deployment;
        let surge = deployment.surge;
        let mut at_s = 0.0;
        loop {
            let in_surge = (surge.from_s..surge.until_s).contains(&at_s);
            let factor = if in_surge { surge.factor } else { 1.0 };
            let gap: f64 = rand_distr::Exp1.sample(&mut self.rng);
            at_s += gap / (self.rate() * factor);
            if at_s >= deployment.length_s {
                return;
            }
            let extra = (factor - 1.0) / factor;
            let account = self.account(extra * surge.largest_share);
            self.chat(at_s, account);
        }
    }

    /// An account by size, or the largest with the given probability.
    fn account(&mut self, largest: f64) -> u32 {
        if self.rng.random::<f64>() < largest {
            return 0;
        }
        let at: f64 = self.rng.random();
        self.shares.partition_point(|sum| *sum < at) as u32
    }

    /// Adds the turns of one chat.
    fn chat(&mut self, mut at_s: f64, account: u32) {
        let deployment = self.deployment;
        self.chats += 1;
        let chat = request::ChatKey(self.rng.random());
        let mut history = 0;
        let sigma = deployment.first_prompt_sigma;
        let mut added = self.log_normal(deployment.first_prompt, sigma);
        loop {
            let prompt = (history + added).min(MAX_PROMPT);
            let answer = self.log_normal(deployment.answer, deployment.answer_sigma);
            let arrival = traces::Arrival {
                at: time::Time::ZERO + Duration::from_secs_f64(at_s),
                account,
                chat,
                entry: self.rng.random(),
                history: units::Tokens(history.min(prompt)),
                prompt: units::Tokens(prompt),
                answer: units::Tokens(answer.min(MAX_ANSWER)),
            };
            let pause_s = self.pause_s();
            let ends = self.rng.random::<f64>() < 1.0 / deployment.turns;
            if at_s < deployment.length_s {
                self.arrivals.push(arrival);
            }
            at_s += FIRST_TOKEN_S + arrival.generation().as_secs_f64() + pause_s;
            if ends || at_s >= deployment.length_s {
                return;
            }
            history = prompt + arrival.answer.0;
            added = self.log_normal(deployment.next_prompt, deployment.answer_sigma);
        }
    }

    fn pause_s(&mut self) -> f64 {
        let normal: f64 = rand_distr::StandardNormal.sample(&mut self.rng);
        self.deployment.pause_s * (self.deployment.pause_sigma * normal).exp()
    }

    /// What is left of a pause that is met at a random point of time. Long pauses are met more
    /// often, which moves the median of a log-normal pause up by the squared spread.
    fn rest_of_pause_s(&mut self) -> f64 {
        let sigma = self.deployment.pause_sigma;
        let met_s = self.pause_s() * (sigma * sigma).exp();
        self.rng.random::<f64>() * met_s
    }

    fn log_normal(&mut self, median: f64, sigma: f64) -> u64 {
        let normal: f64 = rand_distr::StandardNormal.sample(&mut self.rng);
        ((median * (sigma * normal).exp()) as u64).max(1)
    }

    fn finish(mut self) -> Vec<traces::Arrival> {
        self.arrivals
            .sort_by_key(|arrival| (arrival.at, arrival.chat));
        self.arrivals
    }
}
