//! The list of faults that are known and not yet mended.
//!
//! Entries are blocks of `test:`, `command:`, `seen:` and `issue:` lines with blank lines between
//! them. A figure is listed as `test: measure NAME`.

use std::{fs, path};

use eyre::WrapErr as _;

/// Start of the `test` line of a figure.
const FIGURE: &str = "measure ";

/// A known fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Entry {
    /// The test or figure that fails.
    pub(crate) test: String,
    /// Command that shows the fault.
    pub(crate) command: String,
    /// What was seen.
    pub(crate) seen: String,
    /// Issue that the fault belongs to.
    pub(crate) issue: String,
}

/// The known faults.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct KnownRed {
    entries: Vec<Entry>,
}

impl KnownRed {
    /// Reads the list from a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or a block is not an entry.
    pub(crate) fn load(file: &path::Path) -> eyre::Result<Self> {
        let text = fs::read_to_string(file).wrap_err_with(|| file.display().to_string())?;
        Self::parse(&text).wrap_err_with(|| file.display().to_string())
    }

    fn parse(text: &str) -> eyre::Result<Self> {
        let blocks = text.split("\n\n").filter(|block| !block.trim().is_empty());
        let entries: eyre::Result<_> = blocks.map(parse_entry).collect();
        Ok(Self { entries: entries? })
    }

    /// Entry of a figure.
    pub(crate) fn figure(&self, name: &str) -> Option<&Entry> {
        self.entries
            .iter()
            .find(|entry| entry.test.strip_prefix(FIGURE) == Some(name))
    }
}

fn parse_entry(block: &str) -> eyre::Result<Entry> {
    let mut lines = block.trim().lines();
    let mut field = |name: &str| -> eyre::Result<String> {
        lines
            .next()
            .and_then(|line| line.strip_prefix(name)?.strip_prefix(':'))
            .map(|value| value.trim().to_owned())
            .filter(|value| !value.is_empty())
            .ok_or_else(|| eyre::eyre!("expected a line `{name}: ...` in the entry:\n{block}"))
    };
    let entry = Entry {
        test: field("test")?,
        command: field("command")?,
        seen: field("seen")?,
        issue: field("issue")?,
    };
    if let Some(line) = lines.next() {
        eyre::bail!("unexpected line {line:?} after the entry");
    }
    Ok(entry)
}
