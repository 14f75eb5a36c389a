//! What an endpoint's process sends for a request: a list of pieces, which the end of the process may
//! cut anywhere.

use std::fmt;
use std::str::FromStr;

use pistachiochute_standins::platform::caller::Version;
use pistachiochute_standins::platform::{caller, records};
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;

/// Probability with which an answer has neither length nor chunks.
const UNFRAMED_PROBABILITY: f64 = 0.15;

/// Probability with which an answer names HTTP/1.0.
const OLD_VERSION_PROBABILITY: f64 = 0.2;

/// Probability with which bytes follow an answer that says where it ends.
const BYTES_AFTER_PROBABILITY: f64 = 0.03;

/// Bytes that follow an answer and belong to no request.
const BYTES_AFTER: &[u8] = b"HTTP/1.0 200 Extra\r\nContent-Length: 5\r\n\r\nextra";

/// Probability with which a resumption is not answered with the rest of the stream.
const BAD_RESUMPTION_PROBABILITY: f64 = 0.25;

/// Probability with which the head of the answer to a call stops half-way.
const HALF_HEAD_PROBABILITY: f64 = 0.04;

/// Statuses of errors. None of them says that the request has not run.
const ERRORS: [u16; 6] = [400, 404, 409, 500, 502, 504];

/// Text of an error.
const ERROR_TEXT: &str = "error: no such stream here\n";

/// Place in an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Point {
    /// Inside the head.
    Head,
    /// After the head, before the first piece.
    Start,
    /// Between two pieces.
    Between,
    /// Inside a piece.
    Inside,
}

impl Point {
    /// All places.
    pub(crate) const ALL: [Self; 4] = [Self::Head, Self::Start, Self::Between, Self::Inside];
}

impl fmt::Display for Point {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Head => "head",
            Self::Start => "start",
            Self::Between => "between",
            Self::Inside => "inside",
        })
    }
}

impl FromStr for Point {
    type Err = eyre::Report;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut all = Self::ALL.into_iter();
        let found = all.find(|point| point.to_string() == text);
        found.ok_or_else(|| eyre::eyre!("no place in an answer: {text}"))
    }
}

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Chunked,
    Length,
    /// By the end of the connection.
    Unframed,
}

/// Version of an answer, and how the end of its body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Form {
    version: Version,
    framing: Framing,
}

impl Form {
    fn draw(rng: &mut ChaCha8Rng) -> Self {
        let version = match rng.random_bool(OLD_VERSION_PROBABILITY) {
            true => Version::Http10,
            false => Version::Http11,
        };
        let framing = match (version, rng.random_bool(UNFRAMED_PROBABILITY)) {
            (_, true) => Framing::Unframed,
            (Version::Http10, false) => Framing::Length,
            (Version::Http11, false) => Framing::Chunked,
        };
        Self { version, framing }
    }

    /// Fields of a head before a body of these pieces.
    fn fields(self, pieces: &[String]) -> String {
        match self.framing {
            Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
            Framing::Length => {
                let length: usize = pieces.iter().map(String::len).sum();
                format!("Content-Length: {length}\r\n")
            }
            Framing::Unframed => "Connection: close\r\n".to_owned(),
        }
    }

    fn piece(self, text: &str) -> Vec<u8> {
        match self.framing {
            Framing::Chunked => format!("{:x}\r\n{text}\r\n", text.len()).into_bytes(),
            Framing::Length | Framing::Unframed => text.as_bytes().to_vec(),
        }
    }

    fn end(self) -> Vec<u8> {
        match self.framing {
            Framing::Chunked => b"0\r\n\r\n".to_vec(),
            Framing::Length | Framing::Unframed => Vec::new(),
        }
    }

    /// Whether the connection is closed after an answer.
    fn closes(self) -> bool {
        self.framing == Framing::Unframed || self.version == Version::Http10
    }
}

/// A request, and the run that answers it.
#[derive(Clone, Debug)]
pub(crate) struct Asked<'a> {
    /// Id of the request.
    pub id: &'a str,
    pub is_stream: bool,
    /// Last event that the caller has, if the request resumes a stream.
    pub last_event: Option<u64>,
    /// Pieces of the complete answer.
    pub pieces: u64,
    /// Id of the run.
    pub run: &'a str,
    /// Software version of the process.
    pub version: &'a str,
    /// Seal of the endpoint.
    pub seal: &'a str,
}

