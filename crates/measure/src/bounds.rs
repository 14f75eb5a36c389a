//! Regression bounds of figures.
//!
//! All bounds are in `bounds.json`, each with the guarantee or target that it is derived from.

use std::collections::BTreeMap;
use std::fmt;

use eyre::WrapErr as _;

use crate::figure;

/// Contents of the bounds file, embedded so that every run uses the same bounds.
const BOUNDS: &str = include_str!("../bounds.json");

/// Limit of a figure.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Limit {
    /// Upper limit, inclusive.
    AtMost(f64),
    /// Lower limit, inclusive.
    AtLeast(f64),
}

impl Limit {
    /// Whether the value is within the limit. NaN never is.
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

/// Bound of a figure, with its justification.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bound {
    /// Limit of the value.
    pub limit: Limit,
    /// Guarantee or target that the limit is derived from.
    pub source: String,
}

/// Bounds by figure name.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
#[serde(transparent)]
pub struct Bounds(BTreeMap<String, Bound>);

impl Bounds {
    /// Parses the embedded bounds file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file is not a JSON object of bounds by figure name.
    pub fn load() -> eyre::Result<Self> {
        serde_json::from_str(BOUNDS).wrap_err("bounds.json")
    }

    /// Names of the figures that have a bound.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    /// Compares a reading with its bound. A reading without a bound passes.
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

    /// Returns a failed figure with the value NaN for each bound whose figure is missing from
    /// `measured`.
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
