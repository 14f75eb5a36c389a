//! When the only version of a service is that of a stream without a record.

mod streams_support;

use std::time::Duration;

use pistachiochute_core::directory::Endpoint;
use pistachiochute_core::streams::{
    LifeSign, OnlyVersions, OriginQuery, RETENTION, StreamKey, TakeUps, VersionHistory,
};
use pistachiochute_core::time;
use streams_support::{SERVICE, endpoint, tag};

/// Longest time since a stream can have begun.
const SPAN: Duration = Duration::from_secs(10);

/// When the take-up of a stream comes.
const TAKE_UP: time::Time = time::Time::from_secs(20);

/// Longer than any wait of a host for what its endpoints write.
const LONG_AFTER: time::Time = time::Time::from_secs(40);

fn secs(secs: u64) -> time::Time {
    time::Time::from_secs(secs)
}

/// A host that has listed the endpoints each second until a point in time, and has read as many writes of each.
fn host_with(endpoints: &[Endpoint], until: time::Time) -> VersionHistory {
    let mut history = VersionHistory::new(true, time::Time::ZERO);
    let mut now = time::Time::ZERO;
    while now <= until {
        list(&mut history, endpoints, now);
        for endpoint in endpoints {
            history.record_write(endpoint, now, now);
        }
        now += Duration::from_secs(1);
    }
    history
}

fn list(history: &mut VersionHistory, endpoints: &[Endpoint], now: time::Time) {
    history.observe(endpoints.iter(), now);
    history.confirm(now);
}

/// Lists the endpoints each second from one point in time to another.
fn keep_listing(history: &mut VersionHistory, endpoints: &[Endpoint], from: u64, to: u64) {
    for second in from..=to {
        list(history, endpoints, secs(second));
    }
}

/// Guards against ORDER: a stream that began at an endpoint of another version, which another host had read
/// and this one not yet. The list is as recent as one may be.
#[test]
fn a_list_from_just_before_the_take_up_names_no_version() {
    let endpoints = [endpoint("a", 1, Some("1"))];
    let mut history = host_with(&endpoints, secs(19));
    let just_before = time::Time::from_micros(TAKE_UP.as_micros() - 1);
    list(&mut history, &endpoints, just_before);
    history.record_write(&endpoints[0], TAKE_UP, TAKE_UP);
    assert_eq!(history.only_version(SERVICE, SPAN, TAKE_UP, TAKE_UP), None);
    list(&mut history, &endpoints, TAKE_UP);
    let version = history.only_version(SERVICE, SPAN, TAKE_UP, TAKE_UP);
    assert_eq!(version, Some(tag("1")));
}

/// Guards against ORDER: a stream that began at a process of another version, which had taken the place of one
/// in the list and had not written its entry. No time that goes by shows that there was none.
#[test]
fn an_endpoint_that_writes_no_more_hides_the_only_version_until_it_is_listed_no_more() {
    let endpoints = [endpoint("a", 1, Some("1")), endpoint("b", 1, Some("1"))];
    let mut history = host_with(&endpoints, secs(19));
    keep_listing(&mut history, &endpoints, 20, 40);
    history.record_write(&endpoints[0], LONG_AFTER, LONG_AFTER);
    let only = |history: &VersionHistory, now| history.only_version(SERVICE, SPAN, TAKE_UP, now);
    assert_eq!(only(&history, LONG_AFTER), None);
    let later = LONG_AFTER + Duration::from_secs(1);
    list(&mut history, &endpoints[..1], later);
    assert_eq!(only(&history, later), Some(tag("1")));
}

/// The write of the process that took the place brings the other version into the list.
#[test]
fn an_endpoint_that_comes_back_as_another_version_ends_the_only_one() {
    let endpoints = [endpoint("a", 1, Some("1"))];
    let mut history = host_with(&endpoints, secs(19));
    let restarted = [endpoint("a", 2, Some("2"))];
    keep_listing(&mut history, &endpoints, 20, 39);
    list(&mut history, &restarted, LONG_AFTER);
    history.record_write(&restarted[0], LONG_AFTER, LONG_AFTER);
    let span = LONG_AFTER.since(secs(18));
    let version = history.only_version(SERVICE, span, TAKE_UP, LONG_AFTER);
    assert_eq!(version, None);
}

/// Guards against LOST: endpoints whose entries are not read again, though their reports show that they live.
#[test]
fn a_report_shows_that_an_endpoint_is_alive_as_a_write_does() {
    let endpoints = [endpoint("a", 1, Some("1"))];
    let mut history = host_with(&endpoints, secs(19));
    list(&mut history, &endpoints, TAKE_UP);
    history.record_sign(&endpoints[0].identity, LifeSign::Alive(TAKE_UP));
    let version = history.only_version(SERVICE, SPAN, TAKE_UP, TAKE_UP);
    assert_eq!(version, Some(tag("1")));
}

