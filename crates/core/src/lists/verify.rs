//! Validation of the two lists.
//!
//! The verifier reports all findings of both lists together: first on the structure of each entry,
//! then on references between entries. Files, the administration API and the command line use the
//! same functions, so that they accept the same texts.

use std::collections::{BTreeMap, BTreeSet};

use super::finding::{Finding, FindingKind, JsonPointer};
use super::json::Node;
use super::read::{AccountDraft, PlanDraft, Reader};
use crate::{lists, name, topology, units};

/// Maximum size of the texts of both lists together, in bytes. A snapshot then fits into one
/// message between hosts.
pub const MAX_TEXT_LEN: usize = 1 << 20;

/// Maximum number of findings that are reported.
pub const MAX_FINDINGS: usize = 1_000;

const MEMBERS: &[&str] = &["accounts", "plans"];

/// Models and services that the endpoints of the fleet serve.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServedTargets {
    /// Models that at least one engine serves.
    pub models: BTreeSet<name::ModelName>,
    /// Services that at least one endpoint serves.
    pub services: BTreeSet<name::ServiceName>,
}

impl ServedTargets {
    /// Collects the models and services of all endpoints in the host list.
    #[must_use]
    pub fn from_host_list(hosts: &topology::HostList) -> Self {
        let mut served = Self::default();
        for endpoint in &hosts.endpoints {
            match &endpoint.serves {
                topology::Serves::Engine { models } => {
                    served.models.extend(models.iter().cloned());
                }
                topology::Serves::Service { name } => {
                    served.services.insert(name.clone());
                }
            }
        }
        served
    }
}

/// Verifies the texts of the two lists, each a JSON object of entries by name.
///
/// Without `served`, the models and services of plans are not checked.
///
/// # Errors
///
/// Returns all findings of both texts, but at most [`MAX_FINDINGS`].
pub fn texts(
    accounts: &[u8],
    plans: &[u8],
    served: Option<&ServedTargets>,
) -> Result<lists::Lists, Vec<Finding>> {
    let mut reader = Reader::default();
    check_len(&mut reader, accounts.len() + plans.len());
    let root = JsonPointer::root();
    let accounts = parse(&mut reader, &root.member("accounts"), accounts);
    let plans = parse(&mut reader, &root.member("plans"), plans);
    finish(reader, accounts.as_ref(), plans.as_ref(), served)
}

/// Verifies the text of a JSON object with the members `accounts` and `plans`.
///
/// Without `served`, the models and services of plans are not checked.
///
/// # Errors
///
/// Returns all findings, but at most [`MAX_FINDINGS`].
pub fn document(text: &[u8], served: Option<&ServedTargets>) -> Result<lists::Lists, Vec<Finding>> {
    let mut reader = Reader::default();
    check_len(&mut reader, text.len());
    let root = JsonPointer::root();
    let Some(node) = parse(&mut reader, &root, text) else {
        return Err(reader.findings);
    };
    let members: BTreeMap<_, _> = reader.members(&root, &node).into_iter().collect();
    for key in members.keys().filter(|key| !MEMBERS.contains(key)) {
        reader.report(
            &root.member(key),
            FindingKind::UnknownField { known: MEMBERS },
        );
    }
    if matches!(node, Node::Object(_)) {
        for field in MEMBERS.iter().filter(|field| !members.contains_key(*field)) {
            reader.report(&root, FindingKind::MissingField { field });
        }
    }
    let accounts = members.get("accounts").copied();
    let plans = members.get("plans").copied();
    finish(reader, accounts, plans, served)
}

/// Parses the text of a single account. Whether its plan exists is not checked.
///
/// # Errors
///
/// Returns all findings.
pub fn account(
    name: &str,
    text: &[u8],
) -> Result<(name::AccountName, lists::Account), Vec<Finding>> {
    let place = JsonPointer::root().member("accounts").member(name);
    let mut reader = Reader::default();
    let key = reader.name(&place, name);
    let node = parse(&mut reader, &place, text);
    let entry = node.and_then(|node| reader.account(&place, &node).finish());
    entry_or_findings(reader, key, entry)
}

/// Parses the text of a single plan. Its models and services are not checked.
///
/// # Errors
///
/// Returns all findings.
pub fn plan(name: &str, text: &[u8]) -> Result<(name::PlanName, lists::Plan), Vec<Finding>> {
    let place = JsonPointer::root().member("plans").member(name);
    let mut reader = Reader::default();
    let key = reader.name(&place, name);
    let node = parse(&mut reader, &place, text);
    let entry = node.and_then(|node| reader.plan(&place, &node).finish());
    entry_or_findings(reader, key, entry)
}

/// Verifies lists that are already parsed. Returns all findings, but at most [`MAX_FINDINGS`].
#[must_use]
pub fn lists(lists: &lists::Lists, served: Option<&ServedTargets>) -> Vec<Finding> {
    let text = serde_json::to_vec(lists).unwrap_or_default();
    document(&text, served).err().unwrap_or_default()
}

fn entry_or_findings<N, E>(
    reader: Reader,
    key: Option<N>,
    entry: Option<E>,
) -> Result<(N, E), Vec<Finding>> {
    match (key, entry) {
        (Some(key), Some(entry)) if reader.findings.is_empty() => Ok((key, entry)),
        _ => Err(reader.findings),
    }
}

