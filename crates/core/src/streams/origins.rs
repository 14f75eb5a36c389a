//! Bounded table of the origins of streams.

use std::collections::{BTreeMap, HashMap};

use crate::streams::{EndpointKey, IncarnationTag, RETENTION, StreamKey, VersionTag};
use crate::time;

/// Most streams in the table. The oldest record makes room for a new one.
pub const MAX_STREAMS: usize = 65_536;

/// Where a stream began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Origin {
    /// Version in the entry of the endpoint by which the host connected that sent the request.
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

/// Connection over which a stream began.
///
/// The host connected by the entry of an incarnation, so that one had started before. If it is alive at
/// a moment after the connection was made, it had its address all along, and the connection is its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Connected {
    /// Incarnation whose entry the host connected by.
    pub to: IncarnationTag,
    /// Time by which the connection was made, on the clock of the host that has the record.
    pub by: time::Time,
}

/// What the host that sent a request knows of the process at the other end of its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KnownProcess {
    /// It is the one of the entry by which the host connected, whose version the origin names.
    Listed,
    /// It is another one, which has said on this connection that it is the incarnation that [`Connected::to`] names.
    /// Its version is that of its entry, which the host did not have; the origin names none.
    Reported,
    /// The host connected by the entry whose version the origin names. Nothing shows yet that the process is its own.
    Claimed,
}

/// What shows that a stream began at the version of its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The host that sent the request knew that the process was the one of the entry.
    Shown,
    /// The process was this incarnation, as it said itself. It has the version of its entry.
    Reported(Connected),
    /// The record comes from the store, and the host that wrote it was certain.
    ShownBefore,
    /// Nothing yet. A sign of life of the incarnation may show it.
    Open(Option<Connected>),
}

/// The beginning of a stream, as the host that sent its request tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Beginning {
    /// The stream and where it began.
    pub stream: StreamOrigin,
    /// Connection over which it began.
    pub connected: Connected,
    /// What is known of the process at the other end.
    pub process: KnownProcess,
}

impl OriginRecord {
    /// Incarnation that began the stream, or by whose entry the host connected, unless the record itself names the
    /// version.
    #[must_use]
    pub const fn incarnation(&self) -> Option<IncarnationTag> {
        match self.proof {
            Proof::Open(Some(connected)) | Proof::Reported(connected) => Some(connected.to),
            Proof::Shown | Proof::ShownBefore | Proof::Open(None) => None,
        }
    }
}

impl Beginning {
    /// What shows the version.
    #[must_use]
    pub const fn proof(&self) -> Proof {
        match self.process {
            KnownProcess::Listed => Proof::Shown,
            KnownProcess::Reported => Proof::Reported(self.connected),
            KnownProcess::Claimed => Proof::Open(Some(self.connected)),
        }
    }
}

/// Beginning of a stream, as hosts leave it in the store for those that come after them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StoredBeginning {
    /// The stream and where it began.
    pub stream: StreamOrigin,
    /// Incarnation whose entry the host connected by, if it is known. With [`VersionTag::UNLISTED`] and `was_shown`
    /// the incarnation that the process said to be.
    pub incarnation: Option<IncarnationTag>,
    /// Whether the version was proven when it was stored.
    pub was_shown: bool,
}

impl StoredBeginning {
    /// What shows the version to a host that reads the record at a point in time. The connection had been
    /// made by then.
    fn proof(&self, now: time::Time) -> Proof {
        let connected = self.incarnation.map(|to| Connected { to, by: now });
        let is_unlisted = self.stream.origin.version == VersionTag::UNLISTED;
        match (self.was_shown, connected) {
            (true, Some(connected)) if is_unlisted => Proof::Reported(connected),
            (true, _) => Proof::Shown,
            (false, connected) => Proof::Open(connected),
        }
    }
}

/// A stream and its origin, as hosts of an earlier build leave it in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StoredOrigin {
    /// The stream.
    pub stream: StreamOrigin,
    /// Whether the origin was certain when it was stored.
    pub was_certain: bool,
}

/// What is recorded of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OriginRecord {
    /// Its origin.
    pub origin: Origin,
    /// When it was recorded. The stream began at that time or earlier.
    pub recorded_at: time::Time,
    /// What shows that the origin has the version at which the stream began.
    pub proof: Proof,
}

/// One record of the table.
#[derive(Clone, Copy, Debug)]
struct Record {
    record: OriginRecord,
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

    /// Records the beginning of a stream that this host or another one tells now. Replaces an earlier
    /// record of the stream.
    pub fn record_beginning(&mut self, beginning: &Beginning, now: time::Time) {
        let record = OriginRecord {
            origin: beginning.stream.origin,
            recorded_at: now,
            proof: beginning.proof(),
        };
        self.insert(beginning.stream.stream, record);
    }

    /// Records the origin of a stream that a host of an earlier build reports now. Replaces an earlier
    /// record of the stream.
    pub fn record(&mut self, stream: StreamOrigin, now: time::Time) {
        let record = OriginRecord {
            origin: stream.origin,
            recorded_at: now,
            proof: Proof::Open(None),
        };
        self.insert(stream.stream, record);
    }

    /// Records the beginning of a stream that is read from the store now, unless hosts have recorded it.
    pub fn record_stored(&mut self, stored: &StoredBeginning, now: time::Time) {
        self.adopt(stored.stream, stored.proof(now), now);
    }

    /// Records the origin of a stream that hosts of an earlier build have stored, unless hosts have recorded
    /// it.
    pub fn record_stored_origin(&mut self, stored: &StoredOrigin, now: time::Time) {
        let proof = match stored.was_certain {
            true => Proof::ShownBefore,
            false => Proof::Open(None),
        };
        self.adopt(stored.stream, proof, now);
    }

    fn adopt(&mut self, stream: StreamOrigin, proof: Proof, now: time::Time) {
        if self.records.contains_key(&stream.stream) {
            return;
        }
        let record = OriginRecord {
            origin: stream.origin,
            recorded_at: now,
            proof,
        };
        self.insert(stream.stream, record);
    }

    fn insert(&mut self, stream: StreamKey, record: OriginRecord) {
        let number = self.next_number;
        self.next_number += 1;
        if let Some(replaced) = self.records.insert(stream, Record { record, number }) {
            self.order.remove(&replaced.number);
        }
        self.order.insert(number, stream);
        if self.records.len() > MAX_STREAMS {
            self.remove_oldest();
        }
    }

    /// What is recorded of a stream.
    #[must_use]
    pub fn get(&self, stream: StreamKey) -> Option<OriginRecord> {
        Some(self.records.get(&stream)?.record)
    }

    /// Streams from the record with a number on, with the number of each record. Numbers begin at 0 and
    /// grow with each record.
    pub fn recorded_from(
        &self,
        number: u64,
    ) -> impl Iterator<Item = (u64, StreamKey, OriginRecord)> + '_ {
        let ordered = self.order.range(number..);
        ordered.filter_map(|(number, stream)| {
            let record = self.records.get(stream)?.record;
            Some((*number, *stream, record))
        })
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
        record.is_some_and(|r| now.since(r.record.recorded_at) >= RETENTION)
    }

    fn remove_oldest(&mut self) {
        if let Some((_, stream)) = self.order.pop_first() {
            self.records.remove(&stream);
        }
    }
}
