//! Quarantine of prompt parts that crash endpoints (queries of death).
//!
//! Some prompts end the process of every endpoint that begins to answer them, because of a part
//! that many requests share. Hosts record the crashes of endpoints with the prompts whose answers
//! had not gone on ([`Crash`]), and the parts on which answers did go on ([`Proof`]), and tell each
//! other. A part that was in several crashes without any answer in between is accused, and requests
//! with it are refused before they reach an endpoint.
//!
//! Crashes at about the same time count as one, since a rack or a domain may have failed, unless
//! requests that were sent after the first were lost in the second. The parts
//! of nearly all requests are in nearly all crashes, but answers on them go on in between. Where
//! the evidence does not tell the parts of a prompt apart, only prompts that contain all of them
//! are refused.
//!
//! An accusation ends with an answer on its part. After [`QUARANTINE`], one host at a time may send
//! a request with the part, as a trial.

mod accusation;
mod evidence;
mod machine;
mod request_keys;
mod verdicts;

pub use accusation::Accusation;
pub use evidence::{Crash, LostRequest, Proof};
pub use machine::{Effects, Quarantine, Update};
pub use request_keys::RequestKeys;
pub use verdicts::{Admission, Verdicts};

use std::fmt;
use std::time::Duration;

use smallvec::SmallVec;

use crate::choice::prompt;
pub use crate::directory::IncarnationKey;

/// Separate crashes after which a part is accused, if no answer on it went on in between.
pub const CRASHES_TO_ACCUSE: usize = 3;

/// Crashes within this time count as one, unless one is known to follow the other.
pub const SIMULTANEOUS: Duration = Duration::from_millis(50);

/// Time for which requests with an accused part are refused before a trial.
pub const QUARANTINE: Duration = Duration::from_secs(600);

/// Time after which an answer that has begun counts as going on.
pub const PROOF_AFTER: Duration = Duration::from_millis(150);

/// Key of a part of prompts for a model, the same on every host.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct PartKey(u64);

impl PartKey {
    /// Key of a part.
    #[must_use]
    pub const fn new(key: u64) -> Self {
        Self(key)
    }

    /// Key of a whole request, which may crash endpoints again if it is repeated. `fields` are what a
    /// repetition has in common with it.
    #[must_use]
    pub fn of_request(fields: &[&[u8]]) -> Self {
        let hash = |seed, field: &&[u8]| xxhash_rust::xxh3::xxh3_64_with_seed(field, seed);
        Self(fields.iter().fold(0, hash))
    }

    /// Hash that assigns the trials of the part to hosts.
    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }
}

impl fmt::Display for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Keys of parts that other prompts may have, in prompt order, or of these and a whole request.
pub type Parts = SmallVec<[PartKey; 4]>;

/// The parts of a prompt that other prompts may have: all of them, since any may be the one that
/// crashes endpoints. Their number is bounded by the head of a request.
#[must_use]
pub fn shared_parts(prompt: &prompt::Prompt) -> Parts {
    let shared = prompt.shared_parts().iter();
    shared.map(|part| PartKey::new(part.key)).collect()
}

/// Whether a prompt has all of these parts.
fn contains_all(prompt: &[PartKey], parts: &[PartKey]) -> bool {
    parts.iter().all(|part| prompt.contains(part))
}
