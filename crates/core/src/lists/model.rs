//! Data model of the two lists and of their changes.

use std::collections::BTreeMap;

use crate::{lists, name, request, units};

/// A client account: its plan and API keys.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Account {
    /// Plan of the account.
    pub plan: name::PlanName,
    /// SHA-256 digests of the account's API keys.
    pub key_digests: Vec<lists::KeyDigest>,
}

/// Access rights and limits of the accounts with a plan. Limits apply to each account separately.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Models that the accounts may use.
    #[serde(default)]
    pub models: Vec<name::ModelName>,
    /// Services that the accounts may use.
    #[serde(default)]
    pub services: Vec<name::ServiceName>,
    /// Limit of requests per minute.
    pub requests_per_minute: units::PerMinute,
    /// Limit of tokens per minute, prompt and answer together.
    pub tokens_per_minute: units::PerMinute,
    /// Limit of concurrent requests.
    pub in_flight: units::Requests,
    /// Priority that is passed to engines; larger is more urgent.
    #[serde(default)]
    pub priority: u8,
    /// Weight in fair queueing.
    #[serde(default = "one")]
    pub weight: u32,
    /// Maximum length of an answer, in tokens.
    pub longest_answer: units::Tokens,
}

const fn one() -> u32 {
    1
}

impl Plan {
    /// Whether accounts with the plan may use the target.
    #[must_use]
    pub fn allows(&self, target: &request::Target) -> bool {
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

/// A change of one entry.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Adds or replaces an account.
    PutAccount(name::AccountName, Account),
    /// Removes an account.
    RemoveAccount(name::AccountName),
    /// Adds or replaces a plan.
    PutPlan(name::PlanName, Plan),
    /// Removes a plan.
    RemovePlan(name::PlanName),
}

impl Lists {
    /// Applies a change.
    pub fn apply(&mut self, change: &Change) {
        match change {
            Change::PutAccount(name, account) => {
                self.accounts.insert(name.clone(), account.clone());
            }
            Change::RemoveAccount(name) => {
                self.accounts.remove(name);
            }
            Change::PutPlan(name, plan) => {
                self.plans.insert(name.clone(), plan.clone());
            }
            Change::RemovePlan(name) => {
                self.plans.remove(name);
            }
        }
    }

    /// Whether the lists already are as the change would make them.
    #[must_use]
    pub fn is_unchanged_by(&self, change: &Change) -> bool {
        match change {
            Change::PutAccount(name, account) => self.accounts.get(name) == Some(account),
            Change::RemoveAccount(name) => !self.accounts.contains_key(name),
            Change::PutPlan(name, plan) => self.plans.get(name) == Some(plan),
            Change::RemovePlan(name) => !self.plans.contains_key(name),
        }
    }

    /// The changes that turn these lists into `to`.
    #[must_use]
    pub fn changes_to(&self, to: &Self) -> Vec<Change> {
        let put_plans = to
            .plans
            .iter()
            .map(|(k, v)| Change::PutPlan(k.clone(), v.clone()));
        let put_accounts = to
            .accounts
            .iter()
            .map(|(k, v)| Change::PutAccount(k.clone(), v.clone()));
        let gone_accounts = self
            .accounts
            .keys()
            .filter(|k| !to.accounts.contains_key(*k));
        let gone_plans = self.plans.keys().filter(|k| !to.plans.contains_key(*k));
        put_plans
            .chain(put_accounts)
            .filter(|change| !self.is_unchanged_by(change))
            .chain(gone_accounts.cloned().map(Change::RemoveAccount))
            .chain(gone_plans.cloned().map(Change::RemovePlan))
            .collect()
    }
}
