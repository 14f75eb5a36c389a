//! Record of one action.

use bytes::Bytes;
use sha2::Digest as _;

use crate::journal::{AttemptId, Fingerprint, UnixMillis};

/// Longest body that is recorded with an outcome, in bytes.
pub const MAX_RECORDED_BODY_BYTES: usize = 512;

/// Longest content type that is recorded with an outcome, in bytes.
pub const MAX_RECORDED_CONTENT_TYPE_BYTES: usize = 64;

const DIGEST_LEN: usize = 32;

/// Answer of an action that ran.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status of the endpoint.
    pub status: u16,
    /// SHA-256 digest of the body.
    pub digest: [u8; DIGEST_LEN],
    /// Content type of the body. Empty if the body was not recorded.
    pub content_type: Bytes,
    /// The body, or `None` if it was too long to be recorded.
    pub body: Option<Bytes>,
}

impl RecordedAnswer {
    /// Records an answer, with its body if it is short enough.
    #[must_use]
    pub fn new(status: u16, content_type: &Bytes, body: &Bytes) -> Self {
        let fits = body.len() <= MAX_RECORDED_BODY_BYTES
            && content_type.len() <= MAX_RECORDED_CONTENT_TYPE_BYTES;
        Self {
            status,
            digest: sha2::Sha256::digest(body).into(),
            content_type: if fits {
                content_type.clone()
            } else {
                Bytes::new()
            },
            body: fits.then(|| body.clone()),
        }
    }

    /// Removes the body and its content type.
    pub(super) fn drop_body(&mut self) {
        self.body = None;
        self.content_type = Bytes::new();
    }

    /// Size of the body and its content type, in bytes.
    pub(super) fn body_len(&self) -> usize {
        self.content_type.len() + self.body.as_ref().map_or(0, Bytes::len)
    }
}

/// State of an action.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The host that reserved the attempt may dispatch it or has dispatched it.
    Reserved {
        /// Time after which the attempt must not be dispatched.
        until: UnixMillis,
    },
    /// The attempt provably did not run. Another attempt may replace it.
    NotRun,
    /// The attempt was dispatched and may have run.
    Unknown,
    /// The attempt ran.
    Run(RecordedAnswer),
}

/// Record of one action.
///
/// Invariants: unless the attempt provably did not run, it is never replaced by another one, and
/// only the host that reserved the attempt changes its state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// Hash of the content of the action's request.
    pub fingerprint: Fingerprint,
    /// The only attempt that may be dispatched.
    pub attempt: AttemptId,
    /// State of the action.
    pub state: State,
}
