//! Shares that other hosts have delegated to this one, and the permits that they yield.

use std::time::Duration;

use smallvec::SmallVec;

use crate::permits::{MAX_RETRY, MIN_RETRY};
use crate::{rate_limits, time};

/// Permits that are kept while nobody asks for them.
const MAX_TOKENS: f64 = 2.0;

/// Time after the end of the last delegation from which on no permit is left.
const LEFTOVER: Duration = Duration::from_secs(1);

/// A share that another host has delegated.
#[derive(Clone, Copy, Debug)]
pub(super) struct Source {
    /// The other host.
    pub host: u64,
    /// When the number was sent that the delegation repeats. A later one replaces an earlier one.
    pub sent_at: time::Time,
    /// The share.
    pub rate: rate_limits::RequestRate,
    /// When it ends.
    pub end: time::Time,
}

/// Token bucket that delegated shares fill. `cap_per_s` is the most that they can be together, in requests
/// a second.
#[derive(Clone, Debug, Default)]
pub(super) struct Pool {
    sources: SmallVec<[Source; 4]>,
    /// Invariant: at most [`MAX_TOKENS`].
    tokens: f64,
    /// Up to when the shares are in the tokens.
    filled_at: time::Time,
    /// Last time that was named with a denial.
    promised_at: time::Time,
}

impl Pool {
    /// Adds a share, or renews it. Of two with the same number the lower rate counts, since either may
    /// be the later one.
    pub(super) fn delegate(&mut self, source: Source, cap_per_s: f64, now: time::Time) {
        self.fill(cap_per_s, now);
        let known = self.sources.iter_mut().find(|s| s.host == source.host);
        match known {
            Some(known) if known.sent_at < source.sent_at => *known = source,
            Some(known) if known.sent_at == source.sent_at => {
                known.rate = known.rate.min(source.rate);
                known.end = known.end.min(source.end);
            }
            Some(_) => {}
            None => self.sources.push(source),
        }
    }

    /// Tokens now.
    fn tokens(&self, cap_per_s: f64, now: time::Time) -> f64 {
        let share = |s: &Source| {
            let span = s.end.min(now).since(self.filled_at);
            s.rate.as_per_second() * span.as_secs_f64()
        };
        let shares: f64 = self.sources.iter().map(share).sum();
        let most = cap_per_s * now.since(self.filled_at).as_secs_f64();
        let last_end = self.sources.iter().map(|s| s.end).max();
        match last_end {
            Some(end) if now.since(end) < LEFTOVER => {
                (self.tokens + shares.min(most)).min(MAX_TOKENS)
            }
            _ => 0.0,
        }
    }

    fn fill(&mut self, cap_per_s: f64, now: time::Time) {
        self.tokens = self.tokens(cap_per_s, now);
        self.filled_at = self.filled_at.max(now);
        self.sources.retain(|s| now.since(s.end) < LEFTOVER);
    }

    /// Rate at which permits come now.
    fn rate(&self, cap_per_s: f64, now: time::Time) -> f64 {
        let live = self.sources.iter().filter(|s| s.end > now);
        let sum: f64 = live.map(|s| s.rate.as_per_second()).sum();
        sum.min(cap_per_s)
    }

    pub(super) fn has_token(&self, cap_per_s: f64, now: time::Time) -> bool {
        self.tokens(cap_per_s, now) >= 1.0
    }

    /// When the next permit comes, if shares go on as they are.
    pub(super) fn token_at(&self, cap_per_s: f64, now: time::Time) -> Option<time::Time> {
        let rate = self.rate(cap_per_s, now);
        let missing = (1.0 - self.tokens(cap_per_s, now)).max(0.0);
        (rate > 0.0).then(|| now + Duration::from_secs_f64(missing / rate))
    }

    /// Takes a permit. Returns whether there was one.
    pub(super) fn take(&mut self, cap_per_s: f64, now: time::Time) -> bool {
        self.fill(cap_per_s, now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Time that is named with a denial: when the next permit comes, or one interval after the last time
    /// that was named. `share` is what this host has besides, and `next_at` when it has a permit, if that
    /// is known.
    pub(super) fn retry_after(
        &mut self,
        cap_per_s: f64,
        share: Option<rate_limits::RequestRate>,
        next_at: Option<time::Time>,
        now: time::Time,
    ) -> Duration {
        let own = share.map_or(0.0, rate_limits::RequestRate::as_per_second);
        let rate = self.rate(cap_per_s, now) + own;
        if rate <= 0.0 {
            return MAX_RETRY;
        }
        let interval = Duration::from_secs_f64((1.0 / rate).min(MAX_RETRY.as_secs_f64()));
        let at = next_at.unwrap_or(now).max(self.promised_at + interval);
        self.promised_at = at.max(now).min(now + MAX_RETRY);
        self.promised_at.since(now).max(MIN_RETRY)
    }
}
