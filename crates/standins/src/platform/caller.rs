//! HTTP caller that exposes the exact bytes of its answers, including incomplete ones.
//!
//! It judges by framing alone whether an answer is complete, as a client library does. An answer without a length and
//! without chunks is complete if its connection was closed in order.

use std::fmt::{self, Write as _};
use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout of each read from the connection.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Start of a query that states the pause before each event, in milliseconds.
pub(crate) const PAUSE_PARAMETER: &str = "pause_ms=";

/// An answer, or the part of it that arrived before the connection ended.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// HTTP status, or 0 if no complete head arrived.
    pub status: u16,
    /// Head as text.
    pub head: String,
    /// The part of the body that arrived.
    pub body: String,
    /// Whether the body is complete by its `content-length`, by its last chunk or, if it has neither, by the orderly
    /// end of its connection.
    pub is_complete: bool,
}

impl Answer {
    /// Seal with which the endpoint vouches for the answer.
    #[must_use]
    pub fn seal(&self) -> Option<&str> {
        self.header("x-response-seal")
    }

    /// Whether the connection may carry another request: the answer is complete, and the host did
    /// not say that it closes the connection. With HTTP/1.0 it has to say that it does not.
    #[must_use]
    pub fn keeps_connection(&self) -> bool {
        let says = |word: &str| {
            let connection = self.header("connection");
            connection.is_some_and(|value| value.eq_ignore_ascii_case(word))
        };
        let keeps = match self.head.starts_with("HTTP/1.0") {
            true => says("keep-alive"),
            false => !says("close"),
        };
        self.is_complete && keeps
    }

    /// Value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines
            .find(|(found, _)| found.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }
}

/// Version of HTTP that a caller speaks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Version {
    /// HTTP/1.0, which knows no chunks.
    Http10,
    /// HTTP/1.1.
    #[default]
    Http11,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Http10 => "HTTP/1.0",
            Self::Http11 => "HTTP/1.1",
        })
    }
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Id of the request.
    pub id: String,
    /// Version of HTTP.
    pub version: Version,
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// API key.
    pub key: String,
    /// Additional headers.
    pub headers: Vec<(String, String)>,
}

impl CallerRequest {
    /// Creates a `POST` request.
    #[must_use]
    pub fn new(id: &str, path: &str, key: &str) -> Self {
        Self {
            id: id.to_owned(),
            version: Version::default(),
            method: "POST",
            path: path.to_owned(),
            key: key.to_owned(),
            headers: Vec::new(),
        }
    }

    /// Speaks another version of HTTP.
    #[must_use]
    pub const fn version(mut self, version: Version) -> Self {
        self.version = version;
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Replaces the API key.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        key.clone_into(&mut self.key);
        self
    }

    /// Asks the endpoint for another pause before each event of its stream.
    #[must_use]
    pub fn event_pause(mut self, pause: Duration) -> Self {
        let text = format!("?{PAUSE_PARAMETER}{}", pause.as_millis());
        self.path.push_str(&text);
        self
    }

    /// Sends the request on a connection of its own.
    ///
    /// # Errors
    ///
    /// Connecting or writing fails.
    pub fn open(&self, addr: SocketAddr) -> io::Result<TcpStream> {
        let mut stream = TcpStream::connect(addr)?;
        stream.set_read_timeout(Some(TIMEOUT))?;
        self.write_to(&mut stream)?;
        Ok(stream)
    }

    /// Sends the request on a connection that may have carried others.
    ///
    /// # Errors
    ///
    /// Writing fails.
    pub fn write_to(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut text = format!(
            "{} {} {}\r\nHost: a.example\r\nX-Request-Id: {}\r\nAuthorization: Bearer {}\r\n",
            self.method, self.path, self.version, self.id, self.key,
        );
        for (name, value) in &self.headers {
            // Writing to a string does not fail.
            let _ = write!(text, "{name}: {value}\r\n");
        }
        text.push_str("Content-Length: 4\r\n\r\nbody");
        stream.write_all(text.as_bytes())
    }

    /// Sends the request and reads its answer. The answer is empty if the request cannot be sent.
    #[must_use]
    pub fn send(&self, addr: SocketAddr) -> Answer {
        match self.open(addr) {
            Ok(mut stream) => read(&mut stream),
            Err(_) => Answer::default(),
        }
    }
}

