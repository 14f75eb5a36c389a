//! Parses entries from JSON and collects findings on their structure and values.

use std::collections::BTreeSet;
use std::str::FromStr;

use super::finding::{Finding, FindingKind, JsonPointer};
use super::json::Node;
use crate::{lists, name, units};

/// Maximum number of API keys of an account.
pub const MAX_KEYS: usize = 16;

/// Maximum number of models, and of services, of a plan.
pub const MAX_TARGETS: usize = 256;

/// Maximum of each limit of a plan: units per minute, concurrent requests, or tokens of an answer.
pub const MAX_LIMIT: u64 = 1 << 40;

/// Maximum weight of a plan.
pub const MAX_WEIGHT: u64 = 10_000;

const ACCOUNT_FIELDS: &[&str] = &["plan", "key_digests"];

const PLAN_FIELDS: &[&str] = &[
    "models",
    "services",
    "requests_per_minute",
    "tokens_per_minute",
    "in_flight",
    "priority",
    "weight",
    "longest_answer",
];

/// An account whose fields may be missing because of findings.
#[derive(Debug, Default)]
pub(super) struct AccountDraft {
    pub(super) plan: Option<name::PlanName>,
    /// Digests in the order of the text, `None` for each invalid one.
    pub(super) digests: Vec<Option<lists::KeyDigest>>,
}

impl AccountDraft {
    /// Returns the account if every field is valid.
    pub(super) fn finish(self) -> Option<lists::Account> {
        Some(lists::Account {
            plan: self.plan?,
            key_digests: self.digests.into_iter().collect::<Option<_>>()?,
        })
    }
}

/// A plan whose fields may be missing because of findings.
#[derive(Debug, Default)]
pub(super) struct PlanDraft {
    /// Models in the order of the text, `None` for each invalid one.
    pub(super) models: Vec<Option<name::ModelName>>,
    /// Services in the order of the text, `None` for each invalid one.
    pub(super) services: Vec<Option<name::ServiceName>>,
    requests_per_minute: Option<u64>,
    pub(super) tokens_per_minute: Option<u64>,
    in_flight: Option<u64>,
    priority: Option<u64>,
    weight: Option<u64>,
    pub(super) longest_answer: Option<u64>,
}

impl PlanDraft {
    /// Returns the plan if every field is valid.
    pub(super) fn finish(self) -> Option<lists::Plan> {
        Some(lists::Plan {
            models: self.models.into_iter().collect::<Option<_>>()?,
            services: self.services.into_iter().collect::<Option<_>>()?,
            requests_per_minute: units::PerMinute(self.requests_per_minute?),
            tokens_per_minute: units::PerMinute(self.tokens_per_minute?),
            in_flight: units::Requests(self.in_flight?),
            priority: u8::try_from(self.priority?).ok()?,
            weight: u32::try_from(self.weight?).ok()?,
            longest_answer: units::Tokens(self.longest_answer?),
        })
    }
}

/// Parser of entries. It continues after a finding, to report all of them.
#[derive(Debug, Default)]
pub(super) struct Reader {
    pub(super) findings: Vec<Finding>,
}

impl Reader {
    pub(super) fn report(&mut self, place: &JsonPointer, fault: FindingKind) {
        self.findings.push(Finding {
            place: place.clone(),
            fault,
        });
    }

