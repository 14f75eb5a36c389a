//! Lookup of the route of a request.

use std::collections::HashMap;
use std::sync::Arc;

use crate::catalog;

/// Routes by host name and path prefix.
///
/// A lookup does one hash table access per segment of the path, independent of the number of
/// routes.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    by_authority: HashMap<Arc<str>, HashMap<Arc<str>, catalog::RouteIndex>>,
}

impl RouteTable {
    /// Indexes routes. Of two routes with the same host name and prefix, the later one is used.
    #[must_use]
    pub fn new(routes: &[catalog::Route]) -> Self {
        let mut table = Self::default();
        for (i, route) in routes.iter().enumerate() {
            table
                .by_authority
                .entry(route.authority.clone())
                .or_default()
                .insert(route.prefix.clone(), catalog::RouteIndex(i as u32));
        }
        table
    }

    /// Finds the route with the longest prefix of the path. `authority` may have a port and
    /// uppercase letters.
    #[must_use]
    pub fn find(&self, authority: &str, path: &str) -> Option<catalog::RouteIndex> {
        let name = host_name(authority);
        let prefixes = match self.by_authority.get(name) {
            Some(prefixes) => prefixes,
            None => self.by_authority.get(&*name.to_ascii_lowercase())?,
        };
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            if let Some(index) = prefixes.get(&rest[..=slash]) {
                return Some(*index);
            }
            rest = &rest[..slash];
        }
        None
    }
}

/// Host name of an authority, without its port.
fn host_name(authority: &str) -> &str {
    match authority.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => authority,
    }
}
