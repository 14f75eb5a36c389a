//! Which version began a stream.

#[path = "streams_support/origins.rs"]
mod origins;
mod streams_support;

use std::time::Duration;

use origins::origin;
use pistachiochute_core::directory::{Endpoint, SoftwareVersion};
use pistachiochute_core::streams::{
    self, Beginning, Connected, EndpointKey, IncarnationTag, KnownProcess, LifeSign, MAX_GAP,
    MAX_STREAMS, OnlyVersions, Origin, OriginQuery, Origins, Pulse, RETENTION, StoredBeginning,
    StreamKey, StreamOrigin, VersionHistory, VersionTag,
};
use pistachiochute_core::time;
use streams_support::{SERVICE, endpoint, tag};

fn stream(name: &str) -> StreamKey {
    StreamKey::of_request(name.as_bytes())
}

fn secs(secs: u64) -> time::Time {
    time::Time::from_secs(secs)
}

/// A host that knows the versions since the fleet started.
struct Host {
    origins: Origins,
    history: VersionHistory,
}

impl Host {
    fn new(is_complete: bool) -> Self {
        Self {
            origins: Origins::new(),
            history: VersionHistory::new(is_complete, time::Time::ZERO),
        }
    }

    /// Lists the endpoints and confirms the list each second from `from` to `to`.
    fn run(&mut self, endpoints: &[Endpoint], from: u64, to: u64) {
        for second in from..=to {
            self.history.observe(endpoints.iter(), secs(second));
            self.history.confirm(secs(second));
            self.history.tick(secs(second));
            self.origins.tick(secs(second));
        }
    }

    fn record(&mut self, name: &str, origin: Origin, now: u64) {
        let stream = stream(name);
        let stream_origin = StreamOrigin { stream, origin };
        self.origins.record(stream_origin, secs(now));
    }

    fn determine(&self, name: Option<&str>, span: u64, now: u64) -> Option<VersionTag> {
        let query = OriginQuery {
            stream: name.map(stream),
            service: SERVICE.into(),
            span: Duration::from_secs(span),
        };
        streams::determine(&self.origins, &self.history, &query, secs(now), secs(now))
    }

    /// The only version, for a stream that began by `began_by`.
    fn only_version(&self, span: u64, began_by: u64, now: u64) -> Option<VersionTag> {
        let span = Duration::from_secs(span);
        self.history
            .only_version(SERVICE, span, secs(began_by), secs(now))
    }

    /// Has endpoints write their entries.
    fn renew(&mut self, endpoints: &[Endpoint], now: u64) {
        for endpoint in endpoints {
            self.history.record_write(endpoint, secs(now), secs(now));
        }
    }
}

#[test]
fn a_software_version_is_encoded_as_its_text() {
    let version: SoftwareVersion = "2.1".parse().expect("any text is a version");
    assert_eq!(version.to_string(), "2.1");
    let encoded = serde_json::to_string(&version).expect("a text");
    assert_eq!(encoded, "\"2.1\"");
    let decoded: SoftwareVersion = serde_json::from_str(&encoded).expect("a version");
    assert_eq!(decoded, version);
}

#[test]
fn keys_tell_services_versions_and_ids_apart_but_not_incarnations() {
    assert_ne!(tag("1"), tag("2"));
    assert_ne!(tag("1"), VersionTag::new("writer", &"1".into()));
    assert_ne!(EndpointKey::of_id("a"), EndpointKey::of_id("b"));
    assert_ne!(stream("a"), stream("b"));
    assert_eq!(stream("a").to_string().len(), 16);
}

#[test]
fn a_later_record_of_a_stream_replaces_the_earlier_one() {
    let mut host = Host::new(true);
    host.record("s", origin("a", "1"), 1);
    host.record("s", origin("b", "2"), 2);
    let expected = Some((origin("b", "2"), secs(2)));
    let record = host.origins.get(stream("s"));
    assert_eq!(record.map(|r| (r.origin, r.recorded_at)), expected);
    assert_eq!(host.origins.len(), 1);
}