fn check_len(reader: &mut Reader, size: usize) {
    let max = MAX_TEXT_LEN;
    if size > max {
        reader.report(&JsonPointer::root(), FindingKind::TooLarge { size, max });
    }
}

fn parse(reader: &mut Reader, place: &JsonPointer, text: &[u8]) -> Option<Node> {
    if text.len() > MAX_TEXT_LEN {
        return None;
    }
    serde_json::from_slice(text)
        .map_err(|e| {
            let fault = FindingKind::Syntax {
                line: e.line(),
                column: e.column(),
                cause: e.to_string(),
            };
            reader.report(place, fault);
        })
        .ok()
}

fn finish(
    mut reader: Reader,
    accounts: Option<&Node>,
    plans: Option<&Node>,
    served: Option<&ServedTargets>,
) -> Result<lists::Lists, Vec<Finding>> {
    let root = JsonPointer::root();
    let plans_place = root.member("plans");
    let accounts_place = root.member("accounts");
    let plan_drafts: BTreeMap<name::PlanName, PlanDraft> =
        entries(&mut reader, &plans_place, plans, Reader::plan);
    let account_drafts: BTreeMap<name::AccountName, AccountDraft> =
        entries(&mut reader, &accounts_place, accounts, Reader::account);
    for (name, draft) in &plan_drafts {
        check_plan(
            &mut reader,
            &plans_place.member(name.as_str()),
            draft,
            served,
        );
    }
    let known = plans.is_some().then_some(&plan_drafts);
    check_accounts(&mut reader, &accounts_place, &account_drafts, known);
    if !reader.findings.is_empty() {
        reader.findings.sort();
        reader.findings.truncate(MAX_FINDINGS);
        return Err(reader.findings);
    }
    let accounts = account_drafts.into_iter();
    let plans = plan_drafts.into_iter();
    Ok(lists::Lists {
        accounts: accounts
            .filter_map(|(k, d)| Some((k, d.finish()?)))
            .collect(),
        plans: plans.filter_map(|(k, d)| Some((k, d.finish()?))).collect(),
    })
}

fn entries<N, D, F>(
    reader: &mut Reader,
    place: &JsonPointer,
    node: Option<&Node>,
    read: F,
) -> BTreeMap<N, D>
where
    N: std::str::FromStr<Err = name::ParseNameError> + Ord,
    F: Fn(&mut Reader, &JsonPointer, &Node) -> D,
{
    let Some(node) = node else {
        return BTreeMap::new();
    };
    let mut drafts = BTreeMap::new();
    for (key, value) in reader.members(place, node) {
        let place = place.member(key);
        let name = reader.name(&place, key);
        let draft = read(reader, &place, value);
        if let Some(name) = name {
            drafts.insert(name, draft);
        }
    }
    drafts
}

fn check_plan(
    reader: &mut Reader,
    place: &JsonPointer,
    draft: &PlanDraft,
    served: Option<&ServedTargets>,
) {
    if draft.models.is_empty() && draft.services.is_empty() {
        reader.report(place, FindingKind::NothingToUse);
    }
    if let (Some(longest), Some(rate)) = (draft.longest_answer, draft.tokens_per_minute) {
        let longest = units::Tokens(longest);
        let rate = units::PerMinute(rate);
        if longest.0 > rate.0 {
            let fault = FindingKind::AnswerExceedsRate { longest, rate };
            reader.report(&place.member("longest_answer"), fault);
        }
    }
    let Some(served) = served else { return };
    for (i, model) in draft.models.iter().enumerate() {
        if let Some(model) = model.clone().filter(|model| !served.models.contains(model)) {
            let place = place.member("models").element(i);
            reader.report(&place, FindingKind::UnreachableModel { model });
        }
    }
    for (i, service) in draft.services.iter().enumerate() {
        if let Some(service) = service.clone().filter(|s| !served.services.contains(s)) {
            let place = place.member("services").element(i);
            reader.report(&place, FindingKind::UnreachableService { service });
        }
    }
}

/// Checks that the plans of accounts exist and that no two key digests are equal. `plans` is `None`
/// if the list of plans could not be parsed; then plans are not checked.
fn check_accounts(
    reader: &mut Reader,
    place: &JsonPointer,
    accounts: &BTreeMap<name::AccountName, AccountDraft>,
    plans: Option<&BTreeMap<name::PlanName, PlanDraft>>,
) {
    let mut first = BTreeMap::new();
    for (name, draft) in accounts {
        let place = place.member(name.as_str());
        let unknown = |plan: &name::PlanName| plans.is_some_and(|plans| !plans.contains_key(plan));
        if let Some(plan) = draft.plan.clone().filter(unknown) {
            reader.report(&place.member("plan"), FindingKind::UnknownPlan { plan });
        }
        for (i, digest) in draft.digests.iter().enumerate() {
            let Some(digest) = digest else { continue };
            let place = place.member("key_digests").element(i);
            match first.get(digest) {
                Some(first) => {
                    let first = JsonPointer::clone(first);
                    reader.report(&place, FindingKind::DuplicateDigest { first });
                }
                None => {
                    first.insert(*digest, place);
                }
            }
        }
    }
}
