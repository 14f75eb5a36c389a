//! Decisions of queries from the answers of other hosts.

use std::sync::Arc;

use pistachiochute_core::streams;
use tokio::sync::mpsc;

use super::{Agreement, OpenQueries, OpenQuery, decide};

type Answer = Option<streams::VersionTag>;

fn tag(version: &str) -> Answer {
    Some(streams::VersionTag::new("reader", &version.into()))
}

/// Decides a query that two hosts were sent. The channel closes after the last answer.
fn decide_from(answers: &[(&str, Answer)], agreement: Agreement) -> Answer {
    let mut open = OpenQueries::default();
    let (tx, rx) = mpsc::unbounded_channel();
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
    runtime.block_on(decide(rx, agreement))
}

#[test]
fn first_answer_with_a_version_decides() {
    let decide = |answers: &[_]| decide_from(answers, Agreement::First);
    assert_eq!(decide(&[("a", None), ("b", tag("v1"))]), tag("v1"));
    assert_eq!(decide(&[("b", tag("v1")), ("a", None)]), tag("v1"));
    assert_eq!(decide(&[("a", None), ("b", None)]), None);
}

/// One of the hosts may not know yet that an endpoint has restarted with another version.
#[test]
fn uncertain_record_needs_the_agreement_of_all() {
    let decide = |answers: &[_]| decide_from(answers, Agreement::All);
    assert_eq!(decide(&[("a", tag("v1")), ("b", tag("v1"))]), tag("v1"));
    assert_eq!(decide(&[("a", tag("v1")), ("b", None)]), None);
    assert_eq!(decide(&[("a", None), ("b", tag("v1"))]), None);
    assert_eq!(decide(&[("a", tag("v1")), ("b", tag("v2"))]), None);
}

#[test]
fn second_answer_and_answers_of_others_do_not_count() {
    let answers = [
        ("c", tag("v2")),
        ("a", None),
        ("a", tag("v2")),
        ("b", tag("v1")),
    ];
    assert_eq!(decide_from(&answers, Agreement::First), tag("v1"));
}
