//! Decisions of queries from the answers of other hosts.

use std::sync::Arc;

use pistachiochute_core::{directory, streams, time};
use pistachiochute_runtime::clock;
use tokio::sync::mpsc;

use super::{Agreement, OpenQueries, OpenQuery, decide, decode, encode};
use streams::Answer;

const UNKNOWN: Answer = Answer::Unknown;

fn tag(version: &str) -> Answer {
    Answer::Version(streams::VersionTag::new("reader", &version.into()))
}

/// A record of the stream that is not proven.
fn beginning(connected_at: time::Time) -> streams::Beginning {
    let identity = directory::Identity {
        id: "i".into(),
        started_at_ms: 1,
    };
    streams::Beginning {
        stream: streams::StreamOrigin {
            stream: streams::StreamKey::of_request(b"r"),
            origin: streams::Origin {
                version: streams::VersionTag::new("reader", &"v1".into()),
                endpoint: streams::EndpointKey::of_id("i"),
            },
        },
        connected: streams::Connected {
            to: streams::IncarnationTag::of(&identity),
            by: connected_at,
        },
        process: streams::KnownProcess::Claimed,
    }
}

fn claim() -> Answer {
    Answer::Claim(beginning(time::Time::from_secs(1)))
}

/// Decides a query that two hosts were sent. The channel closes after the last answer.
fn decide_from(answers: &[(&str, Answer)], agreement: Agreement, own: Answer) -> Answer {
    let mut open = OpenQueries::default();
    let (tx, mut rx) = mpsc::unbounded_channel();
    let query = OpenQuery {
        waiting_for: ["a", "b"].map(Arc::from).to_vec(),
        answers: tx,
    };
    open.queries.insert(1, query);
    for (host, answer) in answers {
        open.answer(1, host, *answer);
    }
    assert!(open.queries.is_empty(), "all have answered");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("a runtime");
    let mut best = own;
    runtime.block_on(decide(&mut rx, agreement, &mut best));
    best
}

#[test]
fn first_answer_with_a_version_decides() {
    let decide = |answers: &[_]| decide_from(answers, Agreement::First, UNKNOWN);
    assert_eq!(decide(&[("a", UNKNOWN), ("b", tag("v1"))]), tag("v1"));
    assert_eq!(decide(&[("b", tag("v1")), ("a", UNKNOWN)]), tag("v1"));
    assert_eq!(decide(&[("a", UNKNOWN), ("b", UNKNOWN)]), UNKNOWN);
}

/// Hosts of an earlier build state what they have recorded, and one of them may not know yet that an
/// endpoint has restarted with another version.
#[test]
fn uncertain_record_needs_the_agreement_of_all() {
    let decide = |answers: &[_]| decide_from(answers, Agreement::All, UNKNOWN);
    assert_eq!(decide(&[("a", tag("v1")), ("b", tag("v1"))]), tag("v1"));
    assert_eq!(decide(&[("a", tag("v1")), ("b", UNKNOWN)]), UNKNOWN);
    assert_eq!(decide(&[("a", UNKNOWN), ("b", tag("v1"))]), UNKNOWN);
    assert_eq!(decide(&[("a", tag("v1")), ("b", tag("v2"))]), UNKNOWN);
}

#[test]
fn second_answer_and_answers_of_others_do_not_count() {
    let answers = [
        ("c", tag("v2")),
        ("a", UNKNOWN),
        ("a", tag("v2")),
        ("b", tag("v1")),
    ];
    assert_eq!(decide_from(&answers, Agreement::First, UNKNOWN), tag("v1"));
}

/// Guards against LOST: a record that its endpoint could prove, and that is lost among answers of hosts that
/// know nothing; and against ORDER: one that counts as a version.
#[test]
fn a_claim_counts_for_less_than_a_version_and_more_than_nothing() {
    let decide = |answers: &[_], own| decide_from(answers, Agreement::First, own);
    assert_eq!(decide(&[("a", claim()), ("b", UNKNOWN)], UNKNOWN), claim());
    assert_eq!(
        decide(&[("a", claim()), ("b", tag("v1"))], UNKNOWN),
        tag("v1")
    );
    assert_eq!(decide(&[("a", UNKNOWN), ("b", UNKNOWN)], claim()), claim());
    let all = decide_from(&[("a", UNKNOWN), ("b", UNKNOWN)], Agreement::All, claim());
    assert_eq!(all, claim());
}

/// Guards against ORDER: a connection that counts as older on another host than it is, so that a sign of life
/// from before it proves whose it is.
#[test]
fn a_connection_is_no_older_on_another_host() {
    let connected_at = clock::now();
    let sent_at = connected_at + std::time::Duration::from_micros(12_900);
    let record = encode(&beginning(connected_at), sent_at);
    assert_eq!(record.connected_ms, 12);
    let on_the_way = std::time::Duration::from_millis(40);
    let decoded = decode(&record, sent_at + on_the_way);
    assert!(decoded.connected.by >= connected_at);
    assert_eq!(decoded.stream, beginning(connected_at).stream);
}

/// A process that was not listed goes over a link as what it said to be, and as no version.
#[test]
fn a_process_that_said_who_it_is_stays_that_on_another_host() {
    let now = clock::now();
    let mut told = beginning(now);
    for process in [
        streams::KnownProcess::Claimed,
        streams::KnownProcess::Listed,
        streams::KnownProcess::Reported,
    ] {
        told.process = process;
        if process == streams::KnownProcess::Reported {
            told.stream.origin.version = streams::VersionTag::UNLISTED;
        }
        let decoded = decode(&encode(&told, now), now);
        assert_eq!(decoded.process, process);
        assert_eq!(decoded.stream, told.stream);
    }
    // A host of the build before names the entry by which it connected.
    let mut record = encode(&told, now);
    record.is_shown = false;
    let decoded = decode(&record, now);
    assert_eq!(decoded.process, streams::KnownProcess::Claimed);
}
