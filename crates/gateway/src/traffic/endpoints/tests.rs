//! Selection of the endpoint that cached prompt parts are copied from.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::choice::{self, load, prompt};
use pistachiochute_core::membership::load_reports;
use pistachiochute_core::{admission, directory, entity, retry, spill, streams, time};

use super::{Eligibility, EndpointTable};
use crate::{settings, shared};

const NOW: time::Time = time::Time::from_secs(5);

fn endpoint(service: &str, number: u16, state: directory::State) -> Arc<directory::Endpoint> {
    Arc::new(directory::Endpoint {
        identity: directory::Identity {
            id: format!("{service}-{number}").into(),
            started_at_ms: 1,
        },
        service: service.into(),
        address: ([127, 0, 0, 1], number).into(),
        domain: "dom-a".into(),
        slots: 8,
        state,
        version: Some("1".into()),
        heartbeat: 1,
        cold_time: std::time::Duration::ZERO,
    })
}

fn host() -> settings::Host {
    settings::Host {
        name: "host-1".to_owned(),
        domain: "dom-a".to_owned(),
    }
}

/// Ports of the endpoints that are selected as copy sources, over 200 prompts.
fn sources(view: &shared::View) -> Vec<u16> {
    let budget = retry::FleetBudget {
        ratio: 0.1,
        extra: 10.0,
    };
    let mut table = EndpointTable::new(&host(), budget, NOW);
    table.update(view, NOW);
    let others = load_reports::WorkByEndpoint::new();
    (0..200_u64)
        .filter_map(|seed| {
            let id = seed.to_le_bytes();
            let parts: [(&[u8], u32); 2] = [(&id, 5_000), (b"own", 100)];
            let request = choice::Request {
                prompt: Some(prompt::Prompt::new(b"m", parts, 5_100, 100)),
                seed,
            };
            let selected =
                table.select("engines", &request, &others, &Eligibility::default(), NOW)?;
            selected.copy_from.map(|address| address.port())
        })
        .collect()
}

fn view(endpoints: Vec<Arc<directory::Endpoint>>, leaving: &[u16], service: &str) -> shared::View {
    let leaving = leaving.iter();
    shared::View {
        generation: 1,
        endpoints,
        leaving: leaving
            .map(|n| endpoint(service, *n, directory::State::Leaving))
            .collect(),
        ..shared::View::default()
    }
}

fn engines() -> Vec<Arc<directory::Endpoint>> {
    let ready = |n| endpoint("engines", n, directory::State::Ready);
    (1..4).map(ready).collect()
}

/// Guards against copy sources of another service: endpoints of a plain service cache no prompts,
/// and an engine that requests a copy from one is kept waiting.
#[test]
fn prompts_are_not_copied_from_leaving_endpoints_of_another_service() {
    let sources = sources(&view(engines(), &[101, 102, 103, 104], "calls"));
    assert!(sources.iter().all(|port| *port < 100), "{sources:?}");
}

#[test]
fn prompts_are_copied_from_leaving_engines() {
    let sources = sources(&view(engines(), &[101], "engines"));
    assert!(sources.contains(&101));
}

/// Ports of the endpoints that are selected for resumed streams, over 200 requests.
fn resumed_at(table: &EndpointTable, now: time::Time) -> BTreeSet<u16> {
    let others = load_reports::WorkByEndpoint::new();
    let eligibility = Eligibility {
        version: Some(streams::VersionTag::new("engines", &"1".into())),
        ..Eligibility::default()
    };
    let select = |seed| {
        let request = choice::Request { prompt: None, seed };
        let selected = table.select("engines", &request, &others, &eligibility, now)?;
        Some(selected.endpoint.address.port())
    };
    (0..200).filter_map(select).collect()
}

/// Guards against a resumed stream at an endpoint that has just restarted with another version.
#[test]
fn a_lost_endpoint_is_avoided_for_resumed_streams_until_its_entry_can_be_known() {
    let (mut table, _) = table_of_two();
    let ids = table.by_service["engines"].clone();
    assert_eq!(resumed_at(&table, NOW), BTreeSet::from([1, 2]));
    table.record_lost_connection(ids[0], NOW);
    assert_eq!(resumed_at(&table, NOW), BTreeSet::from([2]));
    let later = NOW + super::preferences::RESTART_NOTICE;
    table.confirm_list(later);
    assert_eq!(resumed_at(&table, later), BTreeSet::from([1, 2]));
    table.record_lost_connection(ids[0], later);
    table.record_lost_connection(ids[1], later);
    let entries = || ids.iter().filter_map(|id| table.entries.get(*id));
    assert!(!entries().any(|entry| table.is_version_likely(entry)));
}

