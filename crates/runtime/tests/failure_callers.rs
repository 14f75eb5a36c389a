//! Callers that send invalid, oversized, slow or truncated requests do not affect the answers of
//! other callers.

mod support;

use std::io::{Read as _, Write as _};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use pistachiochute_standins::engine;
use serde_json::{Value, json};

/// Tokens of the stream that runs concurrently with the invalid requests.
const STREAM_TOKENS: u32 = 40;

/// Time within which the host must close a connection that misses its deadlines.
const MAX_CONNECTION_TIME: Duration = Duration::from_secs(10);

fn start() -> support::Fleet {
    support::Fleet::start(&support::FleetConfig {
        hosts: 1,
        engine: engine::Settings {
            token_time: Duration::from_millis(10),
            slots: 8,
            ..support::engine_settings()
        },
        settings: json!({ "bounds": {
            "header_bytes": 4_096,
            "body_bytes": 65_536,
            "json_depth": 8,
            "header_read_ms": 500,
            "body_read_ms": 600,
        } }),
        ..support::FleetConfig::default()
    })
}

fn head(extra: &str) -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\
         authorization: Bearer {}\r\n{extra}\r\n",
        support::API_KEY
    )
}

fn connect(callers: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(callers).expect("a connection");
    socket
        .set_read_timeout(Some(MAX_CONNECTION_TIME))
        .expect("a timeout");
    socket
        .set_write_timeout(Some(MAX_CONNECTION_TIME))
        .expect("a timeout");
    socket
}

