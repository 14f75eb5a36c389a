//! Body in chunks, with extensions and trailers.

use crate::framing::Fault;

/// Part of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// Size of a chunk: what its digits say so far, if there is any.
    Size(Option<u64>),
    /// Spaces after a size.
    AfterSize(u64),
    Extension(u64),
    /// Data of which this many bytes are missing.
    Data(u64),
    /// End of the line after the data.
    DataEnd,
    /// Start of the line of a trailer, or of the empty one that ends the body.
    TrailerStart,
    Trailer,
}

/// A body that is not complete.
#[derive(Clone, Copy, Debug)]
pub(super) struct Chunks {
    part: Part,
    /// Whether the last byte was a carriage return.
    is_after_return: bool,
}

impl Default for Chunks {
    fn default() -> Self {
        Self {
            part: Part::Size(None),
            is_after_return: false,
        }
    }
}

impl Chunks {
    /// Reads some of the bytes, of which there is at least one. Returns how many, and whether the body
    /// ends with them.
    pub(super) fn read(&mut self, bytes: &[u8]) -> Result<(usize, bool), Fault> {
        if let Part::Data(missing) = &mut self.part {
            let read = usize::try_from(*missing).map_or(bytes.len(), |n| n.min(bytes.len()));
            *missing -= read as u64;
            if *missing == 0 {
                self.part = Part::DataEnd;
            }
            return Ok((read, false));
        }
        let is_over = self.read_byte(bytes[0])?;
        Ok((1, is_over))
    }

    fn read_byte(&mut self, byte: u8) -> Result<bool, Fault> {
        match (std::mem::take(&mut self.is_after_return), byte) {
            (true, b'\n') => return self.end_line(),
            (true, _) | (false, b'\n') => return Err(Fault::LineEnd),
            (false, b'\r') => self.is_after_return = true,
            (false, _) => self.part = self.part_after(byte)?,
        }
        Ok(false)
    }

    /// The part that a byte belongs to, which ends no line.
    fn part_after(&self, byte: u8) -> Result<Part, Fault> {
        match (self.part, byte) {
            (Part::Size(Some(size)) | Part::AfterSize(size), b' ' | b'\t') => {
                Ok(Part::AfterSize(size))
            }
            (Part::Size(Some(size)) | Part::AfterSize(size), b';') => Ok(Part::Extension(size)),
            (Part::Size(size), _) => {
                let digit = char::from(byte).to_digit(16).ok_or(Fault::Chunk)?;
                let shifted = size.unwrap_or(0).checked_mul(16).ok_or(Fault::Chunk)?;
                Ok(Part::Size(Some(shifted + u64::from(digit))))
            }
            (Part::Extension(_), _) => Ok(self.part),
            (Part::TrailerStart, b' ' | b'\t') => Err(Fault::Folding),
            (Part::TrailerStart | Part::Trailer, _) => Ok(Part::Trailer),
            (Part::AfterSize(_) | Part::Data(_) | Part::DataEnd, _) => Err(Fault::Chunk),
        }
    }

    /// Ends a line. Returns whether it ends the body.
    fn end_line(&mut self) -> Result<bool, Fault> {
        self.part = match self.part {
            Part::Size(Some(0)) | Part::AfterSize(0) | Part::Extension(0) | Part::Trailer => {
                Part::TrailerStart
            }
            Part::Size(Some(size)) | Part::AfterSize(size) | Part::Extension(size) => {
                Part::Data(size)
            }
            Part::DataEnd => Part::Size(None),
            Part::TrailerStart => return Ok(true),
            Part::Size(None) | Part::Data(_) => return Err(Fault::Chunk),
        };
        Ok(false)
    }
}
