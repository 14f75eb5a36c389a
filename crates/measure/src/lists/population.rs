//! Hosts, accounts and plans of the simulated fleets, and the sizes of their messages.

use pistachiochute_core::{entity, entity::Entity as _, lists, name, units};
use pistachiochute_messages::codec;

/// Bytes that each end of an exchange sends besides the messages: the headers of three TCP/IP
/// packets of 52 bytes, four h2 frame headers, the payload of a window update and an indexed
/// header block.
pub const EXCHANGE_OVERHEAD_BYTES: u64 = 3 * 52 + 4 * 9 + 4 + 8;

/// Returns the encoded size of a message in bytes.
///
/// # Errors
///
/// Returns an error if the message cannot be encoded.
pub fn message_bytes<M>(message: &M) -> eyre::Result<u64>
where
    M: serde::Serialize,
{
    Ok(codec::encode(message)?.len() as u64)
}

/// Returns the hosts of a fleet, assigned to its domains in turn.
pub fn hosts(hosts: usize, domains: usize) -> Vec<(entity::HostId, entity::DomainId)> {
    let host = |i| {
        (
            entity::HostId::from_index(i),
            entity::DomainId::from_index(i % domains),
        )
    };
    (0..hosts).map(host).collect()
}

/// Returns the name of an account.
pub fn account_name(i: usize) -> name::AccountName {
    format!("account-{i}").parse().expect("a valid name")
}

/// Returns the name of a plan.
pub fn plan_name(i: usize) -> name::PlanName {
    format!("plan-{i}").parse().expect("a valid name")
}

/// Returns a plan with the given request rate, the token rate that follows from the tokens per
/// request, and the given limit on requests in flight.
pub fn plan(requests_per_minute: u64, tokens_per_request: u64, in_flight: u64) -> lists::Plan {
    lists::Plan {
        models: vec!["receipt-vl".parse().expect("a valid name")],
        services: vec!["farm-accounts".parse().expect("a valid name")],
        requests_per_minute: units::PerMinute(requests_per_minute),
        tokens_per_minute: units::PerMinute(requests_per_minute * tokens_per_request),
        in_flight: units::Requests(in_flight),
        priority: 0,
        weight: 1,
        longest_answer: units::Tokens(512),
    }
}

/// Returns lists of the design size: 430 accounts with two keys each, and one plan for every ten
/// accounts.
pub fn lists() -> lists::Lists {
    let mut lists = lists::Lists::default();
    for i in 0..43 {
        lists
            .plans
            .insert(plan_name(i), plan(600 + i as u64, 700, 64));
    }
    for i in 0..430 {
        let digest = |k| lists::KeyDigest::of(format!("key {i} {k}").as_bytes());
        let entry = lists::Account {
            plan: plan_name(i % 43),
            key_digests: vec![digest(0), digest(1)],
        };
        lists.accounts.insert(account_name(i), entry);
    }
    lists
}
