//! Callers of HTTP/1.0, whose answers have no chunks: an answer without a length ends with its
//! connection.

use std::io::{self, Read as _, Write as _};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use pistachiochute_runtime::{listener, thread_pool};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Service that sends a chunk and then either ends its answer or breaks it off, as the path of the
/// request says. The answer has the content type of the query.
struct Chunks;

impl listener::Service for Chunks {
    fn serve(&self, req: listener::Request, answer: listener::Answer) {
        let mut head = http::Response::new(());
        let content_type = req.head.uri.query().unwrap().parse().unwrap();
        head.headers_mut()
            .insert(http::header::CONTENT_TYPE, content_type);
        let stream = answer.start_stream(head).unwrap();
        stream
            .send_chunk(Bytes::from_static(b"one piece of it"))
            .unwrap();
        if req.head.uri.path() == "/whole" {
            stream.finish().unwrap();
        }
    }

    fn refuse_busy(&self, _: listener::Request, _: listener::Answer) {}
}

fn start() -> listener::Listener {
    let socket = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let cfg = listener::Config {
        max_connections: 8,
        busy_answer: Bytes::new(),
        max_head_bytes: 16 << 10,
        head_timeout: TIMEOUT,
        max_body_bytes: 1 << 20,
        body_timeout: TIMEOUT,
        stall_timeout: TIMEOUT,
    };
    let pool = thread_pool::Pool::new("chunks", 4);
    listener::Listener::start(socket, cfg, pool, Arc::new(Chunks)).unwrap()
}

/// Asks for a path. Returns all that arrives until the connection ends, and whether it ends in order.
fn get(path: &str) -> (String, io::Result<()>) {
    let listener = start();
    let mut socket = TcpStream::connect(listener.addr()).unwrap();
    write!(socket, "GET {path} HTTP/1.0\r\n\r\n").unwrap();
    let mut bytes = Vec::new();
    let end = socket.read_to_end(&mut bytes).map(drop);
    listener.close();
    (String::from_utf8(bytes).unwrap(), end)
}

/// Guards against an answer that broke off and looks complete, because its connection was closed in
/// order.
#[test]
fn an_answer_that_breaks_off_does_not_begin() {
    assert_eq!(get("/cut?application/json").0, "");
}

#[test]
fn a_whole_answer_has_its_length() {
    let (text, end) = get("/whole?application/json");
    assert!(text.contains("content-length: 15\r\n"), "{text}");
    assert!(text.ends_with("\r\n\r\none piece of it"), "{text}");
    end.unwrap();
}

/// Guards against a stream of events that broke off and looks complete, because its connection was closed in order.
#[test]
fn events_are_passed_on_as_they_come_and_are_reset_if_they_break_off() {
    let (text, end) = get("/cut?text/event-stream");
    assert!(text.ends_with("\r\n\r\none piece of it"), "{text}");
    assert_eq!(end.unwrap_err().kind(), io::ErrorKind::ConnectionReset);
}

#[test]
fn a_whole_stream_of_events_ends_in_order() {
    let (text, end) = get("/whole?text/event-stream");
    assert!(text.ends_with("\r\n\r\none piece of it"), "{text}");
    end.unwrap();
}
