//! Event streams: only complete events are forwarded, none twice, and parts join without a gap.

use bytes::Bytes;
use pistachiochute_core::sse::{LeadingFields, Splitter, StreamError};
use proptest::prelude::proptest;
use proptest::prop_assert_eq;
use proptest::test_runner::{Config, RngSeed};

const SEED: u64 = 0x55e;

fn events(ids: std::ops::Range<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: piece {id}\n\n"))
        .collect()
}

#[test]
fn an_incomplete_event_is_buffered_and_discarded_on_resumption() {
    let mut splitter = Splitter::default();
    let whole = events(0..3);
    let cut = &whole.as_bytes()[..whole.len() - 4];
    let passed = splitter.push(cut).expect("no error");
    assert_eq!(passed, events(0..2));
    assert!(!splitter.at_event_boundary());
    splitter.discard_partial();
    assert_eq!(splitter.last_id(), Some(1));
    let passed = splitter.push(events(2..5).as_bytes()).expect("no error");
    assert_eq!(passed, events(2..5));
}

/// Guards against events that are sent twice: without their ids, the endpoint that continues a
/// stream begins anew.
#[test]
fn a_stream_with_an_event_without_an_id_is_not_resumable() {
    let mut splitter = Splitter::default();
    let comment = b": still there\n\n";
    splitter.push(comment).expect("no error");
    splitter.push(events(0..2).as_bytes()).expect("no error");
    assert!(splitter.is_resumable());
    splitter.push(b"data: piece\n\n").expect("no error");
    assert!(!splitter.is_resumable());
}

/// Guards against pieces of two runs in one answer: a run that does not go on after the last event of the
/// caller begins anew, and its pieces do not fit those of the run before.
#[test]
fn a_run_that_begins_before_the_last_event_is_an_error() {
    for first in 0..=4 {
        let mut splitter = Splitter::resume_after(Some(4));
        let gap = StreamError::Gap {
            after: 4,
            found: first,
        };
        let passed = splitter.push(events(first..7).as_bytes());
        assert_eq!(passed, Err(gap), "from {first}");
        assert!(!splitter.at_event_boundary());
        splitter.discard_partial();
        let passed = splitter.push(events(5..7).as_bytes()).expect("no error");
        assert_eq!(passed, events(5..7));
    }
}

/// Guards against pieces that are missing from an answer that looks whole: an id that goes back within a
/// run is not that of an event that the caller has.
#[test]
fn an_id_that_goes_back_within_a_run_is_an_error() {
    for found in 0..=2 {
        let mut splitter = Splitter::default();
        splitter.push(events(0..3).as_bytes()).expect("no error");
        let gap = StreamError::Gap { after: 2, found };
        let passed = splitter.push(events(found..9).as_bytes());
        assert_eq!(passed, Err(gap));
        assert!(!splitter.at_event_boundary());
    }
}

/// Guards against a piece that comes twice: without an id, nothing says that the caller does not have it.
#[test]
fn a_run_that_goes_on_with_an_event_without_an_id_is_an_error() {
    let unnumbered = StreamError::Unnumbered { after: 4 };
    for event in [
        "data: piece 5\n\n",
        "id\ndata: x\n\n",
        "id: five\ndata: x\n\n",
    ] {
        let mut splitter = Splitter::resume_after(Some(4));
        assert_eq!(splitter.push(event.as_bytes()), Err(unnumbered), "{event}");
        assert!(!splitter.at_event_boundary());
    }
    let mut splitter = Splitter::default();
    splitter.push(events(0..5).as_bytes()).expect("no error");
    splitter.discard_partial();
    let comment = splitter.push(b": still there\n\n");
    assert_eq!(comment, Ok(Bytes::from_static(b": still there\n\n")));
    assert_eq!(splitter.push(b"data: piece 5\n\n"), Err(unnumbered));
}

/// Guards against a piece that comes twice: a caller goes by the last id of an event, and so does the
/// endpoint that goes on after it.
#[test]
fn the_last_id_of_an_event_counts() {
    let mut splitter = Splitter::default();
    splitter
        .push(b"id: 3\nid: 4\ndata: x\n\n")
        .expect("no error");
    assert_eq!(splitter.last_id(), Some(4));
    splitter.push(b"id: 5\nid\ndata: x\n\n").expect("no error");
    assert_eq!(splitter.last_id(), Some(4));
    assert!(!splitter.is_resumable());
}

/// Guards against a first piece that comes twice: the byte order mark hid that the event has data.
#[test]
fn an_event_after_a_byte_order_mark_is_a_piece() {
    let mut splitter = Splitter::default();
    let event = "\u{feff}data: piece\n\n";
    assert_eq!(splitter.push(event.as_bytes()), Ok(Bytes::from(event)));
    assert!(!splitter.is_resumable());
}

