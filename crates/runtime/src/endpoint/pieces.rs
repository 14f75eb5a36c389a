//! Passes an answer on in numbered pieces.

use bytes::Bytes;
use pistachiochute_core::{answer, request, units};
use tokio::sync::mpsc;

/// The receiver of the answer went away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gone;

/// Sends the pieces of one answer, counted so that the receiver can tell a whole answer.
#[derive(Debug)]
pub struct Pieces {
    request: request::RequestId,
    attempt: u8,
    tx: mpsc::Sender<answer::Frame>,
    /// Pieces sent.
    chunks: u32,
    /// Bytes sent.
    bytes: u64,
    /// Whether the status and content type were sent.
    has_head: bool,
}

impl Pieces {
    /// Makes an answer to one attempt, without pieces yet.
    #[must_use]
    pub fn new(request: request::RequestId, attempt: u8, tx: mpsc::Sender<answer::Frame>) -> Self {
        Self {
            request,
            attempt,
            tx,
            chunks: 0,
            bytes: 0,
            has_head: false,
        }
    }

    /// Whether any part of the endpoint's answer was sent.
    #[must_use]
    pub fn has_head(&self) -> bool {
        self.has_head
    }

    /// Sends one reply.
    ///
    /// # Errors
    ///
    /// Returns [`Gone`] if the receiver went away.
    pub fn reply(&self, part: answer::Part) -> Result<(), Gone> {
        let frame = answer::Frame {
            request: self.request,
            attempt: self.attempt,
            part,
        };
        self.tx.blocking_send(frame).map_err(|_| Gone)
    }

    /// Sends the status and content type, once.
    pub(super) fn head(&mut self, status: u16, content_type: Bytes) -> Result<(), Gone> {
        if self.has_head {
            return Ok(());
        }
        self.has_head = true;
        self.reply(answer::Part::Head(answer::Head {
            status,
            content_type,
        }))
    }

    /// Sends a piece of the body.
    pub(super) fn chunk(&mut self, data: Bytes, event: Option<u32>) -> Result<(), Gone> {
        let seq = self.chunks;
        self.chunks += 1;
        self.bytes += data.len() as u64;
        self.reply(answer::Part::Chunk { seq, event, data })
    }

    /// Sends the end of a whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`Gone`] if the receiver went away.
    pub fn end(self, used: Option<units::Tokens>) -> Result<(), Gone> {
        let end = answer::Part::End {
            chunks: self.chunks,
            bytes: self.bytes,
            used,
        };
        self.reply(end)
    }
}