/// Guards against LOST: streams that are refused though an endpoint whose connection was lost has reported
/// since that it is the process of its entry; and against ORDER: a report from before the loss that counts.
#[test]
fn a_report_after_the_loss_ends_the_doubt() {
    let (mut table, _) = table_of_two();
    let ids = table.by_service["engines"].clone();
    let identity = table
        .entries
        .get(ids[0])
        .expect("an endpoint")
        .endpoint
        .identity
        .clone();
    table.record_sign(&identity, streams::LifeSign::Alive(NOW), NOW);
    let lost_at = NOW + Duration::from_millis(1);
    table.record_lost_connection(ids[0], lost_at);
    assert_eq!(resumed_at(&table, lost_at), BTreeSet::from([2]));
    let reported_at = lost_at + Duration::from_millis(1);
    table.record_sign(
        &identity,
        streams::LifeSign::Alive(reported_at),
        reported_at,
    );
    assert_eq!(resumed_at(&table, reported_at), BTreeSet::from([1, 2]));
}

/// Guards against ORDER: a stream that goes on over a connection, or is recorded by one, that may belong to a
/// process which took the place of the entry's, by a list of any age.
#[test]
fn no_list_shows_whose_a_connection_is() {
    let (mut table, _) = table_of_two();
    let ids = table.by_service["engines"].clone();
    let identity = table
        .entries
        .get(ids[0])
        .expect("an endpoint")
        .endpoint
        .identity
        .clone();
    let connected_at = NOW + Duration::from_millis(10);
    table.confirm_list(connected_at);
    assert!(!table.was_alive_after(&identity, connected_at));
    let earlier = NOW + Duration::from_millis(9);
    table.record_sign(&identity, streams::LifeSign::Alive(earlier), earlier);
    assert!(!table.was_alive_after(&identity, connected_at));
    table.record_sign(
        &identity,
        streams::LifeSign::Alive(connected_at),
        connected_at,
    );
    assert!(table.was_alive_after(&identity, connected_at));
}

/// Guards against LOST: streams that begin, though there are others, at an endpoint whose place a process that is
/// not listed has taken, so that nothing shows the version at which they began.
#[test]
fn streams_that_may_be_resumed_begin_where_no_other_process_is_known_to_serve() {
    let (mut table, _) = table_of_two();
    table.record_sign(&identity(&table, 0), streams::LifeSign::Ended, NOW);
    assert_eq!(begun_at(&table), BTreeSet::from([2]));
    table.record_sign(&identity(&table, 1), streams::LifeSign::Ended, NOW);
    assert_eq!(begun_at(&table), BTreeSet::from([1, 2]));
}

/// Guards against ORDER: a delayed write of an entry that counts as a sign of life, though another process is
/// known to have the address.
#[test]
fn an_endpoint_that_has_ended_gives_no_sign_of_life() {
    let (mut table, _) = table_of_two();
    let ids = table.by_service["engines"].clone();
    let endpoint = table
        .entries
        .get(ids[0])
        .expect("an endpoint")
        .endpoint
        .clone();
    let identity = &endpoint.identity;
    table.record_sign(identity, streams::LifeSign::Alive(NOW), NOW);
    table.record_sign(identity, streams::LifeSign::Ended, NOW);
    let shared = shared::Shared::default();
    let late = NOW + Duration::from_secs(1);
    shared.entry_writes.push(shared::EntryWrite {
        endpoint: identity.hash(),
        alive_at: late,
    });
    table.apply_entry_writes(&shared);
    assert!(table.was_alive_after(identity, NOW));
    assert!(!table.was_alive_after(identity, late));
}

/// Guards against streams that go on, while the store is down, at an endpoint that has restarted under its
/// id with another version: no time that passes makes its last entry certain.
#[test]
fn a_lost_endpoint_is_avoided_for_resumed_streams_as_long_as_no_list_is_confirmed() {
    let (mut table, _) = table_of_two();
    let ids = table.by_service["engines"].clone();
    table.record_lost_connection(ids[0], NOW);
    table.confirm_list(NOW + super::preferences::RESTART_NOTICE - Duration::from_millis(1));
    let late = NOW + Duration::from_secs(60);
    assert_eq!(resumed_at(&table, late), BTreeSet::from([2]));
}

