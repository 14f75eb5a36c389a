//! Reads whole bodies of callers and endpoints within the memory of the host.
//!
//! A body of one piece is kept as it came. Others are copied into segments, so that they cost what they
//! are long, whatever their pieces, and into one piece once they are complete.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body::Body;
use pistachiochute_core::time;
use pistachiochute_core::units::WorkUnits;
use pistachiochute_runtime::clock;

use crate::traffic::memory;

/// First segment of a body that comes in pieces, in bytes.
const FIRST_SEGMENT_BYTES: usize = 4 << 10;

/// Later segments of a body that comes in pieces, in bytes.
const SEGMENT_BYTES: usize = 16 << 10;

/// Pieces of each body that are read without waiting for those of others.
const FREE_PIECES: usize = 32;

/// Time for which a caller may be behind the least rate with its body.
const MAX_BEHIND: Duration = Duration::from_secs(5);

/// Why a body could not be read.
#[derive(Debug)]
pub(super) enum CollectError<E> {
    /// It exceeds its limit.
    TooLarge,
    /// The host has no room for it.
    NoRoom,
    /// It did not arrive in time, or not at the least rate.
    Stalled,
    /// Its connection failed.
    Body(E),
}

/// Time in which a body must arrive. One of a caller must also keep up with the least rate.
#[derive(Clone, Copy, Debug)]
pub(super) enum Pace {
    /// A body of a caller, with its end.
    Caller(time::Time),
    /// A body that something else bounds.
    Unbounded,
}

impl Pace {
    /// Time that is left for the next piece.
    fn remaining(self, account: &memory::Account) -> Option<Duration> {
        let Self::Caller(end) = self else {
            return None;
        };
        let now = clock::now();
        let remaining = end.since(now);
        Some(match account.is_bounded() {
            true => remaining.min(MAX_BEHIND.saturating_sub(account.behind(now))),
            false => remaining,
        })
    }
}

/// Reads a body of at most `max` bytes, which are leased for `account`.
pub(super) async fn collect<B>(
    mut body: B,
    account: &Arc<memory::Account>,
    max: usize,
    pace: Pace,
) -> Result<Bytes, CollectError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.size_hint().lower() > max as u64 {
        return Err(CollectError::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let Some(first) = next_piece(&mut body, account, pace).await? else {
        return Ok(Bytes::new());
    };
    if first.len() > max {
        return Err(CollectError::TooLarge);
    }
    if body.is_end_stream() {
        let held = account.lease(first.len()).await.map_err(no_room)?;
        return Ok(held.bind(first));
    }
    let mut buffer = Buffer::new(account.clone());
    buffer.push(&first, max).await?;
    if matches!(pace, Pace::Caller(_)) {
        account.record_progress(first.len(), clock::now());
    }
    drop(first);
    let mut pieces = 1;
    while let Some(piece) = next_piece(&mut body, account, pace).await? {
        pieces += 1;
        if pieces > FREE_PIECES {
            let wait = account.take_work(WorkUnits(1), clock::now());
            if !wait.is_zero() {
                tokio::time::sleep(wait).await;
            }
        }
        buffer.push(&piece, max).await?;
        if matches!(pace, Pace::Caller(_)) {
            account.record_progress(piece.len(), clock::now());
        }
    }
    buffer.close().await.map_err(no_room)
}

/// Reads and drops the rest of a body, up to `max` bytes, so that closing the connection does not
/// destroy the answer.
pub(super) async fn discard<B>(mut body: B, max: usize)
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut left = max;
    while let Some(Ok(frame)) = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await {
        let length = frame.data_ref().map_or(0, Bytes::len);
        if length > left {
            return;
        }
        left -= length;
    }
}

fn no_room<E>(_: memory::NoRoom) -> CollectError<E> {
    CollectError::NoRoom
}

/// The next bytes of a body, or `None` at its end. Trailers are dropped.
async fn next_piece<B>(
    body: &mut B,
    account: &memory::Account,
    pace: Pace,
) -> Result<Option<Bytes>, CollectError<B::Error>>
where
    B: Body<Data = Bytes> + Unpin,
{
    loop {
        let next = poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx));
        let frame = match pace.remaining(account) {
            None => next.await,
            Some(remaining) => tokio::time::timeout(remaining, next)
                .await
                .map_err(|_| CollectError::Stalled)?,
        };
        match frame {
            None => return Ok(None),
            Some(Err(e)) => return Err(CollectError::Body(e)),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

/// Bytes in segments, each with its lease. Segments have few sizes, so that the memory of one body fits
/// the next: one buffer that grew would leave gaps of all sizes, and a host could end for want of memory
/// while its budget has room.
pub(super) struct Buffer {
    account: Arc<memory::Account>,
    segments: Vec<(Vec<u8>, memory::Held)>,
    length: usize,
}

impl Buffer {
    /// Creates an empty buffer.
    pub(super) const fn new(account: Arc<memory::Account>) -> Self {
        Self {
            account,
            segments: Vec::new(),
            length: 0,
        }
    }

    /// Appends bytes. The buffer never holds more than `max`.
    pub(super) async fn push<E>(
        &mut self,
        mut piece: &[u8],
        max: usize,
    ) -> Result<(), CollectError<E>> {
        if piece.len() > max - self.length {
            return Err(CollectError::TooLarge);
        }
        self.length += piece.len();
        loop {
            if let Some((segment, _)) = self.segments.last_mut() {
                let spare = segment.capacity() - segment.len();
                let (fits, rest) = piece.split_at(piece.len().min(spare));
                segment.extend_from_slice(fits);
                piece = rest;
            }
            if piece.is_empty() {
                return Ok(());
            }
            let size = match self.segments.is_empty() {
                true => FIRST_SEGMENT_BYTES,
                false => SEGMENT_BYTES,
            };
            let held = self.account.lease(size).await.map_err(no_room)?;
            self.segments.push((Vec::with_capacity(size), held));
        }
    }

    /// The bytes in one piece, with their lease.
    pub(super) async fn close(mut self) -> Result<Bytes, memory::NoRoom> {
        if self.segments.len() <= 1 {
            let only = self.segments.pop();
            return Ok(only.map_or_else(Bytes::new, |(segment, held)| held.bind(segment)));
        }
        let held = self.account.lease(self.length).await?;
        let mut whole = Vec::with_capacity(self.length);
        for (segment, _held) in self.segments {
            whole.extend_from_slice(&segment);
        }
        Ok(held.bind(whole))
    }
}

#[cfg(test)]
mod tests;