#[test]
fn a_record_expires_after_the_retention_that_a_later_record_renews() {
    let mut origins = Origins::new();
    let record = |name| StreamOrigin {
        stream: stream(name),
        origin: origin("a", "1"),
    };
    origins.record(record("renewed"), secs(1));
    origins.record(record("old"), secs(1));
    origins.record(record("renewed"), secs(2));
    origins.tick(secs(1) + RETENTION - Duration::from_micros(1));
    assert_eq!(origins.len(), 2);
    origins.tick(secs(1) + RETENTION);
    assert!(origins.get(stream("old")).is_none());
    assert!(origins.get(stream("renewed")).is_some());
    origins.tick(secs(2) + RETENTION);
    assert!(origins.is_empty());
}

#[test]
fn the_oldest_record_makes_room_for_a_new_one() {
    let mut origins = Origins::new();
    let record = |i: usize| StreamOrigin {
        stream: StreamKey::of_request(&i.to_le_bytes()),
        origin: origin("a", "1"),
    };
    (0..MAX_STREAMS).for_each(|i| origins.record(record(i), secs(1)));
    origins.record(record(0), secs(1));
    assert_eq!(origins.len(), MAX_STREAMS);
    origins.record(record(MAX_STREAMS), secs(1));
    assert_eq!(origins.len(), MAX_STREAMS);
    assert!(origins.get(record(0).stream).is_some());
    assert!(origins.get(record(1).stream).is_none());
    assert!(origins.get(record(2).stream).is_some());
}

#[test]
fn a_service_with_one_version_throughout_gives_it() {
    let mut host = Host::new(true);
    let endpoints = [endpoint("a", 1, Some("1"))];
    host.run(&endpoints, 0, 20);
    host.renew(&endpoints, 20);
    assert_eq!(host.determine(None, 10, 20), Some(tag("1")));
    assert_eq!(host.determine(Some("unrecorded"), 10, 20), Some(tag("1")));
}

#[test]
fn a_service_with_two_versions_gives_none_without_a_record() {
    let mut host = Host::new(true);
    let endpoints = [endpoint("a", 1, Some("1")), endpoint("b", 1, Some("2"))];
    host.run(&endpoints, 0, 20);
    host.renew(&endpoints, 20);
    assert_eq!(host.determine(None, 10, 20), None);
    assert_eq!(host.history.versions(SERVICE), 2);
}

#[test]
fn an_endpoint_without_a_known_version_hides_the_only_version() {
    let mut host = Host::new(true);
    let endpoints = [endpoint("a", 1, Some("1")), endpoint("b", 1, None)];
    host.run(&endpoints, 0, 20);
    host.renew(&endpoints, 20);
    assert_eq!(host.determine(None, 10, 20), None);
    assert_eq!(host.history.versions(SERVICE), 2);
}

#[test]
fn a_version_that_ended_before_the_span_does_not_count() {
    let mut host = Host::new(true);
    host.run(&[endpoint("a", 1, Some("1"))], 0, 20);
    host.run(&[endpoint("a", 2, Some("2"))], 21, 60);
    host.renew(&[endpoint("a", 2, Some("2"))], 60);
    assert_eq!(host.determine(None, 30, 60), Some(tag("2")));
    assert_eq!(host.determine(None, 35, 60), None);
    assert_eq!(host.determine(None, 40, 60), None);
}

#[test]
fn a_version_is_forgotten_once_no_query_can_ask_about_it() {
    let mut host = Host::new(true);
    host.run(&[endpoint("a", 1, Some("1"))], 0, 1);
    host.run(&[endpoint("a", 2, Some("2"))], 2, 66);
    assert_eq!(host.history.versions(SERVICE), 2);
    host.run(&[endpoint("a", 2, Some("2"))], 67, 67);
    host.renew(&[endpoint("a", 2, Some("2"))], 67);
    assert_eq!(host.history.versions(SERVICE), 1);
    assert_eq!(host.determine(None, 60, 67), Some(tag("2")));
    assert_eq!(host.determine(None, 61, 67), None);
}

#[test]
fn a_host_that_started_later_answers_only_for_its_own_time() {
    let mut host = Host::new(false);
    let endpoints = [endpoint("a", 1, Some("1"))];
    host.run(&endpoints, 0, 20);
    host.renew(&endpoints, 20);
    assert_eq!(host.determine(None, 20, 20), Some(tag("1")));
    assert_eq!(host.determine(None, 21, 20), None);
}

