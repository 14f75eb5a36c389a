//! The two lists that operators edit: plans and client accounts.
//!
//! [`verify`] reads and checks them, and [`replica`] distributes them to every host.

mod digest;
mod finding;
mod json;
pub mod message;
mod model;
mod read;
pub mod replica;
pub mod verify;
mod version;

pub use digest::{KeyDigest, ParseDigestError};
pub use finding::{Fault, Finding, Place};
pub use model::{Account, Change, Lists, Plan};
pub use version::{Chain, Delta, Snapshot, Version};