/// Reads until the host closes the connection.
fn read_all(mut socket: &TcpStream) -> String {
    let mut answer = Vec::new();
    let read = socket.read_to_end(&mut answer);
    // The host may reset a connection with unread data.
    drop(read);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Sends raw bytes, shuts down the write side, and returns the answer.
fn send(callers: SocketAddr, raw: &[u8]) -> String {
    let mut socket = connect(callers);
    // The host may refuse the request before it has read all of it.
    let sent = socket.write_all(raw);
    drop(sent);
    let shut = socket.shutdown(Shutdown::Write);
    drop(shut);
    read_all(&socket)
}

/// Returns the status and the error of an answer.
fn refusal(answer: &str) -> (u16, Value) {
    let status = answer.split(' ').nth(1).and_then(|text| text.parse().ok());
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    let error: Value = serde_json::from_str(body).unwrap_or_default();
    (status.unwrap_or(0), error["error"].clone())
}

fn assert_refused(answer: &str, status: u16, code: &str) {
    let (got, error) = refusal(answer);
    assert_eq!(
        (got, error["code"].as_str()),
        (status, Some(code)),
        "{answer}"
    );
    assert_eq!(error["outcome"], "not_run", "{answer}");
    assert!(
        answer.to_ascii_lowercase().contains("x-outcome: not_run"),
        "{answer}"
    );
}

/// Runs `send_invalid` during a stream of another caller. Checks that the stream is complete and
/// that only the stream and one chat after it ran on the engine.
fn with_concurrent_stream<F>(send_invalid: F)
where
    F: FnOnce(SocketAddr),
{
    let fleet = start();
    let callers = fleet.members[0].callers;
    let resp = support::chat(callers, &support::chat_body("stream", true, STREAM_TOKENS)).unwrap();
    let reading = std::thread::spawn(move || support::events(resp));
    send_invalid(callers);
    let (events, end) = reading.join().unwrap();
    end.unwrap();
    assert_eq!(events.last().unwrap().0, "[DONE]");
    let resp = support::chat(callers, &support::chat_body("after", false, 5)).unwrap();
    assert_eq!(resp.status().as_u16(), 200);
    assert_eq!(fleet.engines[0].1.counters().runs.len(), 2);
    fleet.close();
}

#[test]
fn invalid_http() {
    with_concurrent_stream(|callers| {
        let answer = send(callers, b"\x00\xff\x80 garbage\r\n\r\n");
        assert!(answer.is_empty() || refusal(&answer).0 == 400, "{answer}");
        let answer = send(callers, b"POST /v1/chat/completions HTTP/9.9\r\n\r\n");
        assert!(answer.is_empty() || refusal(&answer).0 >= 400, "{answer}");
        let answer = send(callers, b"GET / HTTP/1.1\r\nno colon here\r\n\r\n");
        assert!(answer.is_empty() || refusal(&answer).0 == 400, "{answer}");
        send(callers, b"");
    });
}

#[test]
fn malformed_bodies() {
    with_concurrent_stream(|callers| {
        let post = |body: &[u8]| {
            let head = head(&format!("content-length: {}\r\n", body.len()));
            send(callers, &[head.as_bytes(), body].concat())
        };
        assert_refused(&post(b"{"), 400, "bad_request");
        assert_refused(&post(b"\xff\xfe"), 400, "bad_request");
        assert_refused(&post(b"[1, 2]"), 400, "bad_request");
        assert_refused(
            &post(b"{\"model\": \"NOT A NAME\", \"messages\": []}"),
            400,
            "bad_request",
        );
        let deep = [vec![b'['; 5_000], vec![b']'; 5_000]].concat();
        assert_refused(&post(&deep), 400, "json_too_deep");
    });
}

#[test]
fn oversized_headers_and_bodies() {
    with_concurrent_stream(|callers| {
        let long = head(&format!(
            "x-long: {}\r\ncontent-length: 2\r\n",
            "x".repeat(8_192)
        ));
        assert_refused(
            &send(callers, format!("{long}{{}}").as_bytes()),
            431,
            "headers_too_large",
        );
        let declared = head("content-length: 65537\r\n");
        assert_refused(&send(callers, declared.as_bytes()), 413, "body_too_large");
        let mut chunked = head("transfer-encoding: chunked\r\n").into_bytes();
        for _ in 0..20 {
            chunked.extend_from_slice(b"1000\r\n");
            chunked.extend_from_slice(&[b' '; 0x1000]);
            chunked.extend_from_slice(b"\r\n");
        }
        chunked.extend_from_slice(b"0\r\n\r\n");
        assert_refused(&send(callers, &chunked), 413, "body_too_large");
    });
}

#[test]
fn truncated_bodies() {
    with_concurrent_stream(|callers| {
        let body = support::chat_body("cut", false, 5).to_string();
        let padded = format!("{body}{}", " ".repeat(2_000));
        for (body, declared) in [(&body, body.len() + 1), (&padded, padded.len() + 1)] {
            let raw = format!("{}{body}", head(&format!("content-length: {declared}\r\n")));
            let answer = send(callers, raw.as_bytes());
            if !answer.is_empty() {
                assert_refused(&answer, 400, "body_truncated");
            }
        }
        let chunk = format!("{:x}\r\n{body}\r\n", body.len());
        let raw = format!("{}{chunk}", head("transfer-encoding: chunked\r\n"));
        let answer = send(callers, raw.as_bytes());
        if !answer.is_empty() {
            assert_refused(&answer, 400, "body_truncated");
        }
    });
}

/// Sends `first`, then one byte every 100 ms until the host closes the connection.
fn send_slowly(callers: SocketAddr, first: &str) -> Duration {
    let begin = Instant::now();
    let mut socket = connect(callers);
    socket.write_all(first.as_bytes()).unwrap();
    socket
        .set_read_timeout(Some(Duration::from_millis(100)))
        .unwrap();
    while begin.elapsed() < MAX_CONNECTION_TIME {
        let written = socket.write_all(b"x");
        let mut buf = [0; 1024];
        match socket.read(&mut buf) {
            Ok(0) => break,
            Ok(_) if written.is_err() => break,
            Ok(_) => {}
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => break,
        }
    }
    begin.elapsed()
}

#[test]
fn slow_large_body() {
    with_concurrent_stream(|callers| {
        let ended = send_slowly(callers, &head("content-length: 60000\r\n"));
        assert!(
            ended < MAX_CONNECTION_TIME,
            "the connection is still open after {ended:?}"
        );
    });
}

#[test]
fn silent_connections() {
    with_concurrent_stream(|callers| {
        let begin = Instant::now();
        let mut partial = connect(callers);
        partial.write_all(b"POST /v1/chat/comple").unwrap();
        let bodiless = connect(callers);
        (&bodiless)
            .write_all(head("content-length: 60000\r\n").as_bytes())
            .unwrap();
        read_all(&partial);
        read_all(&bodiless);
        assert!(
            begin.elapsed() < MAX_CONNECTION_TIME,
            "open after {:?}",
            begin.elapsed()
        );
    });
}
