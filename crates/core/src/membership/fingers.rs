//! Which hosts a host sends its status to.

/// Most other hosts up to which a host talks to all of them.
pub const FULL_MESH: usize = 12;

/// Positions of the hosts that the host at position `me` of `hosts` talks to.
///
/// In a large fleet these are the hosts at distances 1, 2, 4 and so on, so that news reaches
/// everyone in as many steps as the number of hosts has binary digits, and each host keeps as many
/// links.
pub fn of(me: usize, hosts: usize) -> impl Iterator<Item = usize> {
    let others = hosts.saturating_sub(1);
    let is_small = others <= FULL_MESH;
    let near = (1..=others).filter(move |distance| is_small || distance.is_power_of_two());
    near.map(move |distance| (me + distance) % hosts)
}