    /// Returns the members of an object. Of members with the same key, only the first is returned.
    pub(super) fn members<'n>(
        &mut self,
        place: &JsonPointer,
        node: &'n Node,
    ) -> Vec<(&'n str, &'n Node)> {
        let Node::Object(members) = node else {
            self.wrong_type(place, "an object", node);
            return Vec::new();
        };
        let mut seen = BTreeSet::new();
        let mut kept = Vec::new();
        for (key, value) in members {
            if seen.insert(key) {
                kept.push((key.as_str(), value));
            } else {
                self.report(&place.member(key), FindingKind::DuplicateKey);
            }
        }
        kept
    }

    pub(super) fn name<N>(&mut self, place: &JsonPointer, text: &str) -> Option<N>
    where
        N: FromStr<Err = name::ParseNameError>,
    {
        let name = text.parse().ok();
        if name.is_none() {
            self.report(place, FindingKind::BadName);
        }
        name
    }

    pub(super) fn account(&mut self, place: &JsonPointer, node: &Node) -> AccountDraft {
        let mut draft = AccountDraft::default();
        let members = self.fields(place, node, ACCOUNT_FIELDS, ACCOUNT_FIELDS);
        for (key, value) in members {
            let place = place.member(key);
            match key {
                "plan" => draft.plan = self.text(&place, value).and_then(|t| self.name(&place, t)),
                "key_digests" => draft.digests = self.digests(&place, value),
                _ => {}
            }
        }
        draft
    }

    pub(super) fn plan(&mut self, place: &JsonPointer, node: &Node) -> PlanDraft {
        let mut draft = PlanDraft {
            priority: Some(0),
            weight: Some(1),
            ..PlanDraft::default()
        };
        let required = &[
            "requests_per_minute",
            "tokens_per_minute",
            "in_flight",
            "longest_answer",
        ];
        let members = self.fields(place, node, PLAN_FIELDS, required);
        for (key, value) in members {
            let place = place.member(key);
            match key {
                "models" => draft.models = self.names(&place, value),
                "services" => draft.services = self.names(&place, value),
                "requests_per_minute" => {
                    draft.requests_per_minute = self.number(&place, value, 1, MAX_LIMIT);
                }
                "tokens_per_minute" => {
                    draft.tokens_per_minute = self.number(&place, value, 1, MAX_LIMIT);
                }
                "in_flight" => draft.in_flight = self.number(&place, value, 1, MAX_LIMIT),
                "priority" => draft.priority = self.number(&place, value, 0, u64::from(u8::MAX)),
                "weight" => draft.weight = self.number(&place, value, 1, MAX_WEIGHT),
                "longest_answer" => draft.longest_answer = self.number(&place, value, 1, MAX_LIMIT),
                _ => {}
            }
        }
        draft
    }

    /// Returns the members of an entry, and reports unknown and missing fields.
    fn fields<'n>(
        &mut self,
        place: &JsonPointer,
        node: &'n Node,
        known: &'static [&'static str],
        required: &[&'static str],
    ) -> Vec<(&'n str, &'n Node)> {
        let members = self.members(place, node);
        for (key, _) in &members {
            if !known.contains(key) {
                self.report(&place.member(key), FindingKind::UnknownField { known });
            }
        }
        if matches!(node, Node::Object(_)) {
            for field in required {
                if !members.iter().any(|(key, _)| key == field) {
                    self.report(place, FindingKind::MissingField { field });
                }
            }
        }
        members
    }

    fn digests(&mut self, place: &JsonPointer, node: &Node) -> Vec<Option<lists::KeyDigest>> {
        self.elements(place, node, MAX_KEYS, |reader, place, node| {
            let text = reader.text(place, node)?;
            let digest = text.parse().ok();
            if digest.is_none() {
                reader.report(place, FindingKind::BadDigest);
            }
            digest
        })
    }

    fn names<N>(&mut self, place: &JsonPointer, node: &Node) -> Vec<Option<N>>
    where
        N: FromStr<Err = name::ParseNameError> + Ord + Clone,
    {
        let names = self.elements(place, node, MAX_TARGETS, |reader, place, node| {
            let text = reader.text(place, node)?;
            reader.name::<N>(place, text)
        });
        let mut seen = BTreeSet::new();
        for (i, name) in names.iter().enumerate() {
            if name.as_ref().is_some_and(|name| !seen.insert(name)) {
                self.report(&place.element(i), FindingKind::Repeated);
            }
        }
        names
    }

    fn elements<V, F>(
        &mut self,
        place: &JsonPointer,
        node: &Node,
        max: usize,
        read: F,
    ) -> Vec<Option<V>>
    where
        F: Fn(&mut Self, &JsonPointer, &Node) -> Option<V>,
    {
        let Node::Array(nodes) = node else {
            self.wrong_type(place, "an array", node);
            return vec![None];
        };
        if nodes.len() > max {
            let size = nodes.len();
            self.report(place, FindingKind::TooLarge { size, max });
        }
        let elements = nodes.iter().take(max).enumerate();
        elements
            .map(|(i, node)| read(self, &place.element(i), node))
            .collect()
    }

    fn number(&mut self, place: &JsonPointer, node: &Node, min: u64, max: u64) -> Option<u64> {
        let Node::Integer(value) = *node else {
            self.wrong_type(place, "a whole number", node);
            return None;
        };
        if (min..=max).contains(&value) {
            return Some(value);
        }
        self.report(place, FindingKind::OutOfRange { value, min, max });
        None
    }

    fn text<'n>(&mut self, place: &JsonPointer, node: &'n Node) -> Option<&'n str> {
        let Node::Text(text) = node else {
            self.wrong_type(place, "a text", node);
            return None;
        };
        Some(text)
    }

    fn wrong_type(&mut self, place: &JsonPointer, expected: &'static str, node: &Node) {
        let found = node.kind();
        self.report(place, FindingKind::WrongType { expected, found });
    }
}