impl Asked<'_> {
    /// A piece, with its number, the request, the software version and the run in it.
    fn piece(&self, id: u64) -> String {
        let first = self.first();
        let maker = format!("{} run {} from {first}", self.version, self.run);
        caller::event_of_version(self.id, id, &maker)
    }

    fn first(&self) -> u64 {
        self.last_event.map_or(0, |last| last + 1)
    }

    fn head(&self, version: Version, status: u16, is_sealed: bool, fields: &str) -> Vec<u8> {
        let seal = is_sealed.then_some(self.seal);
        let kind = match self.is_stream && status == 200 {
            true => "text/event-stream",
            false => "text/plain",
        };
        let weights = caller::weights_at(self.first());
        let head = records::run_head(version, status, self.id, weights, seal);
        format!("{head}Content-Type: {kind}\r\n{fields}\r\n").into_bytes()
    }
}

/// Bytes of an answer, in the order in which they are sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Script {
    pub head: Vec<u8>,
    pub pieces: Vec<Vec<u8>>,
    /// What follows the last piece.
    pub end: Vec<u8>,
    /// Whether the connection is closed after the answer.
    pub closes: bool,
    /// Whether the answer is shorter than what the run owes, and does not show it.
    pub is_falsely_whole: bool,
    /// Whether the head says how long the body is, so that nothing has to follow the pieces.
    has_length: bool,
}

impl Script {
    /// Draws the answer to a request.
    pub(crate) fn draw(rng: &mut ChaCha8Rng, asked: &Asked<'_>) -> Self {
        let form = Form::draw(rng);
        let mut script = match asked.last_event {
            Some(_) if rng.random_bool(BAD_RESUMPTION_PROBABILITY) => {
                Self::bad_resumption(rng, asked, form)
            }
            _ => Self::whole(asked, form),
        };
        if !asked.is_stream && rng.random_bool(HALF_HEAD_PROBABILITY) {
            script = script.half_head();
        }
        if rng.random_bool(BYTES_AFTER_PROBABILITY) && form.framing != Framing::Unframed {
            script.end.extend_from_slice(BYTES_AFTER);
        }
        script
    }

    /// An answer of these pieces.
    fn of(
        asked: &Asked<'_>,
        form: Form,
        (status, is_sealed): (u16, bool),
        pieces: &[String],
    ) -> Self {
        Self {
            head: asked.head(form.version, status, is_sealed, &form.fields(pieces)),
            pieces: pieces.iter().map(|piece| form.piece(piece)).collect(),
            end: form.end(),
            closes: form.closes(),
            is_falsely_whole: false,
            has_length: form.framing == Framing::Length,
        }
    }

    fn whole(asked: &Asked<'_>, form: Form) -> Self {
        let pieces: Vec<_> = (asked.first()..asked.pieces)
            .map(|id| asked.piece(id))
            .collect();
        Self::of(asked, form, (200, true), &pieces)
    }

    /// An answer to a resumption that is not the rest of the stream: an error, nothing, or half a head.
    fn bad_resumption(rng: &mut ChaCha8Rng, asked: &Asked<'_>, form: Form) -> Self {
        match rng.random_range(0..6) {
            0 => Self::whole(asked, form).half_head(),
            1 | 2 => Self {
                is_falsely_whole: asked.first() < asked.pieces,
                ..Self::of(asked, form, (200, true), &[])
            },
            _ => {
                let status = ERRORS[rng.random_range(0..ERRORS.len())];
                let is_sealed = rng.random_bool(0.5);
                Self::of(asked, form, (status, is_sealed), &[ERROR_TEXT.to_owned()])
            }
        }
    }

    /// The first half of the head.
    fn half_head(mut self) -> Self {
        self.cut_at(Point::Head, 0);
        self.closes = true;
        self
    }

    /// Leaves out what follows a place, which is drawn among those of the kind.
    pub(crate) fn cut(&mut self, rng: &mut ChaCha8Rng, point: Point) {
        let piece = rng.random_range(0..self.pieces.len().max(1));
        self.cut_at(point, piece);
    }

    /// Leaves out what follows a place. `piece` is the one that is cut, or the last one before the place.
    fn cut_at(&mut self, point: Point, piece: usize) {
        self.end.clear();
        // An answer without pieces is all there once its head with a length is.
        self.is_falsely_whole &= self.has_length && point != Point::Head;
        match point {
            Point::Head => {
                self.head.truncate(self.head.len() / 2);
                self.pieces.clear();
            }
            Point::Start => self.pieces.clear(),
            Point::Between | Point::Inside => self.pieces.truncate(piece + 1),
        }
        if point == Point::Inside
            && let Some(last) = self.pieces.last_mut()
        {
            last.truncate(last.len() / 2);
        }
    }
}
