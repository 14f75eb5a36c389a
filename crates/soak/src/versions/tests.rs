//! The checks find what they are for.

use std::time::{Duration, Instant, SystemTime};

use pistachiochute_standins::platform::caller::{Answer, event_of_version};
use pistachiochute_standins::platform::stream_caller::StreamCaller;

use crate::versions::callers::{Sent, StreamRecord};
use crate::versions::checks::check;
use crate::versions::releases::ReplicaSpan;

/// Events of one answer, as ranges of ids with the version that made them.
type Events<'a> = &'a [(std::ops::Range<u64>, &'a str)];

/// A stream with one try for each answer. An answer without events is a refusal.
fn stream(start: Instant, answers: &[Events<'_>]) -> StreamRecord {
    let mut caller = StreamCaller::new("s", "/versions-resumable/", "a key");
    let mut sent = Vec::new();
    for events in answers {
        let request = caller.next_request();
        let body: String = events
            .iter()
            .flat_map(|(ids, version)| ids.clone().map(move |id| (id, version)))
            .map(|(id, version)| event_of_version(&request.id, id, version))
            .collect();
        let answer = Answer {
            status: if events.is_empty() { 503 } else { 200 },
            body,
            ..Answer::default()
        };
        caller.record(&request, answer);
        let at = start + Duration::from_secs(1);
        sent.push(Sent {
            host: 0,
            at,
            time: SystemTime::UNIX_EPOCH + Duration::from_millis(45_296_789),
            lasted: Duration::from_millis(250),
        });
    }
    StreamRecord {
        caller,
        sent,
        foreign: None,
    }
}

/// Endpoints of a version that serve from a time on.
fn replicas(version: &str, count: usize, from: Instant) -> Vec<ReplicaSpan> {
    let span = ReplicaSpan {
        version: version.to_owned(),
        from,
        until: None,
    };
    vec![span; count]
}

#[test]
fn stream_of_one_version_is_kept() {
    let start = Instant::now();
    let stream = stream(start, &[&[(0..3, "v1")], &[], &[(3..9, "v1")]]);
    let findings = check(&[stream], &replicas("v1", 2, start));
    assert!(findings.broken.is_empty(), "{:?}", findings.broken);
}

#[test]
fn stream_of_two_versions_is_broken() {
    let start = Instant::now();
    let in_one_answer = stream(start, &[&[(0..3, "v1"), (3..5, "v2")]]);
    let over_tries = stream(start, &[&[(0..3, "v1")], &[], &[(3..5, "v2")]]);
    let findings = check(&[in_one_answer, over_tries], &[]);
    assert_eq!(findings.broken.len(), 2, "{:?}", findings.broken);
    assert!(findings.broken[0].contains("in one answer"));
    assert!(findings.broken[1].contains("over its tries"));
}

#[test]
fn lost_and_repeated_events_are_broken() {
    let start = Instant::now();
    let lost = stream(start, &[&[(0..3, "v1")], &[(4..6, "v1")]]);
    let repeated = stream(start, &[&[(0..3, "v1")], &[(2..6, "v1")]]);
    let late_start = stream(start, &[&[(1..3, "v1")]]);
    let findings = check(&[lost, repeated, late_start], &[]);
    assert_eq!(findings.broken.len(), 3, "{:?}", findings.broken);
}

#[test]
fn take_ups_that_seldom_go_on_are_broken_while_two_replicas_serve() {
    let start = Instant::now();
    let refused = stream(start, &[&[(0..3, "v1")], &[]]);
    let taken_up = stream(start, &[&[(0..3, "v1")], &[(3..6, "v1")]]);
    let streams = |served: usize, lost: usize| {
        let mut streams = vec![taken_up.clone(); served];
        streams.extend(vec![refused.clone(); lost]);
        streams
    };
    let broken = |served, lost, replicas: &[ReplicaSpan]| {
        let findings = check(&streams(served, lost), replicas);
        !findings.broken.is_empty()
    };
    let two = replicas("v1", 2, start);
    assert!(broken(5, 7, &two));
    assert!(!broken(6, 6, &two));
    assert!(!broken(4, 7, &two));
    assert!(!broken(5, 7, &replicas("v1", 1, start)));
    assert!(!broken(5, 7, &replicas("v2", 2, start)));
    let mut ended = two;
    ended[0].until = Some(start + Duration::from_millis(500));
    assert!(!broken(5, 7, &ended));
}

/// The share of new streams that begin is the measure, so troubles of all streams don't count.
#[test]
fn take_ups_are_compared_with_new_streams() {
    let start = Instant::now();
    let taken_up = stream(start, &[&[(0..3, "v1")], &[(3..6, "v1")]]);
    let refused = stream(start, &[&[(0..3, "v1")], &[]]);
    let never_begun = stream(start, &[&[]]);
    let mut streams = vec![taken_up; 5];
    streams.extend(vec![refused; 7]);
    streams.extend(vec![never_begun; 12]);
    let findings = check(&streams, &replicas("v1", 2, start));
    assert!(findings.broken.is_empty(), "{:?}", findings.broken);
}

/// Guards against findings that do not say where and when each part of a stream came.
#[test]
fn findings_name_the_tries_with_hosts_runs_and_times() {
    let start = Instant::now();
    let first = "v1 run process-3.17.0 from 0";
    let second = "v2 run process-5.19.4 from 3";
    let mixed = stream(start, &[&[(0..3, first), (3..5, second)], &[]]);
    let findings = check(&[mixed], &[]);
    let tries = [
        "s at host-0, from 12:34:56.789 for 250 ms: status 200, events 0 to 2 of v1, run process-3.17.0 \
         then events 3 to 4 of v2, run process-5.19.4",
        "s-try-2 at host-0, from 12:34:56.789 for 250 ms: status 503, no event",
    ];
    let described = &findings.broken[0];
    assert!(described.ends_with(&tries.join("; ")), "{described}");
}