#[test]
fn a_gap_between_confirmations_ends_what_the_history_covers() {
    let gap = MAX_GAP.as_secs();
    let mut host = Host::new(true);
    let endpoints = [endpoint("a", 1, Some("1"))];
    host.run(&endpoints, 0, 10);
    host.run(&endpoints, 10 + gap, 20);
    host.renew(&endpoints, 20);
    assert_eq!(host.determine(None, 15, 20), Some(tag("1")));
    host.run(&endpoints, 20 + gap + 1, 40);
    host.renew(&endpoints, 40);
    assert_eq!(host.determine(None, 40 - 26, 40), Some(tag("1")));
    assert_eq!(host.determine(None, 40 - 25, 40), None);
}

/// Guards against a host that stood still or was cut off while endpoints of another version joined, and
/// takes the version that it knew for the only one.
#[test]
fn a_list_that_does_not_reach_to_the_take_up_names_no_only_version() {
    let mut host = Host::new(true);
    let endpoints = [endpoint("a", 1, Some("1"))];
    host.run(&endpoints, 0, 10);
    host.renew(&endpoints, 11);
    assert_eq!(host.only_version(10, 10, 11), Some(tag("1")));
    assert_eq!(host.only_version(10, 11, 11), None);
}

#[test]
fn gaps_before_the_first_confirmation_count_unless_nothing_was_served_before() {
    for is_complete in [true, false] {
        let mut host = Host::new(is_complete);
        host.run(&[endpoint("a", 1, Some("1"))], 20, 30);
        host.renew(&[endpoint("a", 1, Some("1"))], 30);
        let expected = is_complete.then(|| tag("1"));
        assert_eq!(host.determine(None, 11, 30), expected);
        assert_eq!(host.determine(None, 10, 30), Some(tag("1")));
    }
}

/// Guards against ORDER: a record at an id that never changed, as far as the list shows. Its entry may be that
/// of a process whose place another one has taken, so that only a write after the stream began proves it.
#[test]
fn a_record_at_an_id_that_never_changed_gives_its_version_once_the_entry_was_renewed() {
    let mut host = Host::new(true);
    let endpoints = [endpoint("a", 1, Some("1")), endpoint("b", 1, Some("2"))];
    host.run(&endpoints, 0, 10);
    for (name, version) in [("a", "1"), ("b", "2")] {
        host.record("s", origin(name, version), 10);
        assert_eq!(host.determine(Some("s"), 10, 11), None);
    }
    for (endpoint, version) in endpoints.iter().zip(["1", "2"]) {
        host.history.record_write(endpoint, secs(10), secs(11));
        host.record("s", origin(&endpoint.identity.id, version), 10);
        assert_eq!(host.determine(Some("s"), 10, 11), Some(tag(version)));
    }
}

/// Beginning of a stream at an endpoint, over a connection that was made at a point in time.
fn beginning(name: &str, endpoint: &Endpoint, version: &str, connected_at: u64) -> Beginning {
    Beginning {
        stream: StreamOrigin {
            stream: stream(name),
            origin: origin(&endpoint.identity.id, version),
        },
        connected: Connected {
            to: IncarnationTag::of(&endpoint.identity),
            by: secs(connected_at),
        },
        process: KnownProcess::Claimed,
    }
}

/// Guards against ORDER: a stream recorded at the version of an entry whose process was gone when the
/// connection was made. No write after the connection shows that it lived, whatever the list says.
#[test]
fn a_record_counts_once_its_incarnation_was_alive_after_the_connection_was_made() {
    let mut host = Host::new(true);
    let listed = endpoint("a", 1, Some("1"));
    host.run(std::slice::from_ref(&listed), 0, 10);
    host.history.record_write(&listed, secs(8), secs(9));
    let began = beginning("s", &listed, "1", 9);
    host.origins.record_beginning(&began, secs(10));
    assert_eq!(host.determine(Some("s"), 10, 10), None);
    host.run(std::slice::from_ref(&listed), 11, 12);
    assert_eq!(host.determine(Some("s"), 12, 12), None);
    host.history.record_write(&listed, secs(9), secs(12));
    assert_eq!(host.determine(Some("s"), 12, 12), Some(tag("1")));
}

