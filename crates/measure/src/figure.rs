//! Named values that a measurement produces, before and after comparison with their bounds.

/// A measured value, before it is compared with its bound.
#[derive(Clone, Debug, PartialEq)]
pub struct Reading {
    /// Name of the figure, stable from release to release.
    pub name: &'static str,
    /// Measured value.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
    /// Value of the baseline algorithm under the same load, if there is a baseline.
    pub baseline: Option<f64>,
}

/// A measured value with its bound and verdict.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Figure {
    /// Name of the figure.
    pub name: String,
    /// Measured value.
    pub value: f64,
    /// Unit of the value.
    pub unit: String,
    /// Value of the baseline algorithm under the same load, if there is a baseline.
    pub baseline: Option<f64>,
    /// Bound of the value as text, such as `>= 0.95`, or `None` if the figure is only reported.
    pub bound: Option<String>,
    /// Whether the value is within its bound. True for a figure without a bound.
    pub ok: bool,
}
