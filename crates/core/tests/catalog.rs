//! Lookup of routes and accounts, weighted targets, and replacement of the catalog.

use std::time::Duration;

use pistachiochute_core::catalog::{
    Account, Accounts, CallerLimits, Catalog, Content, CurrentCatalog, RequestKind, Route, Service,
    ServiceIndex, Target, UpdateResult, Version,
};
use pistachiochute_core::lists::KeyDigest;
use pistachiochute_core::rate_limits::RequestRate;
use smallvec::smallvec;

fn route(name: &str, authority: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        authority: authority.into(),
        prefix: prefix.into(),
        kind: RequestKind::Idempotent,
        timeout: None,
        target_latency: None,
        priority: 1,
        targets: smallvec![Target {
            service: ServiceIndex(0),
            weight: 1,
        }],
        max_attempts: 1,
        is_public: false,
    }
}

fn content(version: u64, routes: Vec<Route>) -> Content {
    Content {
        version: Version(version),
        routes,
        services: vec![Service {
            name: "reader".into(),
            max_connections: 10,
            memory_tokens: None,
            cold_rate: None,
        }],
        accounts: Accounts::Keyed(vec![Account {
            name: "farm".into(),
            key_digests: vec![KeyDigest::of(b"key-1"), KeyDigest::of(b"key-2")],
            priority: Some(2),
        }]),
        limits: CallerLimits {
            max_head_bytes: 1_000,
            max_body_bytes: 1_000,
            head_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
    }
}

#[test]
fn longest_prefix_wins() {
    let routes = vec![
        route("root", "a.example", "/"),
        route("outer", "a.example", "/x/"),
        route("inner", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ];
    let catalog = Catalog::new(content(1, routes));
    let name = |authority: &str, path: &str| catalog.route(authority, path).map(|r| &*r.name);
    assert_eq!(name("a.example", "/x/y/z/w"), Some("inner"));
    assert_eq!(name("a.example", "/x/y"), Some("outer"));
    assert_eq!(name("a.example", "/xy/z"), Some("root"));
    assert_eq!(name("A.Example:8080", "/x/"), Some("outer"));
    assert_eq!(name("b.example", "/x/y"), None);
    assert_eq!(name("c.example", "/x/"), None);
}

#[test]
fn accounts_are_found_by_api_key() {
    let catalog = Catalog::new(content(1, Vec::new()));
    assert!(catalog.account_of_key(b"key-2").is_some());
    assert!(catalog.account_of_key(b"key-3").is_none());
}

#[test]
fn current_version_never_decreases() {
    let mut current = CurrentCatalog::default();
    assert_eq!(
        current.update(content(7, Vec::new())),
        UpdateResult::Applied
    );
    assert_eq!(
        current.update(content(3, Vec::new())),
        UpdateResult::NotNewer
    );
    assert_eq!(
        current.update(content(7, Vec::new())),
        UpdateResult::NotNewer
    );
    assert_eq!(current.version(), Some(Version(7)));
    assert_eq!(
        current.update(content(20, Vec::new())),
        UpdateResult::Applied
    );
}

#[test]
fn targets_get_requests_by_weight() {
    let mut split = route("split", "a.example", "/");
    split.targets = smallvec![
        Target {
            service: ServiceIndex(0),
            weight: 9_000,
        },
        Target {
            service: ServiceIndex(1),
            weight: 1_000,
        },
    ];
    let to_second = (0..10_000).filter(|seed| split.target(*seed) == ServiceIndex(1));
    assert_eq!(to_second.count(), 1_000);
}

/// Another host sends a catalog before the store does, without the cold rates: they are taken from the store.
#[test]
fn catalog_of_a_host_is_completed_by_the_store() {
    let stored = |version| {
        let mut content = content(version, Vec::new());
        content.services[0].cold_rate = Some(RequestRate::per_second(17.0));
        content
    };
    let mut current = CurrentCatalog::default();
    assert!(!current.complete(stored(3)));
    current.update(content(3, Vec::new()));
    assert!(!current.complete(stored(2)) && !current.complete(stored(4)));
    assert!(!current.complete(content(3, Vec::new())));
    assert!(current.complete(stored(3)));
    let rate = current
        .get()
        .and_then(|catalog| catalog.content().services[0].cold_rate);
    assert_eq!(rate, Some(RequestRate::per_second(17.0)));
    assert!(!current.complete(stored(3)), "nothing is missing");
}
