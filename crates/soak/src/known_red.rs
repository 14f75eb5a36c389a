//! Promises that are known to be broken, and for what reason that is passed over.

use std::path::Path;

use eyre::WrapErr as _;

/// Start of the line of `KNOWN-RED.txt` that names a promise of the soak.
const ENTRY: &str = "test: soak ";

/// Promises whose breaks are printed and passed over.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct KnownRed {
    promises: Vec<String>,
}

impl KnownRed {
    /// Reads the entries of a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read.
    pub(crate) fn load(path: &Path) -> eyre::Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("cannot read {}", path.display()))?;
        Ok(Self::parse(&text))
    }

    /// The entries of a text.
    pub(crate) fn parse(text: &str) -> Self {
        let promises = text.lines().filter_map(|line| line.strip_prefix(ENTRY));
        Self {
            promises: promises.map(str::to_owned).collect(),
        }
    }

    /// Whether a broken promise is one that is listed: its text begins with the whole name, and a colon.
    pub(crate) fn lists(&self, broken: &str) -> bool {
        let is_meant = |promise: &String| {
            let rest = broken.strip_prefix(promise.as_str());
            rest.is_some_and(|rest| rest.starts_with(':'))
        };
        self.promises.iter().any(is_meant)
    }
}

#[cfg(test)]
mod tests;
