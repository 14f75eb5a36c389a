//! The checks find what they are for, and allow what is allowed.

mod registration;

use std::time::{Duration, Instant, SystemTime};

use pistachiochute_standins::platform::caller::{Answer, event_of_version};
use pistachiochute_standins::platform::stream_caller::{StreamCaller, bytes_of_no_event};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::processes::answers::{Asked, Point, Script};
use crate::processes::callers::CallRecord;
use crate::processes::checks::{Seen, check};
use crate::processes::restarts::Ends;
use crate::processes::{CALL_PIECES, STREAM_ROUTE};
use crate::versions::callers::{Sent, StreamRecord};
use crate::versions::{EVENTS, ReplicaSpan};

/// Pieces as ranges of numbers, with the version, the run and its first piece.
type Pieces<'a> = &'a [(std::ops::Range<u64>, &'a str)];

fn body(request: &str, pieces: Pieces<'_>) -> String {
    let pieces = pieces.iter().flat_map(|(ids, maker)| {
        let piece = |id| event_of_version(request, id, maker);
        ids.clone().map(piece).collect::<Vec<_>>()
    });
    pieces.collect()
}

/// A stream of one try for each list of pieces. The last answer looks complete if asked for.
fn stream(answers: &[Pieces<'_>], looks_complete: bool) -> Seen {
    let mut caller = StreamCaller::new("s", &format!("/{STREAM_ROUTE}/"), "a key");
    for (i, pieces) in answers.iter().enumerate() {
        let request = caller.next_request();
        let answer = Answer {
            status: 200,
            body: body(&request.id, pieces),
            is_complete: looks_complete && i + 1 == answers.len(),
            ..Answer::default()
        };
        caller.record(&request, answer);
    }
    let record = StreamRecord {
        caller,
        sent: Vec::new(),
        foreign: None,
    };
    Seen {
        streams: vec![record],
        ..Seen::default()
    }
}

fn call(pieces: Pieces<'_>, more: &str) -> Seen {
    let answer = Answer {
        status: 200,
        body: body("c", pieces) + more,
        is_complete: true,
        ..Answer::default()
    };
    let record = CallRecord {
        id: "c".to_owned(),
        host: 0,
        answer,
    };
    Seen {
        calls: vec![record],
        ..Seen::default()
    }
}

fn broken(seen: &Seen) -> Vec<String> {
    check(seen, &Ends::default()).broken
}

/// Asserts that one promise was broken, whose name holds the text.
fn assert_breaks(seen: &Seen, text: &str) {
    let broken = broken(seen);
    assert_eq!(broken.len(), 1, "{broken:?}");
    assert!(broken[0].contains(text), "{broken:?}");
}

fn assert_keeps(seen: &Seen) {
    let broken = broken(seen);
    assert!(broken.is_empty(), "{broken:?}");
}

#[test]
fn whole_streams_and_calls_are_kept() {
    assert_keeps(&stream(&[&[(0..EVENTS, "v1 run a from 0")]], true));
    let joined: Pieces<'_> = &[(0..9, "v1 run a from 0"), (9..EVENTS, "v1 run b from 9")];
    assert_keeps(&stream(&[joined], true));
    assert_keeps(&stream(&[&joined[..1], &joined[1..]], true));
    assert_keeps(&stream(&[&joined[..1]], false));
    assert_keeps(&call(&[(0..CALL_PIECES, "v1 run a from 0")], ""));
}

#[test]
fn short_streams_that_look_whole_are_broken() {
    let mut short = stream(&[&[(0..9, "v1 run a from 0")]], true);
    assert_breaks(&short, "short streams that look whole");
    short.falsely_whole.insert("s".to_owned());
    assert_keeps(&short);
    assert_breaks(&stream(&[&[]], true), "short streams that look whole");
}

#[test]
fn missing_and_repeated_events_are_broken() {
    let text = "events missing, twice";
    assert_breaks(&stream(&[&[(1..9, "v1 run a from 1")]], false), text);
    let lost: Pieces<'_> = &[(0..9, "v1 run a from 0"), (10..12, "v1 run b from 10")];
    assert_breaks(&stream(&[lost], false), text);
    let twice: Pieces<'_> = &[(0..9, "v1 run a from 0"), (8..12, "v1 run b from 8")];
    assert_breaks(&stream(&[&twice[..1], &twice[1..]], false), text);
}

#[test]
fn runs_that_are_joined_elsewhere_are_broken() {
    let text = "joined elsewhere";
    let later: Pieces<'_> = &[(0..9, "v1 run a from 0"), (9..12, "v1 run b from 8")];
    assert_breaks(&stream(&[later], false), text);
    let again: Pieces<'_> = &[
        (0..9, "v1 run a from 0"),
        (9..12, "v1 run b from 9"),
        (12..14, "v1 run a from 0"),
    ];
    assert_breaks(&stream(&[again], false), text);
}

#[test]
fn other_bytes_are_broken() {
    let mut seen = stream(&[&[(0..9, "v1 run a from 0")]], false);
    seen.streams[0].foreign = Some("error".to_owned());
    assert_breaks(&seen, "other bytes");
}

#[test]
fn error_text_and_parts_of_events_are_found_in_streams() {
    let events = body("s", &[(0..2, "v1 run a from 0")]);
    let is_found = |more: &str, is_complete| {
        let answer = Answer {
            status: 200,
            body: events.clone() + more,
            is_complete,
            ..Answer::default()
        };
        bytes_of_no_event(&answer).is_some()
    };
    assert!(!is_found("", true));
    assert!(!is_found("id: 2\ndata: pi", false));
    assert!(is_found("id: 2\ndata: pi", true));
    assert!(is_found("HTTP/1.1 500 Status", false));
    assert!(is_found("error\n\n", true));
}

/// Guards against a soak that takes a stream of two versions for allowed.
#[test]
fn one_stream_of_two_versions_is_broken() {
    let mixed: Pieces<'_> = &[(0..9, "v1 run a from 0"), (9..12, "v2 run b from 9")];
    assert_breaks(&stream(&[mixed], false), "two versions");
    assert_breaks(&stream(&[&mixed[..1], &mixed[1..]], false), "two versions");
}

#[test]
fn calls_that_are_not_one_whole_run_are_broken() {
    let text = "calls with a wrong whole body";
    assert_breaks(&call(&[], ""), text);
    assert_breaks(&call(&[(0..3, "v1 run a from 0")], ""), text);
    assert_breaks(&call(&[(0..CALL_PIECES, "v1 run a from 0")], "error"), text);
    let joined: Pieces<'_> = &[
        (0..3, "v1 run a from 0"),
        (3..CALL_PIECES, "v1 run b from 3"),
    ];
    assert_breaks(&call(joined, ""), text);
}

/// Each end leaves a start of the whole answer, without its end.
#[test]
fn cut_answers_are_starts_of_whole_ones() {
    let asked = Asked {
        id: "s",
        is_stream: true,
        last_event: None,
        pieces: 5,
        run: "a",
        version: "v1",
        seal: "seal",
    };
    let bytes = |script: &Script| [&script.head[..], &script.pieces.concat(), &script.end].concat();
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let whole = Script::draw(&mut rng, &asked);
        for point in Point::ALL {
            let mut cut = whole.clone();
            cut.cut(&mut rng, point);
            assert!(bytes(&whole).starts_with(&bytes(&cut)));
            assert!(cut.end.is_empty());
            assert_eq!(cut.head == whole.head, point != Point::Head);
        }
    }
}

