//! Clients, as PROTOCOL.md describes them, and the operator's configuration.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use crate::http::{self, Connection};
use crate::json::quoted;
use crate::record::Record;

/// Key of the tenant that all configurations hold.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
/// Name of that tenant.
pub const TENANT: &str = "hule930";
pub const PAYMENTS: &str = "comptoir";
pub const MODELS: &str = "lecteur";

/// Route of calls that run at most once.
pub const APPROVE: &str = "/approve/";
/// Route of streams that are not resumed.
pub const LEDGER: &str = "/ledger/";
/// Route of calls that may be repeated.
pub const BALANCE: &str = "/balance/";

/// The operator's configuration, with a version.
pub fn configuration(version: u32) -> String {
    configuration_with(version, &[(TENANT, KEY)])
}

/// The operator's configuration, with a version and tenants, each with its key.
pub fn configuration_with(version: u32, tenants: &[(&str, &str)]) -> String {
    let tenant = |(name, key): &(&str, &str)| {
        format!(
            "{{\"name\":{},\"apiKeys\":[{}],\"priority\":1}}",
            quoted(name),
            quoted(key)
        )
    };
    let tenants: Vec<String> = tenants.iter().map(tenant).collect();
    let tenants = tenants.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-ledger\",\"host\":\"farm.example\",\"prefix\":\"{LEDGER}\",\
         \"kind\":\"streaming\",\"timeoutMs\":15000,\"targetLatencyMs\":1000,\"priority\":1,\
         \"service\":\"{MODELS}\",\"maxAttempts\":1,\"authExempt\":false,\"sticky\":true,\
         \"streamResume\":false,\"gapTargetMs\":600}},\
         {{\"name\":\"r-approve\",\"host\":\"farm.example\",\"prefix\":\"{APPROVE}\",\
         \"kind\":\"unsafe\",\"timeoutMs\":3000,\"targetLatencyMs\":120,\"priority\":2,\
         \"service\":\"{PAYMENTS}\",\"maxAttempts\":1,\"authExempt\":false}},\
         {{\"name\":\"r-balance\",\"host\":\"farm.example\",\"prefix\":\"{BALANCE}\",\
         \"kind\":\"safe\",\"timeoutMs\":15000,\"targetLatencyMs\":10000,\"priority\":2,\
         \"service\":\"{PAYMENTS}\",\"maxAttempts\":2,\"authExempt\":false}}],\
         \"services\":[\
         {{\"name\":\"{MODELS}\",\"healthPath\":\"/health\",\"maxConnections\":370,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kvCapacity\":536661,\
         \"kvTokenBytes\":18432,\"linkMbps\":370000.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"{PAYMENTS}\",\"healthPath\":\"/health\",\"maxConnections\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{tenants}]}}"
    )
}

static NEXT: AtomicU32 = AtomicU32::new(1);

/// An id of its own for each client attempt.
pub fn request_id() -> String {
    format!(
        "{:016x}",
        0x9c41_0000_u64 + u64::from(NEXT.fetch_add(1, Ordering::SeqCst))
    )
}

/// How a request ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// An answer that is whole, with this status.
    Answered(u16),
    /// Its connection ended after the head and so many bytes of the body, before the end of the answer.
    CutOff { bytes: usize },
    /// Its connection ended without an answer.
    NoAnswer,
}

/// Sends a call that runs at most once, and waits for the answer.
pub fn approve(connection: &mut Connection, id: &str, record: &Arc<Record>, host: &str) -> End {
    approve_with(connection, (id, KEY), record, host)
}

/// The same with another key.
pub fn approve_with(
    connection: &mut Connection,
    (id, key): (&str, &str),
    record: &Arc<Record>,
    host: &str,
) -> End {
    let body = b"approve 120.50 EUR";
    let text = format!(
        "POST {APPROVE}pay HTTP/1.1\r\nHost: farm.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 3000\r\nAuthorization: Bearer {key}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    record.add(format!("client sends request {id} to {host}"));
    let end = match connection.send(&text, body, Duration::from_secs(4)) {
        Err(_) => End::NoAnswer,
        Ok(()) => match connection.receive() {
            Ok((head, _)) => End::Answered(head.status()),
            Err(_) => End::NoAnswer,
        },
    };
    record.add(format!("client has for request {id}: {end:?}"));
    end
}

/// Sends a call that may be repeated, and reads its answer. Returns the head and body if it is whole by its
/// framing.
pub fn balance(
    callers: SocketAddr,
    id: &str,
    record: &Arc<Record>,
    host: &str,
) -> Option<(http::Head, Vec<u8>)> {
    let text = format!(
        "GET {BALANCE}look HTTP/1.1\r\nHost: farm.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 15000\r\nAuthorization: Bearer {KEY}\r\n\r\n"
    );
    record.add(format!("client sends request {id} to {host}"));
    let mut connection = Connection::open(callers).ok()?;
    connection.send(&text, b"", Duration::from_secs(17)).ok()?;
    let answer = connection.receive().ok();
    record.add(match &answer {
        Some((head, body)) => format!(
            "client has for request {id}: status {}, seal {}, {} bytes, complete by its framing",
            head.status(),
            head.get("X-Response-Seal").unwrap_or("none"),
            body.len(),
        ),
        None => format!("client has for request {id}: no complete answer"),
    });
    answer
}

/// Opens a connection, sends a request for a stream, and reads the answer to its end.
pub fn ledger(callers: SocketAddr, id: &str, record: &Arc<Record>, host: &str) -> (End, u32) {
    match Connection::open(callers) {
        Err(_) => (End::NoAnswer, 0),
        Ok(mut connection) => read_ledger(&mut connection, id, record, host),
    }
}

fn read_ledger(
    connection: &mut Connection,
    id: &str,
    record: &Arc<Record>,
    host: &str,
) -> (End, u32) {
    // Prompts are about one of many farms each.
    let farm = format!("fa{}", &id[8..]);
    let text = format!(
        "POST {LEDGER}sum HTTP/1.1\r\nHost: farm.example\r\nX-Request-Id: {id}\r\nX-Model: m\r\n\
         X-Token-Usage: 1460,80\r\nX-Prompt-Prefix: 5c1e07a2:210,{farm}:1000,{id}:250\r\n\
         X-Deadline-Ms: 15000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 0\r\n\r\n"
    );
    record.add(format!("client sends request {id} to {host}"));
    let mut bytes = Vec::new();
    let end = match read_stream(connection, &text, &mut bytes) {
        Ok(status) => End::Answered(status),
        Err(Some(_)) => End::CutOff { bytes: bytes.len() },
        Err(None) => End::NoAnswer,
    };
    let events = String::from_utf8_lossy(&bytes).matches("\nid: ").count() as u32
        + u32::from(bytes.starts_with(b"id: "));
    record.add(format!(
        "client has for request {id}: {end:?}, {events} events"
    ));
    (end, events)
}

/// Reads a stream into `bytes`. An error says whether the head had come.
fn read_stream(
    connection: &mut Connection,
    text: &str,
    bytes: &mut Vec<u8>,
) -> Result<u16, Option<io::Error>> {
    connection
        .send(text, b"", Duration::from_secs(16))
        .map_err(|_| None)?;
    let head = http::read_head(&mut connection.stream)
        .map_err(|_| None)?
        .ok_or(None)?;
    if head.get("transfer-encoding").is_none() {
        bytes.extend(http::read_body(&mut connection.stream, &head).map_err(Some)?);
        return Ok(head.status());
    }
    while let Some(chunk) = http::read_chunk(&mut connection.stream).map_err(Some)? {
        bytes.extend(chunk);
    }
    Ok(head.status())
}
