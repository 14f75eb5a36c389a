//! Reader of server-sent events that returns complete events only.

use std::io;
use std::io::BufRead as _;

use bytes::Bytes;

/// Maximum length of an event, in bytes.
const MAX_EVENT_LEN: u64 = 256 * 1024;

/// Data of the event that ends an OpenAI-compatible stream.
const END_OF_STREAM_DATA: &[u8] = b"[DONE]";

/// What an event is to its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It has no data, so it is no piece of the stream.
    Comment,
    /// It is the piece with this number.
    Numbered(u32),
    /// It is a piece without a number.
    Unnumbered,
    /// It ends the stream.
    End,
}

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Raw bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// What the event is to its stream.
    pub kind: Kind,
}

impl Event {
    /// Returns the number of the piece.
    pub const fn id(&self) -> Option<u32> {
        match self.kind {
            Kind::Numbered(id) => Some(id),
            Kind::Comment | Kind::Unnumbered | Kind::End => None,
        }
    }

    /// Returns the value of the `data` field.
    pub fn data(&self) -> Option<&[u8]> {
        field(&self.bytes, b"data")
    }
}

/// Reads complete events.
#[derive(Debug)]
pub struct EventReader<R> {
    reader: io::BufReader<R>,
}

impl<R> EventReader<R>
where
    R: io::Read,
{
    pub fn new(reader: R) -> Self {
        Self {
            reader: io::BufReader::new(reader),
        }
    }

    /// Reads the next event. Returns `None` at the end of the stream, where the bytes of an
    /// incomplete event are dropped, and an error if an event exceeds the maximum length.
    pub fn next_event(&mut self) -> io::Result<Option<Event>> {
        let mut bytes = Vec::new();
        loop {
            let start = bytes.len();
            let mut limited = io::Read::take(&mut self.reader, MAX_EVENT_LEN - start as u64);
            limited.read_until(b'\n', &mut bytes)?;
            let line = &bytes[start..];
            if !line.ends_with(b"\n") {
                return end_of_stream(bytes.len());
            }
            if !matches!(line, b"\n" | b"\r\n") {
                continue;
            }
            if start > 0 {
                return Ok(Some(event(bytes)));
            }
            bytes.clear();
        }
    }
}

fn end_of_stream(len: usize) -> io::Result<Option<Event>> {
    if len as u64 >= MAX_EVENT_LEN {
        return Err(io::Error::other("event exceeds the maximum length"));
    }
    Ok(None)
}

fn event(bytes: Vec<u8>) -> Event {
    let kind = match field(&bytes, b"data") {
        None => Kind::Comment,
        Some(END_OF_STREAM_DATA) => Kind::End,
        Some(_) => number(&bytes).map_or(Kind::Unnumbered, Kind::Numbered),
    };
    Event {
        bytes: bytes.into(),
        kind,
    }
}

/// Numeric value of the `id` field.
fn number(bytes: &[u8]) -> Option<u32> {
    let id = field(bytes, b"id")?;
    std::str::from_utf8(id).ok()?.parse().ok()
}

fn field<'a>(bytes: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    bytes.split(|&b| b == b'\n').find_map(|line| {
        let value = line.strip_prefix(name)?.strip_prefix(b":")?;
        Some(value.trim_ascii())
    })
}
