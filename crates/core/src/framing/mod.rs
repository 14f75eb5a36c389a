//! Where the requests on a connection begin and end, and whether that is beyond doubt.
//!
//! Programs that disagree on where a request ends let a caller hide one request in another. An HTTP
//! library may settle a doubt quietly, so [`Framing`] looks at the bytes before the library does, and
//! says from which byte on they are to be refused. It keeps a few bytes of a line at most, and its
//! verdict does not depend on how the bytes are split.

mod chunks;
mod head;

use std::fmt;

/// Why the bytes of a connection are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A carriage return or a line feed stands by itself.
    LineEnd,
    /// A line continues the field before it.
    Folding,
    /// The name of a field is empty, contains a space, or has no colon.
    FieldName,
    /// The length is no number, or stated twice.
    Length,
    /// The body has another coding than chunks alone, or its coding is stated twice.
    Coding,
    /// A length stands beside chunks.
    LengthBesideChunks,
    /// A chunk has no size, or does not end where it says.
    Chunk,
}

impl Fault {
    /// Name of the fault in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::LineEnd => "line_end",
            Self::Folding => "folding",
            Self::FieldName => "field_name",
            Self::Length => "length",
            Self::Coding => "coding",
            Self::LengthBesideChunks => "length_beside_chunks",
            Self::Chunk => "chunk",
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// How the body of a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Body {
    Length(u64),
    Chunks,
}

/// What the next byte belongs to.
#[derive(Clone, Copy, Debug)]
enum State {
    Head(head::Head),
    /// A body of which this many bytes are missing. Invariant: at least one.
    Body(u64),
    Chunks(chunks::Chunks),
    Refused {
        fault: Fault,
        place: Place,
    },
}

/// Where a fault was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// In a head, whose request has not begun.
    Head,
    /// In the body of a request.
    Body,
}

/// Follows the requests that arrive on one connection.
#[derive(Clone, Copy, Debug)]
pub struct Framing {
    state: State,
    requests: u64,
}

impl Default for Framing {
    fn default() -> Self {
        Self {
            state: State::Head(head::Head::default()),
            requests: 0,
        }
    }
}

impl Framing {
    /// Reads the next bytes. Returns how many of them may be passed on: all, unless a fault is found.
    pub fn read(&mut self, bytes: &[u8]) -> usize {
        let mut done = 0;
        while done < bytes.len() {
            match self.step(&bytes[done..]) {
                Ok(read) => done += read,
                Err(fault) => {
                    let place = self.place();
                    self.state = State::Refused { fault, place };
                    return done;
                }
            }
        }
        done
    }

    /// Why the bytes are refused, if they are.
    #[must_use]
    pub const fn fault(&self) -> Option<Fault> {
        match self.state {
            State::Refused { fault, .. } => Some(fault),
            State::Head(_) | State::Body(_) | State::Chunks(_) => None,
        }
    }

    /// Where the next byte belongs, or the one that was refused.
    #[must_use]
    pub const fn place(&self) -> Place {
        match self.state {
            State::Refused { place, .. } => place,
            State::Head(_) => Place::Head,
            State::Body(_) | State::Chunks(_) => Place::Body,
        }
    }

    /// Whether a part of a head has been read, but not all of it.
    #[must_use]
    pub const fn is_within_head(&self) -> bool {
        match &self.state {
            State::Head(head) => head.has_begun(),
            State::Body(_) | State::Chunks(_) | State::Refused { .. } => false,
        }
    }

    /// Number of complete heads.
    #[must_use]
    pub const fn requests(&self) -> u64 {
        self.requests
    }

    /// Reads some of the bytes, of which there is at least one. Returns how many.
    fn step(&mut self, bytes: &[u8]) -> Result<usize, Fault> {
        match &mut self.state {
            State::Refused { fault, .. } => Err(*fault),
            State::Body(missing) => {
                let read = usize::try_from(*missing).map_or(bytes.len(), |n| n.min(bytes.len()));
                *missing -= read as u64;
                if *missing == 0 {
                    self.state = State::Head(head::Head::default());
                }
                Ok(read)
            }
            State::Chunks(chunks) => {
                let (read, is_over) = chunks.read(bytes)?;
                if is_over {
                    self.state = State::Head(head::Head::default());
                }
                Ok(read)
            }
            State::Head(head) => {
                if let Some(body) = head.read(bytes[0])? {
                    self.requests += 1;
                    self.state = match body {
                        Body::Chunks => State::Chunks(chunks::Chunks::default()),
                        Body::Length(0) => State::Head(head::Head::default()),
                        Body::Length(length) => State::Body(length),
                    };
                }
                Ok(1)
            }
        }
    }
}
