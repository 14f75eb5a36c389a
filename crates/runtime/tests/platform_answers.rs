//! Answers of the platform that are truncated, oversized or stalled are never taken as complete.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use pistachiochute_core::topology;
use pistachiochute_runtime::platform::key_value::KeyValue as _;
use pistachiochute_runtime::platform::{etcd, host_list, key_value};
use pistachiochute_standins::host_list_server;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Reads a whole request, so that the connection is not reset when it is closed.
fn read_request(socket: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") && socket.read(&mut byte).is_ok_and(|read| read == 1) {
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).unwrap().to_lowercase();
    let mut lines = head.lines();
    let length = lines.find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    socket.read_exact(&mut body).unwrap();
}

/// Starts a server that answers one connection with `raw` and closes it.
fn serve(raw: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut socket, _) = listener.accept().unwrap();
        read_request(&mut socket);
        // The client may close the connection before the answer is written.
        let written = socket.write_all(&raw);
        drop(written);
    });
    addr
}

fn read(raw: Vec<u8>) -> Result<topology::HostList, host_list::Error> {
    host_list::HostListSource::new(serve(raw), TIMEOUT).read()
}

fn body() -> Vec<u8> {
    serde_json::to_vec(&topology::HostList {
        version: 7,
        ..Default::default()
    })
    .unwrap()
}

fn with_length(len: usize, body: &[u8]) -> Vec<u8> {
    let mut raw = format!("HTTP/1.1 200 OK\r\ncontent-length: {len}\r\n\r\n").into_bytes();
    raw.extend_from_slice(body);
    raw
}

fn chunked(body: &[u8], end: &[u8]) -> Vec<u8> {
    let mut raw = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    raw.extend_from_slice(format!("{:x}\r\n", body.len()).as_bytes());
    raw.extend_from_slice(body);
    raw.extend_from_slice(end);
    raw
}

#[test]
fn complete_answers_are_read() {
    let body = body();
    assert_eq!(read(with_length(body.len(), &body)).unwrap().version, 7);
    assert_eq!(read(chunked(&body, b"\r\n0\r\n\r\n")).unwrap().version, 7);
}

/// The body itself is valid JSON, so only the declared length or the missing last chunk reveals
/// that the answer was truncated.
#[test]
fn truncated_answers_are_refused() {
    let body = body();
    let truncated = [
        with_length(body.len() + 1, &body),
        with_length(body.len(), &body[..body.len() / 2]),
        chunked(&body, b""),
        chunked(&body, b"\r\n"),
        chunked(&body, b"\r\n0\r\n"),
        b"HTTP/1.1 200 OK\r\ncontent-le".to_vec(),
        Vec::new(),
    ];
    for (i, raw) in truncated.into_iter().enumerate() {
        let err = read(raw).expect_err(&format!("answer {i} is truncated"));
        assert!(
            matches!(err, host_list::Error::Unreachable { .. }),
            "answer {i}: {err}"
        );
    }
}

/// Truncates a body without a declared length, which ends with its connection, at every position.
#[test]
fn truncated_answers_without_a_length_do_not_parse() {
    let body = body();
    let raw = |len: usize| [b"HTTP/1.1 200 OK\r\n\r\n".as_slice(), &body[..len]].concat();
    for len in 0..body.len() {
        let err = read(raw(len)).expect_err(&format!("truncated after {len} bytes"));
        assert!(
            matches!(err, host_list::Error::Malformed { .. }),
            "{len}: {err}"
        );
    }
    assert_eq!(read(raw(body.len())).unwrap().version, 7);
}

/// Guards against a read of the store that was cut and is taken for all that it holds. The answer,
/// which ends with its connection, is cut at every position of its head and of its body.
#[test]
fn cut_answers_of_the_key_value_service_say_nothing() {
    let body = r#"{"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"Yg==","create_revision":"3","mod_revision":"7","version":"1"}]}"#;
    let raw = format!("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{body}");
    let read = |len: usize| {
        let client = etcd::Etcd::new(etcd::Settings {
            addrs: vec![serve(raw.as_bytes()[..len].to_vec())],
            call_timeout: TIMEOUT,
            watch_idle: TIMEOUT,
            watch_retry: TIMEOUT,
        });
        client.range(&key_value::Keys::One("a".into()))
    };
    for len in 0..raw.len() {
        let err = read(len).expect_err(&format!("cut after {len} bytes"));
        assert!(
            matches!(err, key_value::Error::Unknown { .. }),
            "{len}: {err}"
        );
    }
    assert_eq!(read(raw.len()).unwrap().entries.len(), 1);
}

#[test]
fn oversized_and_malformed_answers_are_refused() {
    let large = vec![b' '; 5 << 20];
    assert!(matches!(
        read(with_length(large.len(), &large)),
        Err(host_list::Error::Unreachable { .. })
    ));
    assert!(matches!(
        read(with_length(2, b"{}")),
        Err(host_list::Error::Malformed { .. })
    ));
    let redirect = b"HTTP/1.1 302 Found\r\nlocation: /other\r\ncontent-length: 0\r\n\r\n";
    assert_eq!(read(redirect.to_vec()), Err(host_list::Error::Status(302)));
}

/// Records that the HTTP client `attohttpc` accepts a body that is shorter than its declared
/// length. If this test fails, that client checks the length itself, and a check around it can be
/// removed.
#[test]
fn attohttpc_accepts_a_truncated_body() {
    let body = body();
    let addr = serve(with_length(body.len() + 1, &body));
    let accepted = attohttpc::get(format!("http://{addr}/"))
        .send()
        .unwrap()
        .bytes();
    assert_eq!(accepted.unwrap(), body);
    let addr = serve(chunked(&body, b"\r\n"));
    assert!(
        attohttpc::get(format!("http://{addr}/"))
            .send()
            .unwrap()
            .bytes()
            .is_err()
    );
}

#[test]
fn outages_of_the_host_list_are_errors() {
    let list = topology::HostList {
        version: 3,
        ..Default::default()
    };
    let service = host_list_server::HostListServer::start(Duration::ZERO, list).unwrap();
    let source = host_list::HostListSource::new(service.addr(), Duration::from_millis(500));
    assert_eq!(source.read().unwrap().version, 3);
    service.set_faults(host_list_server::Faults {
        cut: true,
        ..Default::default()
    });
    assert!(matches!(
        source.read(),
        Err(host_list::Error::Unreachable { .. })
    ));
    service.set_faults(host_list_server::Faults {
        down: true,
        ..Default::default()
    });
    assert_eq!(source.read(), Err(host_list::Error::Status(503)));
    service.set_faults(host_list_server::Faults {
        stall: true,
        ..Default::default()
    });
    assert!(matches!(
        source.read(),
        Err(host_list::Error::Unreachable { .. })
    ));
    service.set_faults(host_list_server::Faults {
        refuse_connections: true,
        ..Default::default()
    });
    assert!(matches!(
        source.read(),
        Err(host_list::Error::Unreachable { .. })
    ));
    service.set_faults(host_list_server::Faults::default());
    assert_eq!(source.read().unwrap().version, 3);
    service.close();
}
