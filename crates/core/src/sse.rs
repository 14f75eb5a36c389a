//! Splits a stream of server-sent events, and joins the parts of a resumed one.

use std::fmt;

use bytes::{Bytes, BytesMut};

/// Longest event that is held until it is whole, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Why a stream cannot go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// An event is longer than [`MAX_EVENT_BYTES`].
    TooLong,
    /// The id of an event does not follow that of the one before it.
    Gap {
        /// Id of the event before it.
        after: u64,
        /// Its own id.
        found: u64,
    },
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => write!(f, "event exceeds {MAX_EVENT_BYTES} bytes"),
            Self::Gap { after, found } => write!(f, "event {found} follows event {after}"),
        }
    }
}

impl std::error::Error for StreamError {}

/// Passes whole events on, and no event twice.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    /// Bytes of an event that is not whole yet.
    partial: BytesMut,
    /// Id of the last event that was passed on.
    last_id: Option<u64>,
    /// Events that were passed on.
    events: u64,
}

impl Splitter {
    /// Makes a splitter of a stream that its caller has up to an event already.
    #[must_use]
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Takes received bytes and returns the whole events among them.
    ///
    /// # Errors
    ///
    /// Returns a [`StreamError`] if the stream cannot go on.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, StreamError> {
        self.partial.extend_from_slice(bytes);
        let mut passed = BytesMut::new();
        while let Some(end) = event_end(&self.partial) {
            let event = self.partial.split_to(end);
            if self.is_new(&event)? {
                passed.unsplit(event);
            }
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(StreamError::TooLong);
        }
        Ok(passed.freeze())
    }

    /// Forgets an event that was cut, since another endpoint starts it again.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Whether no part of an event is held.
    #[must_use]
    pub fn at_event_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Id of the last event that was passed on.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Events that were passed on.
    #[must_use]
    pub const fn events(&self) -> u64 {
        self.events
    }

    /// Whether an event is passed on: not if its caller has it already.
    fn is_new(&mut self, event: &[u8]) -> Result<bool, StreamError> {
        let Some(id) = event_id(event) else {
            self.events += 1;
            return Ok(true);
        };
        match self.last_id {
            Some(last) if id <= last => return Ok(false),
            Some(after) if id > after + 1 => return Err(StreamError::Gap { after, found: id }),
            Some(_) | None => {}
        }
        self.last_id = Some(id);
        self.events += 1;
        Ok(true)
    }
}

/// Length of the first event with the blank line that ends it.
fn event_end(buf: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (i, byte) in buf.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &buf[line_start..i];
        if matches!(line, b"" | b"\r") {
            return Some(i + 1);
        }
        line_start = i + 1;
    }
    None
}

/// Numeric id of an event.
fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|b| *b == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