/// Guards against streams that are recorded to have begun at the last known version of an endpoint that may
/// have restarted with another one.
#[test]
fn a_stream_begins_at_no_certain_version_while_its_endpoint_may_have_restarted() {
    let (mut table, _) = table_of_two();
    let ids = table.by_service["engines"].clone();
    assert_eq!(
        version_by_list(&table, NOW),
        None,
        "it has given no sign of life"
    );
    let identity = identity(&table, 0);
    table.record_sign(&identity, streams::LifeSign::Alive(NOW), NOW);
    assert!(version_by_list(&table, NOW).is_some());
    table.record_lost_connection(ids[0], NOW);
    assert_eq!(version_by_list(&table, NOW), None);
    let late = NOW + Duration::from_secs(60);
    assert_eq!(version_by_list(&table, late), None);
    table.confirm_list(late);
    assert!(version_by_list(&table, late).is_some());
}

/// Ports of the endpoints at which streams that may be resumed begin, over 200 of them.
fn begun_at(table: &EndpointTable) -> BTreeSet<u16> {
    let others = load_reports::WorkByEndpoint::new();
    let eligibility = Eligibility {
        may_be_resumed: true,
        ..Eligibility::default()
    };
    let select = |seed| {
        let request = choice::Request { prompt: None, seed };
        let selected = table.select("engines", &request, &others, &eligibility, NOW)?;
        Some(selected.endpoint.address.port())
    };
    (0..200).filter_map(select).collect()
}

/// Identity of an endpoint in use, by its position.
fn identity(table: &EndpointTable, position: usize) -> directory::Identity {
    let id = table.by_service["engines"][position];
    let entry = table.entries.get(id).expect("an endpoint");
    entry.endpoint.identity.clone()
}

/// Version by which a stream begins at the first endpoint without a question to its process.
fn version_by_list(table: &EndpointTable, now: time::Time) -> Option<streams::VersionTag> {
    let others = load_reports::WorkByEndpoint::new();
    let first = Eligibility {
        only: Some(table.by_service["engines"][0]),
        ..Eligibility::default()
    };
    let request = choice::Request {
        prompt: None,
        seed: 1,
    };
    let selected = table.select("engines", &request, &others, &first, now);
    selected.expect("an endpoint").version
}

/// Guards against LOST: an endpoint that goes down and up by turns ends again before anything shows whose connections
/// its streams had, so that its process is asked before; a while later it is not.
#[test]
fn a_stream_begins_with_a_question_at_an_id_that_has_restarted_lately() {
    let (mut table, endpoints) = table_of_two();
    let mut restarted = directory::Endpoint::clone(&endpoints[0]);
    restarted.identity.started_at_ms += 1;
    let mut later = view(
        vec![Arc::new(restarted), endpoints[1].clone()],
        &[],
        "engines",
    );
    later.generation = 2;
    table.update(&later, NOW);
    table.record_sign(&identity(&table, 0), streams::LifeSign::Alive(NOW), NOW);
    assert_eq!(version_by_list(&table, NOW), None);
    let late = NOW + Duration::from_secs(6);
    table.confirm_list(late);
    assert!(version_by_list(&table, late).is_some());
}

/// Guards against LOST: where several versions serve, a process that ends is replaced by one of another version, and
/// nothing shows later which of the two a connection had.
#[test]
fn a_stream_begins_with_a_question_where_several_versions_serve() {
    let (mut table, endpoints) = table_of_two();
    table.record_sign(&identity(&table, 0), streams::LifeSign::Alive(NOW), NOW);
    assert!(version_by_list(&table, NOW).is_some());
    let mut contested = view(endpoints, &[], "engines");
    contested.generation = 2;
    contested.contested = vec!["engines".into()];
    table.update(&contested, NOW);
    assert_eq!(version_by_list(&table, NOW), None);
}

