//! Map with a fixed capacity that evicts the least recently used entry.

use std::collections::BTreeMap;

/// Map that evicts the least recently used entry when it exceeds its capacity. Only
/// [`insert`](Self::insert) counts as a use.
#[derive(Clone, Debug)]
pub struct LruMap<K, V> {
    capacity: usize,
    /// Value and tick of the last use of each key. Invariant: at most `capacity` entries.
    entries: BTreeMap<K, (V, u64)>,
    /// Keys by the tick of their last use. Invariant: one entry for each key of `entries`.
    by_last_use: BTreeMap<u64, K>,
    tick: u64,
}

impl<K, V> LruMap<K, V>
where
    K: Copy + Ord,
{
    /// Makes an empty map that holds at most `capacity` entries.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
            tick: 0,
        }
    }

    /// Inserts or replaces an entry, as the most recently used one. Returns the evicted entry, if
    /// any.
    pub fn insert(&mut self, key: K, value: V) -> Option<(K, V)> {
        self.remove(&key);
        self.tick += 1;
        self.entries.insert(key, (value, self.tick));
        self.by_last_use.insert(self.tick, key);
        if self.entries.len() > self.capacity {
            self.pop_lru()
        } else {
            None
        }
    }

    /// Value of an entry. Does not count as a use.
    #[must_use]
    pub fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|(value, _)| value)
    }

    /// Removes an entry.
    pub fn remove(&mut self, key: &K) -> Option<V> {
        let (value, tick) = self.entries.remove(key)?;
        self.by_last_use.remove(&tick);
        Some(value)
    }

    /// Removes the least recently used entry.
    pub fn pop_lru(&mut self) -> Option<(K, V)> {
        let (_, key) = self.by_last_use.pop_first()?;
        let (value, _) = self.entries.remove(&key)?;
        Some((key, value))
    }

    /// Removes every entry.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.by_last_use.clear();
    }

    /// Entries in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.entries.iter().map(|(key, (value, _))| (key, value))
    }

    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the map is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
