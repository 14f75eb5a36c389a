//! Entries that the operator and the endpoints write to the platform's store.

use std::net::SocketAddr;

use serde_json::{Value, json};

use crate::platform::caller::Version;

/// Key of the configuration.
pub const CONFIG_KEY: &str = "op/config";

/// Path at which the platform asks a host whether it is ready.
pub const READY_PATH: &str = "/pistachiochute/ready";

/// Path at which a host asks an endpoint for a report on itself.
pub const REPORT_PATH: &str = "/pistachiochute/report";

/// Header with the id of the endpoint that a request is for.
pub const EXPECTED_ENDPOINT: &str = "x-expect-instance";

/// Status line and headers of the answer to a request that an endpoint runs, with its seal if it has one, as far as they
/// are the platform's. The rest of the head follows.
#[must_use]
pub fn run_head(
    version: Version,
    status: u16,
    request: &str,
    weights: u64,
    seal: Option<&str>,
) -> String {
    let seal = seal.map_or_else(String::new, |seal| format!("X-Response-Seal: {seal}\r\n"));
    format!(
        "{version} {status} Status\r\nX-Request-Id: {request}\r\nX-Weight-Versions: {weights}\r\n{seal}"
    )
}

/// Status line and headers of the answer of an endpoint to what it does not run. The rest of the head follows.
#[must_use]
pub fn head_outside_runs(status: u16, request: &str, endpoint: &str) -> String {
    format!("HTTP/1.1 {status} Status\r\nX-Request-Id: {request}\r\nX-Instance-Id: {endpoint}\r\n")
}

/// A route of the configuration. Its prefix is its name between slashes.
#[derive(Clone, Copy, Debug)]
pub struct Route<'a> {
    /// Name of the route.
    pub name: &'a str,
    /// Kind, in the platform's spelling.
    pub kind: &'a str,
    /// Service that handles its requests.
    pub service: &'a str,
    /// Maximum number of endpoints that a request may be sent to.
    pub attempts: u32,
    /// Whether its streams may be resumed.
    pub resumes: bool,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
}

impl Route<'_> {
    /// The route in the format of the configuration.
    #[must_use]
    pub fn record(&self) -> Value {
        json!({
            "name": self.name, "host": "a.example", "prefix": format!("/{}/", self.name),
            "kind": self.kind, "timeoutMs": self.timeout_ms, "targetLatencyMs": 500, "priority": 1,
            "service": self.service, "maxAttempts": self.attempts, "authExempt": false,
            "sticky": true, "streamResume": self.resumes,
        })
    }
}

/// A configuration with one client account.
#[derive(Clone, Copy, Debug)]
pub struct Config<'a> {
    /// Version.
    pub version: u64,
    /// Records of the routes.
    pub routes: &'a [Value],
    /// Names of the services.
    pub services: &'a [&'a str],
    /// API keys of the client account.
    pub keys: &'a [&'a str],
    /// Idle timeout of callers' connections, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Config<'_> {
    /// The configuration in the platform's format.
    #[must_use]
    pub fn record(&self) -> Value {
        let service =
            |name: &&str| json!({"name": name, "healthPath": "/health", "maxConnections": 400});
        let services: Vec<_> = self.services.iter().map(service).collect();
        json!({
            "version": self.version, "routes": self.routes, "services": services,
            "limits": {
                "maxHeaderBytes": 16_384, "maxBodyBytes": 100_000, "headerTimeoutMs": 3_000,
                "idleTimeoutMs": self.idle_timeout_ms,
            },
            "tenants": [{"name": "farm", "apiKeys": self.keys, "priority": 3}],
        })
    }
}

/// Key of an endpoint's entry in the store.
#[must_use]
pub fn entry_key(id: &str) -> String {
    format!("servers/{id}")
}

/// Software version in the entries of endpoints that tests give none.
pub const VERSION: &str = "v1";

/// Start of the process in the entries of endpoints that tests give none, in milliseconds since the
/// Unix epoch.
pub const STARTED_AT_MS: u64 = 1_000;

/// An endpoint's entry in the store.
#[derive(Clone, Copy, Debug)]
pub struct Entry<'a> {
    /// Service that the endpoint belongs to.
    pub service: &'a str,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// State, in the platform's spelling.
    pub state: &'a str,
    /// Software version.
    pub version: &'a str,
    /// Start of the process, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Sequence number of the write within the life of the process.
    pub sequence: u64,
}

impl Entry<'_> {
    /// The entry in the format of the store.
    #[must_use]
    pub fn record(&self) -> Value {
        json!({
            "service": self.service, "address": self.address, "zone": "dom-a",
            "version": self.version, "slots": 8, "state": self.state, "coldRemainingMs": 0,
            "sequence": self.sequence, "born": self.started_at_ms,
        })
    }
}

/// The entry of an endpoint with [`VERSION`] and [`STARTED_AT_MS`].
#[must_use]
pub fn entry(service: &str, address: SocketAddr, state: &str, sequence: u64) -> Value {
    let entry = Entry {
        service,
        address,
        state,
        version: VERSION,
        started_at_ms: STARTED_AT_MS,
        sequence,
    };
    entry.record()
}