/// Guards against LOST: streams that begin at an endpoint which cannot say which process it is, where several versions
/// serve and most others can: only a later write of its entry would let them go on.
#[test]
fn streams_that_may_be_resumed_begin_where_processes_say_who_they_are() {
    let ready = |number| endpoint("engines", number, directory::State::Ready);
    let budget = retry::FleetBudget {
        ratio: 0.1,
        extra: 10.0,
    };
    let mut table = EndpointTable::new(&host(), budget, NOW);
    let mut contested = view((1..=4).map(ready).collect(), &[], "engines");
    contested.contested = vec!["engines".into()];
    table.update(&contested, NOW);
    table.record_report(&identity(&table, 0), true);
    assert_eq!(begun_at(&table), BTreeSet::from([2, 3, 4]));
    // Nor where another process has taken its place, until that one has reported.
    let mut restarted = directory::Endpoint::clone(&contested.endpoints[0]);
    restarted.identity.started_at_ms += 1;
    contested.endpoints[0] = Arc::new(restarted);
    contested.generation = 2;
    table.update(&contested, NOW);
    assert_eq!(begun_at(&table), BTreeSet::from([2, 3, 4]));
    // Not if that would double the share of the others.
    table.record_report(&identity(&table, 1), true);
    assert_eq!(begun_at(&table), BTreeSet::from([1, 2, 3, 4]));
    table.record_report(&identity(&table, 1), false);
    contested.generation = 3;
    contested.contested.clear();
    table.update(&contested, NOW);
    assert_eq!(begun_at(&table), BTreeSet::from([1, 2, 3, 4]));
}

#[test]
fn an_endpoint_of_another_or_unknown_version_is_not_selected_for_a_resumed_stream() {
    let mut other = directory::Endpoint::clone(&endpoint("engines", 1, directory::State::Ready));
    other.version = Some("2".into());
    let mut unknown = directory::Endpoint::clone(&endpoint("engines", 2, directory::State::Ready));
    unknown.version = None;
    let budget = retry::FleetBudget {
        ratio: 0.1,
        extra: 10.0,
    };
    let mut table = EndpointTable::new(&host(), budget, NOW);
    let same = endpoint("engines", 3, directory::State::Ready);
    let endpoints = vec![Arc::new(other), Arc::new(unknown), same];
    table.update(&view(endpoints, &[], "engines"), NOW);
    assert_eq!(resumed_at(&table, NOW), BTreeSet::from([3]));
}

/// A table with a view of two endpoints that are ready.
fn table_of_two() -> (EndpointTable, Vec<Arc<directory::Endpoint>>) {
    let ready = |number| endpoint("engines", number, directory::State::Ready);
    let endpoints: Vec<_> = (1..=2).map(ready).collect();
    let budget = retry::FleetBudget {
        ratio: 0.1,
        extra: 10.0,
    };
    let mut table = EndpointTable::new(&host(), budget, NOW);
    table.update(&view(endpoints.clone(), &[], "engines"), NOW);
    (table, endpoints)
}

/// Whether a request that waits for its connection may be sent to an endpoint.
fn takes_requests(table: &EndpointTable, id: entity::EndpointId) -> bool {
    table.withdrawn(id, NOW).is_none()
}

/// Guards against BUDGET: a request that waits for its connection while the endpoint asks for rest, and
/// one that selects it, also after a view without the endpoint.
#[test]
fn endpoint_that_asked_for_rest_takes_no_requests() {
    let (mut table, endpoints) = table_of_two();
    let id = table.by_service["engines"][0];
    let pause = admission::Pushback::new(Duration::from_secs(10));
    table.record_pushback(id, pause, NOW);
    let failure = table.withdrawn(id, NOW);
    assert_eq!(failure, Some(retry::AttemptFailure::PushedBack));
    assert_eq!(resumed_at(&table, NOW), BTreeSet::from([2]));
    for (generation, endpoints) in [(2, endpoints[1..].to_vec()), (3, endpoints)] {
        let mut later = view(endpoints, &[], "engines");
        later.generation = generation;
        table.update(&later, NOW);
        assert_eq!(resumed_at(&table, NOW), BTreeSet::from([2]));
    }
    let after = NOW + Duration::from_secs(11);
    table.confirm_list(after);
    assert_eq!(resumed_at(&table, after), BTreeSet::from([1, 2]));
}

/// Guards against an endpoint that is selected, or kept for a request that waits for its connection,
/// after it has said that it leaves (DRAIN), even by a view that is published later.
#[test]
fn endpoint_that_says_it_leaves_takes_no_requests() {
    let (mut table, endpoints) = table_of_two();
    let id = table.by_service["engines"][0];
    assert!(takes_requests(&table, id));
    assert!(table.record_leave_notice(id, admission::LeaveNotice::Leaving, NOW));
    assert!(!table.record_leave_notice(id, admission::LeaveNotice::Absent, NOW));
    assert!(!takes_requests(&table, id));
    assert_eq!(resumed_at(&table, NOW), BTreeSet::from([2]));
    let mut later = view(endpoints, &[], "engines");
    later.generation += 1;
    table.update(&later, NOW);
    assert!(!takes_requests(&table, id));
    assert_eq!(resumed_at(&table, NOW), BTreeSet::from([2]));
}

