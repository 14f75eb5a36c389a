//! Share of the chats that move when an endpoint joins or leaves.

use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::routing::candidates;
use pistachiochute_core::{entity, topology};

use crate::routing::world;

/// Chats that are looked up.
const CHATS: u64 = 200_000;

/// Failure domains.
const DOMAINS: usize = 3;

/// Entry hosts.
const HOSTS: usize = 8;

/// Largest share of moved chats over `1 / endpoints`, over every endpoint that leaves and
/// returns.
#[must_use]
pub fn factor(endpoints: usize) -> f64 {
    let list = world::host_list(HOSTS, endpoints, DOMAINS);
    let whole = first_candidates(&list);
    let moved = |endpoint: usize| {
        let mut less = list.clone();
        less.endpoints.remove(endpoint);
        let rest = first_candidates(&less);
        let moved = whole.iter().zip(&rest).filter(|(a, b)| a != b).count();
        moved as f64 / CHATS as f64 * endpoints as f64
    };
    (0..endpoints).map(moved).fold(0.0, f64::max)
}

fn first_candidates(list: &topology::HostList) -> Vec<Option<entity::EndpointId>> {
    let directory = candidates::Directory::new(list, candidates::Spread::Region);
    let target = world::target();
    let local = entity::DomainId::from_index(0);
    let mut out = candidates::Candidates::new();
    (0..CHATS)
        .map(|chat| {
            let key = chat.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            directory.candidates(key, &target, local, &mut out);
            out.first().copied()
        })
        .collect()
}
