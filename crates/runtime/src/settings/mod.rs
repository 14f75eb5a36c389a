//! Settings of the daemon, read from JSON and fully validated.
//!
//! [`Settings::parse`] reports every fault, not only the first, each with its JSON path. Unknown
//! fields, wrong types, values out of range and contradictory values are all findings. The sections
//! `host`, `listen`, `platform` and `credentials` are required; the other sections and each of
//! their fields have defaults, which are declared in one place per section. Operators find the
//! settings documented in `docs/operators/settings.md`.

mod credentials;
mod document;
mod finding;
pub mod reader;
mod scalar;
mod secret;

use std::{fmt, fs, net, path};

use pistachiochute_core::entity;

pub use credentials::{Credentials, Operator, Scope};
pub use finding::Finding;
pub use scalar::{Bounds, DocRow, Journal, Polls, Retry, Routing, Timeouts};
pub use secret::{MIN_SECRET_LEN, Secret};

/// Longest display name of a host, in bytes.
pub const MAX_DISPLAY_NAME_LEN: usize = 64;

/// Identity and location of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Id of the host in the host list of the platform.
    pub id: entity::HostId,
    /// Failure domain of the host.
    pub domain: entity::DomainId,
    /// Region of the failure domain.
    pub region: entity::RegionId,
    /// Display name that log lines carry in addition to the id.
    pub name: Option<String>,
}

/// Addresses that the host listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listen {
    /// Address for callers.
    pub callers: net::SocketAddr,
    /// Address for operators, health checks and metrics.
    pub admin: net::SocketAddr,
    /// Address for the links from other hosts.
    pub links: net::SocketAddr,
}

/// Services of the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// Addresses of the key-value service. Invariant: at least one, without repeats.
    pub key_value: Vec<net::SocketAddr>,
    /// Address of the host list.
    pub host_list: net::SocketAddr,
    /// Polling intervals and timeouts of calls.
    pub polls: Polls,
}

/// Settings of one host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identity and location of the host.
    pub host: Host,
    /// Addresses that the host listens on.
    pub listen: Listen,
    /// Services of the platform.
    pub platform: Platform,
    /// Credentials that the host accepts.
    pub credentials: Credentials,
    /// Limits on requests of callers.
    pub bounds: Bounds,
    /// Selection of endpoints.
    pub routing: Routing,
    /// Timeouts. Invariant: `connect` and `stall` are at most `request`, `ping` is at most
    /// `stall`, and `drain` is at least `request`.
    pub timeouts: Timeouts,
    /// Limits on retries.
    pub retry: Retry,
    /// Journal of at-most-once actions.
    pub journal: Journal,
    /// Least severe level that is logged.
    pub log_level: slog::Level,
}

impl Settings {
    /// Reads settings from a JSON file.
    ///
    /// # Errors
    ///
    /// Returns all findings if there are any. A file that cannot be read is a finding.
    pub fn load(file: &path::Path) -> Result<Self, Vec<Finding>> {
        match fs::read_to_string(file) {
            Ok(text) => Self::parse(&text),
            Err(e) => Err(vec![document_finding(&e)]),
        }
    }

    /// Reads settings from JSON text.
    ///
    /// # Errors
    ///
    /// Returns all findings if there are any.
    pub fn parse(text: &str) -> Result<Self, Vec<Finding>> {
        let document = document::parse(text).map_err(|e| vec![document_finding(&e)])?;
        let mut findings = Vec::new();
        let settings = reader::Reader::new("$".to_owned(), &document, &mut findings).and_then(read);
        match settings {
            Some(settings) if findings.is_empty() => Ok(settings),
            _ => Err(findings),
        }
    }

    /// Rows of the settings documentation for every field that has a default.
    #[must_use]
    pub fn doc_rows() -> Vec<DocRow> {
        let mut rows = Polls::doc_rows();
        rows.extend(Bounds::doc_rows());
        rows.extend(Routing::doc_rows());
        rows.extend(Timeouts::doc_rows());
        rows.extend(Retry::doc_rows());
        rows.extend(Journal::doc_rows());
        rows
    }
}

/// Finding about the entire document.
fn document_finding<E>(e: &E) -> Finding
where
    E: fmt::Display,
{
    Finding {
        place: "$".to_owned(),
        fault: e.to_string(),
    }
}

