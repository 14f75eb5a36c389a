//! Fault settings of a stand-in that can be replaced at run time.

use std::sync::{Mutex, MutexGuard};

use crate::{server, sync};

/// The faults of a stand-in, which can be replaced while it runs.
#[derive(Debug)]
pub(crate) struct FaultSwitch<T> {
    faults: Mutex<T>,
    /// Whether given faults include that connections are refused.
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

    /// The current faults.
    pub(crate) fn get(&self) -> T {
        sync::lock(&self.faults).clone()
    }

    /// Locks the faults, to decrement the number of times that one applies.
    pub(crate) fn lock(&self) -> MutexGuard<'_, T> {
        sync::lock(&self.faults)
    }

    /// Replaces the faults and waits until connections are refused or accepted accordingly. The
    /// wait is bounded by `LISTEN_TIMEOUT`.
    pub(crate) fn set(&self, control: &server::Control, faults: T) {
        let refuse = self.replace(faults);
        control.set_refusing(refuse);
    }

    /// Handles a request to `/faults`, whose body replaces the faults. They are in force when the
    /// answer is sent, except that connections are refused or accepted only after it: that closes
    /// the listening socket.
    pub(crate) fn handle_post(&self, exchange: server::Exchange, control: &server::Control) {
        match exchange.json::<T>() {
            Ok(faults) => {
                let refuse = self.replace(faults);
                exchange.respond(200, &serde_json::json!({}));
                control.set_refusing(refuse);
            }
            Err(err) => exchange.refuse(400, "bad_request", &err.to_string()),
        }
    }

    /// Replaces the faults. Returns whether connections are to be refused.
    fn replace(&self, faults: T) -> bool {
        let refuse = (self.refuses)(&faults);
        *sync::lock(&self.faults) = faults;
        refuse
    }
}

/// Decrements the number of times that a fault still applies, and returns whether it applies now.
/// `None` means that it applies each time.
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
