//! What of a request may crash endpoints.

use crate::quarantine::{PartKey, Parts};

/// Keys of one request: the parts of its prompt that other prompts may have, and the request itself,
/// which may be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestKeys {
    /// Invariant: the last one is `own`.
    keys: Parts,
    /// Key of the request itself.
    own: PartKey,
}

impl RequestKeys {
    /// Keys of a request with these shared parts, which are none for a request without a prompt.
    #[must_use]
    pub fn new(shared_parts: Parts, request: PartKey) -> Self {
        let mut keys = shared_parts;
        keys.push(request);
        Self { keys, own: request }
    }

    /// All keys. A crash counts against each of them, and an answer speaks for each of them.
    #[must_use]
    pub const fn all(&self) -> &Parts {
        &self.keys
    }

    /// Key of the request itself.
    #[must_use]
    pub const fn own(&self) -> PartKey {
        self.own
    }

    /// The shared parts, or the request itself if there are none.
    #[must_use]
    pub fn shared(&self) -> &[PartKey] {
        match self.keys.as_slice() {
            [shared @ .., _] if !shared.is_empty() => shared,
            request => request,
        }
    }
}
