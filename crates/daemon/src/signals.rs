//! Signals that stop or reload a host.

use std::sync::mpsc;
use std::{io, process, thread};

use signal_hook::consts;
use signal_hook::iterator::Signals;

use crate::FAILED;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Event {
    /// The settings have changed.
    Reload,
    /// A planned stop begins.
    Stop,
}

/// Follows signals for the rest of the process.
///
/// A stop that has begun goes on whatever is signalled: whoever stops processes may ask again. Only a second SIGINT, as
/// an operator sends it from a terminal, ends the process at once.
///
/// The thread starts with the host: at a planned stop, when callers may have filled the memory of the
/// machine, there may be no room for another one.
pub(crate) fn follow(mut signals: Signals) -> io::Result<mpsc::Receiver<Event>> {
    let (tx, rx) = mpsc::channel();
    let follow = move || {
        let mut is_interrupted = false;
        for signal in signals.forever() {
            let event = match signal {
                consts::SIGHUP => Event::Reload,
                consts::SIGINT if is_interrupted => process::exit(i32::from(FAILED)),
                _ => Event::Stop,
            };
            is_interrupted |= signal == consts::SIGINT;
            // Nobody listens once the stop has begun.
            tx.send(event).ok();
        }
    };
    thread::Builder::new()
        .name("signals".to_owned())
        .spawn(follow)?;
    Ok(rx)
}
