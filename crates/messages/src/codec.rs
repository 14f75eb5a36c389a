//! Codec of the frames between hosts: a little-endian `u32` length followed by a `bincode` value.

use std::fmt;

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Largest encoded value of a frame, in bytes, without the length prefix.
pub const MAX_FRAME_LEN: usize = 1 << 20;

const LEN_BYTES: usize = 4;

/// Why a frame could not be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The encoded value has this many bytes, which exceeds [`MAX_FRAME_LEN`].
    TooLarge(usize),
    /// The bytes are not a value of the expected type.
    Malformed(String),
    /// This many bytes follow the value.
    Trailing(usize),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(len) => write!(
                f,
                "frame of {len} bytes exceeds the limit of {MAX_FRAME_LEN} bytes"
            ),
            Self::Malformed(cause) => write!(f, "frame is malformed: {cause}"),
            Self::Trailing(len) => write!(f, "frame has {len} bytes after its value"),
        }
    }
}

impl std::error::Error for Error {}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_FRAME_LEN>()
}

/// Encodes a value as a frame.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] if the encoded value exceeds [`MAX_FRAME_LEN`], and
/// [`Error::Malformed`] if the value cannot be encoded.
pub fn encode<T>(value: &T) -> Result<Bytes, Error>
where
    T: serde::Serialize,
{
    let encoded = bincode::serde::encode_to_vec(value, config())
        .map_err(|e| Error::Malformed(e.to_string()))?;
    if encoded.len() > MAX_FRAME_LEN {
        return Err(Error::TooLarge(encoded.len()));
    }
    let mut buf = BytesMut::with_capacity(LEN_BYTES + encoded.len());
    buf.put_u32_le(encoded.len() as u32);
    buf.put_slice(&encoded);
    Ok(buf.freeze())
}

/// Largest value that [`decode_unframed`] decodes, in bytes.
const MAX_UNFRAMED_LEN: usize = 64 << 20;

/// Encodes a value whose size others bound, without a length prefix.
///
/// # Errors
///
/// Returns [`Error::Malformed`] if the value cannot be encoded.
pub fn encode_unframed<T>(value: &T) -> Result<Bytes, Error>
where
    T: serde::Serialize,
{
    let encoded = bincode::serde::encode_to_vec(value, bincode::config::standard());
    let encoded = encoded.map_err(|e| Error::Malformed(e.to_string()))?;
    Ok(encoded.into())
}

/// Decodes what [`encode_unframed`] has encoded.
///
/// # Errors
///
/// Returns an error if the bytes are not exactly one value of the type, or take more memory than the largest one may.
pub fn decode_unframed<T>(bytes: &[u8]) -> Result<T, Error>
where
    T: serde::de::DeserializeOwned,
{
    let config = bincode::config::standard().with_limit::<MAX_UNFRAMED_LEN>();
    decode_with(bytes, config)
}

fn decode_with<T, C>(bytes: &[u8], config: C) -> Result<T, Error>
where
    T: serde::de::DeserializeOwned,
    C: bincode::config::Config,
{
    let (value, used) = bincode::serde::decode_from_slice(bytes, config)
        .map_err(|e| Error::Malformed(e.to_string()))?;
    match bytes.len() - used {
        0 => Ok(value),
        left => Err(Error::Trailing(left)),
    }
}

/// Decodes the value of one frame, without the length prefix.
///
/// # Errors
///
/// Returns an error if the bytes are not exactly one value of the type.
pub fn decode<T>(bytes: &[u8]) -> Result<T, Error>
where
    T: serde::de::DeserializeOwned,
{
    decode_with(bytes, config())
}

/// Decodes a buffer that holds exactly one frame, with the length prefix.
///
/// # Errors
///
/// Returns an error if the buffer is not one complete frame with a value of the type.
pub fn decode_frame<T>(bytes: &[u8]) -> Result<T, Error>
where
    T: serde::de::DeserializeOwned,
{
    let mut decoder = Decoder::new();
    decoder.extend(bytes);
    let incomplete = || Error::Malformed("frame is incomplete".to_owned());
    let value = decoder.take()?.ok_or_else(incomplete)?;
    match decoder.is_empty() {
        true => Ok(value),
        false => Err(Error::Trailing(decoder.take_rest().len())),
    }
}

/// Buffers received bytes and splits them into frames.
#[derive(Debug, Default)]
pub struct Decoder {
    /// Bytes received and not yet decoded. Invariant: no longer than one frame and one read.
    buf: BytesMut,
}

impl Decoder {
    /// Creates an empty decoder.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends received bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Removes and decodes the next complete frame. Returns `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the frame is too large or malformed.
    pub fn take<T>(&mut self) -> Result<Option<T>, Error>
    where
        T: serde::de::DeserializeOwned,
    {
        if self.buf.len() < LEN_BYTES {
            return Ok(None);
        }
        let len = u32::from_le_bytes([self.buf[0], self.buf[1], self.buf[2], self.buf[3]]) as usize;
        if len > MAX_FRAME_LEN {
            return Err(Error::TooLarge(len));
        }
        if self.buf.len() < LEN_BYTES + len {
            return Ok(None);
        }
        self.buf.advance(LEN_BYTES);
        let frame = self.buf.split_to(len);
        decode(&frame).map(Some)
    }

    /// Removes and returns all buffered bytes, which follow the frames decoded so far.
    pub fn take_rest(&mut self) -> Bytes {
        self.buf.split().freeze()
    }

    /// Number of buffered bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.buf.len()
    }

    /// Whether no bytes are buffered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }
}