fn read(mut reader: reader::Reader<'_>) -> Option<Settings> {
    let host = reader.section("host").and_then(read_host);
    let listen = reader.section("listen").and_then(read_listen);
    let platform = reader.section("platform").and_then(read_platform);
    let credentials = reader.section("credentials").and_then(Credentials::read);
    let bounds = read_scalars(&mut reader, Bounds::SECTION, Bounds::read);
    let routing = read_scalars(&mut reader, Routing::SECTION, Routing::read);
    let timeouts = read_scalars(&mut reader, Timeouts::SECTION, Timeouts::read);
    let retry = read_scalars(&mut reader, Retry::SECTION, Retry::read);
    let journal = read_scalars(&mut reader, Journal::SECTION, Journal::read);
    let log_level = read_log_level(&mut reader);
    if let Some(timeouts) = &timeouts {
        check_timeouts(&mut reader, timeouts);
    }
    reader.close();
    Some(Settings {
        host: host?,
        listen: listen?,
        platform: platform?,
        credentials: credentials?,
        bounds: bounds?,
        routing: routing?,
        timeouts: timeouts?,
        retry: retry?,
        journal: journal?,
        log_level: log_level?,
    })
}

/// Reads an optional section in which every field has a default.
fn read_scalars<T, F>(reader: &mut reader::Reader<'_>, section: &'static str, read: F) -> Option<T>
where
    T: Default,
    F: FnOnce(&mut reader::Reader<'_>) -> Option<T>,
{
    if reader.optional(section).is_none() {
        return Some(T::default());
    }
    let mut section = reader.section(section)?;
    let scalars = read(&mut section);
    section.close();
    scalars
}

fn read_host(mut reader: reader::Reader<'_>) -> Option<Host> {
    let id = reader.typed("id");
    let domain = reader.typed("domain");
    let region = reader.typed("region");
    let name = read_display_name(&mut reader);
    reader.close();
    Some(Host {
        id: id?,
        domain: domain?,
        region: region?,
        name: name?,
    })
}

fn read_display_name(reader: &mut reader::Reader<'_>) -> Option<Option<String>> {
    if reader.optional("name").is_none() {
        return Some(None);
    }
    let name: String = reader.typed("name")?;
    if name.is_empty() || name.len() > MAX_DISPLAY_NAME_LEN {
        let fault = format_args!("expected 1 to {MAX_DISPLAY_NAME_LEN} bytes");
        reader.report("name", fault);
        return None;
    }
    Some(Some(name))
}

fn read_log_level(reader: &mut reader::Reader<'_>) -> Option<slog::Level> {
    const FIELD: &str = "log_level";
    if reader.optional(FIELD).is_none() {
        return Some(slog::Level::Info);
    }
    let name: String = reader.typed(FIELD)?;
    match &*name {
        "error" => Some(slog::Level::Error),
        "warning" => Some(slog::Level::Warning),
        "info" => Some(slog::Level::Info),
        "debug" => Some(slog::Level::Debug),
        _ => {
            reader.report(FIELD, "expected one of error, warning, info, debug");
            None
        }
    }
}

fn read_listen(mut reader: reader::Reader<'_>) -> Option<Listen> {
    let callers = reader.typed("callers");
    let admin = reader.typed("admin");
    let links = reader.typed("links");
    let given = [("callers", callers), ("admin", admin), ("links", links)];
    for (i, (name, addr)) in given.iter().enumerate() {
        let Some(addr): &Option<net::SocketAddr> = addr else {
            continue;
        };
        // The system assigns a free port for port 0, so these addresses do not collide.
        let same = |other: &&(_, _)| addr.port() != 0 && other.1 == Some(*addr);
        if let Some((other, _)) = given[..i].iter().find(same) {
            reader.report(name, format_args!("{addr} is the address of {other} too"));
        }
    }
    reader.close();
    Some(Listen {
        callers: callers?,
        admin: admin?,
        links: links?,
    })
}

fn read_platform(mut reader: reader::Reader<'_>) -> Option<Platform> {
    let key_value: Option<Vec<net::SocketAddr>> = reader.items("key_value");
    if let Some(addrs) = &key_value {
        check_addrs(&mut reader, addrs);
    }
    let host_list = reader.typed("host_list");
    let polls = Polls::read(&mut reader);
    reader.close();
    Some(Platform {
        key_value: key_value?,
        host_list: host_list?,
        polls: polls?,
    })
}

fn check_addrs(reader: &mut reader::Reader<'_>, addrs: &[net::SocketAddr]) {
    if addrs.is_empty() {
        reader.report("key_value", "expected at least one address");
    }
    for (i, addr) in addrs.iter().enumerate() {
        if addrs[..i].contains(addr) {
            reader.report(
                &format!("key_value[{i}]"),
                format_args!("{addr} is given twice"),
            );
        }
    }
}

fn check_timeouts(reader: &mut reader::Reader<'_>, timeouts: &Timeouts) {
    if timeouts.connect > timeouts.request {
        reader.report("timeouts.connect_ms", "larger than request_ms");
    }
    if timeouts.stall > timeouts.request {
        reader.report("timeouts.stall_ms", "larger than request_ms");
    }
    if timeouts.ping > timeouts.stall {
        reader.report("timeouts.ping_ms", "larger than stall_ms");
    }
    if timeouts.drain < timeouts.request {
        let fault = "smaller than request_ms: a planned stop would cut requests off";
        reader.report("timeouts.drain_ms", fault);
    }
}
