//! End-to-end tests of actions with an idempotency key, which run at most once.

mod support;

use std::net;
use std::thread;
use std::time::Duration;

use pistachiochute_core::topology;
use pistachiochute_standins::{keyvalue, service};
use serde_json::Value;

/// Two hosts, one booking service and the key-value service.
struct BookingFleet {
    fleet: support::Fleet,
    service: service::Service,
}

/// Status, outcome and body of an answer to a call.
#[derive(Debug)]
struct ActionAnswer {
    status: u16,
    outcome: String,
    body: Value,
}

impl ActionAnswer {
    fn code(&self) -> &str {
        self.body["error"]["code"].as_str().unwrap_or_default()
    }
}

impl BookingFleet {
    fn start(run_time: Duration) -> Self {
        let service = service::Service::start(service::Settings {
            run_time,
            ..service::Settings::default()
        });
        let service = service.expect("a service");
        let mut fleet = support::Fleet::start(&support::FleetConfig::default());
        let addr = service.addr();
        fleet.update_host_list(|list| {
            list.endpoints.push(topology::Endpoint {
                id: "ep100".parse().expect("an endpoint"),
                domain: list.domains[0].id,
                addr,
                serves: topology::Serves::Service {
                    name: "bookings".parse().expect("a name"),
                },
                slots: 8,
                presence: topology::Presence::Live,
            });
        });
        Self { fleet, service }
    }

    fn callers(&self, host: usize) -> net::SocketAddr {
        self.fleet.members[host].callers
    }

    fn runs(&self, key: uuid::Uuid) -> u32 {
        let counters = self.service.counters();
        counters.by_key.get(&key.to_string()).copied().unwrap_or(0)
    }

    fn close(self) {
        self.fleet.close();
        self.service.close();
    }
}

fn book(callers: net::SocketAddr, key: uuid::Uuid, body: &str) -> ActionAnswer {
    let resp = attohttpc::post(format!("http://{callers}/v1/services/bookings/offers"))
        .header("authorization", format!("Bearer {}", support::API_KEY))
        .header("idempotency-key", key.to_string())
        .timeout(Duration::from_secs(20))
        .text(body.to_owned())
        .send()
        .expect("an answer");
    ActionAnswer {
        status: resp.status().as_u16(),
        outcome: support::header(&resp, "x-outcome"),
        body: resp.json().unwrap_or_default(),
    }
}

