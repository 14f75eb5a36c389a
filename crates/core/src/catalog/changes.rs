//! Differences between two versions of a catalog.
//!
//! Routes, services and accounts are the same in both if they have the same name.

use std::collections::{BTreeMap, HashSet};
use std::fmt;
use std::sync::Arc;

use crate::catalog::verify::{
    AccountField, Fault, Finding, LimitField, Place, RouteField, ServiceField,
};
use crate::catalog::{
    Account, AccountIndex, Content, RequestKind, Route, RouteIndex, Service, ServiceIndex,
};

/// How a part differs from the version in force. Names no API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Difference {
    /// It is new.
    Added,
    /// It is gone. The place is one of the version in force.
    Removed,
    /// It has another value.
    Changed {
        /// The value in force.
        from: String,
        /// The value that replaces it.
        to: String,
    },
    /// API keys that are new or gone.
    Keys {
        /// Number of keys that are new.
        added: usize,
        /// Number of keys that are gone.
        removed: usize,
    },
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Added => f.write_str("added"),
            Self::Removed => f.write_str("removed"),
            Self::Changed { from, to } => write!(f, "{from} becomes {to}"),
            Self::Keys { added, removed } => {
                write!(f, "{added} API keys added, {removed} removed")
            }
        }
    }
}

/// A part that differs from the version in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Where it stands: in the new version, or in the one in force if it is gone.
    pub place: Place,
    /// Name of the route, service or account, or of the limit.
    pub name: Arc<str>,
    /// How it differs.
    pub difference: Difference,
}

/// Returns what differs in `new` from the version in force, and a finding if hosts would ignore `new`.
#[must_use]
pub fn compare(in_force: &Content, new: &Content) -> (Vec<Change>, Option<Finding>) {
    let mut changes = Vec::new();
    compare_routes(in_force, new, &mut changes);
    compare_services(in_force, new, &mut changes);
    compare_accounts(in_force, new, &mut changes);
    compare_limits(in_force, new, &mut changes);
    let fault = Fault::NotNewer {
        in_force: in_force.version,
    };
    let is_ignored = new.version <= in_force.version;
    let finding = is_ignored.then(|| Finding::new(Place::Version, fault));
    (changes, finding)
}

/// Collects the changed fields of one part.
struct Fields<'a> {
    name: &'a Arc<str>,
    changes: &'a mut Vec<Change>,
}

impl Fields<'_> {
    fn compare<T>(&mut self, place: Place, from: T, to: T)
    where
        T: PartialEq + fmt::Display,
    {
        if from == to {
            return;
        }
        self.changes.push(Change {
            place,
            name: self.name.clone(),
            difference: Difference::Changed {
                from: from.to_string(),
                to: to.to_string(),
            },
        });
    }
}

