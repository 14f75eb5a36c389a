//! Heads of answers, as they go on to callers.

use std::fmt;

use http::{HeaderMap, HeaderName, Response, StatusCode, header, response};

use crate::traffic::reply;

/// What of the head of an answer may go on to a caller, or to another host: its status and its end-to-end headers.
///
/// Everything else of a head describes the connection that it came on. Each side makes that for itself, so that an
/// answer which is broken off does not look whole because of what an endpoint said of its own connection.
///
/// Invariants: the status is a final one. The headers are none that concern one connection, and none that says
/// where the body ends. There is no version and no reason phrase.
#[derive(Clone, Debug)]
pub(super) struct AnswerHead {
    status: StatusCode,
    headers: HeaderMap,
}

/// Error for a status that belongs to one connection only, such as a change of its protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NotFinal(pub StatusCode);

impl fmt::Display for NotFinal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "status {} concerns one connection only", self.0.as_u16())
    }
}

impl std::error::Error for NotFinal {}

impl AnswerHead {
    /// Keeps of a head what is not of its connection. Headers of `end_to_end` never are.
    ///
    /// # Errors
    ///
    /// Returns an error if the status is no final one.
    pub(super) fn of(parts: response::Parts, end_to_end: &[HeaderName]) -> Result<Self, NotFinal> {
        let response::Parts {
            status,
            mut headers,
            ..
        } = parts;
        if status.is_informational() {
            return Err(NotFinal(status));
        }
        reply::strip_connection_headers(&mut headers, end_to_end);
        headers.remove(header::CONTENT_LENGTH);
        Ok(Self { status, headers })
    }

    /// Status of the answer.
    pub(super) const fn status(&self) -> StatusCode {
        self.status
    }

    /// Headers of the answer.
    pub(super) const fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Leaves out a header.
    pub(super) fn remove(&mut self, name: HeaderName) {
        self.headers.remove(name);
    }

    /// The answer with this head. The library adds what belongs to the connection of the caller.
    pub(super) fn into_response<B>(self, body: B) -> Response<B> {
        let mut response = Response::new(body);
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}

#[cfg(test)]
mod tests;
