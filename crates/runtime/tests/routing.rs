//! End-to-end tests of the load bound, handover and endpoint health.

mod support;

use std::net;
use std::thread;
use std::time::Duration;

use pistachiochute_core::topology;
use pistachiochute_standins::engine;

/// Time per token of the engines.
const TOKEN_TIME: Duration = Duration::from_millis(25);

fn fleet_config(hosts: u32, engines: u32) -> support::FleetConfig {
    support::FleetConfig {
        hosts,
        engines,
        engine: engine::Settings {
            token_time: TOKEN_TIME,
            slots: 32,
            ..support::engine_settings()
        },
        ..support::FleetConfig::default()
    }
}

/// Starts a streamed chat. The thread returns whether the stream is complete, or its error.
fn stream(
    callers: net::SocketAddr,
    chat: usize,
    tokens: u32,
) -> thread::JoinHandle<Result<bool, String>> {
    let body = support::chat_body(&format!("chat {chat}"), true, tokens);
    thread::spawn(move || {
        let resp = support::chat(callers, &body).map_err(|e| e.to_string())?;
        if resp.status().as_u16() != 200 {
            return Err(format!("status {}", resp.status()));
        }
        let (events, end) = support::events(resp);
        end.map_err(|e| e.to_string())?;
        Ok(events.last().is_some_and(|(data, _)| data == "[DONE]"))
    })
}

fn open_endpoints(fleet: &support::Fleet) -> usize {
    let status = fleet
        .members
        .iter()
        .filter_map(|m| m.host.control().status());
    status.map(|status| status.open_endpoints).sum()
}

#[test]
fn no_engine_runs_more_than_the_multiple_of_the_mean() {
    const STREAMS: usize = 24;
    const ENGINES: usize = 4;
    let fleet = support::Fleet::start(&fleet_config(3, ENGINES as u32));
    assert!(support::eventually(|| open_endpoints(&fleet) == ENGINES));
    let streams: Vec<_> = (0..STREAMS)
        .map(|i| stream(fleet.members[i % 3].callers, i, 40))
        .collect();
    let runs = || -> Vec<usize> {
        let engines = fleet.engines.iter();
        engines
            .map(|(_, engine)| engine.counters().runs.len())
            .collect()
    };
    // Queued requests start as others end, so the load is highest before the first ones end.
    thread::sleep(TOKEN_TIME * 20);
    let runs = runs();
    let most = runs.iter().max().copied().unwrap_or_default();
    let mean = runs.iter().sum::<usize>() as f64 / ENGINES as f64;
    // The bound allows at least one request more than the mean.
    assert!(most as f64 <= (1.25 * mean).max(mean + 1.0), "{runs:?}");
    for stream in streams {
        assert_eq!(stream.join().expect("a stream"), Ok(true));
    }
    fleet.close();
}

#[test]
fn a_flapping_endpoint_loses_no_request() {
    let mut fleet = support::Fleet::start(&fleet_config(2, 3));
    assert!(support::eventually(|| open_endpoints(&fleet) == 3));
    let mut streams = Vec::new();
    for flap in 0..6 {
        let presence = match flap % 2 {
            0 => topology::Presence::Leaving,
            _ => topology::Presence::Live,
        };
        fleet.update_host_list(|list| list.endpoints[0].presence = presence);
        for member in &fleet.members {
            let next = streams.len();
            streams.push(stream(member.callers, next, 8));
        }
        thread::sleep(TOKEN_TIME * 2);
    }
    for stream in streams {
        assert_eq!(stream.join().expect("a stream"), Ok(true));
    }
    fleet.close();
}

#[test]
fn streams_of_a_failed_owner_end_complete_or_with_an_error() {
    let mut fleet = support::Fleet::start(&fleet_config(3, 4));
    assert!(support::eventually(|| open_endpoints(&fleet) == 4));
    let callers = fleet.members[1].callers;
    let streams: Vec<_> = (0..12).map(|i| stream(callers, i, 40)).collect();
    thread::sleep(TOKEN_TIME * 10);
    fleet.members.remove(0).host.close();
    for stream in streams {
        // A stream that ends without an error has its end marker.
        if let Ok(complete) = stream.join().expect("a stream") {
            assert!(complete, "a truncated stream looked complete");
        }
    }
    assert!(support::eventually(|| open_endpoints(&fleet) == 4));
    fleet.close();
}

#[test]
fn requests_avoid_a_stopped_engine() {
    let mut fleet = support::Fleet::start(&fleet_config(2, 3));
    assert!(support::eventually(|| open_endpoints(&fleet) == 3));
    let (_, stopped) = fleet.engines.remove(0);
    stopped.close();
    for chat in 0..20 {
        let member = &fleet.members[chat % 2];
        assert_eq!(
            stream(member.callers, chat, 2).join().expect("a stream"),
            Ok(true)
        );
    }
    fleet.close();
}
