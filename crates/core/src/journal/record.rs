//! Record of one action.

use bytes::Bytes;
use sha2::Digest as _;

use crate::journal::{AttemptId, Fingerprint, UnixMillis};

/// Longest body that is kept with an outcome, in bytes.
pub const MAX_RECORDED_BODY_BYTES: usize = 512;

/// Longest content type that is kept with an outcome, in bytes.
pub const MAX_RECORDED_CONTENT_TYPE_BYTES: usize = 64;

const DIGEST_LEN: usize = 32;

/// Answer of an action that ran.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status of the endpoint.
    pub status: u16,
    /// SHA-256 digest of the body.
    pub digest: [u8; DIGEST_LEN],
    /// Content type of the body. Empty if the body was not kept.
    pub content_type: Bytes,
    /// The body, or `None` if it was too long to be kept.
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

    /// Leaves out the body.
    pub(super) fn drop_body(&mut self) {
        self.body = None;
        self.content_type = Bytes::new();
    }

    /// Bytes that the body and its type take up.
    pub(super) fn body_len(&self) -> usize {
        self.content_type.len() + self.body.as_ref().map_or(0, Bytes::len)
    }
}

/// State of an action.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The attempt may be dispatched, or has been, by the host that reserved it.
    Reserved {
        /// Time after which the attempt is not dispatched any more.
        #[serde(rename = "until")]
        not_after: UnixMillis,
    },
    /// The attempt was proved not to have run. Another attempt may take its place.
    NotRun,
    /// The attempt was dispatched and its fate is not known.
    Unknown,
    /// The attempt ran.
    Run(RecordedAnswer),
}

/// Record of one action.
///
/// Invariants: while the attempt is not proved not to have run, the record keeps its attempt; only
/// the host that reserved the attempt changes its state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Record {
    /// Hash of what the action asks for.
    pub fingerprint: Fingerprint,
    /// The only attempt that may be dispatched.
    pub attempt: AttemptId,
    /// State of the action.
    pub state: State,
}
