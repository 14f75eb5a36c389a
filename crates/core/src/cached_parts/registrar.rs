//! What a registrar knows of the parts that hash to it.

use std::collections::HashMap;

use smallvec::SmallVec;

use crate::choice::prefix;
use crate::time;

/// Most endpoints that are kept for a part. More would not shorten the way to one that has room.
const MAX_HOLDERS: usize = 4;

/// Most parts that a registrar keeps.
const MAX_PARTS: usize = 8_192;

/// An endpoint that holds a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Hash of the endpoint's identity.
    pub endpoint: u64,
    /// When it was first said to hold the part.
    pub since: time::Time,
    /// When it was last said to.
    pub used_at: time::Time,
}

/// Holders of one part, the last used one first.
pub type Holders = SmallVec<[Holder; MAX_HOLDERS]>;

/// Holders of the parts that hash to this host.
#[derive(Debug, Default)]
pub struct Registrar {
    /// Invariant: at most [`MAX_PARTS`], none of them empty.
    parts: HashMap<u64, Holders>,
}

impl Registrar {
    /// Records that an endpoint is sent a prompt with a part.
    pub fn record(&mut self, part: u64, endpoint: u64, now: time::Time) {
        if self.parts.len() >= MAX_PARTS && !self.parts.contains_key(&part) {
            self.make_room(now);
        }
        let holders = self.parts.entry(part).or_default();
        let known = holders.iter().position(|h| h.endpoint == endpoint);
        let since = known.map_or(now, |i| holders.remove(i).since);
        holders.truncate(MAX_HOLDERS - 1);
        holders.insert(
            0,
            Holder {
                endpoint,
                since,
                used_at: now,
            },
        );
    }

    /// Holders of a part that were used lately.
    #[must_use]
    pub fn holders(&self, part: u64, now: time::Time) -> Holders {
        let holders = self.parts.get(&part).into_iter().flatten();
        holders.filter(|h| is_kept(h, now)).copied().collect()
    }

    /// Number of parts that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether no part is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Forgets what was not used lately, and all if that is not enough.
    fn make_room(&mut self, now: time::Time) {
        self.parts.retain(|_, holders| {
            holders.retain(|h| is_kept(h, now));
            !holders.is_empty()
        });
        if self.parts.len() >= MAX_PARTS {
            self.parts.clear();
        }
    }
}

/// Whether an endpoint probably still holds a part.
fn is_kept(holder: &Holder, now: time::Time) -> bool {
    now.since(holder.used_at) < prefix::RETENTION
}
