//! State machine that assembles an answer.

use bytes::Bytes;
use smallvec::SmallVec;

use crate::answer::buffer;
use crate::{answer, outcome, reason, request, retry, units};

/// Bytes for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// Head of the answer. Present only in the first delivery.
    pub head: Option<answer::Head>,
    /// Bytes of the body, in order.
    pub data: SmallVec<[Bytes; 4]>,
    /// Whether these bytes complete the answer.
    pub end: bool,
    /// Tokens used, as the endpoint reports them at the end.
    pub used: Option<units::Tokens>,
}

/// Why a frame was discarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discard {
    /// It answers another request.
    OtherRequest,
    /// It answers an attempt that is not the current one.
    OtherAttempt,
    /// It was received before.
    Duplicate,
}

/// What to do after a frame was handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait for the next frame.
    Wait,
    /// Send these bytes to the caller.
    Deliver(Delivery),
    /// Count the frame as discarded.
    Discarded(Discard),
    /// The attempt failed.
    Failed(retry::Failure),
}

/// The current attempt.
#[derive(Clone, Debug)]
struct Attempt {
    number: u8,
    progress: outcome::Progress,
    /// Whether the attempt resumes the answer of an earlier one.
    resumes: bool,
    /// Expected number of the next chunk.
    next_seq: u32,
    /// Body bytes received.
    bytes: u64,
}

/// Assembles the answer of one request.
#[derive(Clone, Debug)]
pub struct Assembler {
    request: request::RequestId,
    /// Whether the caller asked for a stream of events.
    stream: bool,
    /// Current attempt. Invariant: frames of any other attempt change nothing.
    attempt: Option<Attempt>,
    /// Head that was delivered, or else that of the current attempt.
    head: Option<answer::Head>,
    buffer: buffer::Buffer,
    /// Whether any part of the answer was delivered.
    delivered: bool,
    /// Last event that was delivered completely.
    last_event: Option<u32>,
    /// Whether the delivered bytes end inside an event, or in an answer that has none, so that no
    /// resumption is possible.
    inside_event: bool,
    /// Whether the complete answer was delivered.
    complete: bool,
}

impl Assembler {
    /// Creates the assembler of a request that has no attempts yet.
    #[must_use]
    pub fn new(request: request::RequestId, stream: bool) -> Self {
        Self {
            request,
            stream,
            attempt: None,
            head: None,
            buffer: buffer::Buffer::default(),
            delivered: false,
            last_event: None,
            inside_event: false,
            complete: false,
        }
    }

    /// Begins an attempt. Returns the event after which the engine has to resume the answer, or
    /// `None` if the request runs from its start.
    pub fn begin_attempt(&mut self, number: u8) -> Option<u32> {
        self.buffer.take();
        if !self.delivered {
            self.head = None;
        }
        self.attempt = Some(Attempt {
            number,
            progress: outcome::Progress::NotSent,
            resumes: self.delivered,
            next_seq: 0,
            bytes: 0,
        });
        self.last_event.filter(|_| self.delivered)
    }

    /// Records that bytes of the current attempt were passed to a connection.
    pub fn mark_sent(&mut self) {
        self.advance(outcome::Progress::Sent);
    }

    /// Handles a received frame.
    pub fn handle_frame(&mut self, frame: answer::Frame) -> Step {
        if frame.request != self.request {
            return Step::Discarded(Discard::OtherRequest);
        }
        let current = self.attempt.as_ref().map(|attempt| attempt.number);
        if current != Some(frame.attempt) {
            return Step::Discarded(Discard::OtherAttempt);
        }
        self.handle_part(frame.part)
    }

    /// Ends the current attempt because its connection was lost, stalled or was never made.
    pub fn fail_attempt(&mut self, reason: reason::Refusal) -> retry::Failure {
        self.fail(reason, None, None)
    }

