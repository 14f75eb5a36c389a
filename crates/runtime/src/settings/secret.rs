//! Secrets in the settings.

use std::fmt;

/// Minimum length of a secret, in bytes.
pub const MIN_SECRET_LEN: usize = 16;

/// A shared secret. It has no `Display`, and its `Debug` output omits the secret.
#[derive(Clone)]
pub struct Secret(
    /// Invariant: at least [`MIN_SECRET_LEN`] bytes.
    String,
);

impl Secret {
    /// Creates a secret. Returns `None` if the text is shorter than [`MIN_SECRET_LEN`].
    #[must_use]
    pub fn new(text: &str) -> Option<Self> {
        (text.len() >= MIN_SECRET_LEN).then(|| Self(text.to_owned()))
    }

    /// Bytes of the secret.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
