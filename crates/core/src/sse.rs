//! Splits a stream of server-sent events (SSE) and joins the parts of a resumed stream.

use std::fmt;

use bytes::{Bytes, BytesMut};

/// Longest event that is buffered until it is complete, in bytes.
pub const MAX_EVENT_BYTES: usize = 1 << 20;

/// Bytes with which a stream may begin, and which belong to no event.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Why a stream cannot be continued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamError {
    /// An event is longer than [`MAX_EVENT_BYTES`].
    TooLong,
    /// The id of an event is not the one after that of the previous event, which may be of an earlier run.
    Gap {
        /// Id of the previous event.
        after: u64,
        /// Id of the event itself.
        found: u64,
    },
    /// Text that is neither an event nor a comment.
    NoEvent,
    /// A run goes on with an event without an id, so that its place is not known.
    Unnumbered {
        /// Id of the last event of the run before.
        after: u64,
    },
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLong => write!(f, "event exceeds {MAX_EVENT_BYTES} bytes"),
            Self::Gap { after, found } => write!(f, "event {found} follows event {after}"),
            Self::NoEvent => f.write_str("text that is no event"),
            Self::Unnumbered { after } => {
                write!(f, "event without an id goes on after event {after}")
            }
        }
    }
}

impl std::error::Error for StreamError {}

/// Fields of which an endpoint may set one in the first line of an event, before the fields of all events.
///
/// The list is closed and the form is strict, since text of an error must not pass for a part of an event: the
/// name as it stands here, a colon, and a whole number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeadingFields(&'static [&'static str]);

impl LeadingFields {
    /// Fields with these names.
    #[must_use]
    pub const fn new(names: &'static [&'static str]) -> Self {
        Self(names)
    }

    /// The event without its first line, if that sets one of the fields.
    fn skip(self, event: &[u8]) -> &[u8] {
        let text = event.strip_prefix(BYTE_ORDER_MARK).unwrap_or(event);
        let end = text.iter().position(|b| *b == b'\n');
        let (line, rest) = text.split_at(end.map_or(text.len(), |end| end + 1));
        match self.contains(line.trim_ascii_end()) {
            true => rest,
            false => event,
        }
    }

    /// Whether a line sets one of the fields.
    fn contains(self, line: &[u8]) -> bool {
        let value = |name: &&str| line.strip_prefix(name.as_bytes())?.strip_prefix(b":");
        let value = self.0.iter().find_map(value);
        value.is_some_and(|value| is_whole_number(value.strip_prefix(b" ").unwrap_or(value)))
    }
}

fn is_whole_number(text: &[u8]) -> bool {
    let has_digits_only = text.iter().all(u8::is_ascii_digit);
    let number = std::str::from_utf8(text).ok();
    has_digits_only && number.is_some_and(|number| number.parse::<u64>().is_ok())
}

/// Place of a run of an endpoint in the stream of the caller.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Place {
    /// It begins the stream, with any id, or its events have been shown to go on where the caller is.
    #[default]
    Known,
    /// The caller has events of an earlier run. The first event must be the one after its last.
    After(u64),
}

impl Place {
    /// Place of the next run.
    fn of_next(last_id: Option<u64>) -> Self {
        last_id.map_or(Self::Known, Self::After)
    }
}

/// Forwards complete events, each event once.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    /// Fields that the endpoint may set before those of all events.
    leading: LeadingFields,
    /// Bytes that have not been passed on: complete events, and the beginning of one.
    partial: BytesMut,
    /// Whether there may be a complete event among them.
    has_more: bool,
    /// Id of the last forwarded event.
    last_id: Option<u64>,
    /// Place of the present run.
    place: Place,
    /// Number of forwarded events.
    events: u64,
    /// Whether an event with data and without an id was forwarded.
    has_unnumbered: bool,
    /// Why the stream cannot be continued, once the events before it have been returned.
    failed: Option<StreamError>,
}

