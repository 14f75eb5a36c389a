//! A host that drains and closes still delivers the last bytes of answers to callers that read
//! slowly.

mod support;

use std::io::Read as _;
use std::time::Duration;

use pistachiochute_runtime::host;
use pistachiochute_standins::engine;

/// Tokens of an answer that exceeds the socket buffers of its connections.
const STREAM_TOKENS: u32 = 1_500;

#[test]
fn drained_and_closed_host_leaves_no_answer_cut() {
    let mut fleet = support::Fleet::start(&support::FleetConfig {
        hosts: 1,
        engine: engine::Settings {
            token_time: Duration::ZERO,
            ..support::engine_settings()
        },
        ..support::FleetConfig::default()
    });
    let callers = fleet.members[0].callers;
    let mut resp = support::chat(callers, &support::chat_body("x", true, STREAM_TOKENS)).unwrap();
    let reading = std::thread::spawn(move || {
        let mut answer = Vec::new();
        let mut buf = [0; 16 * 1024];
        std::thread::sleep(Duration::from_millis(300));
        loop {
            std::thread::sleep(Duration::from_millis(2));
            match resp.read(&mut buf) {
                Ok(0) => return Ok(answer),
                Ok(len) => answer.extend_from_slice(&buf[..len]),
                Err(e) => return Err(e),
            }
        }
    });
    let member = fleet.members.remove(0);
    assert_eq!(member.host.drain(), host::DrainResult::Complete);
    member.host.close();
    let answer = reading.join().unwrap().unwrap();
    assert!(answer.ends_with(b"data: [DONE]\n\n"));
    fleet.close();
}
