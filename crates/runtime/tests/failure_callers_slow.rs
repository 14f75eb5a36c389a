//! Limits on the time and size of incomplete requests, and on the number of connections.

mod support;

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde_json::json;

/// Time within which the host must close a connection that misses its deadlines.
const MAX_CONNECTION_TIME: Duration = Duration::from_secs(8);

fn start() -> support::Fleet {
    support::Fleet::start(&support::FleetConfig {
        hosts: 1,
        settings: json!({ "bounds": {
            "header_bytes": 4_096,
            "header_read_ms": 500,
            "body_read_ms": 600,
        } }),
        ..support::FleetConfig::default()
    })
}

/// Sends `first`, then one byte every 100 ms until the host closes the connection.
fn send_slowly(callers: SocketAddr, first: &str) -> Duration {
    let begin = Instant::now();
    let mut socket = TcpStream::connect(callers).unwrap();
    socket.write_all(first.as_bytes()).unwrap();
    socket
        .set_read_timeout(Some(Duration::from_millis(100)))
        .unwrap();
    while begin.elapsed() < MAX_CONNECTION_TIME {
        let written = socket.write_all(b"x");
        match socket.read(&mut [0; 1024]) {
            Ok(0) => break,
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => break,
            Ok(_) if written.is_err() => break,
            Ok(_) => {}
        }
    }
    begin.elapsed()
}

#[test]
fn slow_headers() {
    let fleet = start();
    let ended = send_slowly(
        fleet.members[0].callers,
        "GET /healthz HTTP/1.1\r\nx-slow: ",
    );
    assert!(
        ended < MAX_CONNECTION_TIME,
        "the connection is still open after {ended:?}"
    );
    fleet.close();
}

#[test]
fn slow_small_body() {
    let fleet = start();
    let head = "POST /v1/chat/completions HTTP/1.1\r\ncontent-length: 1000\r\n\r\n";
    let ended = send_slowly(fleet.members[0].callers, head);
    assert!(
        ended < MAX_CONNECTION_TIME,
        "the connection is still open after {ended:?}"
    );
    fleet.close();
}

#[test]
fn endless_headers() {
    let fleet = start();
    let mut socket = TcpStream::connect(fleet.members[0].callers).unwrap();
    socket
        .set_write_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    socket
        .write_all(b"GET /healthz HTTP/1.1\r\nx-long: ")
        .unwrap();
    let block = [b'x'; 64 * 1024];
    let mut sent = 0;
    while sent < (64 << 20) && socket.write_all(&block).is_ok() {
        sent += block.len();
    }
    assert!(
        sent < (64 << 20),
        "the host accepted a header of {sent} bytes"
    );
    fleet.close();
}

#[test]
fn too_many_connections() {
    let fleet = support::Fleet::start(&support::FleetConfig {
        hosts: 1,
        settings: json!({ "bounds": { "connections": 4 } }),
        ..support::FleetConfig::default()
    });
    let callers = fleet.members[0].callers;
    let idle: Vec<_> = (0..4)
        .map(|_| TcpStream::connect(callers).unwrap())
        .collect();
    let body = support::chat_body("x", false, 5);
    let refused = support::eventually(|| {
        support::chat(callers, &body).is_ok_and(|resp| {
            resp.status().as_u16() == 503
                && support::header(&resp, "x-outcome") == "not_run"
                && resp
                    .text()
                    .is_ok_and(|text| text.contains("too_many_connections"))
        })
    });
    assert!(refused);
    drop(idle);
    let served = || support::chat(callers, &body).is_ok_and(|resp| resp.is_success());
    assert!(support::eventually(served));
    fleet.close();
}
