//! Configuration that the fleet serves, and its changes.

use pistachiochute_standins::platform::records;

use crate::{crashes, evacuations, processes, rollouts, versions};

/// Timeout of the routes with short answers, in milliseconds.
const TIMEOUT_MS: u64 = 4_000;

/// Timeout of the routes with streams of seconds, in milliseconds.
const LONG_TIMEOUT_MS: u64 = 9_000;

/// Idle timeout of callers' connections at the start, in milliseconds.
const IDLE_TIMEOUT_MS: u64 = 3_000;

/// Routes of the large configuration that no request uses.
const MANY_ROUTES: u64 = 480;

/// Keys of another client account, which make the configuration nearly as large as a value of the store may be, and
/// larger than one message between hosts.
const MANY_KEYS: u64 = 38_000;

/// Changes of the size after one of which there are no many keys.
const KEYS_CYCLE: u64 = 4;

/// What changes between versions of the configuration.
pub(super) struct Configuration {
    version: u64,
    /// Routes that were added one by one, and that no request uses.
    pub added_routes: u64,
    pub has_many_routes: bool,
    /// Whether another client account has [`MANY_KEYS`].
    pub has_many_keys: bool,
    /// Idle timeout of callers' connections, in milliseconds.
    pub idle_timeout_ms: u64,
    /// Changes of the size so far.
    size_changes: u64,
}

impl Configuration {
    pub(super) const fn new() -> Self {
        Self {
            version: 0,
            added_routes: 0,
            has_many_routes: false,
            has_many_keys: false,
            idle_timeout_ms: IDLE_TIMEOUT_MS,
            size_changes: 0,
        }
    }

    /// Adds many routes or takes them away. The many keys come with the first of them and stay for a while longer, so
    /// that keys are taken away by versions that are large, and that small ones follow.
    pub(super) fn toggle_size(&mut self) {
        self.has_many_routes = !self.has_many_routes;
        self.size_changes += 1;
        self.has_many_keys = !self.size_changes.is_multiple_of(KEYS_CYCLE);
    }

    /// Record of the next version, in which the client account has one key.
    pub(super) fn next_record(&mut self, key: &str) -> serde_json::Value {
        self.version += 1;
        let mut routes = vec![
            route("call", "safe", "calls", 3),
            route("once", "unsafe", "calls", 2),
            route("stream", "streaming", "streams", 1),
            route("resumable", "streaming", "streams", 3),
            route("long", "streaming", "streams", 1),
            route("long-resumable", "streaming", "streams", 3),
            route(versions::ROUTE, "streaming", versions::SERVICE, 3),
            route(rollouts::ROUTE, "streaming", rollouts::SERVICE, 3),
            route(crashes::ROUTE, "streaming", crashes::SERVICE, 3),
            route(evacuations::ROUTE, "safe", evacuations::SERVICE, 3),
            route(processes::STREAM_ROUTE, "streaming", processes::SERVICE, 3),
            route(processes::SAFE_ROUTE, "safe", processes::SERVICE, 3),
            route(processes::ONCE_ROUTE, "unsafe", processes::SERVICE, 2),
        ];
        for i in 0..self.unused_routes() {
            routes.push(route(&format!("more-{i}"), "safe", "calls", 1));
        }
        let config = records::Config {
            version: self.version,
            routes: &routes,
            services: &[
                "calls",
                "streams",
                versions::SERVICE,
                rollouts::SERVICE,
                crashes::SERVICE,
                evacuations::SERVICE,
                processes::SERVICE,
            ],
            keys: &[key],
            idle_timeout_ms: self.idle_timeout_ms,
        };
        let mut record = config.record();
        if self.has_many_keys
            && let Some(accounts) = record["tenants"].as_array_mut()
        {
            let keys: Vec<_> = (0..MANY_KEYS).map(|n| format!("k{n:019}")).collect();
            accounts.push(serde_json::json!({"name": "many", "apiKeys": keys, "priority": 3}));
        }
        let services = record["services"].as_array_mut();
        let named = |service: &&mut serde_json::Value| service["name"] == evacuations::SERVICE;
        if let Some(service) = services.and_then(|all| all.iter_mut().find(named)) {
            service["coldPerS"] = evacuations::COLD_RATE.into();
        }
        record
    }

    const fn unused_routes(&self) -> u64 {
        match self.has_many_routes {
            true => self.added_routes + MANY_ROUTES,
            false => self.added_routes,
        }
    }
}

fn route(name: &str, kind: &str, service: &str, attempts: u32) -> serde_json::Value {
    let route = records::Route {
        name,
        kind,
        service,
        attempts,
        resumes: name.ends_with("resumable"),
        timeout_ms: match name.starts_with("long") {
            true => LONG_TIMEOUT_MS,
            false => TIMEOUT_MS,
        },
    };
    route.record()
}
