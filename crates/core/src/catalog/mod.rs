//! The catalog: routes, services and client accounts, under one version.
//!
//! Every source of configuration is decoded into a [`Catalog`]. A host replaces its catalog only by
//! one with a larger version ([`CurrentCatalog::update`]), so that a stale read, a delayed event or
//! an outdated peer cannot bring an older one back.

pub mod changes;
mod current;
mod lag;
mod model;
mod routes;
pub mod verify;

pub use current::{CurrentCatalog, UpdateResult};
pub use lag::Lag;
pub use model::{
    Account, AccountIndex, Accounts, CallerLimits, Content, RequestKind, Route, RouteIndex,
    Service, ServiceIndex, Target, Version,
};
pub use routes::RouteTable;

use std::collections::HashMap;

use crate::lists;

/// The content of a catalog with the indexes for looking up routes and accounts.
#[derive(Clone, Debug)]
pub struct Catalog {
    content: Content,
    routes: RouteTable,
    accounts_by_key: HashMap<lists::KeyDigest, AccountIndex>,
}

impl Catalog {
    /// Builds the indexes of a content.
    #[must_use]
    pub fn new(content: Content) -> Self {
        let routes = RouteTable::new(&content.routes);
        let mut accounts_by_key = HashMap::new();
        for (i, account) in content.accounts.as_slice().iter().enumerate() {
            for digest in &account.key_digests {
                accounts_by_key.insert(*digest, AccountIndex(i as u32));
            }
        }
        Self {
            content,
            routes,
            accounts_by_key,
        }
    }

    /// Version of the catalog.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.content.version
    }

    /// Content without the indexes, the form that is sent to other hosts.
    #[must_use]
    pub const fn content(&self) -> &Content {
        &self.content
    }

    /// Route of a request: the one with the longest prefix of its path among the routes of its
    /// host name.
    #[must_use]
    pub fn route(&self, authority: &str, path: &str) -> Option<&Route> {
        let index = self.routes.find(authority, path)?;
        Some(&self.content.routes[index.0 as usize])
    }

    /// Returns the service at an index.
    ///
    /// # Panics
    ///
    /// Panics if the index is not from this catalog.
    #[must_use]
    pub fn service(&self, index: ServiceIndex) -> &Service {
        &self.content.services[index.0 as usize]
    }

    /// Account that an API key belongs to.
    #[must_use]
    pub fn account_of_key(&self, key: &[u8]) -> Option<&Account> {
        let digest = lists::KeyDigest::of(key);
        let index = self.accounts_by_key.get(&digest)?;
        Some(&self.content.accounts.as_slice()[index.0 as usize])
    }

    /// Whether requests to routes that are not public need an API key.
    #[must_use]
    pub const fn needs_keys(&self) -> bool {
        match self.content.accounts {
            Accounts::Open => false,
            Accounts::Keyed(_) => true,
        }
    }
}
