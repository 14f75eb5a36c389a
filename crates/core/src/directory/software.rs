//! Versions of the software that endpoints run.

use std::convert;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Version of the software of an endpoint, as the endpoint states it. Versions have no order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// The version as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl From<&str> for SoftwareVersion {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl FromStr for SoftwareVersion {
    type Err = convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self::from(text))
    }
}
