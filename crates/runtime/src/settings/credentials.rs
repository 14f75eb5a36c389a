//! Credentials for operators and for the links between hosts.

use std::collections::BTreeSet;

use pistachiochute_core::{lists, name};
use serde_json::Value;

use crate::settings::{self, reader, secret};

/// Wildcard for all names in a [`Scope`].
const ALL_NAMES: &str = "*";

/// Names that an operator may edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope<T> {
    /// All names.
    All,
    /// Only these names.
    Only(BTreeSet<T>),
}

impl<T> Scope<T>
where
    T: Ord,
{
    /// Whether the scope includes the name.
    #[must_use]
    pub fn contains(&self, name: &T) -> bool {
        match self {
            Self::All => true,
            Self::Only(names) => names.contains(name),
        }
    }
}

/// An operator and the names that it may edit.
#[derive(Clone, Debug)]
pub struct Operator {
    /// Name of the operator, recorded in the history of edits.
    pub name: name::OperatorName,
    /// Digest of the operator's credential.
    pub digest: lists::KeyDigest,
    /// Accounts that the operator may edit.
    pub accounts: Scope<name::AccountName>,
    /// Plans that the operator may edit.
    pub plans: Scope<name::PlanName>,
}

/// Credentials that the host accepts.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// Secret shared by all hosts of the fleet to authenticate links.
    pub link: secret::Secret,
    /// Operators. Invariant: names and digests are unique.
    pub operators: Vec<Operator>,
}

impl Credentials {
    pub(super) fn read(mut reader: reader::Reader<'_>) -> Option<Self> {
        let link = read_secret(&mut reader, "link");
        let operators = reader.items_with("operators", read_operator);
        if let Some(operators) = &operators {
            check_unique(&mut reader, operators);
        }
        reader.close();
        Some(Self {
            link: link?,
            operators: operators?,
        })
    }
}

fn read_secret(reader: &mut reader::Reader<'_>, field: &'static str) -> Option<secret::Secret> {
    let Some(text) = reader.required(field)?.as_str() else {
        reader.report(field, "expected a string");
        return None;
    };
    let secret = secret::Secret::new(text);
    if secret.is_none() {
        let min = secret::MIN_SECRET_LEN;
        reader.report(field, format_args!("shorter than {min} bytes"));
    }
    secret
}

fn read_operator(
    place: String,
    value: &Value,
    findings: &mut Vec<settings::Finding>,
) -> Option<Operator> {
    let mut reader = reader::Reader::new(place, value, findings)?;
    let name = reader.typed("name");
    let digest = reader.typed("digest");
    let accounts = read_scope(&mut reader, "accounts");
    let plans = read_scope(&mut reader, "plans");
    reader.close();
    Some(Operator {
        name: name?,
        digest: digest?,
        accounts: accounts?,
        plans: plans?,
    })
}

fn read_scope<T>(reader: &mut reader::Reader<'_>, field: &'static str) -> Option<Scope<T>>
where
    T: serde::de::DeserializeOwned + Ord,
{
    let is_all = |item: &Value| item.as_str() == Some(ALL_NAMES);
    if let Some([item]) = reader
        .optional(field)
        .and_then(Value::as_array)
        .map(Vec::as_slice)
        && is_all(item)
    {
        return Some(Scope::All);
    }
    let names: Vec<T> = reader.items(field)?;
    Some(Scope::Only(names.into_iter().collect()))
}

fn check_unique(reader: &mut reader::Reader<'_>, operators: &[Operator]) {
    for (i, operator) in operators.iter().enumerate() {
        let earlier = &operators[..i];
        if earlier.iter().any(|other| other.name == operator.name) {
            reader.report(
                &format!("operators[{i}].name"),
                "names another operator too",
            );
        }
        if earlier.iter().any(|other| other.digest == operator.digest) {
            reader.report(
                &format!("operators[{i}].digest"),
                "belongs to another operator too",
            );
        }
    }
}