impl Splitter {
    /// Creates the splitter of a stream of which the caller already has the events up to `last_id`.
    #[must_use]
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            place: Place::of_next(last_id),
            ..Self::default()
        }
    }

    /// Lets events begin with one of these fields.
    #[must_use]
    pub const fn with_leading_fields(mut self, leading: LeadingFields) -> Self {
        self.leading = leading;
        self
    }

    /// Adds received bytes and returns the events that they complete.
    ///
    /// # Errors
    ///
    /// Returns a [`StreamError`] if the stream cannot be continued. If the bytes complete events
    /// before that, these are returned first, and the next call returns the error.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, StreamError> {
        self.add(bytes);
        self.pass_on(usize::MAX)
    }

    /// Adds received bytes. [`Splitter::pass_on`] returns the events that they complete.
    pub fn add(&mut self, bytes: &[u8]) {
        self.partial.extend_from_slice(bytes);
        self.has_more = true;
    }

    /// Whether there may be complete events that have not been passed on.
    #[must_use]
    pub const fn has_more(&self) -> bool {
        self.has_more
    }

    /// Returns the next complete events, of which at most `max` are looked at.
    ///
    /// # Errors
    ///
    /// As [`Splitter::push`].
    pub fn pass_on(&mut self, max: usize) -> Result<Bytes, StreamError> {
        if let Some(e) = self.failed {
            return Err(e);
        }
        let mut passed = BytesMut::new();
        for _ in 0..max {
            let Some(end) = event_end(&self.partial) else {
                self.has_more = false;
                break;
            };
            let event = self.partial.split_to(end);
            match self.record(&event) {
                Ok(()) => passed.unsplit(event),
                Err(e) => return self.fail(passed, e),
            }
        }
        if !self.has_more && self.partial.len() > MAX_EVENT_BYTES {
            return self.fail(passed, StreamError::TooLong);
        }
        Ok(passed.freeze())
    }

    /// Returns the events before an error, or the error if there are none.
    fn fail(&mut self, passed: BytesMut, e: StreamError) -> Result<Bytes, StreamError> {
        self.failed = Some(e);
        self.has_more = false;
        match passed.is_empty() {
            true => Err(e),
            false => Ok(passed.freeze()),
        }
    }

    /// Ends the present run. An incomplete event of it is discarded, since the endpoint that resumes the
    /// stream sends it again from its start.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
        self.has_more = false;
        self.place = Place::of_next(self.last_id);
        self.failed = None;
    }

    /// Whether no incomplete event is buffered and the stream can be continued.
    #[must_use]
    pub fn at_event_boundary(&self) -> bool {
        self.partial.is_empty() && self.failed.is_none()
    }

    /// Id of the last forwarded event.
    #[must_use]
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Number of forwarded events.
    #[must_use]
    pub const fn events(&self) -> u64 {
        self.events
    }

    /// Whether another endpoint can continue the stream. After an event without an id, it would send
    /// events again.
    #[must_use]
    pub const fn is_resumable(&self) -> bool {
        !self.has_unnumbered
    }

    /// Records an event as forwarded, if it goes on where the caller is.
    fn record(&mut self, event: &[u8]) -> Result<(), StreamError> {
        let event = self.leading.skip(event);
        if !has_only_fields(event) {
            return Err(StreamError::NoEvent);
        }
        match (event_id(event), self.last_id) {
            (Some(found), Some(after)) if after.checked_add(1) != Some(found) => {
                return Err(StreamError::Gap { after, found });
            }
            (Some(id), _) => {
                self.last_id = Some(id);
                self.place = Place::Known;
            }
            (None, _) if has_data(event) => self.record_unnumbered()?,
            (None, _) if !is_comment(event) => return Err(StreamError::NoEvent),
            (None, _) => {}
        }
        self.events += 1;
        Ok(())
    }

    /// Records an event with data and without an id.
    fn record_unnumbered(&mut self) -> Result<(), StreamError> {
        match self.place {
            Place::Known => {
                self.has_unnumbered = true;
                Ok(())
            }
            Place::After(after) => Err(StreamError::Unnumbered { after }),
        }
    }
}

/// Length of the first complete event, including the blank line that ends it.
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

/// Field with the data of an event.
const DATA: &[u8] = b"data";

/// Fields that an event without data may have. They do nothing at the caller.
const FIELDS_WITHOUT_DATA: [&[u8]; 2] = [b"event", b"retry"];

/// Fields of events.
const FIELDS: [&[u8]; 4] = [DATA, b"id", b"event", b"retry"];

/// Lines of an event without what ends them.
fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    let event = event.strip_prefix(BYTE_ORDER_MARK).unwrap_or(event);
    let lines = event.split(|b| *b == b'\n');
    lines.map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// Name of the field that a line sets. Empty for a comment.
fn field_name(line: &[u8]) -> &[u8] {
    line.split(|b| *b == b':').next().unwrap_or_default()
}

/// Whether all lines of an event are fields of events or comments. Other text is none of the endpoint's
/// stream, though it follows a line of an event.
fn has_only_fields(event: &[u8]) -> bool {
    lines(event).all(|line| field_name(line).is_empty() || FIELDS.contains(&field_name(line)))
}

/// Whether an event has data. One without is a comment, which may be sent again.
fn has_data(event: &[u8]) -> bool {
    lines(event).any(|line| field_name(line) == DATA)
}

/// Whether an event without an id and data has only comments and fields.
fn is_comment(event: &[u8]) -> bool {
    let event = event.strip_prefix(BYTE_ORDER_MARK).unwrap_or(event);
    let mut lines = event.split(|b| matches!(b, b'\n' | b'\r'));
    lines.all(|line| {
        let name = field_name(line);
        name.is_empty() || FIELDS_WITHOUT_DATA.contains(&name)
    })
}

/// Numeric id of an event, if it has one. The last line with an id counts.
fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n');
    let value = lines.filter_map(id_value).next_back()?;
    std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok()
}

/// Value of a line that sets the id.
fn id_value(line: &[u8]) -> Option<&[u8]> {
    match line.strip_prefix(b"id")? {
        b"" | b"\r" => Some(b""),
        rest => rest.strip_prefix(b":"),
    }
}
