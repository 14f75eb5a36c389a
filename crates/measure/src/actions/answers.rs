//! Delivery of answers over a network that loses, duplicates, reorders and delays frames.

use bytes::Bytes;
use pistachiochute_core::{answer, reason, request, retry};
use rand::{Rng as _, SeedableRng as _};

/// Number of events in each answer.
const EVENTS_PER_ANSWER: u32 = 8;

/// Limit on the attempts of a request.
const MAX_ATTEMPTS: u8 = 6;

/// A fault of each kind is drawn with a probability of one in this number.
const FRAMES_PER_FAULT: u32 = 12;

/// Counts of answers by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Answers that were delivered as complete.
    pub complete: u64,
    /// Answers that ended with an explicit error.
    pub failed: u64,
    /// Complete answers with at least one resumed attempt.
    pub resumed: u64,
    /// Answers with a wrong body: truncated but delivered as complete, mixed from two runs, or with
    /// data of another request.
    pub invalid: u64,
}

/// Returns the text of an event, which is unique for the request, run and event.
fn event_text(request: u64, run: u8, event: u32) -> Bytes {
    Bytes::from(format!("[{request}.{run}.{event}]"))
}

fn frames(request: u64, attempt: u8, run: u8, after: u32, stream: bool) -> Vec<answer::Frame> {
    let head = answer::Head {
        status: 200,
        content_type: Bytes::new(),
    };
    let mut parts = vec![answer::Part::Dispatched, answer::Part::Head(head)];
    let mut bytes = 0;
    for (seq, event) in (after + 1..=EVENTS_PER_ANSWER).enumerate() {
        let data = event_text(request, run, event);
        bytes += data.len() as u64;
        parts.push(answer::Part::Chunk {
            seq: seq as u32,
            event: stream.then_some(event),
            data,
        });
    }
    parts.push(answer::Part::End {
        chunks: EVENTS_PER_ANSWER - after,
        bytes,
        used: None,
    });
    let bind = |part| answer::Frame {
        request: request_id(request),
        attempt,
        part,
    };
    parts.into_iter().map(bind).collect()
}

fn request_id(request: u64) -> request::RequestId {
    request::RequestId(uuid::Uuid::from_u128(u128::from(request)))
}

struct Delivery {
    rng: rand_chacha::ChaCha8Rng,
    request: u64,
    stream: bool,
    assembler: answer::Assembler,
    /// Earlier frames of this request and frames of another one, which may still arrive.
    stray: Vec<answer::Frame>,
    body: Vec<u8>,
    /// Number of the attempt that started the current run at the endpoint.
    run: u8,
    resumed: bool,
}

/// Sends the answers to the given number of requests, every second one of which is a stream.
#[must_use]
pub fn run(requests: u64, seed: u64) -> Tally {
    let mut tally = Tally::default();
    for request in 0..requests {
        let stream = request.is_multiple_of(2);
        let mut delivery = Delivery {
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed ^ request),
            request,
            stream,
            assembler: answer::Assembler::new(request_id(request), stream),
            stray: frames(request + 1, 0, 0, 0, stream),
            body: Vec::new(),
            run: 0,
            resumed: false,
        };
        delivery.run_attempts();
        delivery.add_to(&mut tally);
    }
    tally
}

impl Delivery {
    fn run_attempts(&mut self) {
        for number in 0..MAX_ATTEMPTS {
            let after = self.assembler.begin_attempt(number);
            match after {
                Some(_) => self.resumed = true,
                None => self.run = number,
            }
            let frames = frames(
                self.request,
                number,
                self.run,
                after.unwrap_or(0),
                self.stream,
            );
            let failure = self.run_attempt(&frames);
            self.stray.extend(frames);
            match failure.map(|failure| failure.recovery) {
                Some(retry::Recovery::Restart | retry::Recovery::Resume) => {}
                Some(retry::Recovery::Impossible) | None => return,
            }
        }
    }

    /// Sends the frames of an attempt with faults and returns its failure, if it failed.
    fn run_attempt(&mut self, frames: &[answer::Frame]) -> Option<retry::Failure> {
        self.assembler.mark_sent();
        for frame in frames {
            if self.draw_fault() {
                return Some(self.assembler.fail_attempt(reason::Refusal::ConnectionLost));
            }
            let stray = self.rng.random_range(0..self.stray.len());
            let stray = self.draw_fault().then(|| self.stray[stray].clone());
            let lost = self.draw_fault() && self.draw_fault();
            let sent = (!lost).then(|| frame.clone());
            let duplicate = self.draw_fault().then(|| frame.clone());
            for frame in stray.into_iter().chain(sent).chain(duplicate) {
                if let Some(failure) = self.deliver_frame(frame) {
                    return Some(failure);
                }
            }
        }
        let complete = self.assembler.is_complete();
        (!complete).then(|| self.assembler.fail_attempt(reason::Refusal::ConnectionLost))
    }

    fn draw_fault(&mut self) -> bool {
        self.rng.random_ratio(1, FRAMES_PER_FAULT)
    }

    fn deliver_frame(&mut self, frame: answer::Frame) -> Option<retry::Failure> {
        match self.assembler.handle_frame(frame) {
            answer::Step::Deliver(delivery) => {
                self.body.extend(delivery.data.concat());
                None
            }
            answer::Step::Failed(failure) => Some(failure),
            answer::Step::Wait | answer::Step::Discarded(_) => None,
        }
    }

    fn add_to(&self, tally: &mut Tally) {
        let events =
            (1..=EVENTS_PER_ANSWER).flat_map(|event| event_text(self.request, self.run, event));
        let answer: Vec<u8> = events.collect();
        let complete = self.assembler.is_complete();
        let valid = match complete {
            true => self.body == answer,
            false => answer.starts_with(&self.body),
        };
        tally.invalid += u64::from(!valid);
        tally.complete += u64::from(complete);
        tally.failed += u64::from(!complete);
        tally.resumed += u64::from(complete && self.resumed);
    }
}
