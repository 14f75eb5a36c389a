//! Answers over a network that loses, repeats, reorders and delays frames.

use bytes::Bytes;
use pistachiochute_core::{answer, reason, request, retry};
use rand::{Rng as _, SeedableRng as _};

/// Events of one answer.
const EVENTS: u32 = 8;

/// Most attempts of a request.
const MAX_ATTEMPTS: u8 = 6;

/// Of how many frames one meets each kind of fault.
const FAULT_ONE_IN: u32 = 12;

/// What became of the answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Answers that their callers took for whole.
    pub whole: u64,
    /// Answers that ended as an explicit error.
    pub failed: u64,
    /// Whole answers of which an attempt was resumed.
    pub resumed: u64,
    /// Answers that were cut short but taken for whole, joined from two runs, or another's.
    pub wrong: u64,
}

/// Text of an event, different for each request, run and event.
fn text(request: u64, run: u8, event: u32) -> Bytes {
    Bytes::from(format!("[{request}.{run}.{event}]"))
}

fn frames(request: u64, attempt: u8, run: u8, after: u32, stream: bool) -> Vec<answer::Frame> {
    let head = answer::Head {
        status: 200,
        content_type: Bytes::new(),
    };
    let mut parts = vec![answer::Part::Dispatched, answer::Part::Head(head)];
    let mut bytes = 0;
    for (seq, event) in (after + 1..=EVENTS).enumerate() {
        let data = text(request, run, event);
        bytes += data.len() as u64;
        parts.push(answer::Part::Chunk {
            seq: seq as u32,
            event: stream.then_some(event),
            data,
        });
    }
    parts.push(answer::Part::End {
        chunks: EVENTS - after,
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

struct Trial {
    rng: rand_chacha::ChaCha8Rng,
    request: u64,
    stream: bool,
    assembler: answer::Assembler,
    /// Frames that were sent for this request or another and may arrive late.
    stray: Vec<answer::Frame>,
    body: Vec<u8>,
    /// Run at the endpoint whose answer is under way.
    run: u8,
    resumed: bool,
}

/// Sends answers to so many requests, every second one a stream.
#[must_use]
pub fn run(requests: u64, seed: u64) -> Tally {
    let mut tally = Tally::default();
    for request in 0..requests {
        let stream = request.is_multiple_of(2);
        let mut trial = Trial {
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed ^ request),
            request,
            stream,
            assembler: answer::Assembler::new(request_id(request), stream),
            stray: frames(request + 1, 0, 0, 0, stream),
            body: Vec::new(),
            run: 0,
            resumed: false,
        };
        trial.attempts();
        trial.count(&mut tally);
    }
    tally
}

impl Trial {
    fn attempts(&mut self) {
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
            let failure = self.attempt(&frames);
            self.stray.extend(frames);
            match failure.map(|failure| failure.recovery) {
                Some(retry::Recovery::Restart | retry::Recovery::Resume) => {}
                Some(retry::Recovery::Impossible) | None => return,
            }
        }
    }

    /// Sends the frames of an attempt with faults, and returns how it failed.
    fn attempt(&mut self, frames: &[answer::Frame]) -> Option<retry::Failure> {
        self.assembler.mark_sent();
        for frame in frames {
            if self.fault() {
                return Some(self.assembler.fail_attempt(reason::Refusal::ConnectionLost));
            }
            let stray = self.rng.random_range(0..self.stray.len());
            let stray = self.fault().then(|| self.stray[stray].clone());
            let lost = self.fault() && self.fault();
            let sent = (!lost).then(|| frame.clone());
            let again = self.fault().then(|| frame.clone());
            for frame in stray.into_iter().chain(sent).chain(again) {
                if let Some(failure) = self.give(frame) {
                    return Some(failure);
                }
            }
        }
        let whole = self.assembler.is_complete();
        (!whole).then(|| self.assembler.fail_attempt(reason::Refusal::ConnectionLost))
    }

    fn fault(&mut self) -> bool {
        self.rng.random_ratio(1, FAULT_ONE_IN)
    }

    fn give(&mut self, frame: answer::Frame) -> Option<retry::Failure> {
        match self.assembler.handle_frame(frame) {
            answer::Step::Deliver(delivery) => {
                self.body.extend(delivery.data.concat());
                None
            }
            answer::Step::Failed(failure) => Some(failure),
            answer::Step::Wait | answer::Step::Discarded(_) => None,
        }
    }

    fn count(&self, tally: &mut Tally) {
        let events = (1..=EVENTS).flat_map(|event| text(self.request, self.run, event));
        let answer: Vec<u8> = events.collect();
        let whole = self.assembler.is_complete();
        let right = match whole {
            true => self.body == answer,
            false => answer.starts_with(&self.body),
        };
        tally.wrong += u64::from(!right);
        tally.whole += u64::from(whole);
        tally.failed += u64::from(!whole);
        tally.resumed += u64::from(whole && self.resumed);
    }
}
