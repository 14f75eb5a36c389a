//! Splits a stream of server-sent events at whole events.

use std::io;
use std::io::BufRead as _;

use bytes::Bytes;

/// Longest event, in bytes.
const MAX_EVENT_LEN: u64 = 256 * 1024;

/// Data of the event that ends an OpenAI-compatible stream.
const END_OF_STREAM_DATA: &[u8] = b"[DONE]";

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Bytes of the event with the blank line that ends it.
    pub bytes: Bytes,
    /// Number that its `id` field holds.
    pub id: Option<u32>,
    /// Whether the event ends the stream.
    pub done: bool,
}

impl Event {
    /// Value of the event's `data` field.
    pub fn data(&self) -> Option<&[u8]> {
        field(&self.bytes, b"data")
    }
}

/// Reads whole events.
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

    /// Reads the next event, or `None` if the stream ends. Bytes of a cut event are dropped.
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
        return Err(io::Error::other("event exceeds its bound"));
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
