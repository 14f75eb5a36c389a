//! A real host process that stands still while it is sent an answer, and what its caller gets.

mod support;

use std::thread;
use std::time::Duration;

use pistachiochute_standins::platform::caller::{Answer, CallerRequest};
use support::{ENDPOINT_PATIENCE, KEY, Machine, UNFRAMED_BYTES};

/// Memory of the machine, in MiB.
const MEMORY_MB: u64 = 256;

/// Asks for the answer without framing. `at_endpoint` is called once the request has reached its endpoint, a while
/// before the body comes.
fn ask_unframed<F>(machine: &Machine, id: &str, at_endpoint: F) -> Answer
where
    F: FnOnce(),
{
    let before = machine.unframed_requests();
    let request = CallerRequest::new(id, &format!("/unframed/{id}"), KEY);
    let callers = machine.callers;
    let asking = thread::spawn(move || request.send(callers));
    while machine.unframed_requests() == before {
        assert!(!asking.is_finished(), "the request reaches no endpoint");
        thread::sleep(Duration::from_millis(5));
    }
    at_endpoint();
    asking.join().expect("a caller")
}

/// Guards against MIXED (review 7): a part of a call's answer without framing, which its endpoint gave up since the host
/// stood still, passes for the whole.
#[test]
fn answer_that_its_endpoint_gave_up_is_not_passed_on() {
    let mut machine = Machine::start(MEMORY_MB);
    let answer = ask_unframed(&machine, "r1", || {});
    assert_eq!((answer.status, answer.body.len()), (200, UNFRAMED_BYTES));
    for id in ["r2", "r3"] {
        let answer = ask_unframed(&machine, id, || machine.pause(2 * ENDPOINT_PATIENCE));
        let length = answer.body.len();
        assert_eq!(answer.status, 502, "{length} bytes of {UNFRAMED_BYTES}");
    }
    machine.close();
}
