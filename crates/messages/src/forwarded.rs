//! A caller's request that a host without endpoints passes to another host, and what that host says of
//! it.
//!
//! The request is one HTTP/2 stream to the address for links: its body is a [`Head`] frame followed by
//! the caller's body. The answer is that for the caller, with a [`Verdict`] in [`VERDICT_HEADER`]. A
//! host that does not know such requests takes the stream for a link: it answers without a verdict, and
//! has not run anything.
//!
//! A stream that goes on at another host does so at the version that the asking host has determined: such a
//! request is a stream to [`RESUMPTION_PATH`], with a [`Resumption`] in place of the head. A host of an earlier
//! build, which would determine the version by itself, does not know the path.

use std::fmt;
use std::str::FromStr;

use bytes::Bytes;
use pistachiochute_core::{catalog, streams};

/// Path of the stream.
pub const PATH: &str = "/forwarded";

/// Path of the stream of a request that goes on with an event stream.
pub const RESUMPTION_PATH: &str = "/forwarded-resumption";

/// Header of the answer that holds the [`Verdict`].
pub const VERDICT_HEADER: &str = "forwarded-verdict";

/// Head of a request that is passed on. Encoded by position: the order of fields is fixed.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Head {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers of the caller, but for those that concern one connection.
    pub headers: Vec<(String, Bytes)>,
    /// Time until the deadline of the request when it is sent, in milliseconds.
    pub remaining_ms: u32,
    /// Number of endpoints that the request may still be sent to.
    pub attempts: u32,
    /// Catalog by which the sender routed the request. A host with an older one must not serve it.
    pub catalog: catalog::Version,
    /// Id of the last event that the caller has received, if the sender resumes a stream that the request
    /// began.
    pub after_event: Option<u64>,
}

/// Head of a request that goes on with an event stream. Encoded by position: the order of fields is fixed.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Resumption {
    /// The request.
    pub head: Head,
    /// Version at which the stream began, and the only one at which it may go on.
    pub version: streams::VersionTag,
}

/// What a host says of a request that was passed to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// An endpoint has answered, or the request may have run without an answer.
    Answered,
    /// The host refuses the request for a reason that holds for other hosts as well. It has not run.
    Refused,
    /// The host cannot serve now, and another one may. The request has not run.
    Unable,
}

impl Verdict {
    const ALL: [Self; 3] = [Self::Answered, Self::Refused, Self::Unable];

    /// Text in [`VERDICT_HEADER`].
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Refused => "refused",
            Self::Unable => "unable",
        }
    }
}

/// A text that is not a verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseVerdictError;

impl fmt::Display for ParseVerdictError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a verdict on a forwarded request")
    }
}

impl std::error::Error for ParseVerdictError {}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Verdict {
    type Err = ParseVerdictError;

    fn from_str(text: &str) -> Result<Self, ParseVerdictError> {
        let mut all = Self::ALL.into_iter();
        all.find(|verdict| verdict.as_str() == text)
            .ok_or(ParseVerdictError)
    }
}
