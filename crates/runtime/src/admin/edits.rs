//! Admin requests that read and edit the lists.

use std::str::FromStr;

use bytes::Bytes;
use pistachiochute_core::lists::edit::{Base, Cause, Outcome, Proposal, Proposals, Resolved};
use pistachiochute_core::lists::{self, storage, verify};
use pistachiochute_core::{reason, revision, time};
use serde_json::{Value, json};

use crate::admin::{Context, reply::Reply};
use crate::lists::store;
use crate::settings;

/// `Retry-After` of a request that failed because the store is unavailable.
const STORE_RETRY_DELAY: std::time::Duration = std::time::Duration::from_secs(5);

/// Returns both lists, with the revision of each entry.
pub fn get_lists(cx: &Context) -> Reply {
    match cx.editor.store().read() {
        Ok(read) => Reply::json(
            200,
            &json!({
                "revision": read.stored.version().revision.to_string(),
                "accounts": read.stored.accounts,
                "plans": read.stored.plans,
            }),
        ),
        Err(e) => unavailable(&e),
    }
}

/// Returns one entry with its revision.
pub fn get_entry(cx: &Context, list: &str, name: &str) -> Reply {
    let read = match cx.editor.store().read() {
        Ok(read) => read,
        Err(e) => return unavailable(&e),
    };
    let found = match list {
        "accounts" => name
            .parse()
            .ok()
            .and_then(|name| read.stored.accounts.get(&name))
            .map(|dated| json!({ "revision": dated.revision.to_string(), "entry": dated.entry })),
        "plans" => name
            .parse()
            .ok()
            .and_then(|name| read.stored.plans.get(&name))
            .map(|dated| json!({ "revision": dated.revision.to_string(), "entry": dated.entry })),
        _ => None,
    };
    match found {
        Some(entry) => Reply::json(200, &entry),
        None => not_found(list, name),
    }
}

fn not_found(list: &str, name: &str) -> Reply {
    Reply::error(
        reason::Refusal::NotFound,
        format!("no entry {name} in list {list}"),
    )
}

fn unavailable(e: &store::Error) -> Reply {
    Reply::error(reason::Refusal::StoreUnavailable, e.to_string())
        .with_retry_after(STORE_RETRY_DELAY)
}

/// Returns the most recent edits, newest first.
pub fn history(cx: &Context) -> Reply {
    match cx.editor.store().history() {
        Ok(mut records) => {
            records.reverse();
            Reply::json(200, &json!({ "edits": records }))
        }
        Err(e) => unavailable(&e),
    }
}

/// Returns whether an edit whose answer was lost was recorded.
pub fn resolve(cx: &Context, id: storage::EditId) -> Reply {
    match cx.editor.resolve(id) {
        Resolved::Recorded(record) => {
            Reply::json(200, &json!({ "state": "recorded", "edit": record }))
        }
        Resolved::NotRecorded => Reply::json(200, &json!({ "state": "not_recorded" })),
        Resolved::Expired => Reply::json(200, &json!({ "state": "forgotten" })),
        Resolved::Unavailable => {
            let message = "the store does not answer, so the edit stays unresolved";
            Reply::error(reason::Refusal::StoreUnavailable, message)
                .with_retry_after(STORE_RETRY_DELAY)
        }
    }
}

/// Parses the revision that an edit of one entry is based on from the conditional headers.
pub fn parse_base(if_match: Option<String>, if_none_match: Option<String>) -> Result<Base, Reply> {
    match (if_match, if_none_match.as_deref()) {
        (Some(text), None) => parse_revision(&text).map(Base::Entry),
        (None, Some("*")) => Ok(Base::Absent),
        _ => {
            let message = "the request needs `If-Match: rN` with the revision of the entry, or \
                           `If-None-Match: *` for a new entry";
            Err(Reply::error(reason::Refusal::BadRequest, message))
        }
    }
}

fn parse_revision(text: &str) -> Result<revision::Revision, Reply> {
    let parsed = revision::Revision::from_str(text.trim_matches('"'));
    parsed.map_err(|e| Reply::error(reason::Refusal::BadRequest, format!("If-Match: {e}")))
}

/// Replaces both lists.
pub fn put_lists(
    cx: &Context,
    operator: &settings::Operator,
    if_match: Option<String>,
    body: &Bytes,
) -> Reply {
    let Some(text) = if_match else {
        let message = "the request needs `If-Match: rN` with the revision of the lists";
        return Reply::error(reason::Refusal::BadRequest, message);
    };
    let base = match parse_revision(&text) {
        Ok(base) => base,
        Err(reply) => return reply,
    };
    match verify::document(body, cx.control.served_targets().as_ref()) {
        Ok(lists) => apply_edit(cx, operator, Proposals::Replacement(lists, base)),
        Err(findings) => invalid(&findings),
    }
}

