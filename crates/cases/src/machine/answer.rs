//! The assembly of one answer at an entry host. Bodies are written as texts.

use bytes::Bytes;
use pistachiochute_core::{answer, outcome, reason, request, units};

use crate::machine::retry;

/// Content type of every answer of a case.
const CONTENT_TYPE: Bytes = Bytes::from_static(b"text/event-stream");

/// Settings of the machine.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Request that is answered.
    request: request::RequestId,
    /// Whether the caller asked for a stream of events.
    stream: bool,
}

/// Part of an answer.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Part {
    /// The request was queued.
    Queued,
    /// The request is about to be sent to the endpoint.
    Dispatched,
    /// Status of the answer.
    Head(u16),
    /// Piece of the body.
    Chunk {
        /// Number of the piece.
        seq: u32,
        /// Event that the piece ends with.
        #[serde(default)]
        event: Option<u32>,
        /// The piece.
        text: String,
    },
    /// End marker.
    End {
        /// Pieces sent.
        chunks: u32,
        /// Bytes sent.
        bytes: u64,
        /// Tokens used.
        #[serde(default)]
        used: Option<units::Tokens>,
    },
    /// The attempt failed.
    Failed {
        /// Why.
        reason: reason::Refusal,
        /// Whether the request ran.
        outcome: outcome::Outcome,
    },
}

/// Event of the machine.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// An attempt begins.
    Begin(u8),
    /// Bytes of the attempt were handed to a connection.
    Sent,
    /// A frame arrives.
    Frame {
        /// Request that the frame answers.
        request: request::RequestId,
        /// Attempt that the frame answers.
        attempt: u8,
        /// The part.
        part: Part,
    },
    /// The connection of the attempt is lost.
    Lost(reason::Refusal),
}

/// Outcome of an event.
#[derive(Clone, Debug, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The engine is asked to resume after this event.
    ResumeAfter(u32),
    /// The caller gets bytes.
    Deliver {
        /// The bytes.
        text: String,
        /// Whether the answer is whole.
        end: bool,
    },
    /// The frame is discarded because it answers another request.
    OtherRequest,
    /// The frame is discarded because it answers an attempt that is not under way.
    OtherAttempt,
    /// The frame is discarded because it was received before.
    Duplicate,
    /// The attempt failed.
    Failed {
        /// Why.
        reason: reason::Refusal,
        /// Evidence of the attempt.
        outcome: outcome::Outcome,
        /// What another attempt can do.
        recovery: retry::Recovery,
    },
}

/// The machine.
#[derive(Debug)]
pub struct Machine(answer::Assembler);

impl Machine {
    pub(super) fn new(cfg: &Config) -> Self {
        Self(answer::Assembler::new(cfg.request, cfg.stream))
    }

    pub(super) fn apply(&mut self, event: Event) -> Option<Outcome> {
        match event {
            Event::Begin(attempt) => self.0.begin_attempt(attempt).map(Outcome::ResumeAfter),
            Event::Sent => {
                self.0.mark_sent();
                None
            }
            Event::Frame {
                request,
                attempt,
                part,
            } => step(self.0.handle_frame(answer::Frame {
                request,
                attempt,
                part: part.into(),
            })),
            Event::Lost(reason) => Some(failed(&self.0.fail_attempt(reason))),
        }
    }
}

impl From<Part> for answer::Part {
    fn from(part: Part) -> Self {
        match part {
            Part::Queued => Self::Queued,
            Part::Dispatched => Self::Dispatched,
            Part::Head(status) => Self::Head(answer::Head {
                status,
                content_type: CONTENT_TYPE,
            }),
            Part::Chunk { seq, event, text } => Self::Chunk {
                seq,
                event,
                data: text.into(),
            },
            Part::End {
                chunks,
                bytes,
                used,
            } => Self::End {
                chunks,
                bytes,
                used,
            },
            Part::Failed { reason, outcome } => Self::Failed {
                reason,
                outcome,
                retry_after: None,
            },
        }
    }
}

fn step(step: answer::Step) -> Option<Outcome> {
    match step {
        answer::Step::Wait => None,
        answer::Step::Deliver(delivery) => Some(Outcome::Deliver {
            text: text_of(&delivery.data.concat()),
            end: delivery.end,
        }),
        answer::Step::Discarded(answer::Discard::OtherRequest) => Some(Outcome::OtherRequest),
        answer::Step::Discarded(answer::Discard::OtherAttempt) => Some(Outcome::OtherAttempt),
        answer::Step::Discarded(answer::Discard::Duplicate) => Some(Outcome::Duplicate),
        answer::Step::Failed(failure) => Some(failed(&failure)),
    }
}

fn failed(failure: &pistachiochute_core::retry::Failure) -> Outcome {
    Outcome::Failed {
        reason: failure.reason,
        outcome: failure.outcome,
        recovery: failure.recovery.into(),
    }
}

fn text_of(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
