//! Findings of the verifier, each with its place.

use std::fmt;

use crate::{lists, name, units};

/// JsonPointer of a finding in a document with the members `accounts` and `plans`, as a JSON pointer
/// (RFC 6901).
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(transparent)]
pub struct JsonPointer(String);

impl JsonPointer {
    /// The whole document.
    #[must_use]
    pub const fn root() -> Self {
        Self(String::new())
    }

    /// JsonPointer of a member of the object at this place.
    #[must_use]
    pub fn member(&self, key: &str) -> Self {
        let escaped = key.replace('~', "~0").replace('/', "~1");
        Self(format!("{}/{escaped}", self.0))
    }

    /// JsonPointer of an element of the array at this place.
    #[must_use]
    pub fn element(&self, index: usize) -> Self {
        Self(format!("{}/{index}", self.0))
    }

    /// The pointer as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for JsonPointer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            f.write_str("(document)")
        } else {
            f.write_str(&self.0)
        }
    }
}

/// What is wrong at a place.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum FindingKind {
    /// The text is not JSON.
    Syntax {
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// What the parser expected.
        cause: String,
    },
    /// The document or a part of it is larger than the bound.
    TooLarge {
        /// Size found, in bytes or entries.
        size: usize,
        /// Largest size allowed.
        max: usize,
    },
    /// The key stands twice in its object.
    DuplicateKey,
    /// The value has another type.
    WrongType {
        /// Type that the field has.
        expected: &'static str,
        /// Type that was found.
        found: &'static str,
    },
    /// The field does not exist.
    UnknownField {
        /// Fields that exist.
        known: &'static [&'static str],
    },
    /// A required field is missing.
    MissingField {
        /// Name of the field.
        field: &'static str,
    },
    /// The text is not a name.
    BadName,
    /// The text is not a SHA-256 digest in hexadecimal.
    BadDigest,
    /// The number is outside its range.
    OutOfRange {
        /// Number found.
        value: u64,
        /// Smallest number allowed.
        min: u64,
        /// Largest number allowed.
        max: u64,
    },
    /// The element stands twice in its array.
    Repeated,
    /// No plan has this name.
    UnknownPlan {
        /// Name of the plan.
        plan: name::PlanName,
    },
    /// Another account, or this one, has the same key digest.
    DuplicateDigest {
        /// JsonPointer of the first one.
        first: JsonPointer,
    },
    /// No engine can serve the model.
    UnreachableModel {
        /// Name of the model.
        model: name::ModelName,
    },
    /// No endpoint serves the service.
    UnreachableService {
        /// Name of the service.
        service: name::ServiceName,
    },
    /// The plan holds no model and no service.
    NothingToUse,
    /// The longest answer exceeds the tokens a minute.
    AnswerExceedsRate {
        /// Longest answer of the plan.
        longest: units::Tokens,
        /// Tokens a minute of the plan.
        rate: units::PerMinute,
    },
}

impl fmt::Display for FindingKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Syntax {
                line,
                column,
                cause,
            } => write!(f, "not JSON at line {line} column {column}: {cause}"),
            Self::TooLarge { size, max } => write!(f, "size {size} exceeds {max}"),
            Self::DuplicateKey => f.write_str("the key stands twice in its object"),
            Self::WrongType { expected, found } => write!(f, "expected {expected}, found {found}"),
            Self::UnknownField { known } => {
                write!(f, "unknown field; known are {}", known.join(", "))
            }
            Self::MissingField { field } => write!(f, "field {field:?} is missing"),
            Self::BadName => write!(
                f,
                "not a name: 1 to {} of a-z, 0-9, '.', '_', '-', first a letter or digit",
                name::MAX_NAME_LEN
            ),
            Self::BadDigest => fmt::Display::fmt(&lists::ParseDigestError, f),
            Self::OutOfRange { value, min, max } => {
                write!(f, "{value} is not between {min} and {max}")
            }
            Self::Repeated => f.write_str("the element stands twice in its array"),
            Self::UnknownPlan { plan } => write!(f, "plan {plan} does not exist"),
            Self::DuplicateDigest { first } => write!(f, "the key digest also stands at {first}"),
            Self::UnreachableModel { model } => write!(f, "no engine can serve model {model}"),
            Self::UnreachableService { service } => {
                write!(f, "no endpoint serves service {service}")
            }
            Self::NothingToUse => f.write_str("the plan holds no model and no service"),
            Self::AnswerExceedsRate { longest, rate } => write!(
                f,
                "the longest answer of {longest} tokens exceeds the {rate} tokens a minute"
            ),
        }
    }
}

/// A fault and its place.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub struct Finding {
    /// Where.
    pub place: JsonPointer,
    /// What.
    pub fault: FindingKind,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.fault)
    }
}