/// Repeats the call until the action is no longer in progress.
fn book_until_settled(callers: net::SocketAddr, key: uuid::Uuid, body: &str) -> ActionAnswer {
    loop {
        let answer = book(callers, key, body);
        if answer.code() != "in_progress" {
            return answer;
        }
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn a_repeat_through_another_host_gets_the_recorded_answer() {
    let booking = BookingFleet::start(Duration::ZERO);
    let key = uuid::Uuid::now_v7();
    let first = book(booking.callers(0), key, "teacher 7");
    assert_eq!(
        (first.status, first.outcome.as_str()),
        (200, "run"),
        "{first:?}"
    );
    let repeat = book_until_settled(booking.callers(1), key, "teacher 7");
    assert_eq!(repeat.status, 200);
    assert_eq!(repeat.body, first.body);
    assert_eq!(booking.runs(key), 1);
    booking.close();
}

#[test]
fn the_same_key_with_another_body_is_refused() {
    let booking = BookingFleet::start(Duration::ZERO);
    let key = uuid::Uuid::now_v7();
    book(booking.callers(0), key, "teacher 7");
    let other = book(booking.callers(1), key, "teacher 8");
    assert_eq!((other.status, other.code()), (422, "key_reused"));
    assert_eq!(other.outcome, "not_run");
    assert_eq!(booking.runs(key), 1);
    booking.close();
}

#[test]
fn a_lost_answer_of_the_key_value_service_is_read_back() {
    let booking = BookingFleet::start(Duration::ZERO);
    for faults in [
        keyvalue::Faults {
            lost_answers: 1,
            ..keyvalue::Faults::default()
        },
        keyvalue::Faults {
            late_writes: 1,
            late_by_ms: 300,
            ..keyvalue::Faults::default()
        },
    ] {
        book(booking.callers(0), uuid::Uuid::now_v7(), "warm");
        booking.fleet.key_value.set_faults(faults);
        let key = uuid::Uuid::now_v7();
        let answer = book(booking.callers(0), key, "teacher 7");
        let runs = booking.runs(key);
        assert!(runs <= 1);
        assert_eq!(answer.outcome == "run", runs == 1, "{answer:?}");
        let repeat = book_until_settled(booking.callers(1), key, "teacher 7");
        assert!(booking.runs(key) <= 1, "{repeat:?}");
        booking
            .fleet
            .key_value
            .set_faults(keyvalue::Faults::default());
    }
    booking.close();
}

#[test]
fn without_the_key_value_service_an_action_is_refused_as_not_run() {
    let booking = BookingFleet::start(Duration::ZERO);
    booking.fleet.key_value.set_faults(keyvalue::Faults {
        refuse_connections: true,
        ..keyvalue::Faults::default()
    });
    let key = uuid::Uuid::now_v7();
    let answer = book(booking.callers(0), key, "teacher 7");
    assert_eq!((answer.status, answer.code()), (503, "store_unavailable"));
    assert_eq!(answer.outcome, "not_run");
    assert_eq!(booking.runs(key), 0);
    booking
        .fleet
        .key_value
        .set_faults(keyvalue::Faults::default());
    let repeat = book_until_settled(booking.callers(1), key, "teacher 7");
    assert_eq!(repeat.outcome, "run", "{repeat:?}");
    assert_eq!(booking.runs(key), 1);
    booking.close();
}

#[test]
fn an_action_whose_answer_was_lost_is_unknown_and_never_runs_again() {
    let booking = BookingFleet::start(Duration::ZERO);
    booking.service.set_faults(service::Faults {
        calls: Some(service::Fault::HangUpAfter),
        times: Some(1),
        ..service::Faults::default()
    });
    let key = uuid::Uuid::now_v7();
    let answer = book(booking.callers(0), key, "teacher 7");
    assert_eq!(answer.outcome, "unknown", "{answer:?}");
    let repeat = book_until_settled(booking.callers(1), key, "teacher 7");
    assert_eq!(repeat.code(), "action_unknown", "{repeat:?}");
    assert_eq!(booking.runs(key), 1);
    booking.close();
}

#[test]
fn concurrent_calls_with_one_key_through_both_hosts_run_once() {
    let booking = BookingFleet::start(Duration::from_millis(200));
    let key = uuid::Uuid::now_v7();
    let answers: Vec<ActionAnswer> = thread::scope(|scope| {
        let send = |i: usize| {
            let callers = booking.callers(i % 2);
            scope.spawn(move || book(callers, key, "teacher 7"))
        };
        let threads: Vec<_> = (0..8).map(send).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("an answer"))
            .collect()
    });
    assert_eq!(booking.runs(key), 1);
    assert!(
        answers.iter().all(|answer| answer.outcome != "not_run"),
        "{answers:?}"
    );
    booking.close();
}

#[test]
fn an_expired_key_is_refused() {
    let booking = BookingFleet::start(Duration::ZERO);
    let long_ago = uuid::Timestamp::from_unix_time(1_600_000_000, 0, 0, 0);
    let key = uuid::Uuid::new_v7(long_ago);
    let answer = book(booking.callers(0), key, "teacher 7");
    assert_eq!((answer.status, answer.code()), (410, "key_expired"));
    assert_eq!(booking.runs(key), 0);
    booking.close();
}

#[test]
fn a_host_that_stops_records_the_outcomes_first() {
    let mut booking = BookingFleet::start(Duration::ZERO);
    let keys = [uuid::Uuid::now_v7(), uuid::Uuid::now_v7()];
    for (host, key) in keys.into_iter().enumerate() {
        assert_eq!(book(booking.callers(host), key, "teacher 7").status, 200);
    }
    // Host 1 stops and host 0 answers the repeats, whichever of them owned the service.
    let stopped = booking.fleet.members.remove(1);
    stopped.host.close();
    for key in keys {
        let repeat = book_until_settled(booking.callers(0), key, "teacher 7");
        assert!(
            repeat.status == 200 || repeat.outcome == "not_run",
            "{repeat:?}"
        );
        assert_eq!(booking.runs(key), 1);
    }
    booking.close();
}