/// Guards against LOST: a stream over a connection that is older than the last write of the entry needs no
/// other write, and none is to come if the endpoint crashes.
#[test]
fn a_connection_from_before_the_last_write_is_proven_at_once() {
    let mut host = Host::new(true);
    let listed = endpoint("a", 1, Some("1"));
    host.run(std::slice::from_ref(&listed), 0, 10);
    host.history.record_write(&listed, secs(9), secs(10));
    let began = beginning("s", &listed, "1", 5);
    host.origins.record_beginning(&began, secs(10));
    assert_eq!(host.determine(Some("s"), 10, 10), Some(tag("1")));
    host.run(&[endpoint("a", 2, Some("2"))], 11, 12);
    assert_eq!(host.determine(Some("s"), 12, 12), Some(tag("1")));
}

/// Guards against ORDER: a later incarnation of the same version that proves a stream which began at one
/// between the two, of which this host has not heard.
#[test]
fn a_sign_of_life_of_another_incarnation_proves_nothing() {
    let mut host = Host::new(true);
    let [first, third] = [1, 3].map(|start| endpoint("a", start, Some("1")));
    host.run(std::slice::from_ref(&first), 0, 10);
    let began = beginning("s", &first, "1", 10);
    host.origins.record_beginning(&began, secs(10));
    host.run(std::slice::from_ref(&third), 11, 12);
    host.history.record_write(&third, secs(12), secs(12));
    assert_eq!(host.determine(Some("s"), 12, 12), None);
}

/// Guards against ORDER: a delayed write of an incarnation whose address another process is known to have.
#[test]
fn a_report_proves_a_record_and_an_end_stops_later_writes_from_it() {
    let mut host = Host::new(true);
    let listed = endpoint("a", 1, Some("1"));
    host.run(std::slice::from_ref(&listed), 0, 10);
    let first = beginning("first", &listed, "1", 9);
    host.origins.record_beginning(&first, secs(10));
    let alive = LifeSign::Alive(secs(9));
    host.history.record_sign(&listed.identity, alive);
    assert_eq!(host.determine(Some("first"), 10, 10), Some(tag("1")));
    let second = beginning("second", &listed, "1", 10);
    host.origins.record_beginning(&second, secs(10));
    host.history.record_sign(&listed.identity, LifeSign::Ended);
    host.history.record_write(&listed, secs(11), secs(12));
    assert_eq!(host.determine(Some("second"), 12, 12), None);
    assert_eq!(host.determine(Some("first"), 12, 12), Some(tag("1")));
}

/// Guards against ORDER: what an earlier process of an address showed counts for a record of a service with
/// one version, before the next process is listed.
#[test]
fn an_unproven_record_is_not_replaced_by_the_only_version_that_is_listed() {
    let mut host = Host::new(true);
    let listed = endpoint("a", 1, Some("1"));
    host.run(std::slice::from_ref(&listed), 0, 10);
    host.renew(std::slice::from_ref(&listed), 9);
    let began = beginning("s", &listed, "1", 10);
    host.origins.record_beginning(&began, secs(10));
    assert_eq!(host.only_version(5, 9, 10), Some(tag("1")));
    assert_eq!(host.determine(Some("s"), 5, 10), None);
    let query = OriginQuery {
        stream: Some(stream("s")),
        service: SERVICE.into(),
        span: Duration::from_secs(5),
    };
    assert_eq!(streams::claim(&host.origins, &query, secs(10)), Some(began));
    let shown = Beginning {
        process: KnownProcess::Listed,
        ..began
    };
    host.origins.record_beginning(&shown, secs(10));
    assert_eq!(host.determine(Some("s"), 5, 10), Some(tag("1")));
    assert_eq!(streams::claim(&host.origins, &query, secs(10)), None);
}

/// Beginning of a stream at a process that has said that it is this incarnation, and was not listed.
fn reported(name: &str, process: &Endpoint) -> Beginning {
    let mut began = beginning(name, process, "1", 10);
    began.stream.origin.version = VersionTag::UNLISTED;
    began.process = KnownProcess::Reported;
    began
}

/// Guards against LOST: a stream that began at a process before its entry was known had no version for good.
#[test]
fn a_process_that_said_who_it_is_has_the_version_of_its_own_entry() {
    let mut host = Host::new(true);
    let [before, process, after] = [1, 2, 3].map(|start| endpoint("a", start, Some("1")));
    let process = Endpoint {
        version: Some("2".into()),
        ..process
    };
    host.run(&[before], 0, 10);
    let began = reported("s", &process);
    host.origins.record_beginning(&began, secs(10));
    assert_eq!(host.determine(Some("s"), 10, 10), None);
    let query = OriginQuery {
        stream: Some(stream("s")),
        service: SERVICE.into(),
        span: Duration::from_secs(10),
    };
    let claim = streams::claim(&host.origins, &query, secs(10));
    assert_eq!(claim, Some(began));
    host.run(&[process], 11, 12);
    assert_eq!(host.determine(Some("s"), 10, 12), Some(tag("2")));
    host.run(&[after], 13, 14);
    assert_eq!(host.determine(Some("s"), 10, 14), Some(tag("2")));
}

