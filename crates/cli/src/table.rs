//! Tables of text with aligned columns.

/// Space between two columns.
const GAP: &str = "  ";

/// A table with one heading per column.
#[derive(Debug)]
pub(crate) struct Table {
    /// Invariant: each row has as many cells as the first, which holds the headings.
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Makes a table with headings.
    pub(crate) fn new(headings: &[&str]) -> Self {
        let headings = headings.iter().map(|&text| text.to_owned()).collect();
        Self {
            rows: vec![headings],
        }
    }

    /// Adds a row.
    pub(crate) fn push(&mut self, row: Vec<String>) {
        assert_eq!(row.len(), self.rows[0].len(), "cells of a row");
        self.rows.push(row);
    }

    /// Prints the table on standard output.
    pub(crate) fn print(&self) {
        let columns = self.rows[0].len();
        let width = |column: usize| {
            self.rows
                .iter()
                .map(|row| row[column].chars().count())
                .max()
        };
        let widths: Vec<_> = (0..columns).map(|i| width(i).unwrap_or(0)).collect();
        for row in &self.rows {
            let cells: Vec<_> = row
                .iter()
                .zip(&widths)
                .map(|(cell, &width)| format!("{cell:width$}"))
                .collect();
            println!("{}", cells.join(GAP).trim_end());
        }
    }
}
