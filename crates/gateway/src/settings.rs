//! Settings of a gateway host, parsed from JSON and validated as a whole.

use std::time::Duration;
use std::{fs, net, path};

use pistachiochute_core::{directory, memory, retry};
use pistachiochute_runtime::settings::{Finding, reader};

/// Identity of the host in the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Name, unique in the fleet.
    pub name: String,
    /// Failure domain.
    pub domain: String,
}

/// Addresses that the host listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// For requests of callers.
    pub callers: net::SocketAddr,
    /// For health checks of the load balancer.
    pub health: net::SocketAddr,
    /// For the links from other hosts.
    pub links: net::SocketAddr,
    /// For metrics.
    pub metrics: net::SocketAddr,
}

/// Key-value store of the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Store {
    /// Address.
    pub address: net::SocketAddr,
    /// Time to live of the lease of this host's entry: the store removes the entry of a host that
    /// has not renewed it for that long.
    pub lease: Duration,
}

/// Machine that the host runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Memory that the process may use, in MiB.
    pub memory_mb: u32,
    /// Descriptors that the process may open.
    pub max_fds: u32,
    /// Speed of its network link, in megabits a second, if it is known.
    pub link_mbps: Option<u32>,
}

/// Settings of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Identity of the host.
    pub host: Host,
    /// Machine that the host runs on. Without it, nothing bounds what is held for callers.
    pub machine: Option<Machine>,
    /// Addresses to listen on.
    pub listen: Listen,
    /// The store.
    pub store: Store,
    /// Retry budget of the whole fleet.
    pub retry: retry::FleetBudget,
    /// Time from the store's acknowledgement that an endpoint leaves to the last request that any host sends
    /// to it.
    pub drain: directory::DrainBudget,
    /// Longest duration of a graceful stop. Requests that have not ended by then are cut off.
    pub stop_timeout: Duration,
    /// Whether the whole fleet starts for the first time, so that the caches of all engines are
    /// empty.
    pub is_first_start: bool,
}

/// Lower bound of the lease of a host's entry, in milliseconds.
const MIN_LEASE_MS: u64 = 1_000;

/// Upper bound of the lease of a host's entry, in milliseconds.
const MAX_LEASE_MS: u64 = 600_000;

/// Upper bound of the time in which endpoints that leave go out of use, in milliseconds.
const MAX_DRAIN_MS: u64 = 60_000;

/// Upper bound of the duration of a graceful stop, in seconds.
const MAX_STOP_TIMEOUT_S: u64 = 3_600;

impl Settings {
    /// Limits of what is held for callers.
    #[must_use]
    pub fn limits(&self) -> memory::Limits {
        self.machine.map_or(memory::Limits::NONE, |machine| {
            let bytes = (machine.memory_mb as usize) << 20;
            memory::Limits::of_machine(bytes, machine.max_fds as usize)
        })
    }

    /// Loads settings from a JSON file.
    ///
    /// # Errors
    ///
    /// Returns all findings. A file that cannot be read is a finding.
    pub fn load(file: &path::Path) -> Result<Self, Vec<Finding>> {
        match fs::read_to_string(file) {
            Ok(text) => Self::parse(&text),
            Err(e) => Err(vec![document_finding(e.to_string())]),
        }
    }

    /// Parses settings from JSON text.
    ///
    /// # Errors
    ///
    /// Returns all findings.
    pub fn parse(text: &str) -> Result<Self, Vec<Finding>> {
        let document: serde_json::Value =
            serde_json::from_str(text).map_err(|e| vec![document_finding(e.to_string())])?;
        let mut findings = Vec::new();
        let settings = reader::Reader::new("$".to_owned(), &document, &mut findings).and_then(read);
        match settings {
            Some(settings) if findings.is_empty() => Ok(settings),
            _ => Err(findings),
        }
    }
}

/// Creates a finding about the whole document.
fn document_finding(fault: String) -> Finding {
    Finding {
        place: "$".to_owned(),
        fault,
    }
}

fn read(mut reader: reader::Reader<'_>) -> Option<Settings> {
    let host = reader.section("host").and_then(read_host);
    let listen = reader.section("listen").and_then(read_listen);
    let store = reader.section("store").and_then(read_store);
    let retry = reader.section("retry").and_then(read_retry);
    let machine = match reader.optional("machine") {
        Some(_) => Some(reader.section("machine").and_then(read_machine)?),
        None => None,
    };
    let drain = reader.scalar(
        "drain_ms",
        2_000,
        directory::DrainBudget::MIN_MS..=MAX_DRAIN_MS,
    );
    let stop_timeout = reader.scalar("stop_s", 8, 1..=MAX_STOP_TIMEOUT_S);
    let is_first_start = match reader.optional("first_start") {
        Some(_) => reader.typed("first_start"),
        None => Some(false),
    };
    reader.close();
    Some(Settings {
        host: host?,
        machine,
        listen: listen?,
        store: store?,
        retry: retry?,
        drain: directory::DrainBudget::new(Duration::from_millis(drain?)),
        stop_timeout: Duration::from_secs(stop_timeout?),
        is_first_start: is_first_start?,
    })
}

fn read_host(mut reader: reader::Reader<'_>) -> Option<Host> {
    let name = reader.typed("name");
    let domain = reader.typed("domain");
    reader.close();
    Some(Host {
        name: name?,
        domain: domain?,
    })
}

fn read_machine(mut reader: reader::Reader<'_>) -> Option<Machine> {
    let memory_mb = reader.typed("memory_mb");
    let max_fds = reader.typed("max_fds");
    let link_mbps = match reader.optional("link_mbps") {
        Some(_) => Some(reader.scalar("link_mbps", 0.0, 0.1..=1e6)?),
        None => None,
    };
    reader.close();
    Some(Machine {
        memory_mb: memory_mb?,
        max_fds: max_fds?,
        link_mbps: link_mbps.map(|mbps: f64| mbps.ceil() as u32),
    })
}

fn read_listen(mut reader: reader::Reader<'_>) -> Option<Listen> {
    let callers = reader.typed("callers");
    let health = reader.typed("health");
    let links = reader.typed("links");
    let metrics = reader.typed("metrics");
    reader.close();
    Some(Listen {
        callers: callers?,
        health: health?,
        links: links?,
        metrics: metrics?,
    })
}

fn read_store(mut reader: reader::Reader<'_>) -> Option<Store> {
    let address = reader.typed("address");
    let lease = reader.scalar("lease_ms", 6_000, MIN_LEASE_MS..=MAX_LEASE_MS);
    reader.close();
    Some(Store {
        address: address?,
        lease: Duration::from_millis(lease?),
    })
}

fn read_retry(mut reader: reader::Reader<'_>) -> Option<retry::FleetBudget> {
    let ratio = reader.scalar("ratio", 0.1, 0.0..=10.0);
    let extra = reader.scalar("extra", 0.0, 0.0..=1e9);
    reader.close();
    Some(retry::FleetBudget {
        ratio: ratio?,
        extra: extra?,
    })
}