/// Guards against a soak that calls a stream cut short by its host whose endpoint had ended it falsely, and ended itself
/// then: a head with a length of nothing is a whole answer.
#[test]
fn falsely_whole_answers_that_say_their_length_stay_so_when_they_are_cut() {
    let asked = Asked {
        id: "s",
        is_stream: true,
        last_event: Some(2),
        pieces: 5,
        run: "a",
        version: "v1",
        seal: "seal",
    };
    let mut seen = [false; 2];
    for seed in 0..400 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let script = Script::draw(&mut rng, &asked);
        if !script.is_falsely_whole {
            continue;
        }
        let head = String::from_utf8_lossy(&script.head);
        let has_length = head.contains("Content-Length: 0\r\n");
        seen[usize::from(has_length)] = true;
        for point in Point::ALL {
            let mut cut = script.clone();
            cut.cut(&mut rng, point);
            let is_whole = has_length && point != Point::Head;
            assert_eq!(cut.is_falsely_whole, is_whole, "{point} {script:?}");
        }
    }
    assert_eq!(seen, [true; 2]);
}

/// Guards against take-ups at processes that are refused in place of being proven.
#[test]
fn take_ups_that_seldom_go_on_are_broken_while_two_processes_serve() {
    let start = Instant::now();
    let first: Pieces<'_> = &[(0..3, "v1 run a from 0")];
    let rest: Pieces<'_> = &[(3..6, "v1 run b from 3")];
    let taken_up = |is_refused: bool| {
        let mut record = match is_refused {
            true => stream(&[first, &[]], false).streams.remove(0),
            false => stream(&[first, rest], false).streams.remove(0),
        };
        record.sent = vec![sent_at(start + Duration::from_secs(1)); 2];
        record
    };
    let seen = |gone_on: usize, refused: usize, processes: usize| {
        let span = ReplicaSpan {
            version: "v1".to_owned(),
            from: start,
            until: None,
        };
        Seen {
            streams: (0..gone_on + refused)
                .map(|i| taken_up(i < refused))
                .collect(),
            served: vec![span; processes],
            ..Seen::default()
        }
    };
    assert_breaks(&seen(5, 7, 2), "streams go on too seldom");
    assert_keeps(&seen(6, 6, 2));
    assert_keeps(&seen(5, 7, 1));
    assert_keeps(&seen(4, 7, 2));
}

fn sent_at(at: Instant) -> Sent {
    Sent {
        host: 0,
        at,
        time: SystemTime::UNIX_EPOCH,
        lasted: Duration::ZERO,
    }
}
