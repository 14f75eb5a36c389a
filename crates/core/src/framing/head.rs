//! Head of a request, as far as it says how the body ends.

use crate::framing::{Body, Fault};

/// Longest text that is compared, in bytes: the digits of the largest length. The names are shorter.
const MAX_TEXT_BYTES: usize = 20;

const CONTENT_LENGTH: &[u8] = b"content-length";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding";
const CHUNKED: &[u8] = b"chunked";

/// A short text in lower case, without the spaces around it.
#[derive(Clone, Copy, Debug, Default)]
struct Text {
    bytes: [u8; MAX_TEXT_BYTES],
    length: usize,
    /// Whether a space has followed.
    is_ended: bool,
    /// Whether it is longer than what is compared, or contains a space.
    is_other: bool,
}

impl Text {
    fn push(&mut self, byte: u8) {
        match byte {
            b' ' | b'\t' => self.is_ended = self.length > 0,
            _ if self.is_ended || self.length == MAX_TEXT_BYTES => self.is_other = true,
            _ => {
                self.bytes[self.length] = byte.to_ascii_lowercase();
                self.length += 1;
            }
        }
    }

    /// The text, or `None` if it is none of those that are looked for.
    fn get(&self) -> Option<&[u8]> {
        (!self.is_other).then(|| &self.bytes[..self.length])
    }

    fn is(&self, text: &[u8]) -> bool {
        self.get() == Some(text)
    }

    /// The number that the text is.
    fn number(&self) -> Option<u64> {
        let digits = self.get()?;
        if !digits.iter().all(u8::is_ascii_digit) {
            return None;
        }
        std::str::from_utf8(digits).ok()?.parse().ok()
    }
}

/// Value of a field.
#[derive(Clone, Copy, Debug)]
enum Value {
    Length(Text),
    Coding(Text),
    Other,
}

/// Part of a line.
#[derive(Clone, Copy, Debug, Default)]
enum Part {
    /// Nothing, but for empty lines before the request.
    #[default]
    Nothing,
    RequestLine,
    /// Start of the line of a field, or of the empty one that ends the head.
    LineStart,
    Name(Text),
    Value(Value),
}

/// A head that is not complete.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Head {
    part: Part,
    /// Whether the last byte was a carriage return.
    is_after_return: bool,
    length: Option<u64>,
    is_chunked: bool,
}

impl Head {
    /// Whether any byte has been read.
    pub(super) const fn has_begun(&self) -> bool {
        !matches!(self.part, Part::Nothing) || self.is_after_return
    }

    /// Reads a byte. Returns how the body ends after the last one.
    pub(super) fn read(&mut self, byte: u8) -> Result<Option<Body>, Fault> {
        match (std::mem::take(&mut self.is_after_return), byte) {
            (true, b'\n') => return self.end_line(),
            (true, _) | (false, b'\n') => return Err(Fault::LineEnd),
            (false, b'\r') => self.is_after_return = true,
            (false, _) => self.read_in_line(byte)?,
        }
        Ok(None)
    }

    fn read_in_line(&mut self, byte: u8) -> Result<(), Fault> {
        match (&mut self.part, byte) {
            (Part::Nothing, _) => self.part = Part::RequestLine,
            (Part::RequestLine, _) => {}
            (Part::LineStart, b' ' | b'\t') => return Err(Fault::Folding),
            (Part::LineStart, b':') | (Part::Name(_), b' ' | b'\t') => {
                return Err(Fault::FieldName);
            }
            (Part::LineStart, _) => {
                let mut name = Text::default();
                name.push(byte);
                self.part = Part::Name(name);
            }
            (Part::Name(name), b':') => {
                let name = *name;
                self.part = Part::Value(self.value_of(&name)?);
            }
            (Part::Name(name), _) => name.push(byte),
            (Part::Value(Value::Length(text) | Value::Coding(text)), _) => text.push(byte),
            (Part::Value(Value::Other), _) => {}
        }
        Ok(())
    }

    /// The value that follows a name.
    fn value_of(&self, name: &Text) -> Result<Value, Fault> {
        let has_length = self.length.is_some();
        match (name.is(CONTENT_LENGTH), name.is(TRANSFER_ENCODING)) {
            (true, _) if has_length => Err(Fault::Length),
            (_, true) if self.is_chunked => Err(Fault::Coding),
            (true, _) if self.is_chunked => Err(Fault::LengthBesideChunks),
            (_, true) if has_length => Err(Fault::LengthBesideChunks),
            (true, _) => Ok(Value::Length(Text::default())),
            (_, true) => Ok(Value::Coding(Text::default())),
            (false, false) => Ok(Value::Other),
        }
    }

    fn end_line(&mut self) -> Result<Option<Body>, Fault> {
        match self.part {
            Part::Nothing => return Ok(None),
            Part::LineStart => return Ok(Some(self.body())),
            Part::Name(_) => return Err(Fault::FieldName),
            Part::Value(Value::Length(text)) => {
                self.length = Some(text.number().ok_or(Fault::Length)?);
            }
            Part::Value(Value::Coding(text)) if text.is(CHUNKED) => self.is_chunked = true,
            Part::Value(Value::Coding(_)) => return Err(Fault::Coding),
            Part::RequestLine | Part::Value(Value::Other) => {}
        }
        self.part = Part::LineStart;
        Ok(None)
    }

    const fn body(&self) -> Body {
        match (self.is_chunked, self.length) {
            (true, _) => Body::Chunks,
            (false, Some(length)) => Body::Length(length),
            (false, None) => Body::Length(0),
        }
    }
}
