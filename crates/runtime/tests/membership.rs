//! End-to-end tests of hosts that stop or drain and of endpoints that leave.

mod support;

use std::time::Duration;

use pistachiochute_core::topology;
use pistachiochute_standins::engine;

fn fleet_config() -> support::FleetConfig {
    support::FleetConfig {
        hosts: 3,
        engines: 4,
        ..support::FleetConfig::default()
    }
}

/// Sends different chats through one host, and returns how many were answered.
fn count_answered(callers: std::net::SocketAddr, chats: usize) -> usize {
    let is_complete = |i: &usize| {
        let body = support::chat_body(&format!("chat {i}"), false, 2);
        support::chat(callers, &body).is_ok_and(|resp| resp.status().as_u16() == 200)
    };
    (0..chats).filter(is_complete).count()
}

#[test]
fn endpoints_of_a_stopped_host_move_to_other_hosts() {
    let mut fleet = support::Fleet::start(&fleet_config());
    let stopped = fleet.members.remove(0);
    stopped.host.close();
    // Attempts at the stopped owner fail to connect, which proves that the request did not run, so
    // it is retried at the next candidate.
    assert_eq!(count_answered(fleet.members[0].callers, 16), 16);
    let owned = || {
        let status = fleet
            .members
            .iter()
            .filter_map(|member| member.host.control().status());
        status.map(|status| status.open_endpoints).sum::<usize>()
    };
    assert!(support::eventually(|| owned() == 4), "{}", owned());
    assert_eq!(count_answered(fleet.members[1].callers, 16), 16);
    fleet.close();
}

#[test]
fn a_draining_host_hands_over_its_endpoints() {
    let fleet = support::Fleet::start(&fleet_config());
    assert_eq!(count_answered(fleet.members[1].callers, 4), 4);
    assert_eq!(
        fleet.members[0].host.drain(),
        pistachiochute_runtime::host::DrainResult::Complete
    );
    let owned = |i: usize| {
        fleet.members[i]
            .host
            .control()
            .status()
            .unwrap()
            .open_endpoints
    };
    assert_eq!(owned(0), 0);
    assert!(support::eventually(|| owned(1) + owned(2) == 4));
    assert_eq!(count_answered(fleet.members[1].callers, 16), 16);
    fleet.close();
}

#[test]
fn a_leaving_endpoint_finishes_its_streams_and_gets_no_new_work() {
    let config = support::FleetConfig {
        engine: engine::Settings {
            token_time: Duration::from_millis(30),
            ..support::engine_settings()
        },
        engines: 2,
        ..fleet_config()
    };
    let mut fleet = support::Fleet::start(&config);
    let callers = fleet.members[0].callers;
    let streams: Vec<_> = (0..4)
        .map(|i| {
            let body = support::chat_body(&format!("chat {i}"), true, 20);
            std::thread::spawn(move || support::events(support::chat(callers, &body).unwrap()))
        })
        .collect();
    let runs = |fleet: &support::Fleet, i: usize| fleet.engines[i].1.counters().runs.len();
    assert!(support::eventually(
        || runs(&fleet, 0) + runs(&fleet, 1) == 4
    ));
    fleet.update_host_list(|list| list.endpoints[0].presence = topology::Presence::Leaving);
    let has_update = |member: &support::Member| {
        member
            .host
            .control()
            .status()
            .is_some_and(|status| status.host_list == 2)
    };
    assert!(support::eventually(|| fleet.members.iter().all(has_update)));
    let before = runs(&fleet, 0);
    for member in &fleet.members {
        assert_eq!(count_answered(member.callers, 8), 8);
    }
    assert_eq!(runs(&fleet, 0), before, "the leaving endpoint got new work");
    for stream in streams {
        let (events, end) = stream.join().unwrap();
        end.unwrap();
        assert_eq!(events.last().map(|(data, _)| data.as_str()), Some("[DONE]"));
    }
    fleet.close();
}
