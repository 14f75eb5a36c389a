//! Signals that reach a real host process one after another, while it serves a request.

mod support;

use std::thread;
use std::time::Duration;

use rustix::process::Signal;
use support::{Machine, UNFRAMED_BYTES};

/// Memory of the machine, in MiB.
const MEMORY_MB: u64 = 256;

/// Pause between two signals.
const SIGNAL_PAUSE: Duration = Duration::from_millis(30);

fn signal_all(machine: &Machine, signals: &[Signal]) {
    for signal in signals {
        machine.signal(*signal);
        thread::sleep(SIGNAL_PAUSE);
    }
}

/// Guards against LOST (review 14): a stop that is asked for again cuts off the requests in progress.
#[test]
fn stop_that_is_asked_for_again_goes_on() {
    let (term, hup, int) = (Signal::TERM, Signal::HUP, Signal::INT);
    for signals in [
        vec![term, term],
        vec![term, hup, term, hup, term],
        vec![int, term, term],
        vec![term, int, hup, term],
        vec![hup, term],
    ] {
        let mut machine = Machine::start(MEMORY_MB);
        let answer = machine.ask_unframed("r1", || signal_all(&machine, &signals));
        let length = answer.body.len();
        assert_eq!(
            (answer.status, length),
            (200, UNFRAMED_BYTES),
            "{signals:?}"
        );
        assert!(machine.wait().success(), "{signals:?}");
    }
}

/// An operator at a terminal can end a stop.
#[test]
fn second_interrupt_ends_the_process_at_once() {
    for signals in [
        vec![Signal::INT, Signal::INT],
        vec![Signal::TERM, Signal::INT, Signal::TERM, Signal::INT],
    ] {
        let mut machine = Machine::start(MEMORY_MB);
        let answer = machine.ask_unframed("r1", || signal_all(&machine, &signals));
        assert!(!answer.is_complete, "{signals:?}");
        assert_eq!(machine.wait().code(), Some(1), "{signals:?}");
    }
}
