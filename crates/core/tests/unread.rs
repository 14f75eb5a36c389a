//! Answers that stay unread.

use pistachiochute_core::time::Time;
use pistachiochute_core::unread::{ALWAYS_BUFFERED_BYTES, Reading};

const PIECE: usize = ALWAYS_BUFFERED_BYTES / 4;

/// Guards against a cut answer that looks whole: what waited was more than the buffers hold, for seconds.
#[test]
fn answer_that_filled_its_buffers_while_nothing_was_read_may_be_cut() {
    let mut reading = Reading::begin(Time::ZERO);
    for _ in 0..4 {
        assert!(!reading.may_be_cut());
        reading.record_read(PIECE, Time::from_secs(3));
    }
    assert!(reading.may_be_cut());
    reading.record_caught_up(Time::from_secs(4));
    assert!(reading.may_be_cut(), "it stays so");
}

/// Guards against a cut answer that looks whole: it was read all along, and always behind its sender.
#[test]
fn answer_that_is_never_read_to_its_end_may_be_cut() {
    let mut reading = Reading::begin(Time::ZERO);
    for tenth in 1..=12 {
        reading.record_read(PIECE, Time::from_millis(100 * tenth));
        assert!(!reading.may_be_cut());
    }
    reading.record_read(PIECE, Time::from_millis(1_300));
    assert!(reading.may_be_cut());
}

/// Guards against cutting sound answers: a slow endpoint sends little at once.
#[test]
fn slow_answer_that_is_read_as_it_comes_is_not_cut() {
    let mut reading = Reading::begin(Time::ZERO);
    for second in (0..60).step_by(3) {
        reading.record_read(PIECE, Time::from_secs(second));
        reading.record_caught_up(Time::from_secs(second));
    }
    assert!(!reading.may_be_cut());
}

/// Guards against cutting sound answers: a fast one brings much, without being left waiting.
#[test]
fn fast_answer_that_is_read_as_it_comes_is_not_cut() {
    let mut reading = Reading::begin(Time::ZERO);
    for milli in 0..5_000 {
        reading.record_read(10 * PIECE, Time::from_millis(milli));
        if milli % 100 == 0 {
            reading.record_caught_up(Time::from_millis(milli));
        }
    }
    assert!(!reading.may_be_cut());
}

/// Guards against cutting sound answers: a little that waits fits the buffers, so that its sender does not
/// wait.
#[test]
fn short_answer_that_is_read_late_is_not_cut() {
    let mut reading = Reading::begin(Time::ZERO);
    reading.record_read(3 * PIECE, Time::from_secs(10));
    assert!(!reading.may_be_cut());
}
