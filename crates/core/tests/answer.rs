//! An answer reaches the caller complete, from a single run and from its own request, whichever
//! frames are lost, duplicated, reordered or late.

use bytes::Bytes;
use pistachiochute_core::{answer, outcome, reason, request, retry};
use proptest::prelude::{Just, Strategy, any, prop_oneof, proptest};
use proptest::test_runner::{Config, RngSeed};
use proptest::{collection, prop_assert, prop_assert_eq};

const EVENTS: u32 = 6;

fn config() -> Config {
    Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0xa115),
        cases: 4_000,
        ..Config::default()
    }
}

fn request(n: u128) -> request::RequestId {
    request::RequestId(uuid::Uuid::from_u128(n))
}

fn head() -> answer::Head {
    answer::Head {
        status: 200,
        content_type: Bytes::from_static(b"text/event-stream"),
    }
}

/// Text of event `event` in run `run` of request `n`. Every combination has a different text.
fn text(n: u128, run: u8, event: u32) -> Bytes {
    Bytes::from(format!("[{n}.{run}.{event}]"))
}

/// All frames of an attempt that sends the events of run `run` after event `after`.
fn attempt_frames(n: u128, attempt: u8, run: u8, after: u32, stream: bool) -> Vec<answer::Frame> {
    let mut parts = vec![answer::Part::Dispatched, answer::Part::Head(head())];
    let mut bytes = 0;
    for (seq, event) in (after + 1..=EVENTS).enumerate() {
        let data = text(n, run, event);
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
        request: request(n),
        attempt,
        part,
    };
    parts.into_iter().map(bind).collect()
}

/// What the network does with the next frame.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    Lose,
    Duplicate,
    SwapWithNext,
    StaleFrame(usize),
    OtherRequest(usize),
    Cut,
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        20 => Just(Fault::None),
        1 => Just(Fault::Lose),
        2 => Just(Fault::Duplicate),
        1 => Just(Fault::SwapWithNext),
        3 => any::<usize>().prop_map(Fault::StaleFrame),
        3 => any::<usize>().prop_map(Fault::OtherRequest),
        2 => Just(Fault::Cut),
    ]
}

/// A caller that collects the delivered bytes, behind a faulty network.
struct Simulation {
    assembler: answer::Assembler,
    stream: bool,
    body: Vec<u8>,
    complete: bool,
    /// Frames of earlier attempts, which may arrive late.
    stale: Vec<answer::Frame>,
    /// Frames of another request.
    others: Vec<answer::Frame>,
    /// Run at the engine that the current attempt reads.
    run: u8,
}

impl Simulation {
    fn new(stream: bool) -> Self {
        Self {
            assembler: answer::Assembler::new(request(1), stream),
            stream,
            body: Vec::new(),
            complete: false,
            stale: Vec::new(),
            others: attempt_frames(2, 0, 9, 0, stream),
            run: 0,
        }
    }

    fn deliver(&mut self, frame: answer::Frame) -> Option<retry::Failure> {
        match self.assembler.handle_frame(frame) {
            answer::Step::Deliver(delivery) => {
                assert!(!self.complete, "delivery after the end");
                self.body.extend(delivery.data.concat());
                self.complete = delivery.end;
                None
            }
            answer::Step::Failed(failure) => Some(failure),
            answer::Step::Wait | answer::Step::Discarded(_) => None,
        }
    }

    /// Runs one attempt under the given faults. Returns how it failed, if it did.
    fn attempt(
        &mut self,
        number: u8,
        faults: &mut dyn Iterator<Item = Fault>,
    ) -> Option<retry::Failure> {
        let after = self.assembler.begin_attempt(number);
        if after.is_none() {
            self.run = number;
        }
        self.assembler.mark_sent();
        let mut frames = attempt_frames(1, number, self.run, after.unwrap_or(0), self.stream);
        let all = frames.clone();
        let mut failure = None;
        let mut i = 0;
        while i < frames.len() && failure.is_none() {
            match faults.next().unwrap_or(Fault::None) {
                Fault::None => failure = self.deliver(frames[i].clone()),
                Fault::Lose => {}
                Fault::Duplicate => {
                    failure = self.deliver(frames[i].clone());
                    failure = failure.or_else(|| self.deliver(frames[i].clone()));
                }
                Fault::SwapWithNext if i + 1 < frames.len() => {
                    frames.swap(i, i + 1);
                    failure = self.deliver(frames[i].clone());
                }
                Fault::SwapWithNext => failure = self.deliver(frames[i].clone()),
                Fault::StaleFrame(at) => {
                    failure = self
                        .deliver_stale(at)
                        .or_else(|| self.deliver(frames[i].clone()))
                }
                Fault::OtherRequest(at) => {
                    let other = self.others[at % self.others.len()].clone();
                    failure = self
                        .deliver(other)
                        .or_else(|| self.deliver(frames[i].clone()));
                }
                Fault::Cut => {
                    failure = Some(self.assembler.fail_attempt(reason::Refusal::ConnectionLost))
                }
            }
            i += 1;
        }
        self.stale.extend(all);
        if failure.is_none() && !self.complete {
            failure = Some(self.assembler.fail_attempt(reason::Refusal::ConnectionLost));
        }
        failure
    }

