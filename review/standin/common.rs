//! What the cases have in common. Each plays a small deployment: hosts of the project as processes, and
//! stand-ins for the rest.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::fleet::Host;
use crate::http::Answer;
use crate::replica::Run;
use crate::store::Store;
use crate::{Outcome, Setup};

const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Memory of a machine, in MiB.
pub const MEMORY_MB: u64 = 260;

pub const READY_PATIENCE: Duration = Duration::from_secs(15);

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A route with the fields that the cases use.
pub struct Route {
    pub name: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub aim_ms: u64,
    pub attempts: u32,
    pub resumes: bool,
}

impl Route {
    fn json(&self) -> String {
        let Self {
            name,
            kind,
            service,
            timeout_ms,
            aim_ms,
            attempts,
            resumes,
        } = self;
        let is_stream = *kind == "streaming";
        format!(
            "{{\"name\":\"{name}\",\"host\":\"a.example\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":{aim_ms},\"priority\":1,\
             \"service\":\"{service}\",\"maxAttempts\":{attempts},\"authExempt\":false,\
             \"sticky\":{is_stream},\"streamResume\":{resumes},\"gapTargetMs\":800}}"
        )
    }
}

/// Writes the first configuration.
pub fn configure(store: &Store, routes: &[Route]) {
    let routes: Vec<String> = routes.iter().map(Route::json).collect();
    let engine = "{\"slots\":64,\"kvCapacity\":444463,\"kvTokenBytes\":18432,\"linkMbps\":370000.0,\
                  \"moves\":true,\"backups\":true,\"stride\":7,\"most\":2,\"pinMs\":4000.0,\
                  \"holdMs\":2000.0,\"handleS\":5.0,\"models\":[{\"name\":\"m\"}]}";
    let config = format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[{{\"name\":\"pistacchio-llm\",\"healthPath\":\"/health\",\
         \"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{engine}}},\
         {{\"name\":\"supplenze-app\",\"healthPath\":\"/health\",\"maxConnections\":96,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"farm\",\
         \"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    );
    assert!(store.put("op/config", &config), "the store is up");
}

/// Header lines of a client.
pub fn fields(id: &str, deadline_ms: u64, prompt: Option<&str>) -> String {
    let prompt = prompt.map_or_else(String::new, |prompt| {
        format!("X-Model: m\r\nX-Token-Usage: {prompt}\r\n")
    });
    format!(
        "X-Request-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n{prompt}"
    )
}

pub fn start_hosts(
    setup: &Setup,
    hosts: &[(&str, &str)],
    store: impl Fn(&str) -> SocketAddr,
) -> Result<Vec<Arc<Host>>, Outcome> {
    let hosts: Vec<Arc<Host>> = hosts
        .iter()
        .map(|(name, zone)| Host::start(&setup.place, (name, zone), store(name), MEMORY_MB))
        .collect();
    for host in &hosts {
        if !host.wait_ready(READY_PATIENCE) {
            return Err(Outcome::NotRun(format!(
                "{} does not become ready",
                host.name
            )));
        }
    }
    // Time in which the hosts link with each other.
    thread::sleep(Duration::from_secs(2));
    Ok(hosts)
}

pub fn note_answer(setup: &Setup, id: &str, host: &str, answer: &Answer) {
    let Answer { status, took, .. } = answer;
    let end = match (status, answer.is_complete) {
        (0, _) => "no answer".to_owned(),
        (status, true) => format!("answered {status}"),
        (status, false) => format!("answered {status}, cut off"),
    };
    let text = format!("{id} at {host}: {end} after {} ms", took.as_millis());
    setup.record.note(&text);
}

/// A resumable stream.
pub const DRAFT: Route = Route {
    name: "offerta-draft",
    kind: "streaming",
    service: "pistacchio-llm",
    timeout_ms: 10_000,
    aim_ms: 600,
    attempts: 2,
    resumes: true,
};

/// Time between two planned stops.
pub const STOP_GAP: Duration = Duration::from_millis(1_300);

/// Parts of a prompt in a request of a client that doesn't behave: as many as fit into a legal head.
pub const PARTS: u64 = 1_750;
