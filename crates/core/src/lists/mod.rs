//! The two lists that operators edit: plans and client accounts.

mod digest;
mod model;

pub use digest::{KeyDigest, ParseDigestError};
pub use model::{Account, Lists, Plan};
