//! Passes an answer on in numbered pieces.

use bytes::{Bytes, BytesMut};
use pistachiochute_core::{answer, journal, request, units};
use tokio::sync::mpsc;

use crate::http_client;

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
    /// Status, content type and body of an answer that is recorded.
    kept: Option<Kept>,
}

/// An answer that is recorded once it is whole.
#[derive(Debug, Default)]
struct Kept {
    status: u16,
    content_type: Bytes,
    body: BytesMut,
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
            kept: None,
        }
    }

    /// Keeps the answer, to be recorded.
    pub fn keep(&mut self) {
        self.kept = Some(Kept::default());
    }

    /// The answer that was kept.
    #[must_use]
    pub fn recorded(&self) -> Option<journal::RecordedAnswer> {
        let kept = self.kept.as_ref()?;
        let body = Bytes::copy_from_slice(&kept.body);
        let recorded = journal::RecordedAnswer::new(kept.status, &kept.content_type, &body);
        Some(recorded)
    }

    /// Sends an answer that was recorded earlier.
    ///
    /// # Errors
    ///
    /// Returns [`Gone`] if the receiver went away.
    pub fn replay(mut self, recorded: &journal::RecordedAnswer) -> Result<(), Gone> {
        self.head(recorded.status, recorded.content_type.clone())?;
        self.chunk(recorded.body.clone().unwrap_or_default(), None)?;
        self.end(None)
    }

    /// Who wants the answer.
    pub(super) fn wanted(&self) -> http_client::Cancellation {
        http_client::Cancellation::OnReceiverClosed(self.tx.clone())
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
        if let Some(kept) = &mut self.kept {
            kept.status = status;
            kept.content_type = content_type.clone();
        }
        self.reply(answer::Part::Head(answer::Head {
            status,
            content_type,
        }))
    }

    /// Sends a piece of the body.
    pub(super) fn chunk(&mut self, data: Bytes, event: Option<u32>) -> Result<(), Gone> {
        if let Some(kept) = &mut self.kept {
            kept.body.extend_from_slice(&data);
        }
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
