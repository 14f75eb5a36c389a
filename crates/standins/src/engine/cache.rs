//! Prefix cache with a bounded number of blocks, and the events that it publishes.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use xxhash_rust::xxh3;

use crate::engine;

/// Bytes of prompt text in one block of the prefix cache.
pub const BLOCK_BYTES: usize = 64;

/// Maximum number of events retained for readers. The oldest is dropped first.
const MAX_EVENTS: usize = 4096;

/// Hashes of the complete blocks of `text`. Each covers its block and all earlier blocks.
#[must_use]
pub fn prefix_blocks(text: &[u8]) -> Vec<u64> {
    let mut parent = 0;
    let chain = text.chunks_exact(BLOCK_BYTES).map(|block| {
        parent = xxh3::xxh3_64_with_seed(block, parent);
        parent
    });
    chain.collect()
}

/// Hashes of the blocks of a prefix in text order, as 16 hexadecimal digits each.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Prefix {
    blocks: Vec<String>,
}

impl Prefix {
    fn new<I>(blocks: I) -> Self
    where
        I: IntoIterator<Item = u64>,
    {
        Self {
            blocks: blocks
                .into_iter()
                .map(|block| format!("{block:016x}"))
                .collect(),
        }
    }
}

#[derive(Clone, Copy, Debug, serde::Serialize)]
#[serde(rename_all = "snake_case")]
enum EventKind {
    Stored,
    Removed,
}

#[derive(Clone, Debug, serde::Serialize)]
pub(super) struct Event {
    seq: u64,
    kind: EventKind,
    #[serde(flatten)]
    prefix: Prefix,
}

#[derive(Debug, serde::Serialize)]
pub(super) struct Events {
    /// Sequence number of the oldest retained event.
    first: u64,
    events: Vec<Event>,
}

#[derive(Debug, serde::Serialize)]
pub(super) struct Snapshot {
    /// Sequence number of the last event that the snapshot includes.
    seq: u64,
    #[serde(flatten)]
    prefix: Prefix,
}

#[derive(Clone, Copy, Debug)]
struct Block {
    parent: Option<u64>,
    last_used: u64,
}

#[derive(Debug)]
pub(super) struct Cache {
    blocks: BTreeMap<u64, Block>,
    /// Blocks by their `last_used`. Invariant: has exactly one entry for each block. The smallest
    /// is evicted first.
    lru: BTreeMap<u64, u64>,
    clock: u64,
    max_blocks: usize,
    events: VecDeque<(Instant, Event)>,
    seq: u64,
    lag: Duration,
    dropped_per_mille: u64,
    seed: u64,
}

impl Cache {
    pub(super) fn new(cfg: &engine::Settings) -> Self {
        Self {
            blocks: BTreeMap::new(),
            lru: BTreeMap::new(),
            clock: 0,
            max_blocks: cfg.cache_blocks,
            events: VecDeque::new(),
            seq: 0,
            lag: cfg.event_lag,
            dropped_per_mille: cfg.dropped_events_per_mille,
            seed: cfg.seed,
        }
    }

    /// Stores a prefix. Returns how many of its leading blocks were already cached.
    pub(super) fn store(&mut self, chain: &[u64]) -> usize {
        let cached = chain
            .iter()
            .take_while(|block| self.blocks.contains_key(block))
            .count();
        let mut stored = Vec::new();
        // The first block is touched last, so that a prefix is evicted from its end.
        for (i, &block) in chain.iter().enumerate().rev() {
            let parent = i.checked_sub(1).map(|i| chain[i]);
            if !self.touch(block, parent) {
                stored.push(block);
            }
        }
        stored.reverse();
        self.publish(EventKind::Stored, stored);
        let removed = self.evict();
        self.publish(EventKind::Removed, removed);
        cached
    }

    /// Marks a block as used now, and adds it if it is not cached. Returns whether it was cached.
    fn touch(&mut self, block: u64, parent: Option<u64>) -> bool {
        self.clock += 1;
        let before = self.blocks.insert(
            block,
            Block {
                parent,
                last_used: self.clock,
            },
        );
        self.lru.insert(self.clock, block);
        if let Some(before) = before {
            self.lru.remove(&before.last_used);
        }
        before.is_some()
    }

    fn evict(&mut self) -> Vec<u64> {
        let mut removed = Vec::new();
        while self.blocks.len() > self.max_blocks {
            let Some((_, block)) = self.lru.pop_first() else {
                break;
            };
            self.blocks.remove(&block);
            removed.push(block);
        }
        removed
    }

    /// Publishes an event, unless it is one of those that are dropped.
    fn publish(&mut self, kind: EventKind, blocks: Vec<u64>) {
        if blocks.is_empty() {
            return;
        }
        self.seq += 1;
        if xxh3::xxh3_64_with_seed(&self.seq.to_le_bytes(), self.seed) % 1000
            < self.dropped_per_mille
        {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        let event = Event {
            seq: self.seq,
            kind,
            prefix: Prefix::new(blocks),
        };
        self.events.push_back((Instant::now() + self.lag, event));
    }

    /// Events with a sequence number above `after` that are old enough to be read.
    pub(super) fn events(&self, after: u64) -> Events {
        let now = Instant::now();
        let due = self
            .events
            .iter()
            .filter(|(at, event)| *at <= now && event.seq > after);
        Events {
            first: self
                .events
                .front()
                .map_or(self.seq + 1, |(_, event)| event.seq),
            events: due.map(|(_, event)| event.clone()).collect(),
        }
    }

    pub(super) fn snapshot(&self) -> Snapshot {
        Snapshot {
            seq: self.seq,
            prefix: Prefix::new(self.blocks.keys().copied()),
        }
    }

    /// The prefix that ends with `block`, or `None` if any of its blocks is not cached.
    pub(super) fn export(&self, block: u64) -> Option<Prefix> {
        let mut chain = Vec::new();
        let mut next = Some(block);
        while let Some(block) = next {
            next = self.blocks.get(&block)?.parent;
            chain.push(block);
        }
        Some(Prefix::new(chain.into_iter().rev()))
    }

    pub(super) fn import(&mut self, prefix: &Prefix) {
        let parse = |text: &String| u64::from_str_radix(text, 16).ok();
        let chain: Vec<u64> = prefix.blocks.iter().map_while(parse).collect();
        self.store(&chain);
    }
}
