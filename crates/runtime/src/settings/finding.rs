//! Faults found in the settings.

use std::fmt;

/// A fault and its place in the settings.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// JSON path of the faulty value, such as `$.bounds.body_bytes`; `$` is the whole document.
    pub place: String,
    /// Description of the fault. Never contains the value of a secret.
    pub fault: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.fault)
    }
}
