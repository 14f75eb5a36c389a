//! Entries that another writer leaves in the store: under odd names, of any size, and with fields missing.

use std::time::Duration;

use pistachiochute_standins::platform::store::Store;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};

/// Names behind a prefix. Each ends a parameter of a query, or an escape, in its own way.
const NAMES: [&str; 12] = [
    "R&D", "R+D", "R#D", "R%D", "R D", "%41", "%7e", "a=b&c=d", "é日本", "\u{1}", "~~~", "?",
];

/// Prefixes that hosts read, and one that none reads.
const PREFIXES: [&str; 7] = [
    "servers/",
    "servers/i-",
    "hosts/",
    "quarantine/",
    "beginnings/",
    "streams/",
    "other/",
];

/// Sizes of the values, in bytes: up to the largest that the store takes.
const SIZES: [usize; 5] = [0, 40, 3_000, 70_000, 1_000_000];

/// Leaves a number of entries in the store.
pub(crate) fn leave(store: &Store, seed: u64, entries: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    for _ in 0..entries {
        ForeignEntry::draw(&mut rng).put(store);
    }
}

/// An entry that another writer leaves, for a while or for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ForeignEntry {
    prefix: usize,
    name: usize,
    bytes: usize,
    /// Whether its value looks like an entry with fields of other types.
    is_object: bool,
    /// Whether the store shows it without its value.
    lacks_value: bool,
    /// Time until it is removed, or `None` if it stays.
    stays: Option<Duration>,
}

impl ForeignEntry {
    /// Draws an entry.
    pub(crate) fn draw(rng: &mut ChaCha8Rng) -> Self {
        Self {
            prefix: rng.random_range(0..PREFIXES.len()),
            name: rng.random_range(0..NAMES.len()),
            bytes: SIZES[rng.random_range(0..SIZES.len())],
            is_object: rng.random_bool(0.4),
            lacks_value: rng.random_bool(0.1),
            stays: rng
                .random_bool(0.4)
                .then(|| Duration::from_millis(rng.random_range(500..6_000))),
        }
    }

    fn key(&self) -> String {
        format!("{}{}", PREFIXES[self.prefix], NAMES[self.name])
    }

    /// Writes the entry.
    pub(crate) fn put(&self, store: &Store) {
        let fields = match self.lacks_value {
            true => json!({ "value": null }),
            false => Value::Null,
        };
        store.show_fields(&self.key(), fields);
        let padding = "x".repeat(self.bytes);
        let value = match self.is_object {
            true => json!({
                "service": ["calls"], "address": "127.0.0.1:9", "zone": 7, "state": "unheard-of",
                "slots": -1, "sequence": padding,
            })
            .to_string(),
            false => format!("\u{1}{padding}"),
        };
        store.put_bytes(&self.key(), value.into_bytes());
    }

    /// Time until it is removed, if it does not stay.
    pub(crate) const fn stays(&self) -> Option<Duration> {
        self.stays
    }

    /// Removes the entry.
    pub(crate) fn remove(&self, store: &Store) {
        store.remove(&self.key());
    }
}
