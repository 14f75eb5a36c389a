//! Which endpoints hold a part of prompts in their caches, where hosts do not tell each other of all parts.
//!
//! Every part has a *registrar*: the live host that comes first by rendezvous hashing of the part. A host
//! that sends a prompt tells the registrar of its last shared part, and a host that knows no endpoint with
//! that part asks the registrar. An answer is a hint: it decides where a prompt is cheap, and nothing that
//! must hold depends on it. `docs/design/cached-parts.md` has what happens when a host fails.

mod registrar;

pub use registrar::{Holder, Holders, Registrar};

use crate::membership::overlay;
use crate::routing::rendezvous;

/// Whether parts have registrars in a fleet of so many hosts. In a full mesh, every host is told of
/// every part.
#[must_use]
pub const fn has_registrars(hosts: u32) -> bool {
    hosts as usize > overlay::FULL_MESH_MAX_PEERS + 1
}

/// Host that keeps the holders of a part, of hosts that are given by the hashes of their names.
#[must_use]
pub fn registrar_of(part: u64, hosts: &[u64]) -> Option<u64> {
    let score = |host: &u64| (rendezvous::score(part ^ *host, 0), *host);
    hosts.iter().copied().max_by_key(score)
}
