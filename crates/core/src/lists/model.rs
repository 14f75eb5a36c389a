//! Entries of the two lists.

use std::collections::BTreeMap;

use crate::{lists, name, request, units};

/// A client account and the plan that it holds.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Plan of the account.
    pub plan: name::PlanName,
    /// SHA-256 digests of the account's API keys.
    pub key_digests: Vec<lists::KeyDigest>,
}

/// What the accounts that hold a plan may use. Limits hold for each account by itself.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Models that the plan may use.
    #[serde(default)]
    pub models: Vec<name::ModelName>,
    /// Services that the plan may use.
    #[serde(default)]
    pub services: Vec<name::ServiceName>,
    /// Requests a minute.
    pub requests_per_minute: units::PerMinute,
    /// Tokens a minute, read and generated.
    pub tokens_per_minute: units::PerMinute,
    /// Requests in flight at once.
    pub in_flight: units::Requests,
    /// Priority that is passed to engines; larger is more urgent.
    #[serde(default)]
    pub priority: u8,
    /// Weight in fair queueing.
    #[serde(default = "one")]
    pub weight: u32,
    /// Longest answer, in tokens.
    pub longest_answer: units::Tokens,
}

const fn one() -> u32 {
    1
}

impl Plan {
    /// Whether the plan holds the target.
    #[must_use]
    pub fn has(&self, target: &request::Target) -> bool {
        match target {
            request::Target::Model(model) => self.models.contains(model),
            request::Target::Service(service) => self.services.contains(service),
        }
    }
}

/// The two lists.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lists {
    /// Client accounts by name.
    #[serde(default)]
    pub accounts: BTreeMap<name::AccountName, Account>,
    /// Plans by name.
    #[serde(default)]
    pub plans: BTreeMap<name::PlanName, Plan>,
}
