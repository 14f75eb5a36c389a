//! Endpoints whose answers end early, without framing, or go on as something else: callers get
//! whole answers of one run, or explicit errors.

mod support;

use std::io::{Read as _, Write as _};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use pistachiochute_core::topology;
use serde_json::json;

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

/// An answer that no request of a host asks for.
const SWITCHING: &str =
    "HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n";

/// Text that stands in every error answer of the endpoint, and in no answer of a host.
const ENDPOINT_ERROR: &str = "endpoint says no";

/// Endpoint that answers each connection with the next of its answers, or else with the last one,
/// and closes it in order.
struct Scripted {
    addr: SocketAddr,
    /// Heads of the requests, in lower case.
    requests: Arc<Mutex<Vec<String>>>,
}

impl Scripted {
    fn start(answers: Vec<Vec<u8>>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let addr = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let seen = Arc::clone(&requests);
        thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let mut socket = socket;
                let Some(head) = read_request(&mut socket) else {
                    continue;
                };
                let mut seen = seen.lock().unwrap();
                let answer = &answers[seen.len().min(answers.len() - 1)];
                seen.push(head);
                // The host may close the connection before the answer is written.
                let _ = socket.write_all(answer);
            }
        });
        Self { addr, requests }
    }

    fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }
}

/// Reads a whole request, so that the connection closes without a reset, and returns its head.
fn read_request(socket: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        socket.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?.to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length = length.map_or(0, |length| length.parse().unwrap());
    socket.read_exact(&mut vec![0; length]).ok()?;
    Some(head)
}

/// Two hosts and one scripted endpoint, which serves the model and the service `bookings`.
struct ScriptedFleet {
    fleet: support::Fleet,
    endpoint: Scripted,
}

impl ScriptedFleet {
    fn start<A>(answers: &[A]) -> Self
    where
        A: AsRef<[u8]>,
    {
        let answers = answers.iter().map(|answer| answer.as_ref().to_vec());
        let endpoint = Scripted::start(answers.collect());
        let mut fleet = support::Fleet::start(&support::FleetConfig {
            engines: 0,
            settings: json!({ "timeouts": { "stall_ms": 1_000, "connect_ms": 500, "ping_ms": 200 } }),
            ..support::FleetConfig::default()
        });
        let engine = topology::Serves::Engine {
            models: vec![support::MODEL.parse().unwrap()],
        };
        let service = topology::Serves::Service {
            name: "bookings".parse().unwrap(),
        };
        fleet.update_host_list(|list| {
            for (id, serves) in [("ep100", engine), ("ep101", service)] {
                list.endpoints.push(topology::Endpoint {
                    id: id.parse().unwrap(),
                    domain: list.domains[0].id,
                    addr: endpoint.addr,
                    serves,
                    slots: 4,
                    presence: topology::Presence::Live,
                });
            }
        });
        Self { fleet, endpoint }
    }

    /// Asks for a stream at the given host.
    fn stream(&self, host: usize) -> Streamed {
        let body = support::chat_body("x", true, 5);
        let callers = self.fleet.members[host].callers;
        Streamed::read(support::chat(callers, &body).unwrap())
    }

    /// Asks for an answer in one piece, and returns status, outcome and body.
    fn chat(&self, host: usize) -> (u16, String, String) {
        let body = support::chat_body("x", false, 5);
        let callers = self.fleet.members[host].callers;
        whole(support::chat(callers, &body).unwrap())
    }

    fn service(&self, host: usize) -> String {
        let callers = self.fleet.members[host].callers;
        format!("http://{callers}/v1/services/bookings/book")
    }

    fn close(self) {
        self.fleet.close();
    }
}

/// A streamed answer as its caller sees it.
#[derive(Debug)]
struct Streamed {
    status: u16,
    /// Ids of the events, in order.
    ids: Vec<u32>,
    text: String,
    /// Whether the answer ends as a complete one.
    is_whole: bool,
}

impl Streamed {
    fn read(resp: attohttpc::Response) -> Self {
        let status = resp.status().as_u16();
        let mut text = Vec::new();
        let end = { resp }.read_to_end(&mut text);
        let text = String::from_utf8(text).unwrap();
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        Self {
            status,
            ids: ids.map(|id| id.parse().unwrap()).collect(),
            is_whole: end.is_ok() && status == 200,
            text,
        }
    }

