//! A request to a stand-in, and the ways to answer it or to fail it.

use std::io::{Read as _, Write};
use std::time::Duration;

use crate::server;

/// Largest body of a request, in bytes.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// Header that states whether a refused request was run.
const OUTCOME_HEADER: &str = "x-outcome";

/// Value of [`OUTCOME_HEADER`] for a request that was not run.
const NOT_RUN: &str = "not_run";

/// Interval at which a stalled request checks whether the stall has ended.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(5);

fn header(name: &str, value: &str) -> tiny_http::Header {
    tiny_http::Header::from_bytes(name, value).expect("header of a stand-in is ASCII")
}

/// Answers a request with 503 without reading its body.
pub(super) fn refuse_unread(req: tiny_http::Request) {
    let refusal = tiny_http::Response::empty(503).with_header(header(OUTCOME_HEADER, NOT_RUN));
    let sent = req.respond(refusal);
    drop(sent);
}

/// A request whose body has been read and that has not been answered yet.
pub(crate) struct Exchange {
    req: tiny_http::Request,
    body: Vec<u8>,
}

impl Exchange {
    /// Reads the body. Returns `None` if it is truncated or larger than [`MAX_BODY_BYTES`].
    pub(super) fn read(mut req: tiny_http::Request) -> Option<Self> {
        let expected = req.body_length();
        let mut body = Vec::new();
        let read = req
            .as_reader()
            .take(MAX_BODY_BYTES + 1)
            .read_to_end(&mut body);
        let complete = read.is_ok() && expected.is_none_or(|len| len == body.len());
        (complete && body.len() as u64 <= MAX_BODY_BYTES).then_some(Self { req, body })
    }

    /// Method of the request.
    pub(crate) fn method(&self) -> &str {
        self.req.method().as_str()
    }

    /// Path without the query.
    pub(crate) fn path(&self) -> &str {
        let url = self.req.url();
        url.split_once('?').map_or(url, |(path, _)| path)
    }

    /// Value of the query parameter `name`.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.req.url().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Value of the header `name`, whose case is ignored.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.req.headers().iter();
        headers
            .find(|h| h.field.as_str().as_str().eq_ignore_ascii_case(name))
            .map(|h| h.value.as_str())
    }

    /// Parses the body as JSON.
    pub(crate) fn json<T>(&self) -> Result<T, serde_json::Error>
    where
        T: serde::de::DeserializeOwned,
    {
        serde_json::from_slice(&self.body)
    }

    /// Answers with a JSON body.
    pub(crate) fn respond<T>(self, status: u16, value: &T)
    where
        T: serde::Serialize,
    {
        self.respond_with(status, &[], value);
    }

    /// Answers with a JSON body and additional headers.
    pub(crate) fn respond_with<T>(self, status: u16, headers: &[(&str, &str)], value: &T)
    where
        T: serde::Serialize,
    {
        let mut response = tiny_http::Response::from_data(encode(value))
            .with_status_code(status)
            .with_header(header("content-type", "application/json"));
        for (name, value) in headers {
            response.add_header(header(name, value));
        }
        // Sending fails if the caller has disconnected, which the stand-in ignores.
        let sent = self.req.respond(response);
        drop(sent);
    }

    /// Answers with an error in the format of the OpenAI API, and states that the request was not
    /// run.
    pub(crate) fn refuse(self, status: u16, code: &str, message: &str) {
        let value = serde_json::json!({
            "error": { "message": message, "type": "standin_error", "code": code },
        });
        self.respond_with(status, &[(OUTCOME_HEADER, NOT_RUN)], &value);
    }

    /// Sends the head and the first half of the body of a JSON answer, then closes the connection.
    pub(crate) fn respond_truncated<T>(self, value: &T)
    where
        T: serde::Serialize,
    {
        let body = encode(value);
        let half = &body[..body.len() / 2];
        let len = body.len();
        let mut w = self.req.into_writer();
        let sent = write!(
            w,
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {len}\r\n\r\n"
        )
        .and_then(|()| w.write_all(half))
        .and_then(|()| w.flush());
        drop(sent);
    }

    /// Closes the connection without an answer.
    pub(crate) fn hang_up(self) {
        drop(self.req.into_writer());
    }

    /// Sends nothing while `is_stalled` returns true, then closes the connection.
    pub(crate) fn stall<F>(self, control: &server::Control, is_stalled: F)
    where
        F: Fn() -> bool,
    {
        while is_stalled() && control.sleep(STALL_POLL_INTERVAL) {}
        self.hang_up();
    }

    /// Sends the head of a chunked answer and returns the writer of its body.
    pub(crate) fn stream(self, content_type: &str) -> std::io::Result<Body> {
        let mut w = self.req.into_writer();
        write!(
            w,
            "HTTP/1.1 200 OK\r\ncontent-type: {content_type}\r\ncache-control: no-store\r\n\
             transfer-encoding: chunked\r\n\r\n"
        )?;
        w.flush()?;
        let sink = Sink {
            inner: w,
            discard: false,
        };
        Ok(Body {
            encoder: chunked_transfer::Encoder::with_flush_after_write(sink),
        })
    }
}

fn encode<T>(value: &T) -> Vec<u8>
where
    T: serde::Serialize,
{
    serde_json::to_vec(value).expect("answer of a stand-in serializes")
}

/// Writer that discards all data once `discard` is set. The encoder writes the last chunk when it
/// is dropped; discarding it leaves the body truncated.
struct Sink {
    inner: Box<dyn Write + Send>,
    discard: bool,
}

impl Write for Sink {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        if self.discard {
            return Ok(buf.len());
        }
        self.inner.write(buf)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.inner.flush()
    }
}

/// Body of a chunked answer. Each chunk is sent immediately.
pub(crate) struct Body {
    encoder: chunked_transfer::Encoder<Sink>,
}

impl Body {
    /// Sends one chunk. An error means that the caller has disconnected.
    pub(crate) fn send(&mut self, chunk: &[u8]) -> std::io::Result<()> {
        self.encoder.write_all(chunk)?;
        // The encoder writes each chunk but does not flush the buffered writer below it.
        self.encoder.get_mut().flush()
    }

    /// Ends the body with the last chunk.
    pub(crate) fn finish(self) {
        drop(self.encoder);
    }

    /// Closes the connection without the last chunk.
    pub(crate) fn abort(mut self) {
        self.encoder.get_mut().discard = true;
        drop(self.encoder);
    }
}
