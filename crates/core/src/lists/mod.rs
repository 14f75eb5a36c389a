//! The two lists that operators edit: plans and client accounts.
//!
//! [`verify`] reads and checks them.

mod digest;
mod finding;
mod json;
mod model;
mod read;
pub mod verify;

pub use digest::{KeyDigest, ParseDigestError};
pub use finding::{Fault, Finding, Place};
pub use model::{Account, Lists, Plan};
