//! Growth of the work of one decision with the size of the fleet.

use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::routing::candidates;
use pistachiochute_core::{entity, topology};

use crate::figure;
use crate::routing::world;

/// Endpoints that one decision visits: those of the region are scored, and the loads of those of
/// the domain are summed.
fn visited(list: &topology::HostList) -> usize {
    let directory = candidates::Directory::new(list, candidates::Spread::Region);
    let local = entity::DomainId::from_index(0);
    let region = directory.region(local);
    let in_region = |e: &&topology::Endpoint| directory.region(e.domain) == region;
    let scored = directory.endpoints().filter(in_region).count();
    scored + directory.pool(&world::target(), local).count()
}

/// Endpoints visited at the size to design for over those visited today.
pub fn reading() -> figure::Reading {
    let today = world::host_list(8, 20, 3);
    let mut design = world::host_list(420, 930, 8);
    for (number, domain) in design.domains.iter_mut().enumerate() {
        domain.region = entity::RegionId::from_index(number % 2);
    }
    figure::Reading {
        name: "decision_ns_growth",
        value: visited(&design) as f64 / visited(&today) as f64,
        unit: "endpoints visited, 930 over 20",
        baseline: Some(930.0 / 20.0),
    }
}
