//! Costs of each role, measured at several sizes and carried to the size to design for.
//!
//! The processor times and memory are read from the machine, so they differ from run to run and
//! have no bound. `docs/CAPACITY.md` quotes the table that [`table`] makes.

mod fit;
mod roles;
mod sample;
mod streams;

use std::fmt::Write as _;

use crate::figure;

pub use fit::Line;

/// Cost of one role by size.
#[derive(Clone, Debug, PartialEq)]
pub struct Slope {
    /// Name of the figure at the size to design for.
    pub name: &'static str,
    /// Role that bears the cost.
    pub role: &'static str,
    /// What is measured, with its unit.
    pub cost: &'static str,
    /// What the size counts.
    pub size: &'static str,
    /// Sizes with the cost measured at each.
    pub points: Vec<(f64, f64)>,
    /// Unit of the cost.
    pub unit: &'static str,
    /// Size to design for.
    pub design: f64,
}

impl Slope {
    /// Line through the points.
    #[must_use]
    pub fn line(&self) -> Line {
        Line::fit(&self.points)
    }

    /// Cost at the size to design for.
    #[must_use]
    pub fn at_design(&self) -> f64 {
        self.line().at(self.design)
    }
}

/// Measures every slope.
///
/// # Errors
///
/// Returns an error if a message cannot be encoded or the memory of the process cannot be read.
pub fn measure() -> eyre::Result<Vec<Slope>> {
    // Memory first: memory that other work has freed would be used again without being seen.
    let lists_memory = roles::lists_memory()?;
    let entry_memory = roles::entry_memory()?;
    let origins_memory = streams::origins_memory()?;
    Ok(vec![
        roles::entry_time(),
        entry_memory,
        roles::owner_time(),
        roles::queue_time(),
        roles::forward_time()?,
        roles::frame_time()?,
        roles::member_time(),
        roles::member_bytes()?,
        roles::lists_time(),
        lists_memory,
        roles::journal_time()?,
        roles::journal_bytes()?,
        origins_memory,
    ])
}

/// Costs at the size to design for, without bounds.
///
/// # Errors
///
/// As for [`measure`].
pub fn run() -> eyre::Result<Vec<figure::Reading>> {
    let slopes = measure()?;
    let reading = |slope: &Slope| figure::Reading {
        name: slope.name,
        value: slope.at_design(),
        unit: slope.unit,
        baseline: None,
    };
    Ok(slopes.iter().map(reading).collect())
}

/// Makes the table of the capacity page.
#[must_use]
pub fn table(slopes: &[Slope]) -> String {
    let mut table = String::from(
        "| role | cost | measured at | fixed | per unit | at the size to design for |\n\
         |---|---|---|---|---|---|\n",
    );
    for slope in slopes {
        let line = slope.line();
        let points: Vec<_> = slope
            .points
            .iter()
            .map(|(size, cost)| format!("{size}: {cost:.0}"))
            .collect();
        // Writing to a text cannot fail.
        let _ = writeln!(
            table,
            "| {} | {}, {} | {} by {} | {:.0} | {:.3} | {:.0} at {} |",
            slope.role,
            slope.cost,
            slope.unit,
            points.join(", "),
            slope.size,
            line.fixed,
            line.per_unit,
            slope.at_design(),
            slope.design,
        );
    }
    table
}
