//! Service calls that may not be repeated: each runs at most once, and the reported outcome agrees
//! with whether it ran.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use pistachiochute_core::topology;
use pistachiochute_standins::service;
use serde_json::{Value, json};

struct BookingFleet {
    fleet: support::Fleet,
    replicas: Vec<service::Service>,
}

impl BookingFleet {
    /// Starts two hosts and two replicas of the service.
    fn start() -> Self {
        let config = support::FleetConfig {
            settings: json!({
                "timeouts": { "stall_ms": 400, "connect_ms": 300, "ping_ms": 200 },
            }),
            ..support::FleetConfig::default()
        };
        let mut fleet = support::Fleet::start(&config);
        let start = |_| service::Service::start(service::Settings::default()).expect("a service");
        let replicas: Vec<_> = (0..2).map(start).collect();
        fleet.update_host_list(|list| {
            for (i, replica) in replicas.iter().enumerate() {
                list.endpoints.push(topology::Endpoint {
                    id: format!("ep{}", 100 + i).parse().expect("an endpoint"),
                    domain: list.domains[0].id,
                    addr: replica.addr(),
                    serves: topology::Serves::Service {
                        name: "bookings".parse().expect("a name"),
                    },
                    slots: 4,
                    presence: topology::Presence::Live,
                });
            }
        });
        Self { fleet, replicas }
    }

    fn set_faults(&self, faults: &service::Faults) {
        for replica in &self.replicas {
            replica.set_faults(faults.clone());
        }
    }

    fn set_call_fault(&self, fault: service::Fault) {
        self.set_faults(&service::Faults {
            calls: Some(fault),
            ..service::Faults::default()
        });
    }

    fn callers(&self, index: usize) -> SocketAddr {
        self.fleet.members[index].callers
    }

    /// Returns how often the path ran, over both replicas.
    fn runs(&self, path: &str) -> u32 {
        let of =
            |replica: &service::Service| replica.counters().by_path.get(path).copied().unwrap_or(0);
        self.replicas.iter().map(of).sum()
    }

    fn close(self) {
        self.fleet.close();
        self.replicas.into_iter().for_each(service::Service::close);
    }
}

/// Makes a call without an idempotency key, and returns its status, outcome and body.
fn call(callers: SocketAddr, path: &str) -> (u16, String, Value) {
    let resp = attohttpc::post(format!("http://{callers}/v1/services/bookings{path}"))
        .header("authorization", format!("Bearer {}", support::API_KEY))
        .timeout(Duration::from_secs(20))
        .text("{}")
        .send()
        .expect("the host answers");
    let status = resp.status().as_u16();
    let outcome = support::header(&resp, "x-outcome");
    (status, outcome, resp.json().unwrap_or_default())
}

/// Checks that the reported outcome of a call agrees with how often it ran.
fn assert_outcome_matches_runs(bookings: &BookingFleet, path: &str, answer: &(u16, String, Value)) {
    let runs = bookings.runs(path);
    assert!(runs <= 1, "{path} ran {runs} times: {answer:?}");
    match answer.1.as_str() {
        "not_run" => assert_eq!(runs, 0, "{path}: {answer:?}"),
        "run" => assert_eq!(runs, 1, "{path}: {answer:?}"),
        "unknown" => {}
        other => panic!("{path}: outcome {other:?}"),
    }
}

#[test]
fn calls_run_once_at_any_host() {
    let bookings = BookingFleet::start();
    for index in 0..2 {
        let path = format!("/ok{index}");
        let answer = call(bookings.callers(index), &path);
        assert_eq!((answer.0, answer.1.as_str()), (200, "run"), "{answer:?}");
        assert_eq!(bookings.runs(&path), 1);
    }
    bookings.close();
}

#[test]
fn calls_with_lost_answers_are_never_repeated() {
    let bookings = BookingFleet::start();
    let after = [
        service::Fault::HangUpAfter,
        service::Fault::CutAfter,
        service::Fault::StallAfter,
    ];
    for (i, fault) in after.into_iter().enumerate() {
        bookings.set_call_fault(fault);
        for index in 0..2 {
            let path = format!("/after{i}{index}");
            let answer = call(bookings.callers(index), &path);
            assert!(answer.0 >= 500, "{fault:?}: {answer:?}");
            assert_outcome_matches_runs(&bookings, &path, &answer);
            assert_eq!(bookings.runs(&path), 1, "{fault:?}");
            assert_ne!(answer.1, "not_run", "{fault:?}");
        }
    }
    bookings.close();
}

#[test]
fn connection_loss_before_the_run_is_reported_as_unknown() {
    let bookings = BookingFleet::start();
    let before = [service::Fault::HangUpBefore, service::Fault::StallBefore];
    for (i, fault) in before.into_iter().enumerate() {
        bookings.set_call_fault(fault);
        let path = format!("/before{i}");
        let answer = call(bookings.callers(i), &path);
        assert!(answer.0 >= 500, "{fault:?}: {answer:?}");
        assert_eq!(answer.1, "unknown", "{fault:?}: {answer:?}");
        assert_eq!(bookings.runs(&path), 0, "{fault:?}");
    }
    bookings.close();
}

#[test]
fn refused_calls_are_retried_at_another_replica() {
    let bookings = BookingFleet::start();
    let refuse = service::Faults {
        calls: Some(service::Fault::Refuse),
        ..Default::default()
    };
    bookings.replicas[0].set_faults(refuse);
    for i in 0..4 {
        let path = format!("/busy{i}");
        let answer = call(bookings.callers(i % 2), &path);
        assert_eq!(answer.0, 200, "{answer:?}");
        assert_eq!(bookings.runs(&path), 1);
    }
    let down = service::Faults {
        refuse_connections: true,
        ..Default::default()
    };
    bookings.replicas[0].set_faults(down);
    for i in 0..4 {
        let path = format!("/down{i}");
        let answer = call(bookings.callers(i % 2), &path);
        assert_eq!(answer.0, 200, "{answer:?}");
        assert_eq!(bookings.runs(&path), 1);
    }
    bookings.close();
}

#[test]
fn refusal_by_every_replica_is_reported_as_not_run_at_once() {
    let bookings = BookingFleet::start();
    bookings.set_call_fault(service::Fault::Refuse);
    let begin = std::time::Instant::now();
    let answer = call(bookings.callers(0), "/refused");
    assert_eq!(
        (answer.0, answer.1.as_str()),
        (503, "not_run"),
        "{answer:?}"
    );
    assert_outcome_matches_runs(&bookings, "/refused", &answer);
    assert!(begin.elapsed() < Duration::from_secs(10));
    bookings.set_faults(&service::Faults {
        refuse_connections: true,
        ..Default::default()
    });
    let answer = call(bookings.callers(1), "/down");
    assert_eq!(
        (answer.0, answer.1.as_str()),
        (503, "not_run"),
        "{answer:?}"
    );
    bookings.close();
}
