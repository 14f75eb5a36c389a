//! The service stand-in over sockets, with each of its faults.

use std::time::Duration;

use pistachiochute_standins::service;
use serde_json::Value;

fn book(service: &service::Service, key: &str) -> attohttpc::Result<Value> {
    attohttpc::post(format!("http://{}/bookings", service.addr()))
        .header("idempotency-key", key)
        .header("x-request-id", format!("r-{key}"))
        .read_timeout(Duration::from_millis(700))
        .text("{}")
        .send()?
        .error_for_status()?
        .json()
}

fn fail(service: &service::Service, fault: service::Fault) {
    service.set_faults(service::Faults {
        calls: Some(fault),
        times: Some(1),
        ..service::Faults::default()
    });
}

#[test]
fn runs_are_counted_by_key_and_request() {
    let service = service::Service::start(service::Settings::default()).unwrap();
    assert_eq!(book(&service, "a").unwrap()["run"], 1);
    assert_eq!(book(&service, "a").unwrap()["run"], 2);
    let counters = service.counters();
    assert_eq!(
        (
            counters.by_key["a"],
            counters.by_request["r-a"],
            counters.runs
        ),
        (2, 2, 2)
    );
    let lookup = attohttpc::get(format!("http://{}/bookings", service.addr()))
        .send()
        .unwrap();
    assert_eq!(lookup.json::<Value>().unwrap()["runs"], 2);
    assert_eq!(service.counters().runs, 2);
    service.close();
}

#[test]
fn faults_before_the_run_prevent_it() {
    let service = service::Service::start(service::Settings::default()).unwrap();
    let before = [
        service::Fault::Refuse,
        service::Fault::HangUpBefore,
        service::Fault::StallBefore,
    ];
    for fault in before {
        fail(&service, fault);
        assert!(book(&service, "a").is_err(), "{fault:?}");
    }
    service.set_faults(service::Faults {
        refuse_connections: true,
        ..Default::default()
    });
    assert!(book(&service, "a").is_err());
    assert_eq!(service.counters().runs, 0);
    service.set_faults(service::Faults::default());
    assert_eq!(book(&service, "a").unwrap()["run"], 1);
    service.close();
}

#[test]
fn faults_after_the_run_lose_only_the_answer() {
    let service = service::Service::start(service::Settings::default()).unwrap();
    let after = [
        service::Fault::StallAfter,
        service::Fault::HangUpAfter,
        service::Fault::CutAfter,
    ];
    for (runs, fault) in (1..).zip(after) {
        fail(&service, fault);
        assert!(book(&service, "a").is_err(), "{fault:?}");
        assert_eq!(service.counters().by_key["a"], runs);
    }
    service.close();
}
