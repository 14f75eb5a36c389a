//! The endpoint of the platform's protocol: pauses, silences and kept connections.

use std::net::TcpStream;
use std::time::{Duration, Instant};

use pistachiochute_standins::platform::caller::{Answer, CallerRequest, events, read};
use pistachiochute_standins::platform::endpoint::{Behaviour, Endpoint};

const STREAM: Behaviour = Behaviour::Stream {
    events: 5,
    pause: Duration::from_millis(1),
    cut_at: None,
};

fn ask(id: &str) -> CallerRequest {
    CallerRequest::new(id, "/stream/", "key").header("X-Expect-Instance", "i-0")
}

fn timed<F>(send: F) -> (Answer, Duration)
where
    F: FnOnce() -> Answer,
{
    let began = Instant::now();
    let answer = send();
    (answer, began.elapsed())
}

#[test]
fn request_sets_the_pause_between_events() {
    let endpoint = Endpoint::start("i-0", STREAM).unwrap();
    let slow = ask("r1").event_pause(Duration::from_millis(40));
    let (answer, took) = timed(|| slow.send(endpoint.addr()));
    assert_eq!(answer.body, events("r1", 0..5));
    assert!(took >= Duration::from_millis(200), "{took:?}");
    assert_eq!(endpoint.runs()[0].target, "/stream/?pause_ms=40");
    endpoint.close();
}

#[test]
fn silent_endpoint_runs_requests_and_answers_later() {
    const SILENCE: Duration = Duration::from_millis(300);
    let endpoint = Endpoint::start("i-0", STREAM).unwrap();
    endpoint.fall_silent(SILENCE);
    let (answer, took) = timed(|| ask("r1").send(endpoint.addr()));
    assert!(answer.is_complete);
    assert_eq!(answer.body, events("r1", 0..5));
    // A little less than the whole silence is left when the request is sent.
    assert!(took >= SILENCE / 2, "{took:?}");
    assert_eq!(endpoint.runs().len(), 1);
    endpoint.close();
}

#[test]
fn stream_goes_on_after_a_silence_and_catches_up() {
    let endpoint = Endpoint::start("i-0", STREAM).unwrap();
    let pause = Duration::from_millis(60);
    let mut stream = ask("r1").event_pause(pause).open(endpoint.addr()).unwrap();
    let began = Instant::now();
    while endpoint.runs().is_empty() {
        std::thread::sleep(Duration::from_millis(1));
    }
    endpoint.fall_silent(pause * 10);
    let answer = read(&mut stream);
    assert_eq!(answer.body, events("r1", 0..5));
    assert!(began.elapsed() >= pause * 5);
    endpoint.close();
}

#[test]
fn connection_carries_one_request_after_another() {
    let endpoint = Endpoint::start("i-0", STREAM).unwrap();
    let mut stream: TcpStream = ask("r1").open(endpoint.addr()).unwrap();
    let first = read(&mut stream);
    assert!(first.keeps_connection());
    ask("r2").write_to(&mut stream).unwrap();
    assert_eq!(read(&mut stream).body, events("r2", 0..5));
    endpoint.close();
}
