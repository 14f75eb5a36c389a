//! The current catalog of a host.

use std::sync::Arc;

use crate::catalog;

/// Result of [`CurrentCatalog::update`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateResult {
    /// The new catalog is the current one now.
    Applied,
    /// The current catalog has the same or a larger version and was kept.
    NotNewer,
}

/// The current catalog. Its version never decreases.
#[derive(Clone, Debug, Default)]
pub struct CurrentCatalog {
    catalog: Option<Arc<catalog::Catalog>>,
}

impl CurrentCatalog {
    /// Replaces the current catalog if the new one has a larger version.
    pub fn update(&mut self, content: catalog::Content) -> UpdateResult {
        if self.version() >= Some(content.version) {
            return UpdateResult::NotNewer;
        }
        self.catalog = Some(Arc::new(catalog::Catalog::new(content)));
        UpdateResult::Applied
    }

    /// Replaces the current catalog by one of the same version that names the cold rates, if it came from a
    /// host, which does not send them. Returns whether it did.
    pub fn complete(&mut self, content: catalog::Content) -> bool {
        let names_rates = |content: &catalog::Content| {
            let mut services = content.services.iter();
            services.any(|service| service.cold_rate.is_some())
        };
        let Some(current) = &self.catalog else {
            return false;
        };
        let is_same = current.version() == content.version;
        if !is_same || names_rates(current.content()) || !names_rates(&content) {
            return false;
        }
        self.catalog = Some(Arc::new(catalog::Catalog::new(content)));
        true
    }

    /// Version of the current catalog, or `None` before the first one.
    #[must_use]
    pub fn version(&self) -> Option<catalog::Version> {
        self.catalog.as_ref().map(|c| c.version())
    }

    /// The current catalog, or `None` before the first one.
    #[must_use]
    pub const fn get(&self) -> Option<&Arc<catalog::Catalog>> {
        self.catalog.as_ref()
    }
}