    fn deliver_stale(&mut self, at: usize) -> Option<retry::Failure> {
        if self.stale.is_empty() {
            return None;
        }
        let stale = self.stale[at % self.stale.len()].clone();
        self.deliver(stale)
    }

    fn answer_of_run(&self) -> Vec<u8> {
        (1..=EVENTS)
            .flat_map(|event| text(1, self.run, event))
            .collect()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn answers_are_complete_and_from_one_run(
        stream in any::<bool>(),
        faults in collection::vec(any_fault(), 0..60),
    ) {
        let mut simulation = Simulation::new(stream);
        let mut faults = faults.into_iter();
        for number in 0..6 {
            let Some(failure) = simulation.attempt(number, &mut faults) else { break };
            match failure.recovery {
                retry::Recovery::Restart => prop_assert!(simulation.body.is_empty()),
                retry::Recovery::Resume => prop_assert!(stream),
                retry::Recovery::Impossible => break,
            }
        }
        let answer = simulation.answer_of_run();
        prop_assert!(answer.starts_with(&simulation.body));
        prop_assert_eq!(simulation.complete, simulation.assembler.is_complete());
        if simulation.complete {
            prop_assert_eq!(simulation.body, answer);
        }
    }
}

fn assembler_in_attempt(stream: bool) -> answer::Assembler {
    let mut assembler = answer::Assembler::new(request(1), stream);
    assert_eq!(assembler.begin_attempt(0), None);
    assembler
}

fn frame(part: answer::Part) -> answer::Frame {
    answer::Frame {
        request: request(1),
        attempt: 0,
        part,
    }
}

#[test]
fn a_short_answer_fails_at_its_end_marker() {
    let mut assembler = assembler_in_attempt(false);
    assembler.handle_frame(frame(answer::Part::Head(head())));
    let end = answer::Part::End {
        chunks: 1,
        bytes: 5,
        used: None,
    };
    let answer::Step::Failed(failure) = assembler.handle_frame(frame(end)) else {
        panic!("accepted");
    };
    assert_eq!(failure.reason, reason::Refusal::AnswerIncomplete);
    assert_eq!(failure.outcome, outcome::Outcome::Run);
    assert_eq!(failure.recovery, retry::Recovery::Restart);
}

#[test]
fn outcome_of_a_lost_attempt_follows_its_progress() {
    let mut assembler = assembler_in_attempt(false);
    let unsent = assembler.fail_attempt(reason::Refusal::ConnectFailed);
    assert_eq!(unsent.outcome, outcome::Outcome::NotRun);
    assembler.begin_attempt(0);
    assembler.mark_sent();
    let sent = assembler.fail_attempt(reason::Refusal::ConnectionLost);
    assert_eq!(sent.outcome, outcome::Outcome::Unknown);
    assembler.begin_attempt(0);
    assembler.handle_frame(frame(answer::Part::Head(head())));
    let answered = assembler.fail_attempt(reason::Refusal::ConnectionLost);
    assert_eq!(answered.outcome, outcome::Outcome::Run);
}

#[test]
fn a_refusal_after_the_head_does_not_count_as_not_run() {
    let mut assembler = assembler_in_attempt(false);
    assembler.handle_frame(frame(answer::Part::Head(head())));
    let refused = answer::Part::Failed {
        reason: reason::Refusal::Draining,
        outcome: outcome::Outcome::NotRun,
        retry_after: None,
    };
    let answer::Step::Failed(failure) = assembler.handle_frame(frame(refused)) else {
        panic!("accepted");
    };
    assert_eq!(failure.outcome, outcome::Outcome::Run);
}

#[test]
fn a_long_answer_is_delivered_and_then_cannot_be_repeated() {
    let mut assembler = assembler_in_attempt(false);
    assembler.handle_frame(frame(answer::Part::Head(head())));
    let chunk = answer::Part::Chunk {
        seq: 0,
        event: None,
        data: Bytes::from(vec![b'x'; answer::MAX_BUFFERED_BYTES + 1]),
    };
    let step = assembler.handle_frame(frame(chunk));
    assert!(matches!(step, answer::Step::Deliver(_)));
    let failure = assembler.fail_attempt(reason::Refusal::ConnectionLost);
    assert_eq!(failure.recovery, retry::Recovery::Impossible);
}

#[test]
fn a_resumed_stream_with_another_head_fails() {
    let mut assembler = assembler_in_attempt(true);
    assembler.handle_frame(frame(answer::Part::Head(head())));
    let chunk = answer::Part::Chunk {
        seq: 0,
        event: Some(4),
        data: Bytes::from_static(b"data: a\n\n"),
    };
    assembler.handle_frame(frame(chunk));
    assembler.fail_attempt(reason::Refusal::ConnectionLost);
    assert_eq!(assembler.begin_attempt(0), Some(4));
    let other = answer::Head {
        status: 404,
        ..head()
    };
    let step = assembler.handle_frame(frame(answer::Part::Head(other)));
    assert!(matches!(step, answer::Step::Failed(_)));
}
