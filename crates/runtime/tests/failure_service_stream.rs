//! A truncated event stream of a service is not resumed, because the call may not be repeated.

mod support;

use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use pistachiochute_core::topology;
use serde_json::Value;

/// Answers each request with one event and closes the connection, and counts the requests.
fn cut_streams(listener: TcpListener) -> Arc<AtomicUsize> {
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&runs);
    thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let mut socket = socket;
            let mut buf = [0; 4096];
            if socket.read(&mut buf).is_ok_and(|len| len > 0) {
                counted.fetch_add(1, Ordering::SeqCst);
            }
            let _ = socket.write_all(
                b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                  transfer-encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n",
            );
        }
    });
    runs
}

#[test]
fn a_cut_stream_of_a_service_is_not_sent_again() {
    let mut fleet = support::Fleet::start(&support::FleetConfig::default());
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    let runs = cut_streams(listener);
    fleet.update_host_list(|list| {
        list.endpoints.push(topology::Endpoint {
            id: "ep100".parse().unwrap(),
            domain: list.domains[0].id,
            addr,
            serves: topology::Serves::Service {
                name: "bookings".parse().unwrap(),
            },
            slots: 4,
            presence: topology::Presence::Live,
        });
    });
    for member in &fleet.members {
        let before = runs.load(Ordering::SeqCst);
        let resp = attohttpc::post(format!(
            "http://{}/v1/services/bookings/book",
            member.callers
        ))
        .header("authorization", format!("Bearer {}", support::API_KEY))
        .text("teacher 7")
        .send()
        .unwrap();
        assert_eq!(resp.status().as_u16(), 502);
        assert_eq!(support::header(&resp, "x-outcome"), "run");
        let error: Value = resp.json().unwrap();
        assert_eq!(error["error"]["outcome"], "run", "{error}");
        assert_eq!(runs.load(Ordering::SeqCst) - before, 1);
    }
    fleet.close();
}
