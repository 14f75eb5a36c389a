//! Endpoints with a software version, and callers that take a stream up after a cut.

use std::net::SocketAddr;
use std::time::Duration;

use pistachiochute_standins::platform::caller::{self, CallerRequest};
use pistachiochute_standins::platform::endpoint::{Behaviour, Endpoint, Software};
use pistachiochute_standins::platform::records;
use pistachiochute_standins::platform::stream_caller::StreamCaller;

const EVENTS: u64 = 6;

const STREAM: Behaviour = Behaviour::Stream {
    events: EVENTS,
    pause: Duration::from_millis(1),
    cut_at: None,
};

/// A request as a host sends it to the endpoint with an id.
fn ask(endpoint: &str, request: &CallerRequest, addr: SocketAddr) -> caller::Answer {
    let request = request.clone();
    request.header("X-Expect-Instance", endpoint).send(addr)
}

/// Sends the next try of a caller to the endpoint with an id.
fn attempt(caller: &mut StreamCaller, endpoint: &str, addr: SocketAddr) {
    let request = caller.next_request();
    let answer = ask(endpoint, &request, addr);
    caller.record(&request, answer);
}

#[test]
fn events_bear_the_version_of_the_process_that_made_them() {
    let cut = Behaviour::Stream {
        events: EVENTS,
        pause: Duration::from_millis(1),
        cut_at: Some(2),
    };
    let mut endpoint =
        Endpoint::start_software("i-0", Software::new("v1", 1_000), cut).expect("an endpoint");
    let mut caller = StreamCaller::new("r1", "/stream/", "a key");
    attempt(&mut caller, "i-0", endpoint.addr());
    assert_eq!(caller.versions().into_iter().collect::<Vec<_>>(), ["v1"]);
    assert!(!caller.is_complete(EVENTS));
    endpoint.set_behaviour(STREAM);
    endpoint.restart("i-0", Software::new("v2", 2_000));
    attempt(&mut caller, "i-0", endpoint.addr());
    let found: Vec<_> = caller
        .events()
        .map(|event| (event.id, &*event.request, event.version.as_deref()))
        .collect();
    let expected = [
        (0, "r1", Some("v1")),
        (1, "r1", Some("v1")),
        (2, "r1-try-2", Some("v2")),
        (3, "r1-try-2", Some("v2")),
        (4, "r1-try-2", Some("v2")),
        (5, "r1-try-2", Some("v2")),
    ];
    assert_eq!(found, expected);
    assert!(caller.is_complete(EVENTS));
    let versions: Vec<_> = endpoint.runs().into_iter().map(|run| run.version).collect();
    assert_eq!(versions, [Some("v1".to_owned()), Some("v2".to_owned())]);
    endpoint.close();
}

#[test]
fn take_up_names_the_last_event_and_the_try_that_brought_the_first() {
    let endpoint = Endpoint::start("i-0", STREAM).expect("an endpoint");
    let mut caller = StreamCaller::new("r1", "/stream/", "a key");
    let request = caller.next_request();
    caller.record(&request, caller::Answer::default());
    assert!(caller.next_request().headers.is_empty());
    attempt(&mut caller, "i-0", endpoint.addr());
    let request = caller.next_request();
    assert_eq!(request.id, "r1-try-3");
    let expected = [("Last-Event-Id", "5"), ("Resumes", "r1-try-2")]
        .map(|(name, value)| (name.to_owned(), value.to_owned()));
    assert_eq!(request.headers, expected);
    assert!(caller.versions().is_empty());
    endpoint.close();
}

#[test]
fn reused_address_answers_only_to_its_new_endpoint() {
    let mut endpoint =
        Endpoint::start_software("i-0", Software::new("v1", 1_000), STREAM).expect("an endpoint");
    endpoint.restart("i-1", Software::new("v2", 2_000));
    assert_eq!(endpoint.id(), "i-1");
    let request = CallerRequest::new("r1", "/stream/", "a key");
    assert_eq!(ask("i-0", &request, endpoint.addr()).status, 421);
    assert_eq!(ask("i-1", &request, endpoint.addr()).status, 200);
    endpoint.close();
}

#[test]
fn restart_and_cut_end_open_connections_only() {
    let slow = Behaviour::Stream {
        events: EVENTS,
        pause: Duration::from_secs(5),
        cut_at: None,
    };
    let mut endpoint =
        Endpoint::start_software("i-0", Software::new("v1", 1_000), slow).expect("an endpoint");
    let request = CallerRequest::new("r1", "/stream/", "a key").header("X-Expect-Instance", "i-0");
    for cut in 0..2 {
        let mut stream = request.open(endpoint.addr()).expect("a connection");
        while endpoint.runs().len() <= cut {
            std::thread::sleep(Duration::from_millis(2));
        }
        match cut {
            0 => endpoint.cut_connections(),
            _ => endpoint.restart("i-0", Software::new("v2", 2_000)),
        }
        assert!(!caller::read(&mut stream).is_complete);
    }
    endpoint.set_behaviour(STREAM);
    assert!(request.send(endpoint.addr()).is_complete);
    endpoint.close();
}

#[test]
fn entry_states_version_and_start() {
    let address: SocketAddr = "127.0.0.1:9".parse().expect("an address");
    let entry = records::Entry {
        service: "reader",
        address,
        state: "ready",
        version: "v2",
        started_at_ms: 2_000,
        sequence: 4,
    };
    let record = entry.record();
    assert_eq!(
        (&record["version"], &record["born"]),
        (&"v2".into(), &2_000.into())
    );
    let default = records::entry("reader", address, "ready", 4);
    let expected = (&records::VERSION.into(), &records::STARTED_AT_MS.into());
    assert_eq!((&default["version"], &default["born"]), expected);
}