    /// Checks that the events are the first ones of the run and that the answer is either whole,
    /// or an error.
    fn assert_one_run(&self, events: u32) {
        let expected: Vec<u32> = (1..=events).collect();
        assert!(expected.starts_with(&self.ids), "{self:?}");
        assert!(!self.text.contains(ENDPOINT_ERROR), "{self:?}");
        let all = self.ids == expected && self.text.ends_with("data: [DONE]\n\n");
        assert_eq!(self.is_whole, all, "{self:?}");
    }
}

fn whole(resp: attohttpc::Response) -> (u16, String, String) {
    let status = resp.status().as_u16();
    let outcome = support::header(&resp, "x-outcome");
    (status, outcome, resp.text().unwrap())
}

/// Events with the given ids.
fn events<I>(ids: I) -> String
where
    I: IntoIterator<Item = u32>,
{
    ids.into_iter()
        .map(|id| format!("id: {id}\ndata: {{\"text\":\"piece {id}\"}}\n\n"))
        .collect()
}

/// An answer that ends with its connection, in one string.
fn unframed(body: &str) -> String {
    format!("{STREAM_HEAD}{body}")
}

/// An answer with a declared length.
fn framed(status: &str, content_type: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\ncontent-type: {content_type}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

fn error_body() -> String {
    json!({ "error": { "message": ENDPOINT_ERROR } }).to_string()
}

/// Guards against an answer to a resumption that stands in the middle of the caller's stream: the
/// text or head of an error, or an end without an event that is taken for the end of the stream.
#[test]
fn an_answer_that_does_not_go_on_is_no_part_of_the_stream() {
    let error = error_body();
    let resumptions = [
        framed("500 Internal Server Error", "application/json", &error),
        framed("503 Service Unavailable", "text/event-stream", &error),
        framed("200 OK", "application/json", &error),
        framed("200 OK", "text/plain", ENDPOINT_ERROR),
        framed("200 OK", "text/plain", ""),
        framed("200 OK", "text/event-stream", ""),
        framed(
            "200 OK",
            "text/event-stream",
            &format!("data: {error}\n\ndata: [DONE]\n\n"),
        ),
        framed(
            "200 OK",
            "text/event-stream",
            &format!("event: error\ndata: {ENDPOINT_ERROR}\n\ndata: [DONE]\n\n"),
        ),
        "HTTP/1.1 204 No Content\r\n\r\n".to_owned(),
        SWITCHING.to_owned(),
        "HTTP/1.1 200 OK\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-str".to_owned(),
        unframed(""),
        unframed("id: 3\nda"),
    ];
    for (i, resumption) in resumptions.iter().enumerate() {
        let fleet = ScriptedFleet::start(&[&unframed(&events([1, 2])), resumption]);
        for host in 0..2 {
            fleet.endpoint.requests.lock().unwrap().clear();
            let streamed = fleet.stream(host);
            assert_eq!(streamed.ids, [1, 2], "{i}: {streamed:?}");
            assert!(!streamed.text.contains(ENDPOINT_ERROR), "{i}: {streamed:?}");
            assert!(!streamed.is_whole, "{i}: {streamed:?}");
            let resumed = &fleet.endpoint.requests()[1];
            assert!(resumed.contains("last-event-id: 2"), "{i}: {resumed}");
        }
        fleet.close();
    }
}

/// Guards against the text or the head of an error in the middle of a run, between two events or within
/// one, which stays there when the stream goes on.
#[test]
fn text_of_an_error_in_a_run_is_no_part_of_the_stream() {
    let head = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 18\r\n\r\n";
    let error = format!("{head}{ENDPOINT_ERROR}\n\n");
    let rest = unframed(&(events([3]) + "data: [DONE]\n\n"));
    for text in [
        error.clone(),
        format!("{ENDPOINT_ERROR}\n\n"),
        format!("id: 3\ndata: {{\"te{error}"),
        format!("id: 3\ndata: {{}}\n{ENDPOINT_ERROR}\n\n"),
    ] {
        let begun = unframed(&(events([1, 2]) + &text));
        let fleet = ScriptedFleet::start(&[&begun, &rest]);
        for host in 0..2 {
            fleet.endpoint.requests.lock().unwrap().clear();
            let streamed = fleet.stream(host);
            assert!(
                !streamed.text.contains("HTTP/1.1"),
                "{text:?}: {streamed:?}"
            );
            streamed.assert_one_run(3);
        }
        fleet.close();
    }
}

/// Guards against a stream without framing that looks complete because its connection was closed
/// in order.
#[test]
fn a_stream_without_framing_is_whole_only_with_its_end_marker() {
    let whole = events(1..=3) + "data: [DONE]\n\n";
    for len in (0..=whole.len()).step_by(7).chain([whole.len()]) {
        let fleet = ScriptedFleet::start(&[unframed(&whole[..len]), unframed("")]);
        let streamed = fleet.stream(len % 2);
        streamed.assert_one_run(3);
        assert_eq!(streamed.is_whole, len == whole.len(), "{len}: {streamed:?}");
        fleet.close();
    }
}

/// Guards against pieces that are missing, sent twice or of another run after a resumption.
#[test]
fn a_resumption_that_begins_elsewhere_is_not_joined() {
    for resumed in [
        events(4..=5),
        events(2..=5),
        events(1..=5),
        events([3, 3, 4, 5]),
        events([3, 5, 4]),
        "data: {\"text\":\"unnumbered\"}\n\n".to_owned() + &events(3..=5),
    ] {
        let resumed = unframed(&(resumed + "data: [DONE]\n\n"));
        let fleet = ScriptedFleet::start(&[unframed(&events([1, 2])), resumed]);
        for host in 0..2 {
            fleet.endpoint.requests.lock().unwrap().clear();
            let streamed = fleet.stream(host);
            assert!(!streamed.is_whole, "{streamed:?}");
            assert!(!streamed.text.contains("unnumbered"), "{streamed:?}");
            streamed.assert_one_run(5);
        }
        fleet.close();
    }
}

/// Guards against a piece without an id that is sent twice, because the stream is resumed after an
/// event before it.
#[test]
fn a_stream_is_not_resumed_after_an_event_without_an_id() {
    let unnumbered = "data: {\"text\":\"usage\"}\n\n";
    let first = unframed(&(events([1, 2]) + unnumbered));
    let second = unframed(&format!("{unnumbered}data: [DONE]\n\n"));
    let fleet = ScriptedFleet::start(&[first, second]);
    for host in 0..2 {
        fleet.endpoint.requests.lock().unwrap().clear();
        let streamed = fleet.stream(host);
        assert_eq!(streamed.text.matches("usage").count(), 1, "{streamed:?}");
        assert!(!streamed.is_whole, "{streamed:?}");
    }
    fleet.close();
}

/// Guards against events of a service that are sent twice: its answers are joined by their ids,
/// though the caller did not ask for a stream.
#[test]
fn events_of_a_service_that_begin_again_are_not_joined() {
    let again = unframed(&(events(1..=3) + "data: [DONE]\n\n"));
    let fleet = ScriptedFleet::start(&[unframed(&events([1, 2])), again]);
    for host in 0..2 {
        fleet.endpoint.requests.lock().unwrap().clear();
        let resp = attohttpc::get(fleet.service(host))
            .header("authorization", format!("Bearer {}", support::API_KEY))
            .send()
            .unwrap();
        let streamed = Streamed::read(resp);
        let is_one_run = streamed.ids == [1, 2, 3] && streamed.is_whole;
        assert!(is_one_run || streamed.status >= 500, "{streamed:?}");
    }
    fleet.close();
}

/// Guards against a head that stops half-way and becomes an answer with an empty or short body.
#[test]
fn half_a_head_is_no_answer() {
    let answer = framed("200 OK", "application/json", "{\"ok\":true}");
    let head_len = answer.find("\r\n\r\n").unwrap() + 4;
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    let mut heads: Vec<String> = (0..head_len)
        .step_by(5)
        .map(|len| answer[..len].to_owned())
        .collect();
    heads.push(answer[..head_len - 2].to_owned());
    heads.push(answer[..head_len - 1].to_owned());
    heads.push(interim.to_owned());
    for head in &heads {
        let fleet = ScriptedFleet::start(&[head]);
        let (status, outcome, body) = fleet.chat(head.len() % 2);
        assert!(status >= 500, "{head:?}: {status} {body}");
        assert_ne!(outcome, "not_run", "{head:?}: {body}");
        let streamed = fleet.stream(head.len() % 2);
        assert!(streamed.status >= 500, "{head:?}: {streamed:?}");
        fleet.close();
    }
}

/// Guards against an interim answer that callers get as the final one, with an empty body.
#[test]
fn an_interim_answer_is_no_answer() {
    let fleet = ScriptedFleet::start(&[SWITCHING]);
    for host in 0..2 {
        let (status, outcome, body) = fleet.chat(host);
        assert_eq!((status, outcome.as_str()), (502, "unknown"), "{body}");
        let streamed = fleet.stream(host);
        assert_eq!(streamed.status, 502, "{streamed:?}");
    }
    fleet.close();
}

/// Guards against an answer without framing that was cut and is passed on as a whole one.
/// Guards against MIXED: a status that is none and that a caller gets as an answer.
#[test]
fn a_status_that_is_none_is_no_answer() {
    for status in ["000 Status", "099 Status", "1000 Status", "0"] {
        let answer = framed(status, "application/json", "{\"choices\":[]}");
        let fleet = ScriptedFleet::start(&[answer]);
        for host in 0..2 {
            let (found, _, text) = fleet.chat(host);
            assert!(found >= 500, "{status}: {found} {text}");
            let streamed = fleet.stream(host);
            assert!(!streamed.is_whole, "{status}: {streamed:?}");
        }
        fleet.close();
    }
}

#[test]
fn an_answer_without_framing_is_whole_only_if_its_text_shows_it() {
    let body = json!({ "choices": [{ "message": { "content": "piece" } }] }).to_string();
    let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n";
    for len in (0..body.len()).step_by(9) {
        let fleet = ScriptedFleet::start(&[format!("{head}{}", &body[..len])]);
        let (status, outcome, text) = fleet.chat(len % 2);
        assert_eq!(status, 502, "{len}: {text}");
        assert_eq!(outcome, "run", "{len}: {text}");
        fleet.close();
    }
    let fleet = ScriptedFleet::start(&[format!("{head}{body}")]);
    assert_eq!(fleet.chat(0), (200, "run".to_owned(), body));
    fleet.close();
}

/// Guards against an action whose answer was cut and is recorded as its result.
#[test]
fn a_cut_answer_without_framing_is_not_recorded_as_the_result_of_an_action() {
    let answers = [
        "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\nbooked teach",
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n{\"booked\":\"teach",
        "HTTP/1.1 200 OK\r\n\r\n",
    ];
    for answer in answers {
        let fleet = ScriptedFleet::start(&[answer]);
        let key = uuid::Uuid::now_v7().to_string();
        for host in [0, 1, 0] {
            let resp = attohttpc::post(fleet.service(host))
                .header("authorization", format!("Bearer {}", support::API_KEY))
                .header("idempotency-key", &key)
                .timeout(Duration::from_secs(20))
                .text("{}")
                .send()
                .unwrap();
            let (status, outcome, body) = whole(resp);
            // Until the result is recorded, a repeat is told that the action is in progress.
            assert!(matches!(status, 409 | 502), "{answer:?}: {status} {body}");
            assert_ne!(outcome, "not_run", "{answer:?}: {body}");
        }
        assert_eq!(fleet.endpoint.requests().len(), 1, "{answer:?}");
        fleet.close();
    }
}

/// Guards against the text of an error that stands inside an answer that is no event stream.
#[test]
fn a_long_answer_that_breaks_off_holds_no_text_of_an_error() {
    const BODY_BYTES: usize = 48 << 20;
    let body = json!({ "text": "x".repeat(BODY_BYTES) }).to_string();
    let mut cut = 0;
    for host in 0..2 {
        let scripted = ScriptedFleet::start(&[framed("200 OK", "application/json", &body)]);
        let mut fleet = scripted.fleet;
        let callers = fleet.members[host].callers;
        let resp = support::chat(callers, &support::chat_body("x", false, 5)).unwrap();
        // The answer has begun. If the other host passes it on, it stops in the middle.
        fleet.members.remove(1 - host).host.close();
        let mut text = Vec::new();
        let end = { resp }.read_to_end(&mut text);
        let whole = body.as_bytes();
        assert!(whole.starts_with(&text), "{:?}", tail(&text));
        assert_eq!(end.is_ok(), text == whole, "{} bytes", text.len());
        cut += u32::from(end.is_err());
        fleet.close();
    }
    assert_eq!(cut, 1, "the owner of the endpoint was closed once");
}

fn tail(text: &[u8]) -> String {
    let start = text.len().saturating_sub(200);
    String::from_utf8_lossy(&text[start..]).into_owned()
}

/// A stream that declares a length keeps none of it once it is resumed.
#[test]
fn a_resumed_stream_has_no_length_of_its_first_run() {
    let whole = events(1..=4) + "data: [DONE]\n\n";
    let declared = framed("200 OK", "text/event-stream", &whole);
    let cut = declared.len() - whole.len() + events(1..=2).len();
    let rest = framed("200 OK", "text/event-stream", &whole[events(1..=2).len()..]);
    let fleet = ScriptedFleet::start(&[&declared[..cut], &rest]);
    for host in 0..2 {
        fleet.endpoint.requests.lock().unwrap().clear();
        let streamed = fleet.stream(host);
        streamed.assert_one_run(4);
        assert!(streamed.is_whole, "{streamed:?}");
    }
    fleet.close();
}
