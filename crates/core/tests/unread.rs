//! Answers that stay unread.

use pistachiochute_core::time::Time;
use pistachiochute_core::unread::{ALWAYS_BUFFERED_BYTES, Attention, End, Reading};

const PIECE: usize = ALWAYS_BUFFERED_BYTES / 4;

/// A process that has looked until now.
fn awake(now: Time) -> Attention {
    Attention::new(now)
}

/// A process that has looked for the last time at the start.
fn absent() -> Attention {
    Attention::new(Time::ZERO)
}

fn may_be_cut(reading: &Reading) -> bool {
    reading.end() == End::MayBeCut
}

/// Guards against a cut answer that looks whole: what waited was more than the buffers hold, for seconds.
#[test]
fn answer_that_filled_its_buffers_while_nothing_was_read_may_be_cut() {
    let mut reading = Reading::begin(Time::ZERO);
    for _ in 0..4 {
        assert!(!may_be_cut(&reading));
        reading.record_read(PIECE, &absent(), Time::from_secs(3));
    }
    assert!(may_be_cut(&reading));
    reading.record_caught_up(Time::from_secs(4));
    assert!(may_be_cut(&reading), "it stays so");
}

/// Guards against a cut answer that looks whole: it was read all along, and always behind its sender.
#[test]
fn answer_that_is_never_read_to_its_end_may_be_cut() {
    let mut reading = Reading::begin(Time::ZERO);
    for tenth in 1..=12 {
        let looked_at = Time::from_millis(100 * (tenth - 1));
        reading.record_read(PIECE, &awake(looked_at), Time::from_millis(100 * tenth));
        assert!(!may_be_cut(&reading));
    }
    let looked_at = Time::from_millis(1_200);
    reading.record_read(PIECE, &awake(looked_at), Time::from_millis(1_300));
    assert!(may_be_cut(&reading));
}

/// Guards against cutting sound answers: a slow endpoint sends little at once.
#[test]
fn slow_answer_that_is_read_as_it_comes_is_not_cut() {
    let mut reading = Reading::begin(Time::ZERO);
    for second in (0..60).step_by(3) {
        let now = Time::from_secs(second);
        reading.record_read(PIECE, &awake(now), now);
        reading.record_caught_up(Time::from_secs(second));
    }
    assert!(!may_be_cut(&reading));
}

/// Guards against cutting sound answers: a fast one brings much, without being left waiting.
#[test]
fn fast_answer_that_is_read_as_it_comes_is_not_cut() {
    let mut reading = Reading::begin(Time::ZERO);
    for milli in 0..5_000 {
        let now = Time::from_millis(milli);
        reading.record_read(10 * PIECE, &awake(now), now);
        if milli % 100 == 0 {
            reading.record_caught_up(Time::from_millis(milli));
        }
    }
    assert!(!may_be_cut(&reading));
}

/// Guards against cutting sound answers: a little that waits fits the buffers, so that its sender does not
/// wait.
#[test]
fn short_answer_that_is_read_late_is_not_cut() {
    let mut reading = Reading::begin(Time::ZERO);
    reading.record_read(3 * PIECE, &absent(), Time::from_secs(10));
    assert!(!may_be_cut(&reading));
}

/// Guards against cutting sound answers: one that comes at once, as a whole, after a while of work.
#[test]
fn large_answer_that_comes_late_and_is_read_as_it_comes_is_whole() {
    let mut attention = Attention::new(Time::ZERO);
    let mut reading = Reading::begin(Time::ZERO);
    for tenth in 1..=50 {
        attention.record(Time::from_millis(100 * tenth));
    }
    for _ in 0..40 {
        reading.record_read(PIECE, &attention, Time::from_millis(5_050));
    }
    reading.record_read(0, &attention, Time::from_millis(5_051));
    assert_eq!(reading.end(), End::Attended);
}

/// A reading of so many pieces and their end after the process has stood still from the first second to the fifth. It
/// then notes its turn first, or reads first.
fn read_after_standing_still(pieces: usize, notes_first: bool) -> Reading {
    let mut attention = Attention::new(Time::ZERO);
    let mut reading = Reading::begin(Time::ZERO);
    attention.record(Time::from_millis(900));
    let now = Time::from_secs(5);
    if notes_first {
        attention.record(now);
    }
    for _ in 0..pieces {
        reading.record_read(PIECE, &attention, now);
    }
    reading.record_read(0, &attention, now);
    reading
}

/// Guards against MIXED (review 7): an answer that came while the process stood still, and that its endpoint may have
/// given up; and one whose endpoint may have ended in that time and been replaced.
#[test]
fn answer_that_came_while_the_process_stood_still_is_in_doubt() {
    for notes_first in [false, true] {
        let reading = read_after_standing_still(4, notes_first);
        assert_eq!(reading.end(), End::MayBeCut, "{notes_first}");
        let reading = read_after_standing_still(1, notes_first);
        assert_eq!(reading.end(), End::Unattended, "{notes_first}");
    }
}

/// An answer that goes on after the process stood still ends as any other one does.
#[test]
fn answer_that_ends_after_the_process_goes_on_is_attended() {
    let mut reading = read_after_standing_still(1, true);
    let mut attention = Attention::new(Time::from_millis(900));
    attention.record(Time::from_secs(5));
    reading.record_caught_up(Time::from_secs(5));
    attention.record(Time::from_millis(5_100));
    reading.record_read(PIECE, &attention, Time::from_millis(5_150));
    assert_eq!(reading.end(), End::Attended);
}
