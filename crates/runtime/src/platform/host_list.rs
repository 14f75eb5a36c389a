//! Client of the platform's host list.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use pistachiochute_core::topology;

use crate::platform::http;

/// Largest host list, in bytes.
const MAX_LIST_BYTES: u64 = 4 << 20;

/// Why the host list could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The platform cannot be reached, or its answer is incomplete.
    Unreachable {
        /// What went wrong.
        reason: String,
    },
    /// The platform answered with a status other than 200.
    Status(u16),
    /// The answer is not a host list.
    Malformed {
        /// What is wrong with it.
        reason: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable { reason } => write!(f, "host list cannot be read: {reason}"),
            Self::Status(status) => write!(f, "host list answered with status {status}"),
            Self::Malformed { reason } => write!(f, "host list is malformed: {reason}"),
        }
    }
}

impl std::error::Error for Error {}

/// Client that reads the host list.
#[derive(Clone, Copy, Debug)]
pub struct HostListSource {
    addr: SocketAddr,
    timeout: Duration,
}

impl HostListSource {
    /// Creates a client of the host list at `addr`. Each read takes `timeout` at most.
    #[must_use]
    pub const fn new(addr: SocketAddr, timeout: Duration) -> Self {
        Self { addr, timeout }
    }

    /// Reads the host list.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform cannot be reached, or if its answer has a status other than
    /// 200, or is truncated, malformed or larger than 4 MiB.
    pub fn read(&self) -> Result<topology::HostList, Error> {
        let limits = http::Limits {
            timeout: self.timeout,
            max_bytes: MAX_LIST_BYTES,
        };
        let answer = http::get(self.addr, "/hosts", limits).map_err(|failure| match failure {
            http::Failure::NotSent(err) => Error::Unreachable {
                reason: err.to_string(),
            },
            http::Failure::Sent(reason) => Error::Unreachable { reason },
        })?;
        if answer.status != 200 {
            return Err(Error::Status(answer.status));
        }
        serde_json::from_slice(&answer.body).map_err(|err| Error::Malformed {
            reason: err.to_string(),
        })
    }
}
