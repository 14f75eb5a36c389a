//! Hosts, accounts and the bytes of their messages at the two sizes.

use pistachiochute_core::{entity, entity::Entity as _, lists, name, units};
use pistachiochute_messages::codec;

/// Bytes that each end of an exchange sends besides the messages: three TCP/IP packets of 52
/// bytes, four h2 frame headers, a window update and an indexed header block.
pub const EXCHANGE_OVERHEAD_BYTES: u64 = 3 * 52 + 4 * 9 + 4 + 8;

/// Bytes of a message in its frame.
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

/// The hosts of a fleet, spread over its domains.
pub fn hosts(hosts: usize, domains: usize) -> Vec<(entity::HostId, entity::DomainId)> {
    let host = |i| {
        (
            entity::HostId::from_index(i),
            entity::DomainId::from_index(i % domains),
        )
    };
    (0..hosts).map(host).collect()
}

/// Name of an account.
pub fn account_name(i: usize) -> name::AccountName {
    format!("account-{i}").parse().expect("a valid name")
}

/// Name of the plan of an account.
pub fn plan_name(i: usize) -> name::PlanName {
    format!("plan-{i}").parse().expect("a valid name")
}

/// Plan with limits that make requests scarce, or tokens.
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

/// Lists of the design size: 430 accounts with two keys each, and a plan for each tenth account.
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
