//! Counts and latencies of the requests that were sent.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::client;

/// Significant digits of a latency.
const DIGITS: u8 = 3;

/// Longest latency that is told apart, in microseconds. Longer ones count as this long.
const MAX_MICROS: u64 = 3_600_000_000;

/// Latencies in microseconds.
pub(super) type Latencies = Histogram<u64>;

/// Counts and latencies of one sender, or of all.
#[derive(Clone, Debug)]
pub(super) struct Tally {
    /// Requests sent.
    pub(super) sent: u64,
    /// Whole answers.
    pub(super) whole: u64,
    /// Refusals and errors by reason and stated outcome.
    pub(super) refused: BTreeMap<(String, String), u64>,
    /// Answers that ended without an end or an error.
    pub(super) cut: u64,
    /// Requests without any answer.
    pub(super) unreachable: u64,
    /// Time from the planned arrival to the whole answer.
    pub(super) whole_after: Latencies,
    /// Time from the planned arrival to the first token.
    pub(super) first_token: Latencies,
    /// Time between two tokens.
    pub(super) token_gap: Latencies,
    /// Time from the planned arrival to a refusal.
    pub(super) refused_after: Latencies,
    /// Tokens of the prompts that were answered.
    pub(super) prompt_tokens: u64,
    /// Those that the engine had cached.
    pub(super) cached_tokens: u64,
}

impl Tally {
    /// Makes an empty tally.
    pub(super) fn new() -> Self {
        let latencies = || Latencies::new_with_max(MAX_MICROS, DIGITS).expect("digits in range");
        Self {
            sent: 0,
            whole: 0,
            refused: BTreeMap::new(),
            cut: 0,
            unreachable: 0,
            whole_after: latencies(),
            first_token: latencies(),
            token_gap: latencies(),
            refused_after: latencies(),
            prompt_tokens: 0,
            cached_tokens: 0,
        }
    }

    /// Adds a reply. `late` is the time between the planned arrival and the start of the exchange,
    /// and `took` the time from that start to the end.
    pub(super) fn add(&mut self, reply: &client::Reply, late: Duration, took: Duration) {
        self.sent += 1;
        match &reply.end {
            client::End::Whole => self.add_whole(reply, late, took),
            client::End::Refused(reason) => {
                let key = (reason.clone(), reply.outcome.clone());
                *self.refused.entry(key).or_default() += 1;
                record(&mut self.refused_after, late + took);
            }
            client::End::Cut => self.cut += 1,
            client::End::Unreachable => self.unreachable += 1,
        }
    }

    fn add_whole(&mut self, reply: &client::Reply, late: Duration, took: Duration) {
        self.whole += 1;
        self.prompt_tokens += reply.prompt_tokens;
        self.cached_tokens += reply.cached_tokens;
        record(&mut self.whole_after, late + took);
        if let Some(first) = reply.tokens.first() {
            record(&mut self.first_token, late + *first);
        }
        for pair in reply.tokens.windows(2) {
            record(&mut self.token_gap, pair[1] - pair[0]);
        }
    }

    /// Adds the counts of another tally.
    pub(super) fn merge(&mut self, other: Self) {
        self.sent += other.sent;
        self.whole += other.whole;
        for (key, count) in other.refused {
            *self.refused.entry(key).or_default() += count;
        }
        self.cut += other.cut;
        self.unreachable += other.unreachable;
        self.prompt_tokens += other.prompt_tokens;
        self.cached_tokens += other.cached_tokens;
        self.whole_after += other.whole_after;
        self.first_token += other.first_token;
        self.token_gap += other.token_gap;
        self.refused_after += other.refused_after;
    }
}

fn record(latencies: &mut Latencies, span: Duration) {
    latencies.saturating_record(span.as_micros() as u64);
}