/// The pages of endpoints do not say which id is the first one.
#[test]
fn a_stream_may_begin_with_any_id() {
    for first in [0, 1, 5, u64::MAX - 2] {
        let mut splitter = Splitter::default();
        let both = events(first..first + 1);
        assert_eq!(splitter.push(both.as_bytes()), Ok(Bytes::from(both)));
        assert_eq!(splitter.last_id(), Some(first));
        splitter.discard_partial();
        let next = splitter.push(events(first + 1..first + 2).as_bytes());
        assert!(next.is_ok(), "{next:?}");
    }
}

/// Guards against an end that looks complete: lines that end with a carriage return alone are not read.
#[test]
fn lines_that_end_with_carriage_returns_alone_are_no_event() {
    let mut splitter = Splitter::default();
    let passed = splitter.push(b"id: 0\rdata: x\r\r").expect("no error");
    assert!(passed.is_empty());
    assert!(!splitter.at_event_boundary());
}

#[test]
fn a_gap_between_two_parts_is_an_error() {
    let mut splitter = Splitter::resume_after(Some(4));
    let gap = StreamError::Gap { after: 4, found: 6 };
    assert_eq!(splitter.push(events(6..7).as_bytes()), Err(gap));
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let mut splitter = Splitter::default();
    let text = "id: 0\r\ndata: x\r\n\r\nid: 1\r\n";
    let passed = splitter.push(text.as_bytes()).expect("no error");
    assert_eq!(passed, "id: 0\r\ndata: x\r\n\r\n");
}

proptest! {
    #![proptest_config(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        cases: 1_000,
        ..Config::default()
    })]

    /// The caller gets the same bytes however the stream is divided into reads.
    #[test]
    fn reads_of_any_size_give_the_same_stream(size in 1_usize..40) {
        let whole = events(0..10);
        let mut splitter = Splitter::default();
        let mut passed = Vec::new();
        for read in whole.as_bytes().chunks(size) {
            passed.extend_from_slice(&splitter.push(read).expect("no error"));
        }
        prop_assert_eq!(passed, whole.into_bytes());
    }
}

/// Guards against events that are lost when the bytes that complete them also break the stream.
#[test]
fn events_before_an_error_are_returned_first() {
    let mut splitter = Splitter::default();
    let events = splitter.push(b"id: 0\ndata: a\n\nid: 5\ndata: b\n\n");
    assert_eq!(events, Ok(Bytes::from_static(b"id: 0\ndata: a\n\n")));
    assert!(!splitter.at_event_boundary());
    let gap = StreamError::Gap { after: 0, found: 5 };
    assert_eq!(splitter.push(b""), Err(gap));
    splitter.discard_partial();
    assert_eq!(splitter.last_id(), Some(0));
    let next = splitter.push(b"id: 1\ndata: b\n\n");
    assert_eq!(next, Ok(Bytes::from_static(b"id: 1\ndata: b\n\n")));
}

/// Load: very many short events come at once. They are passed on in parts, and the stream is the same.
#[test]
fn very_many_events_are_passed_on_in_parts() {
    let whole = events(0..1_000) + "id: 1000\n";
    let mut splitter = Splitter::default();
    splitter.add(whole.as_bytes());
    let mut passed = Vec::new();
    while splitter.has_more() {
        let before = splitter.events();
        passed.extend_from_slice(&splitter.pass_on(32).expect("no error"));
        assert!(splitter.events() - before <= 32);
    }
    assert_eq!(passed, events(0..1_000).into_bytes());
    assert!(!splitter.at_event_boundary());
}

/// Guards against the text of an error, or the head of another answer, in the middle of a stream.
#[test]
fn text_that_is_no_event_is_no_part_of_a_stream() {
    let head = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 8\r\n\r\n";
    for text in [head, "an error\n\n", "<p>no</p>\n\n", "events: 3\n\n"] {
        let mut splitter = Splitter::resume_after(Some(0));
        let passed = splitter.push(text.as_bytes());
        assert_eq!(passed, Err(StreamError::NoEvent), "{text}");
        assert!(!splitter.at_event_boundary());
    }
}

/// Guards against the text of an error, or the head of another answer, within an event that broke off, or with
/// the first letters of a field.
#[test]
fn text_after_a_line_of_an_event_is_no_part_of_a_stream() {
    let head = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 8\r\n\r\n";
    for text in [
        format!("id: 1\ndata: par{head}"),
        format!("id: 1\ndata: part\n{head}"),
        "id: 1\ndata: part\nan error\n\n".to_owned(),
        "data: part\nan error\n\n".to_owned(),
        "database is locked\n\n".to_owned(),
        "id: 1\nidle: 3\ndata: part\n\n".to_owned(),
    ] {
        let mut splitter = Splitter::default();
        splitter.push(events(0..1).as_bytes()).expect("no error");
        let passed = splitter.push(text.as_bytes());
        assert_eq!(passed, Err(StreamError::NoEvent), "{text}");
        assert!(!splitter.at_event_boundary());
        assert_eq!(splitter.last_id(), Some(0));
    }
}

