//! Findings of the verifier, each with its location in the document.

use std::fmt;

use crate::{lists, name, units};

/// Location of a finding as a JSON pointer (RFC 6901) into a document with the members `accounts`
/// and `plans`.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(transparent)]
pub struct JsonPointer(String);

impl JsonPointer {
    /// Pointer to the whole document.
    #[must_use]
    pub const fn root() -> Self {
        Self(String::new())
    }

    /// Pointer to a member of the object that this pointer refers to.
    #[must_use]
    pub fn member(&self, key: &str) -> Self {
        let escaped = key.replace('~', "~0").replace('/', "~1");
        Self(format!("{}/{escaped}", self.0))
    }

    /// Pointer to an element of the array that this pointer refers to.
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

/// Kind of a finding. Operators see the text of its `Display`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum FindingKind {
    /// The text is not valid JSON.
    Syntax {
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// Error of the parser.
        cause: String,
    },
    /// The document or an array exceeds its maximum size.
    TooLarge {
        /// Actual size, in bytes of the document or elements of the array.
        size: usize,
        /// Maximum size.
        max: usize,
    },
    /// The object has the key more than once.
    DuplicateKey,
    /// The value has the wrong type.
    WrongType {
        /// Expected type.
        expected: &'static str,
        /// Actual type.
        found: &'static str,
    },
    /// The entry has no such field.
    UnknownField {
        /// Valid fields.
        known: &'static [&'static str],
    },
    /// A required field is missing.
    MissingField {
        /// Name of the field.
        field: &'static str,
    },
    /// The text is not a valid name.
    BadName,
    /// The text is not a SHA-256 digest in hexadecimal.
    BadDigest,
    /// The number is outside its range.
    OutOfRange {
        /// Actual number.
        value: u64,
        /// Minimum.
        min: u64,
        /// Maximum.
        max: u64,
    },
    /// The array has the element more than once.
    Repeated,
    /// No plan has this name.
    UnknownPlan {
        /// Name of the plan.
        plan: name::PlanName,
    },
    /// The same key digest occurs earlier, in another account or in this one.
    DuplicateDigest {
        /// Location of the first occurrence.
        first: JsonPointer,
    },
    /// No engine serves the model.
    UnreachableModel {
        /// Name of the model.
        model: name::ModelName,
    },
    /// No endpoint serves the service.
    UnreachableService {
        /// Name of the service.
        service: name::ServiceName,
    },
    /// The plan has neither a model nor a service.
    NothingToUse,
    /// The maximum length of an answer exceeds the limit of tokens per minute.
    AnswerExceedsRate {
        /// Maximum length of an answer.
        longest: units::Tokens,
        /// Limit of tokens per minute.
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

/// A finding of the verifier.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub struct Finding {
    /// Location in the document.
    pub place: JsonPointer,
    /// Kind of the finding.
    pub fault: FindingKind,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.fault)
    }
}
