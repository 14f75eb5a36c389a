//! Least-squares lines.

/// A line of cost by size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Cost at size zero.
    pub fixed: f64,
    /// Cost of one more unit of size.
    pub per_unit: f64,
}

impl Line {
    /// Fits a line to points of size and cost.
    ///
    /// # Panics
    ///
    /// Panics if there are fewer than two points or all have the same size.
    #[must_use]
    pub fn fit(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / n;
        let mean_cost = points.iter().map(|(_, cost)| cost).sum::<f64>() / n;
        let covariance: f64 = points
            .iter()
            .map(|(size, cost)| (size - mean_size) * (cost - mean_cost))
            .sum();
        let variance: f64 = points
            .iter()
            .map(|(size, _)| (size - mean_size).powi(2))
            .sum();
        assert!(variance > 0.0, "a line needs points of two sizes");
        let per_unit = covariance / variance;
        Self {
            fixed: mean_cost - per_unit * mean_size,
            per_unit,
        }
    }

    /// Cost at a size.
    #[must_use]
    pub fn at(self, size: f64) -> f64 {
        self.fixed + self.per_unit * size
    }
}
