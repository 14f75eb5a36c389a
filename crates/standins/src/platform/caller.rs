//! HTTP caller that exposes the exact bytes of its answers, including incomplete ones.

use std::fmt::Write as _;
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
    /// Whether the body is complete by its `content-length` or its last chunk.
    pub is_complete: bool,
}

impl Answer {
    /// Seal with which the endpoint vouches for the answer.
    #[must_use]
    pub fn seal(&self) -> Option<&str> {
        self.header("x-response-seal")
    }

    /// Whether the connection may carry another request: the answer is complete, and the host did
    /// not say that it closes the connection.
    #[must_use]
    pub fn keeps_connection(&self) -> bool {
        let says_close = |value: &str| value.eq_ignore_ascii_case("close");
        self.is_complete && !self.header("connection").is_some_and(says_close)
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

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Id of the request.
    pub id: String,
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
            method: "POST",
            path: path.to_owned(),
            key: key.to_owned(),
            headers: Vec::new(),
        }
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
            "{} {} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: {}\r\nAuthorization: Bearer {}\r\n",
            self.method, self.path, self.id, self.key,
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
        if let Some(answer) = parse(&bytes, true)
            && (answer.is_complete || is_enough(&answer))
        {
            return answer;
        }
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => {
                return parse(&bytes, true).unwrap_or_default();
            }
            Ok(n) => bytes.extend_from_slice(&buf[..n]),
        }
    }
}

/// Parses an answer. Returns `None` if its head is incomplete, or if its body is and the connection
/// has not ended.
fn parse(bytes: &[u8], is_ended: bool) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let status = head.get(9..12)?.parse().ok()?;
    let mut answer = Answer {
        status,
        head: head.to_owned(),
        body: String::new(),
        is_complete: false,
    };
    if let Some(len) = answer.header("content-length") {
        let len: usize = len.parse().unwrap_or(usize::MAX);
        answer.is_complete = rest.len() >= len;
        answer.body = rest.get(..len).unwrap_or(rest).to_owned();
    } else {
        (answer.body, answer.is_complete) = decode_chunked(rest);
    }
    (answer.is_complete || is_ended).then_some(answer)
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
