//! Sender of an answer as numbered frames.

use bytes::{Bytes, BytesMut};
use pistachiochute_core::{answer, journal, request, units};
use tokio::sync::mpsc;

use crate::http_client;

/// Error: the receiver of the answer is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceiverClosed;

/// Sends the frames of one answer. The end frame holds the numbers of chunks and bytes, from which
/// the receiver detects an incomplete answer.
#[derive(Debug)]
pub struct AnswerSender {
    request: request::RequestId,
    attempt: u8,
    tx: mpsc::Sender<answer::Frame>,
    /// Number of chunks sent.
    chunks: u32,
    /// Number of body bytes sent.
    bytes: u64,
    /// Whether the status and content type were sent.
    has_head: bool,
    /// Copy of the answer, if it is recorded in the journal.
    recording: Option<Recording>,
}

/// Copy of an answer that the journal records once it is complete.
#[derive(Debug, Default)]
struct Recording {
    status: u16,
    content_type: Bytes,
    body: BytesMut,
}

impl AnswerSender {
    /// Creates a sender for the answer to one attempt.
    #[must_use]
    pub fn new(request: request::RequestId, attempt: u8, tx: mpsc::Sender<answer::Frame>) -> Self {
        Self {
            request,
            attempt,
            tx,
            chunks: 0,
            bytes: 0,
            has_head: false,
            recording: None,
        }
    }

    /// Starts copying the answer for the journal.
    pub fn start_recording(&mut self) {
        self.recording = Some(Recording::default());
    }

    /// Returns the copied answer, or `None` if [`AnswerSender::start_recording`] was not called.
    #[must_use]
    pub fn recorded(&self) -> Option<journal::RecordedAnswer> {
        let recording = self.recording.as_ref()?;
        let body = Bytes::copy_from_slice(&recording.body);
        let recorded =
            journal::RecordedAnswer::new(recording.status, &recording.content_type, &body);
        Some(recorded)
    }

    /// Sends an answer from the journal.
    ///
    /// # Errors
    ///
    /// Returns [`ReceiverClosed`] if the receiver is closed.
    pub fn replay(mut self, recorded: &journal::RecordedAnswer) -> Result<(), ReceiverClosed> {
        self.send_head(recorded.status, recorded.content_type.clone())?;
        self.send_chunk(recorded.body.clone().unwrap_or_default(), None)?;
        self.finish(None)
    }

    /// Returns the cancellation that fires when the receiver is closed.
    pub(super) fn cancellation(&self) -> http_client::Cancellation {
        http_client::Cancellation::OnReceiverClosed(self.tx.clone())
    }

    /// Whether the status and content type were sent.
    #[must_use]
    pub fn has_head(&self) -> bool {
        self.has_head
    }

    /// Sends one frame.
    ///
    /// # Errors
    ///
    /// Returns [`ReceiverClosed`] if the receiver is closed.
    pub fn send(&self, part: answer::Part) -> Result<(), ReceiverClosed> {
        let frame = answer::Frame {
            request: self.request,
            attempt: self.attempt,
            part,
        };
        self.tx.blocking_send(frame).map_err(|_| ReceiverClosed)
    }

    /// Sends the status and content type. Later calls have no effect.
    pub(super) fn send_head(
        &mut self,
        status: u16,
        content_type: Bytes,
    ) -> Result<(), ReceiverClosed> {
        if self.has_head {
            return Ok(());
        }
        self.has_head = true;
        if let Some(recording) = &mut self.recording {
            recording.status = status;
            recording.content_type = content_type.clone();
        }
        self.send(answer::Part::Head(answer::Head {
            status,
            content_type,
        }))
    }

    /// Sends a chunk of the body.
    pub(super) fn send_chunk(
        &mut self,
        data: Bytes,
        event: Option<u32>,
    ) -> Result<(), ReceiverClosed> {
        if let Some(recording) = &mut self.recording {
            recording.body.extend_from_slice(&data);
        }
        let seq = self.chunks;
        self.chunks += 1;
        self.bytes += data.len() as u64;
        self.send(answer::Part::Chunk { seq, event, data })
    }

    /// Sends the end of a complete answer.
    ///
    /// # Errors
    ///
    /// Returns [`ReceiverClosed`] if the receiver is closed.
    pub fn finish(self, used: Option<units::Tokens>) -> Result<(), ReceiverClosed> {
        let end = answer::Part::End {
            chunks: self.chunks,
            bytes: self.bytes,
            used,
        };
        self.send(end)
    }
}