/// Guards against ORDER: a process that is known to have ended, and whose late write would show that it lives.
#[test]
fn a_late_write_of_an_endpoint_that_has_ended_shows_no_only_version() {
    let endpoints = [endpoint("a", 1, Some("1"))];
    let mut history = host_with(&endpoints, secs(19));
    list(&mut history, &endpoints, TAKE_UP);
    history.record_sign(&endpoints[0].identity, LifeSign::Ended);
    history.record_write(&endpoints[0], TAKE_UP, TAKE_UP);
    let version = history.only_version(SERVICE, SPAN, TAKE_UP, TAKE_UP);
    assert_eq!(version, None);
}

/// Guards against ORDER: an entry that names no start, which the next process under its id renews.
#[test]
fn an_endpoint_without_a_start_shows_no_only_version() {
    let endpoints = [endpoint("a", 0, Some("1"))];
    let history = host_with(&endpoints, TAKE_UP);
    let version = history.only_version(SERVICE, SPAN, TAKE_UP, TAKE_UP);
    assert_eq!(version, None);
}

/// Guards against LOST: take-ups that are repeated, each of which would wait anew for what shows the version.
#[test]
fn a_stream_that_is_asked_about_again_had_begun_before_the_first_time() {
    let mut take_ups = TakeUps::new();
    let stream = StreamKey::of_request(b"s");
    assert_eq!(take_ups.note(stream, secs(1)), secs(1));
    assert_eq!(take_ups.note(stream, secs(2)), secs(1));
    take_ups.tick(secs(1) + RETENTION);
    assert_eq!(take_ups.note(stream, secs(100)), secs(100));
}

/// Guards against ORDER: a host that has started during a release, leaves the later version in the store as the
/// only one, and after a loss of all hosts the streams of the earlier one go on at it.
#[test]
fn a_host_that_started_lately_leaves_no_only_version_that_it_has_not_seen_throughout() {
    let span = Duration::from_secs(20);
    let endpoints = [endpoint("a", 2, Some("2"))];
    let mut history = VersionHistory::new(false, time::Time::ZERO);
    keep_listing(&mut history, &endpoints, 0, 19);
    assert!(history.only_versions(span, secs(19)).is_empty());
    keep_listing(&mut history, &endpoints, 20, 20);
    let expected = OnlyVersions::from([(SERVICE.into(), tag("2"))]);
    assert_eq!(history.only_versions(span, secs(20)), expected);
}

/// Guards against LOST: hosts that are replaced more often than the span, each of which would leave less.
#[test]
fn a_host_that_started_lately_leaves_the_only_version_that_it_has_adopted() {
    let endpoints = [endpoint("a", 2, Some("2"))];
    let mut history = VersionHistory::new(false, time::Time::ZERO);
    let adopted = OnlyVersions::from([(SERVICE.into(), tag("2"))]);
    history.adopt(adopted.clone());
    keep_listing(&mut history, &endpoints, 0, 1);
    let span = Duration::from_secs(20);
    assert_eq!(history.only_versions(span, secs(1)), adopted);
}

/// Guards against ORDER: a take-up that waits for signs of life until the version at which its stream began has
/// left the span (soak seed 9002, `r6-3`).
#[test]
fn a_take_up_that_has_waited_asks_for_as_much_longer() {
    let earlier = endpoint("a", 1, Some("1"));
    let later = endpoint("b", 1, Some("2"));
    let mut history = host_with(&[earlier, later.clone()], secs(20));
    keep_listing(&mut history, std::slice::from_ref(&later), 21, 40);
    history.record_write(&later, secs(40), secs(40));
    let query = OriginQuery {
        stream: None,
        service: SERVICE.into(),
        span: SPAN,
    };
    let version =
        |query: &OriginQuery| history.only_version(SERVICE, query.span, secs(26), secs(40));
    assert_eq!(version(&query), Some(tag("2")));
    let waited = secs(40).since(secs(26));
    assert_eq!(version(&query.after_waiting(waited)), None);
}

/// Guards against ORDER: a host that takes the time from its start to its first list for time in which it knows
/// what served.
#[test]
fn a_host_that_started_knows_nothing_of_the_time_before_its_first_list() {
    let listed = endpoint("a", 1, Some("2"));
    let mut history = VersionHistory::new(false, secs(10));
    keep_listing(&mut history, std::slice::from_ref(&listed), 14, 20);
    history.record_write(&listed, secs(20), secs(20));
    let version = |span| history.only_version(SERVICE, span, secs(20), secs(20));
    assert_eq!(version(Duration::from_secs(6)), Some(tag("2")));
    assert_eq!(version(Duration::from_secs(7)), None);
}
