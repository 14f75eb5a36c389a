//! Reader of server-sent events that returns complete events only.

use std::io;
use std::io::BufRead as _;

use bytes::Bytes;

/// Maximum length of an event, in bytes.
const MAX_EVENT_LEN: u64 = 256 * 1024;

/// Data of the event that ends an OpenAI-compatible stream.
const END_OF_STREAM_DATA: &[u8] = b"[DONE]";

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Raw bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// Numeric value of the `id` field.
    pub id: Option<u32>,
    /// Whether the event ends the stream.
    pub done: bool,
}

impl Event {
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
    let id = field(&bytes, b"id").and_then(|id| std::str::from_utf8(id).ok()?.parse().ok());
    let done = field(&bytes, b"data") == Some(END_OF_STREAM_DATA);
    Event {
        bytes: bytes.into(),
        id,
        done,
    }
}

fn field<'a>(bytes: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    bytes.split(|&b| b == b'\n').find_map(|line| {
        let value = line.strip_prefix(name)?.strip_prefix(b":")?;
        Some(value.trim_ascii())
    })
}
