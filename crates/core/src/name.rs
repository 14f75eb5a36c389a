//! Names in the lists and credentials of operators: accounts, plans, models, services, operators.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::de::Error as _;

/// Longest name, in bytes.
pub const MAX_NAME_LEN: usize = 64;

/// Error for a text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseNameError {
    /// The rejected text.
    pub text: String,
}

impl fmt::Display for ParseNameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is not a name: 1 to {MAX_NAME_LEN} of a-z, 0-9, '.', '_', '-', first a letter or digit",
            self.text
        )
    }
}

impl std::error::Error for ParseNameError {}

fn is_name(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit();
    let inner = |b: u8| plain(b) || matches!(b, b'.' | b'_' | b'-');
    text.len() <= MAX_NAME_LEN && text.bytes().next().is_some_and(plain) && text.bytes().all(inner)
}

macro_rules! name {
    ($(#[$attr:meta])* $name:ident) => {
        $(#[$attr])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(
            /// Invariant: satisfies the rule in the message of [`ParseNameError`].
            Arc<str>,
        );

        impl $name {
            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseNameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                if is_name(text) {
                    Ok(Self(text.into()))
                } else {
                    Err(ParseNameError { text: text.to_owned() })
                }
            }
        }

        impl serde::Serialize for $name {
            fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
            where
                S: serde::Serializer,
            {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
            where
                D: serde::Deserializer<'de>,
            {
                let text = String::deserialize(deserializer)?;
                text.parse().map_err(D::Error::custom)
            }
        }
    };
}

name! {
    /// Name of a client account.
    AccountName
}
name! {
    /// Name of a plan.
    PlanName
}
name! {
    /// Name of a model that engines serve.
    ModelName
}
name! {
    /// Name of a plain service.
    ServiceName
}
name! {
    /// Name of an operator, who edits the lists.
    OperatorName
}
