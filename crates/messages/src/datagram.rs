//! Datagrams between two hosts, for decisions that one host takes for others within a few milliseconds.
//!
//! They travel over UDP to the address at which the receiver accepts links. A datagram may be lost,
//! delayed, or arrive twice, and a host of an earlier build has no such socket: nothing that must hold
//! depends on an answer. Encoded by position: the order of variants and fields is fixed.

use std::fmt;

pub use pistachiochute_core::permits::{Delegate, Delegation, Number};

pub use crate::peer::CachedPart;

/// Largest datagram, in bytes, which fits the packets of common networks.
pub const MAX_LEN: usize = 1_200;

/// Version of the encoding, the first byte of each datagram.
const VERSION: u8 = 1;

/// An endpoint that holds a part of prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct PartHolder {
    /// Hash of the endpoint's identity.
    pub endpoint: u64,
    /// Time since it was first sent a prompt with the part, in milliseconds.
    pub since_ms: u32,
}

/// What a datagram says.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Content {
    /// Shares that the sender leaves to the receiver.
    Delegate(Delegate),
    /// Answers [`Content::Delegate`].
    Delegated {
        /// Number that the next [`Content::Delegate`] repeats.
        number: Number,
    },
    /// Asks the lender of an endpoint for one request.
    AskPermit {
        /// Number that the answer repeats.
        number: Number,
        /// Hash of the endpoint's identity.
        endpoint: u64,
    },
    /// Allows one request, if it is sent soon after it was asked for.
    Permit {
        /// Number of the question.
        number: Number,
        /// Time for which it may be sent, from when it was asked for, in milliseconds.
        valid_ms: u32,
    },
    /// Denies a request.
    NoPermit {
        /// Number of the question.
        number: Number,
        /// Time until the lender expects to have room, in milliseconds.
        retry_ms: u32,
    },
    /// Asks the scheduler of a group of endpoints for a slot.
    AskSlot {
        /// Number that the answer repeats.
        number: Number,
        /// The group.
        group: u64,
        /// Hash of the client account's name, or 0.
        account: u64,
        /// Hash of the name of the sender's failure domain.
        domain: u64,
        /// Priority of the request; 0 is the most urgent.
        priority: u8,
        /// Time until the deadline of the request, in milliseconds.
        remaining_ms: u32,
        /// Hashes of endpoints that the request must not be sent to.
        excluded: Vec<u64>,
    },
    /// The request waits for a slot: the scheduler lives, and an answer follows.
    SlotQueued {
        /// Number of the question.
        number: Number,
    },
    /// Names the endpoint whose slot the request has.
    Slot {
        /// Number of the question.
        number: Number,
        /// Hash of the endpoint's identity.
        endpoint: u64,
    },
    /// No slot is free in time.
    NoSlot {
        /// Number of the question.
        number: Number,
        /// Time until a slot is expected to be free, in milliseconds; 0 if the sender cannot tell, and
        /// the request is to be sent without one.
        retry_ms: u32,
    },
    /// The request whose slot this was has ended, or no longer wants one.
    ReleaseSlot {
        /// The group.
        group: u64,
        /// Number of the question.
        number: Number,
    },
    /// Tells the registrar of a part of prompts that an endpoint is sent a prompt with it.
    RecordPart(CachedPart),
    /// Asks the registrar of a part which endpoints hold it.
    FindPart {
        /// Number that the answer repeats.
        number: Number,
        /// Key of the part.
        part: u64,
    },
    /// Names the endpoints that hold a part, the last used one first.
    PartHolders {
        /// Number of the question.
        number: Number,
        /// The endpoints; none if the sender knows of none.
        holders: Vec<PartHolder>,
    },
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Datagram {
    /// Hash of the sender's name.
    pub from: u64,
    /// What it says.
    pub content: Content,
}

/// Why a datagram could not be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// It has this many bytes, more than [`MAX_LEN`].
    TooLarge(usize),
    /// It is of another version, or empty.
    Version(Option<u8>),
    /// Its bytes are not a datagram.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(len) => write!(
                f,
                "datagram of {len} bytes exceeds the limit of {MAX_LEN} bytes"
            ),
            Self::Version(Some(version)) => write!(f, "datagram has version {version}"),
            Self::Version(None) => f.write_str("datagram is empty"),
            Self::Malformed(cause) => write!(f, "datagram is malformed: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_LEN>()
}

/// Encodes a datagram.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] if it exceeds [`MAX_LEN`].
pub fn encode(datagram: &Datagram) -> Result<Vec<u8>, Error> {
    let encoded = bincode::serde::encode_to_vec((VERSION, datagram), config())
        .map_err(|e| Error::Malformed(e.to_string()))?;
    match encoded.len() {
        len if len > MAX_LEN => Err(Error::TooLarge(len)),
        _ => Ok(encoded),
    }
}

/// Decodes a datagram.
///
/// # Errors
///
/// Returns an error if the bytes are not exactly one datagram of this version.
pub fn decode(bytes: &[u8]) -> Result<Datagram, Error> {
    match bytes.split_first() {
        Some((&VERSION, _)) if bytes.len() <= MAX_LEN => {}
        Some((&VERSION, _)) => return Err(Error::TooLarge(bytes.len())),
        first => return Err(Error::Version(first.map(|(version, _)| *version))),
    }
    let ((_, datagram), used): ((u8, Datagram), usize) =
        bincode::serde::decode_from_slice(bytes, config())
            .map_err(|e| Error::Malformed(e.to_string()))?;
    match used == bytes.len() {
        true => Ok(datagram),
        false => Err(Error::Malformed("bytes follow it".to_owned())),
    }
}