/// Reads one answer, or the part of it that arrives before the connection ends.
pub fn read(stream: &mut TcpStream) -> Answer {
    read_until(stream, |_| false)
}

/// Reads one answer, or the part of it that arrives until it is enough or the connection ends.
pub fn read_until<F>(stream: &mut TcpStream, is_enough: F) -> Answer
where
    F: Fn(&Answer) -> bool,
{
    let mut bytes = Vec::new();
    let mut buf = [0; 4_096];
    loop {
        if let Some(answer) = parse(&bytes, Connection::Open)
            && (answer.is_complete || is_enough(&answer))
        {
            return answer;
        }
        let end = match stream.read(&mut buf) {
            Ok(0) => Connection::Closed,
            Ok(n) => {
                bytes.extend_from_slice(&buf[..n]);
                continue;
            }
            Err(_) => Connection::Failed,
        };
        return parse(&bytes, end).unwrap_or_default();
    }
}

/// State of a connection that an answer is read from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connection {
    Open,
    /// It was closed in order.
    Closed,
    /// It was reset, or nothing came any more.
    Failed,
}

/// Parses an answer, or the part of it that has arrived. Returns `None` if its head is incomplete.
fn parse(bytes: &[u8], connection: Connection) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let status = head.get(9..12)?.parse().ok()?;
    let mut answer = Answer {
        status,
        head: head.to_owned(),
        body: String::new(),
        is_complete: false,
    };
    if matches!(status, 100..=199 | 204 | 304) {
        rest.clone_into(&mut answer.body);
        answer.is_complete = true;
    } else if let Some(len) = answer.header("content-length") {
        let len: usize = len.parse().unwrap_or(usize::MAX);
        answer.is_complete = rest.len() >= len;
        answer.body = rest.get(..len).unwrap_or(rest).to_owned();
    } else if answer.header("transfer-encoding").is_some() {
        (answer.body, answer.is_complete) = decode_chunked(rest);
    } else {
        rest.clone_into(&mut answer.body);
        answer.is_complete = connection == Connection::Closed;
    }
    Some(answer)
}

/// Decodes the complete chunks of a body, and returns whether the last chunk is among them.
fn decode_chunked(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else {
            break;
        };
        if size == 0 {
            return (body, true);
        }
        let Some(chunk) = after.get(..size) else {
            break;
        };
        body.push_str(chunk);
        rest = after.get(size + 2..).unwrap_or("");
    }
    (body, false)
}

/// Name of the line with which an event begins at which the version of the weights changes.
pub const WEIGHTS_LINE: &str = "x-weight-versions";

/// Every so many events of a stream, the version of the weights changes.
const WEIGHTS_SPAN: u64 = 5;

/// Event of each span at which it changes.
const WEIGHTS_CHANGE: u64 = 3;

/// Version of the weights that make an event. All endpoints change them at the same events.
#[must_use]
pub const fn weights_at(id: u64) -> u64 {
    1 + (id + WEIGHTS_SPAN - WEIGHTS_CHANGE) / WEIGHTS_SPAN
}

/// First line of an event at which the version of the weights changes. Empty at all others.
#[must_use]
pub fn weights_line(id: u64) -> String {
    match id % WEIGHTS_SPAN == WEIGHTS_CHANGE {
        true => format!("{WEIGHTS_LINE}: {}\n", weights_at(id)),
        false => String::new(),
    }
}

/// The events of a request's stream that have the given ids.
#[must_use]
pub fn events(request: &str, ids: std::ops::Range<u64>) -> String {
    ids.map(|id| event(request, id)).collect()
}

/// One event of a request's stream.
#[must_use]
pub fn event(request: &str, id: u64) -> String {
    let first = weights_line(id);
    format!("{first}id: {id}\ndata: piece {id} of {request}\n\n")
}

/// One event of a request's stream, made by an endpoint with a software version.
#[must_use]
pub fn event_of_version(request: &str, id: u64, version: &str) -> String {
    let first = weights_line(id);
    format!("{first}id: {id}\ndata: piece {id} of {request} by {version}\n\n")
}

/// Body of the answer to a request.
#[must_use]
pub fn answer_body(request: &str) -> String {
    format!("answer to {request}")
}
