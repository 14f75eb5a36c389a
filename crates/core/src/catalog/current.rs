//! The catalog in force on a host.

use std::sync::Arc;

use crate::catalog;

/// What became of an offered catalog.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateResult {
    /// It is in force now.
    Applied,
    /// The one in force is as new or newer.
    NotNewer,
}

/// The catalog in force. Its version never goes down.
#[derive(Clone, Debug, Default)]
pub struct CurrentCatalog {
    catalog: Option<Arc<catalog::Catalog>>,
}

impl CurrentCatalog {
    /// Takes over a catalog if it is newer than the one in force.
    pub fn update(&mut self, content: catalog::Content) -> UpdateResult {
        if self.version() >= Some(content.version) {
            return UpdateResult::NotNewer;
        }
        self.catalog = Some(Arc::new(catalog::Catalog::new(content)));
        UpdateResult::Applied
    }

    /// Version in force, or `None` before the first catalog.
    #[must_use]
    pub fn version(&self) -> Option<catalog::Version> {
        self.catalog.as_ref().map(|c| c.version())
    }

    /// Catalog in force.
    #[must_use]
    pub const fn get(&self) -> Option<&Arc<catalog::Catalog>> {
        self.catalog.as_ref()
    }
}