/// Guards against ORDER: the version of the entry by which the host connected, or of a later process, counts for one
/// that has said to be another and never wrote its entry.
#[test]
fn a_process_that_said_who_it_is_has_no_other_ones_version() {
    let mut host = Host::new(true);
    let [before, process, after] = [1, 2, 3].map(|start| endpoint("a", start, Some("1")));
    host.run(std::slice::from_ref(&before), 0, 10);
    host.renew(std::slice::from_ref(&before), 9);
    let began = reported("s", &process);
    host.origins.record_beginning(&began, secs(10));
    assert_eq!(host.determine(Some("s"), 5, 10), None);
    host.run(std::slice::from_ref(&after), 11, 12);
    host.history.record_write(&after, secs(12), secs(12));
    assert_eq!(host.determine(Some("s"), 5, 12), None);
}

/// Guards against LOST and ORDER after a loss of all hosts: what was stored of such a stream names the process, and of a
/// host of the build before, which names the entry by which it connected, nothing.
#[test]
fn a_stored_record_of_a_process_that_was_not_listed_names_it() {
    let process = endpoint("a", 2, Some("2"));
    for (was_shown, answer) in [(true, Some(tag("2"))), (false, None)] {
        let mut host = Host::new(false);
        let stored = StoredBeginning {
            stream: reported("s", &process).stream,
            incarnation: Some(IncarnationTag::of(&process.identity)),
            was_shown,
        };
        host.origins.record_stored(&stored, secs(10));
        host.run(std::slice::from_ref(&process), 11, 12);
        host.history.record_write(&process, secs(12), secs(12));
        assert_eq!(host.determine(Some("s"), 10, 12), answer);
    }
}

#[test]
fn a_record_at_an_id_that_this_host_does_not_know_gives_none() {
    let mut host = Host::new(true);
    host.run(&[endpoint("a", 1, Some("1"))], 0, 10);
    host.record("s", origin("new", "2"), 10);
    assert_eq!(host.determine(Some("s"), 10, 11), None);
    host.record("s", origin("a", "2"), 10);
    assert_eq!(host.determine(Some("s"), 10, 11), None);
}

#[test]
fn a_restart_learned_after_the_stream_began_gives_none() {
    let mut host = Host::new(true);
    host.run(&[endpoint("a", 1, Some("1"))], 0, 10);
    host.record("s", origin("a", "1"), 10);
    host.run(&[endpoint("a", 2, Some("2"))], 11, 12);
    assert_eq!(host.determine(Some("s"), 10, 12), None);
}

#[test]
fn a_write_after_the_stream_began_shows_which_incarnation_answered() {
    let mut host = Host::new(true);
    let [earlier, later] = [1, 2].map(|start| endpoint("a", start, Some(&start.to_string())));
    host.run(&[earlier], 0, 10);
    host.run(std::slice::from_ref(&later), 11, 20);
    host.record("s", origin("a", "2"), 20);
    host.history.record_write(&later, secs(19), secs(21));
    assert_eq!(host.determine(Some("s"), 10, 21), None);
    host.history.record_write(&later, secs(20), secs(21));
    assert_eq!(host.determine(Some("s"), 10, 21), Some(tag("2")));
}

#[test]
fn a_delayed_write_of_a_replaced_incarnation_does_not_count() {
    let mut host = Host::new(true);
    let [earlier, later] = [1, 2].map(|start| endpoint("a", start, Some(&start.to_string())));
    host.run(std::slice::from_ref(&earlier), 0, 10);
    host.record("s", origin("a", "1"), 10);
    host.run(&[later], 11, 12);
    host.history.record_write(&earlier, secs(11), secs(12));
    assert_eq!(host.determine(Some("s"), 10, 12), None);
}

