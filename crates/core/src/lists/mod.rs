//! The two lists that operators edit: plans and client accounts.
//!
//! [`verify`] parses and validates them, [`edit`] changes them in the key-value service in the
//! layout of [`storage`], and [`replica`] replicates them to every host.

mod digest;
pub mod edit;
mod finding;
mod json;
pub mod message;
mod model;
mod read;
pub mod replica;
pub mod storage;
pub mod verify;
mod version;

pub use digest::{KeyDigest, ParseDigestError};
pub use finding::{Finding, FindingKind, JsonPointer};
pub use model::{Account, Change, Lists, Plan};
pub use version::{Chain, Delta, Snapshot, Version};
