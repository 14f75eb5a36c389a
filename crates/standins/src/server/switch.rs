//! Switch for the faults of a stand-in.

use std::sync::{Mutex, MutexGuard};

use crate::{server, sync};

/// Faults that can be replaced while the stand-in runs.
#[derive(Debug)]
pub(crate) struct FaultSwitch<T> {
    faults: Mutex<T>,
    /// Whether faults ask for connections to be refused.
    refuses: fn(&T) -> bool,
}

impl<T> FaultSwitch<T>
where
    T: Clone + serde::de::DeserializeOwned,
{
    pub(crate) fn new(faults: T, refuses: fn(&T) -> bool) -> Self {
        Self {
            faults: Mutex::new(faults),
            refuses,
        }
    }

    /// The faults that are set.
    pub(crate) fn get(&self) -> T {
        sync::lock(&self.faults).clone()
    }

    /// Locks the faults, to count one down.
    pub(crate) fn lock(&self) -> MutexGuard<'_, T> {
        sync::lock(&self.faults)
    }

    /// Replaces the faults and waits until connections are refused or accepted as they say.
    pub(crate) fn set(&self, control: &server::Control, faults: T) {
        let refuse = (self.refuses)(&faults);
        *sync::lock(&self.faults) = faults;
        control.set_refusing(refuse);
    }

    /// Answers `POST /faults`.
    pub(crate) fn handle_post(&self, exchange: server::Exchange, control: &server::Control) {
        match exchange.json::<T>() {
            Ok(faults) => {
                exchange.respond(200, &serde_json::json!({}));
                self.set(control, faults);
            }
            Err(err) => exchange.refuse(400, "bad_request", &err.to_string()),
        }
    }
}

/// Takes one from the number of times that a fault still strikes; `None` strikes each time.
pub(crate) fn take_fault(times: &mut Option<u32>) -> bool {
    match times {
        Some(0) => false,
        Some(left) => {
            *left -= 1;
            true
        }
        None => true,
    }
}
