//! Division of an endpoint's limit among hosts.

use crate::rate_limits::RequestRate;
use crate::routing;

/// Lowest share of a host, in requests a second. A limit that is too low for all hosts is divided
/// among fewer, since a host that may send once in many seconds mostly has nothing to send then.
const MIN_SHARE_PER_S: f64 = 1.0;

/// Requests a second of a host with a strict share, before [`STRICT_FRACTION`].
const STRICT_SHARE_PER_S: f64 = 2.5;

/// Part of a rate that hosts with strict shares use on average.
const STRICT_FRACTION: f64 = 0.8;

/// Share of one host in the limit of an endpoint, or `None` if other hosts use the endpoint.
///
/// The hosts that use an endpoint are its first ones by rendezvous hashing over all live hosts, so
/// that all hosts agree on them without messages, and endpoints with low limits are spread over the
/// hosts. `own` and `hosts` are hashes of hosts; `hosts` may or may not contain `own`.
#[must_use]
pub fn share(limit: RequestRate, endpoint: u64, own: u64, hosts: &[u64]) -> Option<RequestRate> {
    let rank = Rank::of(endpoint, own, hosts);
    let users = users(limit, rank.total);
    (rank.ahead < users).then(|| limit.divided_by(users))
}

/// Share of one host in a rate that holds in every single second, or `None` if other hosts use the
/// endpoint.
///
/// Hosts with a share send several requests a second each, so that few of them can send early at the
/// same time: together at most 1.2 times the rate in any second, and one request each.
#[must_use]
pub fn strict_share(
    rate: RequestRate,
    endpoint: u64,
    own: u64,
    hosts: &[u64],
) -> Option<RequestRate> {
    let rank = Rank::of(endpoint, own, hosts);
    let users = (rate.as_per_second() / STRICT_SHARE_PER_S) as u32;
    let users = users.clamp(1, rank.total);
    let pace = RequestRate::per_second(rate.as_per_second() * STRICT_FRACTION);
    (rank.ahead < users).then(|| pace.divided_by(users))
}

/// Place of a host in the order in which hosts use an endpoint.
struct Rank {
    /// Hosts that come before it.
    ahead: u32,
    /// All hosts, with this one.
    total: u32,
}

impl Rank {
    fn of(endpoint: u64, own: u64, hosts: &[u64]) -> Self {
        let score = |host: u64| (routing::rendezvous::score(endpoint, host as u32), host);
        let own_score = score(own);
        let others = hosts.iter().filter(|host| **host != own);
        Self {
            total: others.clone().count() as u32 + 1,
            ahead: others.filter(|host| score(**host) > own_score).count() as u32,
        }
    }
}

/// Number of hosts among which a limit is divided.
fn users(limit: RequestRate, hosts: u32) -> u32 {
    let users = limit.as_per_second() / MIN_SHARE_PER_S;
    (users as u32).clamp(1, hosts)
}
