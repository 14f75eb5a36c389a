//! Bounded table of the origins of streams.

use std::collections::{BTreeMap, HashMap};

use crate::streams::{EndpointKey, RETENTION, StreamKey, VersionTag};
use crate::time;

/// Most streams in the table. The oldest record makes room for a new one.
pub const MAX_STREAMS: usize = 65_536;

/// Where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Origin {
    /// Version of the endpoint, as far as the host that sent the request knew.
    pub version: VersionTag,
    /// The endpoint that answered.
    pub endpoint: EndpointKey,
}

/// A stream and its origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StreamOrigin {
    /// The stream.
    pub stream: StreamKey,
    /// Where it began.
    pub origin: Origin,
}

/// One record of the table.
#[derive(Clone, Copy, Debug)]
struct Record {
    origin: Origin,
    recorded_at: time::Time,
    /// Key of the record in [`Origins::order`].
    number: u64,
}

/// Origins of the streams that began in the last [`RETENTION`].
#[derive(Debug, Default)]
pub struct Origins {
    records: HashMap<StreamKey, Record>,
    /// Streams in the order in which they were recorded. Invariant: has one entry per record.
    order: BTreeMap<u64, StreamKey>,
    next_number: u64,
}

impl Origins {
    /// An empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the origin of a stream that began now, or that another host reports now. Replaces an
    /// earlier record of the stream.
    pub fn record(&mut self, stream: StreamOrigin, now: time::Time) {
        let number = self.next_number;
        self.next_number += 1;
        let record = Record {
            origin: stream.origin,
            recorded_at: now,
            number,
        };
        if let Some(replaced) = self.records.insert(stream.stream, record) {
            self.order.remove(&replaced.number);
        }
        self.order.insert(number, stream.stream);
        if self.records.len() > MAX_STREAMS {
            self.remove_oldest();
        }
    }

    /// Origin of a stream, and when it was recorded. The stream began at that time or earlier.
    #[must_use]
    pub fn get(&self, stream: StreamKey) -> Option<(Origin, time::Time)> {
        let record = self.records.get(&stream)?;
        Some((record.origin, record.recorded_at))
    }

    /// Drops the records that are older than [`RETENTION`].
    pub fn tick(&mut self, now: time::Time) {
        while self.is_oldest_expired(now) {
            self.remove_oldest();
        }
    }

    /// Number of streams in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the table has no stream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn is_oldest_expired(&self, now: time::Time) -> bool {
        let oldest = self.order.first_key_value();
        let record = oldest.and_then(|(_, stream)| self.records.get(stream));
        record.is_some_and(|r| now.since(r.recorded_at) >= RETENTION)
    }

    fn remove_oldest(&mut self) {
        if let Some((_, stream)) = self.order.pop_first() {
            self.records.remove(&stream);
        }
    }
}
