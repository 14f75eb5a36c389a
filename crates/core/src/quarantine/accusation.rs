//! Parts of prompts that are accused of crashing endpoints.

use crate::quarantine::{PartKey, Parts, QUARANTINE};
use crate::time;

/// Parts that together are in all of several crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accusation {
    /// Prompts with all of these parts are refused. Invariant: sorted, and not empty.
    pub parts: Parts,
    /// Time of the first of the crashes. An answer that went on later clears its parts.
    pub since: time::Time,
    /// When the quarantine is over and a trial may begin.
    pub until: time::Time,
}

impl Accusation {
    /// An accusation that begins now.
    #[must_use]
    pub fn new(mut parts: Parts, since: time::Time, now: time::Time) -> Self {
        parts.sort_unstable();
        Self {
            parts,
            since,
            until: now + QUARANTINE,
        }
    }

    /// Whether it applies to a prompt.
    #[must_use]
    pub fn applies_to(&self, prompt: &[PartKey]) -> bool {
        super::contains_all(prompt, &self.parts)
    }

    /// Whether the quarantine is over, so that a trial may begin.
    #[must_use]
    pub fn is_on_trial(&self, now: time::Time) -> bool {
        now >= self.until
    }
}