#[test]
fn endpoint_that_its_entry_shows_as_leaving_or_gone_takes_no_requests() {
    for leaving in [&[1_u16][..], &[]] {
        let (mut table, endpoints) = table_of_two();
        let ids = table.by_service["engines"].clone();
        let mut later = view(endpoints[1..].to_vec(), leaving, "engines");
        later.generation += 1;
        table.update(&later, NOW);
        let taken: Vec<bool> = ids.iter().map(|id| takes_requests(&table, *id)).collect();
        assert_eq!(taken, [false, true]);
    }
}

#[test]
fn undefined_notice_is_a_change_of_belief_once() {
    let (mut table, _) = table_of_two();
    let id = table.by_service["engines"][0];
    assert!(table.record_leave_notice(id, admission::LeaveNotice::Invalid, NOW));
    for notice in [
        admission::LeaveNotice::Absent,
        admission::LeaveNotice::Invalid,
    ] {
        assert!(!table.record_leave_notice(id, notice, NOW));
    }
    assert!(takes_requests(&table, id));
    assert!(table.record_leave_notice(id, admission::LeaveNotice::Leaving, NOW));
}

/// Reasons for which 200 calls leave the domain, after 1 s in which the two endpoints there had
/// `requests` of other hosts and the two elsewhere none.
fn departures(requests: u32, local: u16) -> Vec<spill::Departure> {
    let remote = |number| {
        Arc::new(directory::Endpoint {
            domain: "dom-b".into(),
            ..(*endpoint("calls", number, directory::State::Ready)).clone()
        })
    };
    let locals = (1..=local).map(|n| endpoint("calls", n, directory::State::Ready));
    let endpoints: Vec<_> = locals.chain([remote(11), remote(12)]).collect();
    let work = load::Work {
        requests,
        unread_tokens: 0,
    };
    let hashes = endpoints.iter().take(usize::from(local));
    let others = hashes.map(|e| (e.identity.hash(), work)).collect();
    let budget = retry::FleetBudget {
        ratio: 0.1,
        extra: 10.0,
    };
    let mut table = EndpointTable::new(&host(), budget, NOW);
    table.update(&view(endpoints, &[], "calls"), NOW);
    let all = Eligibility::default();
    let call = |seed| choice::Request { prompt: None, seed };
    let first = table.select("calls", &call(0), &others, &all, NOW);
    let first = first.expect("endpoints are open");
    table.start_request(&first.choice, None, first.permit, NOW);
    let mut now = NOW;
    for _ in 0..10 {
        now += Duration::from_millis(100);
        table.update_spill(&others, Some(now), now);
    }
    let select = |seed| table.select("calls", &call(seed), &others, &all, now);
    (0..200)
        .filter_map(|seed| select(seed)?.departure)
        .collect()
}

/// Local endpoints full and others free: a share of the calls leaves, and all do without local ones.
#[test]
fn calls_leave_a_full_domain_by_share_and_an_empty_one_without_a_price() {
    assert_eq!(departures(0, 2), []);
    let left = departures(18, 2);
    assert!((20..150).contains(&left.len()), "{}", left.len());
    assert!(left.iter().all(|left| *left == spill::Departure::Share));
    assert_eq!(departures(0, 0), [spill::Departure::NoLocal; 200]);
}

/// Answers load at endpoints that take none: what is in flight there is counted, but their slots are no
/// places for more.
#[test]
fn endpoint_that_takes_no_requests_has_no_places() {
    let (mut table, endpoints) = table_of_two();
    let hashes = [0, 1].map(|i: usize| endpoints[i].identity.hash());
    let work = |requests| load::Work {
        requests,
        unread_tokens: 400,
    };
    let others = load_reports::WorkByEndpoint::from([(hashes[0], work(3)), (hashes[1], work(4))]);
    let fleet = table.fleet_load("engines", &others, NOW);
    assert_eq!((fleet.slots, fleet.in_flight, fleet.elsewhere), (16, 7, 0));
    assert_eq!(fleet.reading, Duration::from_millis(10));
    let id = table.id_of_hash(hashes[1]).unwrap();
    let rest = admission::Pushback::new(Duration::from_millis(500));
    table.record_pushback(id, rest, NOW);
    let fleet = table.fleet_load("engines", &others, NOW);
    assert_eq!((fleet.slots, fleet.in_flight, fleet.elsewhere), (8, 7, 4));
}