    /// Whether the complete answer was delivered.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.complete
    }

    /// Whether any part of the answer was delivered, so that an error can no longer be sent as a
    /// status.
    #[must_use]
    pub const fn has_delivered(&self) -> bool {
        self.delivered
    }

    fn handle_part(&mut self, part: answer::Part) -> Step {
        match part {
            answer::Part::Queued => self.advance(outcome::Progress::Sent),
            answer::Part::Dispatched => self.advance(outcome::Progress::Dispatched),
            answer::Part::Head(head) => self.handle_head(head),
            answer::Part::Chunk { seq, event, data } => self.handle_chunk(seq, event, data),
            answer::Part::End {
                chunks,
                bytes,
                used,
            } => self.handle_end(chunks, bytes, used),
            answer::Part::Failed {
                reason,
                outcome,
                retry_after,
            } => Step::Failed(self.fail(reason, Some(outcome), retry_after)),
        }
    }

    fn advance(&mut self, progress: outcome::Progress) -> Step {
        if let Some(attempt) = &mut self.attempt {
            attempt.progress = attempt.progress.max(progress);
        }
        Step::Wait
    }

    /// Handles the head. In a resumption it has to equal the head that was delivered.
    fn handle_head(&mut self, head: answer::Head) -> Step {
        self.advance(outcome::Progress::Answering);
        match &self.head {
            Some(delivered) if *delivered != head => self.fail_incomplete(),
            _ => {
                self.head = Some(head);
                Step::Wait
            }
        }
    }

    fn handle_chunk(&mut self, seq: u32, event: Option<u32>, data: Bytes) -> Step {
        let Some(attempt) = &mut self.attempt else {
            return Step::Discarded(Discard::OtherAttempt);
        };
        if seq < attempt.next_seq {
            return Step::Discarded(Discard::Duplicate);
        }
        let first_event_is_new = event.is_none() || event > self.last_event;
        if seq > attempt.next_seq || self.head.is_none() || !first_event_is_new {
            return self.fail_incomplete();
        }
        attempt.next_seq += 1;
        attempt.bytes += data.len() as u64;
        self.buffer.push(data);
        self.release(event)
    }

    /// Delivers the chunks of a stream on arrival, and those of any other answer once the buffer is
    /// full.
    fn release(&mut self, event: Option<u32>) -> Step {
        if !self.stream {
            return if self.buffer.is_full() {
                self.deliver(true)
            } else {
                Step::Wait
            };
        }
        self.last_event = event.or(self.last_event);
        self.deliver(event.is_none())
    }

    fn deliver(&mut self, inside_event: bool) -> Step {
        self.inside_event = inside_event;
        Step::Deliver(self.delivery(false, None))
    }

    fn delivery(&mut self, end: bool, used: Option<units::Tokens>) -> Delivery {
        let first = !self.delivered;
        self.delivered = true;
        Delivery {
            head: self.head.clone().filter(|_| first),
            data: self.buffer.take(),
            end,
            used,
        }
    }

    /// Handles the end marker, whose counts have to match the received chunks.
    fn handle_end(&mut self, chunks: u32, bytes: u64, used: Option<units::Tokens>) -> Step {
        let complete = self.attempt.as_ref().is_some_and(|attempt| {
            attempt.next_seq == chunks && attempt.bytes == bytes && self.head.is_some()
        });
        if !complete {
            return self.fail_incomplete();
        }
        self.attempt = None;
        self.complete = true;
        Step::Deliver(self.delivery(true, used))
    }

    fn fail_incomplete(&mut self) -> Step {
        Step::Failed(self.fail(reason::Refusal::AnswerIncomplete, None, None))
    }

    /// Ends the current attempt. Frames of it that arrive later are discarded.
    fn fail(
        &mut self,
        reason: reason::Refusal,
        reported: Option<outcome::Outcome>,
        retry_after: Option<std::time::Duration>,
    ) -> retry::Failure {
        self.buffer.take();
        let attempt = self.attempt.take();
        let progress = attempt.as_ref().map(|attempt| attempt.progress);
        let observed = progress.unwrap_or_default().outcome_if_lost();
        let resumes = attempt.is_some_and(|attempt| attempt.resumes);
        retry::Failure {
            reason,
            outcome: evidence(observed, reported, resumes),
            recovery: self.recovery(reason),
            retry_after,
        }
    }

    fn recovery(&self, reason: reason::Refusal) -> retry::Recovery {
        if !self.delivered {
            return retry::Recovery::Restart;
        }
        let resumable = self.stream && self.last_event.is_some() && !self.inside_event;
        if resumable && reason::Retry::of(reason).is_some() {
            return retry::Recovery::Resume;
        }
        retry::Recovery::Impossible
    }
}

/// Combines what this hop observed of an attempt with what the sender reported.
///
/// The report takes precedence, since the sender knows more than this hop. The exceptions are a
/// request whose head was received and a resumed answer: both are known to have run.
fn evidence(
    observed: outcome::Outcome,
    reported: Option<outcome::Outcome>,
    resumes: bool,
) -> outcome::Outcome {
    if resumes || observed == outcome::Outcome::Run {
        return outcome::Outcome::Run;
    }
    reported.unwrap_or(observed)
}