#[test]
fn a_later_incarnation_of_the_recorded_version_does_not_count() {
    let mut host = Host::new(true);
    host.run(&[endpoint("a", 1, Some("1"))], 0, 10);
    host.record("s", origin("a", "1"), 10);
    host.run(&[endpoint("a", 2, Some("2"))], 11, 14);
    let again = endpoint("a", 3, Some("1"));
    host.run(std::slice::from_ref(&again), 15, 16);
    host.history.record_write(&again, secs(16), secs(16));
    assert_eq!(host.determine(Some("s"), 10, 16), None);
}

#[test]
fn an_uncertain_record_gives_the_version_of_a_service_that_had_no_other() {
    let mut host = Host::new(true);
    let endpoints = [endpoint("a", 1, Some("1"))];
    host.run(&endpoints, 0, 10);
    host.renew(&endpoints, 10);
    host.record("s", origin("unlisted", "1"), 10);
    assert_eq!(host.determine(Some("s"), 10, 10), Some(tag("1")));
}

#[test]
fn an_uncertain_record_gives_none_while_the_history_has_another_version() {
    let mut host = Host::new(true);
    host.run(&[endpoint("a", 1, Some("1"))], 0, 10);
    host.run(&[endpoint("a", 2, Some("2"))], 11, 40);
    host.renew(&[endpoint("a", 2, Some("2"))], 38);
    host.record("s", origin("a", "2"), 39);
    assert_eq!(host.only_version(10, 38, 40), Some(tag("2")));
    assert_eq!(host.determine(Some("s"), 10, 40), None);
}

#[test]
fn an_incarnation_without_a_known_start_is_not_told_from_a_later_one() {
    let mut host = Host::new(true);
    let [earlier, later] = ["1", "2"].map(|version| endpoint("a", 0, Some(version)));
    host.run(std::slice::from_ref(&earlier), 0, 10);
    host.record("s", origin("a", "1"), 10);
    host.run(&[later], 11, 14);
    host.run(std::slice::from_ref(&earlier), 15, 16);
    host.history.record_write(&earlier, secs(16), secs(16));
    assert_eq!(host.determine(Some("s"), 10, 16), None);
}

#[test]
fn a_version_that_becomes_known_replaces_the_unknown_one_if_the_start_is_known() {
    for (start, expected) in [(1, Some(tag("1"))), (0, None)] {
        let mut host = Host::new(true);
        host.run(&[endpoint("a", start, None)], 0, 10);
        let known = endpoint("a", start, Some("1"));
        host.run(std::slice::from_ref(&known), 11, 12);
        host.record("s", origin("a", "1"), 12);
        host.history.record_write(&known, secs(12), secs(12));
        assert_eq!(host.determine(Some("s"), 10, 12), expected);
    }
}

/// Guards against ORDER: a host that stood still or was cut off, and believes without end what the hosts
/// before it left in the store.
#[test]
fn an_adopted_only_version_counts_while_the_list_reaches_to_the_take_up() {
    let mut host = Host::new(false);
    host.history
        .adopt(OnlyVersions::from([(SERVICE.into(), tag("1"))]));
    let endpoints = [endpoint("a", 1, Some("1"))];
    host.run(&endpoints, 0, 1);
    host.renew(&endpoints, 2);
    assert_eq!(host.only_version(0, 1, 2), Some(tag("1")));
    assert_eq!(host.only_version(0, 2, 2), None);
}

/// Guards against ORDER: a late message that makes the list of endpoints look older, or newer, than it is.
#[test]
fn the_list_is_as_old_as_its_last_confirmation() {
    let mut host = Host::new(true);
    let endpoints = [endpoint("a", 1, Some("1"))];
    host.run(&endpoints, 0, 10);
    host.renew(&endpoints, 11);
    host.history.confirm(secs(9));
    assert_eq!(host.only_version(10, 10, 11), Some(tag("1")));
    assert_eq!(host.only_version(10, 11, 11), None);
}

/// Guards against ORDER: a host that stood still, and takes what came meanwhile for the news of now.
#[test]
fn what_is_received_after_standing_still_may_have_come_before() {
    let mut pulse = Pulse::new(secs(1));
    pulse.beat(secs(2));
    pulse.beat(secs(3));
    assert_eq!(pulse.came_after(), secs(2));
    // It stands still for a minute, and reads what has come in the turn of its first beat.
    pulse.beat(secs(63));
    assert_eq!(pulse.came_after(), secs(3));
    pulse.beat(secs(64));
    assert_eq!(pulse.came_after(), secs(63));
}
