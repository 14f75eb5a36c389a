//! Calls of plain services that may not be repeated: each runs at most once, and what a caller is
//! told of it is true.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use pistachiochute_core::topology;
use pistachiochute_standins::service;
use serde_json::{Value, json};

struct Bookings {
    fleet: support::Fleet,
    replicas: Vec<service::Service>,
}

impl Bookings {
    /// Two hosts before two replicas of the service.
    fn start() -> Self {
        let shape = support::Shape {
            settings: json!({
                "timeouts": { "stall_ms": 400, "connect_ms": 300, "ping_ms": 200 },
            }),
            ..support::Shape::default()
        };
        let mut fleet = support::Fleet::start(&shape);
        let start = |_| service::Service::start(service::Settings::default()).expect("a service");
        let replicas: Vec<_> = (0..2).map(start).collect();
        fleet.change(|list| {
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

    fn set(&self, faults: &service::Faults) {
        for replica in &self.replicas {
            replica.set_faults(faults.clone());
        }
    }

    fn fail(&self, fault: service::Fault) {
        self.set(&service::Faults {
            calls: Some(fault),
            ..service::Faults::default()
        });
    }

    fn callers(&self, index: usize) -> SocketAddr {
        self.fleet.members[index].callers
    }

    /// Runs over both replicas of the path.
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

/// Status, outcome and body of a call without a key.
fn call(callers: SocketAddr, path: &str) -> (u16, String, Value) {
    let resp = attohttpc::post(format!("http://{callers}/v1/services/bookings{path}"))
        .header("authorization", format!("Bearer {}", support::KEY))
        .timeout(Duration::from_secs(20))
        .text("{}")
        .send()
        .expect("the host answers");
    let status = resp.status().as_u16();
    let outcome = support::header(&resp, "x-outcome");
    (status, outcome, resp.json().unwrap_or_default())
}

/// Checks a call that failed: what was told agrees with how often it ran.
fn assert_told_truly(bookings: &Bookings, path: &str, told: &(u16, String, Value)) {
    let runs = bookings.runs(path);
    assert!(runs <= 1, "{path} ran {runs} times: {told:?}");
    match told.1.as_str() {
        "not_run" => assert_eq!(runs, 0, "{path}: {told:?}"),
        "run" => assert_eq!(runs, 1, "{path}: {told:?}"),
        "unknown" => {}
        other => panic!("{path}: outcome {other:?}"),
    }
}

#[test]
fn calls_run_once_at_any_host() {
    let bookings = Bookings::start();
    for index in 0..2 {
        let path = format!("/ok{index}");
        let told = call(bookings.callers(index), &path);
        assert_eq!((told.0, told.1.as_str()), (200, "run"), "{told:?}");
        assert_eq!(bookings.runs(&path), 1);
    }
    bookings.close();
}

#[test]
fn lost_answers_are_never_sent_again() {
    let bookings = Bookings::start();
    let after = [
        service::Fault::HangUpAfter,
        service::Fault::CutAfter,
        service::Fault::StallAfter,
    ];
    for (i, fault) in after.into_iter().enumerate() {
        bookings.fail(fault);
        for index in 0..2 {
            let path = format!("/after{i}{index}");
            let told = call(bookings.callers(index), &path);
            assert!(told.0 >= 500, "{fault:?}: {told:?}");
            assert_told_truly(&bookings, &path, &told);
            assert_eq!(bookings.runs(&path), 1, "{fault:?}");
            assert_ne!(told.1, "not_run", "{fault:?}");
        }
    }
    bookings.close();
}

#[test]
fn connections_lost_before_the_run_are_not_taken_for_proof() {
    let bookings = Bookings::start();
    let before = [service::Fault::HangUpBefore, service::Fault::StallBefore];
    for (i, fault) in before.into_iter().enumerate() {
        bookings.fail(fault);
        let path = format!("/before{i}");
        let told = call(bookings.callers(i), &path);
        assert!(told.0 >= 500, "{fault:?}: {told:?}");
        assert_eq!(told.1, "unknown", "{fault:?}: {told:?}");
        assert_eq!(bookings.runs(&path), 0, "{fault:?}");
    }
    bookings.close();
}

#[test]
fn proof_that_it_did_not_run_allows_another_replica() {
    let bookings = Bookings::start();
    let refuse = service::Faults {
        calls: Some(service::Fault::Refuse),
        ..Default::default()
    };
    bookings.replicas[0].set_faults(refuse);
    for i in 0..4 {
        let path = format!("/busy{i}");
        let told = call(bookings.callers(i % 2), &path);
        assert_eq!(told.0, 200, "{told:?}");
        assert_eq!(bookings.runs(&path), 1);
    }
    let down = service::Faults {
        refuse_connections: true,
        ..Default::default()
    };
    bookings.replicas[0].set_faults(down);
    for i in 0..4 {
        let path = format!("/down{i}");
        let told = call(bookings.callers(i % 2), &path);
        assert_eq!(told.0, 200, "{told:?}");
        assert_eq!(bookings.runs(&path), 1);
    }
    bookings.close();
}

#[test]
fn refusal_by_every_replica_is_told_as_not_run_at_once() {
    let bookings = Bookings::start();
    bookings.fail(service::Fault::Refuse);
    let begin = std::time::Instant::now();
    let told = call(bookings.callers(0), "/refused");
    assert_eq!((told.0, told.1.as_str()), (503, "not_run"), "{told:?}");
    assert_told_truly(&bookings, "/refused", &told);
    assert!(begin.elapsed() < Duration::from_secs(10));
    bookings.set(&service::Faults {
        refuse_connections: true,
        ..Default::default()
    });
    let told = call(bookings.callers(1), "/down");
    assert_eq!((told.0, told.1.as_str()), (503, "not_run"), "{told:?}");
    bookings.close();
}