/// Every field of an event, with each kind of line end, and without a value.
#[test]
fn events_with_every_field_are_passed_on() {
    for text in [
        "id: 1\nevent: piece\nretry: 100\n: a comment\ndata: a\ndata\ndata:b\n\n",
        "id:1\r\nevent\r\ndata: HTTP/1.1 500\r\n\r\n",
        "id: 1\ndata: a\rb\n\n",
    ] {
        let mut splitter = Splitter::resume_after(Some(0));
        assert_eq!(splitter.push(text.as_bytes()), Ok(Bytes::from(text)));
        assert_eq!(splitter.last_id(), Some(1));
    }
}

#[test]
fn events_without_data_are_passed_on() {
    for text in [
        ": still here\n\n",
        "event: still-here\r\n\r\n",
        "retry: 100\n\n",
        "\n",
    ] {
        let mut splitter = Splitter::resume_after(Some(0));
        assert_eq!(splitter.push(text.as_bytes()), Ok(Bytes::from(text)));
    }
}

/// A field that an endpoint may set before the others, as its first line.
const LEADING: LeadingFields = LeadingFields::new(&["x-build"]);

/// Events, of which some begin with a line of their own.
fn marked_events(ids: std::ops::Range<u64>, marked: &[u64]) -> String {
    let event = |id| {
        let first = match marked.contains(&id) {
            true => format!("x-build: {id}0\n"),
            false => String::new(),
        };
        format!("{first}id: {id}\ndata: piece {id}\n\n")
    };
    ids.map(event).collect()
}

/// Guards against LOST: a stream that was cut at an event with a line that the endpoint's protocol adds, and
/// whose endpoint was held for one that answers badly.
#[test]
fn an_event_may_begin_with_a_field_of_its_protocol() {
    let whole = marked_events(0..8, &[0, 2, 3, 7]);
    for cut in 0..=whole.len() {
        // Cut anywhere, also within that line, the next run goes on with the event that was cut.
        let mut splitter = Splitter::default().with_leading_fields(LEADING);
        let begun = splitter.push(&whole.as_bytes()[..cut]).expect("no error");
        splitter.discard_partial();
        assert!(splitter.is_resumable());
        let next = splitter.last_id().map_or(0, |last| last + 1);
        let rest = marked_events(next..8, &[0, 2, 3, 7]);
        let rest = splitter.push(rest.as_bytes()).expect("no error");
        assert_eq!([begun, rest].concat(), whole.as_bytes(), "cut at {cut}");
        assert_eq!((splitter.last_id(), splitter.events()), (Some(7), 8));
    }
}

#[test]
fn a_leading_field_alone_is_no_piece() {
    for line in [
        "x-build:7\n\n",
        "x-build: 7\r\n\r\n",
        "\u{feff}x-build: 7\n: note\n\n",
    ] {
        let mut splitter = Splitter::resume_after(Some(4)).with_leading_fields(LEADING);
        assert_eq!(splitter.push(line.as_bytes()), Ok(Bytes::from(line)));
        assert!(splitter.is_resumable());
        let next = marked_events(5..6, &[]);
        assert_eq!(splitter.push(next.as_bytes()), Ok(Bytes::from(next)));
    }
}

/// Guards against ORDER and MIXED: text of an error that passes for such a line.
#[test]
fn what_is_not_exactly_a_leading_field_is_no_event() {
    let event = "id: 0\ndata: piece 0\n";
    let texts = [
        format!("X-Build: 7\n{event}\n"),
        format!("x-build 7\n{event}\n"),
        format!("x-build:\n{event}\n"),
        format!("x-build: \n{event}\n"),
        format!("x-build:  7\n{event}\n"),
        format!("x-build: +7\n{event}\n"),
        format!("x-build: -7\n{event}\n"),
        format!("x-build: 7.5\n{event}\n"),
        format!("x-build: 7 failed\n{event}\n"),
        format!("x-build: seven\n{event}\n"),
        format!("x-build: 99999999999999999999999\n{event}\n"),
        format!("x-builds: 7\n{event}\n"),
        format!(" x-build: 7\n{event}\n"),
        format!("x-build: 7\nx-build: 8\n{event}\n"),
        format!("{event}x-build: 7\n\n"),
        "id: 0\nx-build: 7\ndata: piece 0\n\n".to_owned(),
        "x-build: 7\nHTTP/1.1 500 Internal Server Error\n\n".to_owned(),
        "x-build: 7\nfailed\n\n".to_owned(),
    ];
    for text in texts {
        let mut splitter = Splitter::default().with_leading_fields(LEADING);
        assert_eq!(
            splitter.push(text.as_bytes()),
            Err(StreamError::NoEvent),
            "{text}"
        );
    }
    let mut splitter = Splitter::default();
    let marked = marked_events(0..1, &[0]);
    assert_eq!(splitter.push(marked.as_bytes()), Err(StreamError::NoEvent));
}
