//! Regression bounds, read from one file that states the promise or target behind each.

use std::collections::BTreeMap;
use std::fmt;

use eyre::WrapErr as _;

use crate::figure;

/// The bounds file, built into the program so that every run uses the same bounds.
const BOUNDS: &str = include_str!("../bounds.json");

/// Limit of a figure.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Limit {
    /// The value is at most this.
    AtMost(f64),
    /// The value is at least this.
    AtLeast(f64),
}

impl Limit {
    /// Whether the value keeps the limit. A value that is not a number keeps none.
    #[must_use]
    pub fn is_met_by(self, value: f64) -> bool {
        match self {
            Self::AtMost(limit) => value <= limit,
            Self::AtLeast(limit) => value >= limit,
        }
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AtMost(limit) => write!(f, "<= {limit}"),
            Self::AtLeast(limit) => write!(f, ">= {limit}"),
        }
    }
}

/// Bound of a figure and the promise or target that it comes from.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Limit of the value.
    pub limit: Limit,
    /// Promise or target that the limit comes from.
    pub source: String,
}

/// Bounds by the name of their figure.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
#[serde(transparent)]
pub struct Bounds(BTreeMap<String, Bound>);

impl Bounds {
    /// Reads the bounds that are built into the program.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is not a map of bounds.
    pub fn load() -> eyre::Result<Self> {
        serde_json::from_str(BOUNDS).wrap_err("bounds.json")
    }

    /// Names of the figures that have a bound.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    /// Compares a reading with its bound.
    #[must_use]
    pub fn evaluate(&self, reading: &figure::Reading) -> figure::Figure {
        let bound = self.0.get(reading.name);
        figure::Figure {
            name: reading.name.to_owned(),
            value: reading.value,
            unit: reading.unit.to_owned(),
            baseline: reading.baseline,
            bound: bound.map(|bound| bound.limit.to_string()),
            ok: bound.is_none_or(|bound| bound.limit.is_met_by(reading.value)),
        }
    }

    /// Figures that have a bound and are not among those measured. Their value is not a number,
    /// which keeps no bound.
    #[must_use]
    pub fn unmeasured(&self, measured: &[figure::Figure]) -> Vec<figure::Figure> {
        let missing = |name: &&String| measured.iter().all(|figure| figure.name != **name);
        let figure = |name: &String| figure::Figure {
            name: name.clone(),
            value: f64::NAN,
            unit: String::new(),
            baseline: None,
            bound: Some(self.0[name].limit.to_string()),
            ok: false,
        };
        self.0.keys().filter(missing).map(figure).collect()
    }
}