/// Reports parts that only one version has, and calls `both` with those that are in both.
fn match_by_name<'a, T, N, P, B>(
    (old, new): (&'a [T], &'a [T]),
    name: N,
    place: P,
    changes: &mut Vec<Change>,
    mut both: B,
) where
    N: Fn(&'a T) -> &'a Arc<str>,
    P: Fn(usize) -> Place,
    B: FnMut(&'a T, usize, &'a T, &mut Vec<Change>),
{
    let mut left: BTreeMap<_, _> = BTreeMap::new();
    for (i, part) in old.iter().enumerate() {
        left.insert(name(part), (i, part));
    }
    let push = |changes: &mut Vec<Change>, part, i, difference| {
        let name = name(part).clone();
        let place = place(i);
        changes.push(Change {
            place,
            name,
            difference,
        });
    };
    for (i, part) in new.iter().enumerate() {
        match left.remove(name(part)) {
            Some((_, old)) => both(old, i, part, changes),
            None => push(changes, part, i, Difference::Added),
        }
    }
    let mut gone: Vec<_> = left.into_values().collect();
    gone.sort_by_key(|(i, _)| *i);
    for (i, part) in gone {
        push(changes, part, i, Difference::Removed);
    }
}

fn compare_routes(in_force: &Content, new: &Content, changes: &mut Vec<Change>) {
    let place = |i| Place::Route(RouteIndex(i as u32), RouteField::Name);
    let parts = (&in_force.routes[..], &new.routes[..]);
    match_by_name(
        parts,
        |r| &r.name,
        place,
        changes,
        |old, i, route, changes| {
            let at = |field| Place::Route(RouteIndex(i as u32), field);
            let mut fields = Fields {
                name: &route.name,
                changes,
            };
            fields.compare(at(RouteField::Authority), &old.authority, &route.authority);
            fields.compare(at(RouteField::Prefix), &old.prefix, &route.prefix);
            fields.compare(at(RouteField::Kind), kind(old.kind), kind(route.kind));
            fields.compare(
                at(RouteField::Targets),
                targets(in_force, old),
                targets(new, route),
            );
            fields.compare(
                at(RouteField::Timeout),
                optional(old.timeout),
                optional(route.timeout),
            );
            fields.compare(
                at(RouteField::TargetLatency),
                optional(old.target_latency),
                optional(route.target_latency),
            );
            fields.compare(at(RouteField::Priority), old.priority, route.priority);
            let attempts = (old.max_attempts, route.max_attempts);
            fields.compare(at(RouteField::MaxAttempts), attempts.0, attempts.1);
            fields.compare(at(RouteField::IsPublic), access(old), access(route));
        },
    );
}

fn compare_services(in_force: &Content, new: &Content, changes: &mut Vec<Change>) {
    let place = |i| Place::Service(ServiceIndex(i as u32), ServiceField::Name);
    let parts = (&in_force.services[..], &new.services[..]);
    let cold_rate = |service: &Service| service.cold_rate.map(|rate| rate.as_per_second());
    match_by_name(
        parts,
        |s| &s.name,
        place,
        changes,
        |old, i, service, changes| {
            let at = |field| Place::Service(ServiceIndex(i as u32), field);
            let mut fields = Fields {
                name: &service.name,
                changes,
            };
            fields.compare(
                at(ServiceField::MaxConnections),
                old.max_connections,
                service.max_connections,
            );
            fields.compare(
                at(ServiceField::Memory),
                optional(old.memory_tokens),
                optional(service.memory_tokens),
            );
            fields.compare(
                at(ServiceField::ColdRate),
                optional(cold_rate(old)),
                optional(cold_rate(service)),
            );
        },
    );
}

fn compare_accounts(in_force: &Content, new: &Content, changes: &mut Vec<Change>) {
    let place = |i| Place::Account(AccountIndex(i as u32), AccountField::Name);
    let parts = (in_force.accounts.as_slice(), new.accounts.as_slice());
    match_by_name(
        parts,
        |a| &a.name,
        place,
        changes,
        |old, i, account, changes| {
            let at = |field| Place::Account(AccountIndex(i as u32), field);
            let mut fields = Fields {
                name: &account.name,
                changes,
            };
            fields.compare(
                at(AccountField::Priority),
                optional(old.priority),
                optional(account.priority),
            );
            if let Some(difference) = compare_keys(old, account) {
                changes.push(Change {
                    place: at(AccountField::Keys),
                    name: account.name.clone(),
                    difference,
                });
            }
        },
    );
}

fn compare_keys(old: &Account, new: &Account) -> Option<Difference> {
    let old: HashSet<_> = old.key_digests.iter().collect();
    let new: HashSet<_> = new.key_digests.iter().collect();
    let (added, removed) = (new.difference(&old).count(), old.difference(&new).count());
    (added + removed > 0).then_some(Difference::Keys { added, removed })
}

fn compare_limits(in_force: &Content, new: &Content, changes: &mut Vec<Change>) {
    let name = "limits".into();
    let mut fields = Fields {
        name: &name,
        changes,
    };
    let (old, new) = (&in_force.limits, &new.limits);
    let sizes = [
        (
            LimitField::HeadBytes,
            old.max_head_bytes,
            new.max_head_bytes,
        ),
        (
            LimitField::BodyBytes,
            old.max_body_bytes,
            new.max_body_bytes,
        ),
    ];
    for (field, from, to) in sizes {
        fields.compare(Place::Limit(field), from, to);
    }
    let times = [
        (LimitField::HeadTimeout, old.head_timeout, new.head_timeout),
        (LimitField::IdleTimeout, old.idle_timeout, new.idle_timeout),
    ];
    for (field, from, to) in times {
        fields.compare(Place::Limit(field), format!("{from:?}"), format!("{to:?}"));
    }
}

/// Services of a route with their weights, as text.
fn targets(content: &Content, route: &Route) -> String {
    let target = |target: &crate::catalog::Target| {
        let service = &content.services[target.service.0 as usize].name;
        format!("{service}:{}", target.weight)
    };
    let targets: Vec<_> = route.targets.iter().map(target).collect();
    targets.join(" ")
}

const fn kind(kind: RequestKind) -> &'static str {
    match kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::AtMostOnce => "at most once",
        RequestKind::Stream => "stream",
        RequestKind::ResumableStream => "resumable stream",
    }
}

const fn access(route: &Route) -> &'static str {
    match route.is_public {
        true => "public",
        false => "by API key",
    }
}

fn optional<T>(value: Option<T>) -> String
where
    T: fmt::Debug,
{
    value.map_or_else(|| "unset".to_owned(), |value| format!("{value:?}"))
}
