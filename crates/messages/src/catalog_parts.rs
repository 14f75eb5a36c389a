//! Catalogs that do not fit into one frame, in parts that are put together at the receiver.
//!
//! A catalog is as large as the operators' configuration, which the store bounds, and not as a frame. The parts of
//! one version follow each other on a link, with other messages between them.

use std::fmt;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use pistachiochute_core::{catalog, time};

use crate::codec;

/// Largest encoded catalog, in bytes. The store takes a configuration of 1 MiB. What grows most on the way is an API
/// key: it takes 3 bytes there at least, and 32 here, which makes 11 MiB.
pub const MAX_CATALOG_BYTES: usize = 16 << 20;

/// Bytes of the catalog in one part.
pub const PART_BYTES: usize = 64 << 10;

/// Time without a further part after which those that have come are dropped.
pub const PATIENCE: Duration = Duration::from_secs(5);

/// A part of an encoded catalog.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CatalogPart {
    /// Version of the catalog.
    pub version: catalog::Version,
    /// Size of the whole, in bytes.
    pub total: u32,
    /// Position of the part in the whole, in bytes.
    pub offset: u32,
    /// The bytes from there on.
    pub bytes: Bytes,
}

/// An encoded catalog, of which parts are taken one after another.
#[derive(Clone, Debug)]
pub struct EncodedCatalog {
    version: catalog::Version,
    whole: Bytes,
}

impl EncodedCatalog {
    /// Encodes a catalog.
    ///
    /// # Errors
    ///
    /// Returns [`codec::Error::TooLarge`] beyond [`MAX_CATALOG_BYTES`], and [`codec::Error::Malformed`] if it cannot
    /// be encoded.
    pub fn new(content: &catalog::Content) -> Result<Self, codec::Error> {
        let whole = codec::encode_unframed(content)?;
        match whole.len() <= MAX_CATALOG_BYTES {
            true => Ok(Self {
                version: content.version,
                whole,
            }),
            false => Err(codec::Error::TooLarge(whole.len())),
        }
    }

    /// Size of the whole, in bytes.
    #[must_use]
    pub const fn total_bytes(&self) -> usize {
        self.whole.len()
    }

    /// The part at a position, or `None` at the end.
    #[must_use]
    pub fn part_at(&self, offset: usize) -> Option<CatalogPart> {
        if offset >= self.whole.len() {
            return None;
        }
        let end = (offset + PART_BYTES).min(self.whole.len());
        Some(CatalogPart {
            version: self.version,
            total: self.whole.len() as u32,
            offset: offset as u32,
            bytes: self.whole.slice(offset..end),
        })
    }
}

/// Why the parts of a catalog were dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartError {
    /// The catalog would have this many bytes, more than [`MAX_CATALOG_BYTES`].
    TooLarge(u32),
    /// A part does not follow those before it.
    OutOfOrder {
        /// Bytes that had come.
        received: usize,
        /// Position of the part.
        offset: u32,
    },
    /// The parts have more bytes than the whole.
    TooLong,
    /// The bytes are no catalog.
    Malformed(codec::Error),
    /// The bytes are a catalog of this version, which is not that of the parts.
    OtherVersion(catalog::Version),
}

impl fmt::Display for PartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(total) => write!(
                f,
                "catalog of {total} bytes exceeds the limit of {MAX_CATALOG_BYTES} bytes"
            ),
            Self::OutOfOrder { received, offset } => {
                write!(f, "part at {offset} follows {received} bytes")
            }
            Self::TooLong => f.write_str("parts are longer than the whole"),
            Self::Malformed(e) => write!(f, "parts are no catalog: {e}"),
            Self::OtherVersion(version) => write!(f, "parts are a catalog of {version}"),
        }
    }
}

impl std::error::Error for PartError {}

/// Parts of one catalog that have come.
#[derive(Debug)]
struct UnderWay {
    version: catalog::Version,
    total: u32,
    /// Invariant: shorter than `total`.
    bytes: BytesMut,
    last_at: time::Time,
}

/// Puts the parts together that come on one link. Holds those of one version at most.
#[derive(Debug, Default)]
pub struct Assembly {
    under_way: Option<UnderWay>,
}

impl Assembly {
    /// Nothing has come.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a part that came now. Returns the catalog with its last part. A first part takes the place of what was
    /// unfinished.
    ///
    /// # Errors
    ///
    /// Returns an error if the part does not belong to those before it or the whole is none. What has come is
    /// dropped then, and also after the last part.
    pub fn add(
        &mut self,
        part: &CatalogPart,
        now: time::Time,
    ) -> Result<Option<catalog::Content>, PartError> {
        let earlier = self.under_way.take();
        if part.total as usize > MAX_CATALOG_BYTES {
            return Err(PartError::TooLarge(part.total));
        }
        let earlier = earlier.filter(|e| part.offset > 0 && e.is_of(part));
        let mut bytes = earlier.map_or_else(BytesMut::new, |e| e.bytes);
        if bytes.len() != part.offset as usize {
            return Err(PartError::OutOfOrder {
                received: bytes.len(),
                offset: part.offset,
            });
        }
        bytes.extend_from_slice(&part.bytes);
        if bytes.len() > part.total as usize {
            return Err(PartError::TooLong);
        }
        if bytes.len() == part.total as usize {
            return decode(&bytes, part.version).map(Some);
        }
        self.under_way = Some(UnderWay {
            version: part.version,
            total: part.total,
            bytes,
            last_at: now,
        });
        Ok(None)
    }

    /// Drops what is unfinished if no part has come for [`PATIENCE`].
    pub fn expire(&mut self, now: time::Time) {
        let is_late = |u: &UnderWay| now.since(u.last_at) >= PATIENCE;
        if self.under_way.as_ref().is_some_and(is_late) {
            self.under_way = None;
        }
    }

    /// Whether nothing is unfinished.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.under_way.is_none()
    }
}

impl UnderWay {
    fn is_of(&self, part: &CatalogPart) -> bool {
        self.version == part.version && self.total == part.total
    }
}

fn decode(bytes: &[u8], version: catalog::Version) -> Result<catalog::Content, PartError> {
    let content: catalog::Content = codec::decode_unframed(bytes).map_err(PartError::Malformed)?;
    match content.version == version {
        true => Ok(content),
        false => Err(PartError::OtherVersion(content.version)),
    }
}