/// Adds or replaces one entry.
pub fn put_entry(
    cx: &Context,
    operator: &settings::Operator,
    (list, name): (&str, &str),
    base: Result<Base, Reply>,
    body: &Bytes,
) -> Reply {
    let change = match list {
        "accounts" => verify::account(name, body)
            .map(|(name, account)| lists::Change::PutAccount(name, account)),
        "plans" => verify::plan(name, body).map(|(name, plan)| lists::Change::PutPlan(name, plan)),
        _ => return not_found(list, name),
    };
    match (change, base) {
        (Ok(change), Ok(base)) => propose(cx, operator, change, base),
        (Err(findings), _) => invalid(&findings),
        (_, Err(reply)) => reply,
    }
}

/// Removes one entry.
pub fn remove_entry(
    cx: &Context,
    operator: &settings::Operator,
    (list, name): (&str, &str),
    base: Result<Base, Reply>,
) -> Reply {
    let change = match list {
        "accounts" => name.parse().map(lists::Change::RemoveAccount),
        "plans" => name.parse().map(lists::Change::RemovePlan),
        _ => return not_found(list, name),
    };
    match (change, base) {
        (Ok(change), Ok(base)) => propose(cx, operator, change, base),
        (Err(e), _) => Reply::error(reason::Refusal::BadRequest, e.to_string()),
        (_, Err(reply)) => reply,
    }
}

fn propose(
    cx: &Context,
    operator: &settings::Operator,
    change: lists::Change,
    base: Base,
) -> Reply {
    apply_edit(
        cx,
        operator,
        Proposals::Entries(vec![Proposal { change, base }]),
    )
}

fn is_allowed(operator: &settings::Operator, change: &lists::Change) -> bool {
    match change {
        lists::Change::PutAccount(name, _) | lists::Change::RemoveAccount(name) => {
            operator.accounts.contains(name)
        }
        lists::Change::PutPlan(name, _) | lists::Change::RemovePlan(name) => {
            operator.plans.contains(name)
        }
    }
}

fn apply_edit(cx: &Context, operator: &settings::Operator, proposals: Proposals) -> Reply {
    let id = storage::EditId(uuid::Uuid::now_v7());
    let allowed = |change: &lists::Change| is_allowed(operator, change);
    let start: time::Time = crate::clock::now();
    let outcome = cx
        .editor
        .edit(id, operator.name.clone(), proposals, allowed);
    slog::info!(cx.log, "edit"; "edit" => %id, "operator" => %operator.name,
        "took_ms" => crate::clock::now().since(start).as_millis() as u64,
        "recorded" => matches!(outcome, Outcome::Recorded(_)));
    outcome_reply(id, outcome)
}

fn outcome_reply(id: storage::EditId, outcome: Outcome) -> Reply {
    match outcome {
        Outcome::Recorded(delta) => {
            let value = json!({
                "state": "recorded",
                "edit": id,
                "revision": delta.to.revision.to_string(),
                "changes": delta.changes,
            });
            Reply::json(200, &value)
        }
        Outcome::Unchanged(version) => {
            let revision = version.revision.to_string();
            Reply::json(200, &json!({ "state": "unchanged", "revision": revision }))
        }
        Outcome::Conflict(conflicts) => {
            let message = "entries were changed since the revision that the edit is based on; \
                           nothing was recorded";
            let fields = json!({ "conflicts": conflicts });
            Reply::error_with(reason::Refusal::EditConflict, message, fields)
        }
        Outcome::Invalid(findings) => invalid(&findings),
        Outcome::Forbidden(changes) => {
            let message = "the credential does not allow these changes; nothing was recorded";
            let fields = json!({ "changes": changes });
            Reply::error_with(reason::Refusal::Forbidden, message, fields)
        }
        Outcome::NotRecorded(cause) => not_recorded(cause),
        Outcome::Unresolved(id) => {
            let message = format!(
                "the edit may have been recorded: ask `GET /v1/edits/{id}` when the store answers"
            );
            let fields = json!({ "state": "unresolved", "edit": id });
            Reply::error_with(reason::Refusal::StoreUnavailable, message, fields)
                .with_retry_after(STORE_RETRY_DELAY)
        }
    }
}

fn not_recorded(cause: Cause) -> Reply {
    let fields = json!({ "state": "not_recorded", "cause": cause });
    let message = "the edit was not recorded";
    Reply::error_with(reason::Refusal::StoreUnavailable, message, fields)
        .with_retry_after(STORE_RETRY_DELAY)
}

fn invalid(findings: &[lists::Finding]) -> Reply {
    let texts: Vec<Value> = findings
        .iter()
        .map(|finding| json!({ "place": finding.place, "fault": finding.fault.to_string() }))
        .collect();
    let message = "the lists have findings; nothing was recorded";
    Reply::error_with(
        reason::Refusal::InvalidLists,
        message,
        json!({ "findings": texts }),
    )
}
