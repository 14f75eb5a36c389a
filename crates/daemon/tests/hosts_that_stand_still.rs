//! A real host process that stands still while it is sent an answer, and what its caller gets.

mod support;

use support::{ENDPOINT_PATIENCE, Machine, UNFRAMED_BYTES};

/// Memory of the machine, in MiB.
const MEMORY_MB: u64 = 256;

/// Guards against MIXED (review 7): a part of a call's answer without framing, which its endpoint gave up since the host
/// stood still, passes for the whole.
#[test]
fn answer_that_its_endpoint_gave_up_is_not_passed_on() {
    let mut machine = Machine::start(MEMORY_MB);
    let answer = machine.ask_unframed("r1", || {});
    assert_eq!((answer.status, answer.body.len()), (200, UNFRAMED_BYTES));
    for id in ["r2", "r3"] {
        let answer = machine.ask_unframed(id, || machine.pause(2 * ENDPOINT_PATIENCE));
        let length = answer.body.len();
        assert_eq!(answer.status, 502, "{length} bytes of {UNFRAMED_BYTES}");
    }
    machine.close();
}
