//! Inference engine with an OpenAI-compatible chat API.
//!
//! | path | meaning |
//! |---|---|
//! | `POST /v1/chat/completions` | runs a chat; answers with JSON or server-sent events |
//! | `DELETE /v1/requests/ID` | cancels the run of the request with that `x-request-id` |
//! | `GET /v1/models` | loaded models |
//! | `GET /load` | load report, which is [`Settings::load_lag`] old |
//! | `GET /cache/events?after=SEQ` | cache events, delayed and with gaps |
//! | `GET /cache/snapshot` | blocks in the prefix cache now |
//! | `GET /kv/BLOCK`, `PUT /kv/BLOCK` | exports or imports the prefix that ends with a block |
//! | `POST /orders` | loads and unloads models and adapters, changes the role, drains |
//! | `GET /state` | state that the commands have resulted in |
//! | `POST /faults` | replaces the [`Faults`] |
//!
//! The text of an answer is derived from the request id and the number of the run. Two runs of one
//! request thus have different texts, so that a test detects an answer spliced from both.

mod api;
mod cache;
mod chat;
mod commands;
mod load;
mod run;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pistachiochute_core::name;

use crate::{server, sync};

pub use cache::{BLOCK_BYTES, prefix_blocks};
pub use commands::{Command, FencedCommand, Fencing, State};

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Address to bind; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Models that are loaded at the start.
    pub models: Vec<name::ModelName>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of requests that wait for a slot. Further requests are refused without being
    /// run.
    pub queue: usize,
    /// Time to generate one token.
    pub token_time: Duration,
    /// Time to process one prompt token that is not cached.
    pub prompt_token_time: Duration,
    /// Number of tokens in an answer whose request states no maximum.
    pub answer_tokens: u32,
    /// Capacity of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// Age of load reports.
    pub load_lag: Duration,
    /// Delay until a cache event can be read.
    pub event_lag: Duration,
    /// Share of cache events that are never published, per mille.
    pub dropped_events_per_mille: u64,
    /// Seed that selects the cache events that are not published.
    pub seed: u64,
    /// Whether commands with a stale fencing number are rejected.
    pub fencing: Fencing,
    /// Time to load a model, in addition to reading its weights.
    pub load_time: Duration,
    /// Weight store from which models are read.
    pub weight_store: Option<SocketAddr>,
    /// Faults that are set at the start.
    pub faults: Faults,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            models: Vec::new(),
            slots: 4,
            queue: 16,
            token_time: Duration::from_millis(1),
            prompt_token_time: Duration::from_micros(5),
            answer_tokens: 16,
            cache_blocks: 4096,
            load_lag: Duration::ZERO,
            event_lag: Duration::ZERO,
            dropped_events_per_mille: 0,
            seed: 0,
            fencing: Fencing::Enforced,
            load_time: Duration::ZERO,
            weight_store: None,
            faults: Faults::default(),
        }
    }
}

/// Faults of an engine; the default is none.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are refused, including those to `/faults`. Only [`Engine::set_faults`] clears
    /// this.
    pub refuse_connections: bool,
    /// Requests are accepted and not answered; their connections close when the fault is cleared.
    pub stall: bool,
    /// An answer stalls after this many tokens, and its connection stays open.
    pub stall_after_tokens: Option<u32>,
    /// An answer is cut after this many tokens: its connection closes before the answer is
    /// complete.
    pub cut_after_tokens: Option<u32>,
    /// Number of further answers that are cut or stall; `None` means all of them.
    pub times: Option<u32>,
    /// Factor on the time to process prompt tokens and to generate tokens.
    pub slow_factor: Option<f64>,
    /// Chats are answered with this status without being run.
    pub status: Option<u16>,
}

/// Counters of an engine since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Runs by `x-request-id`, for the first `run::MAX_COUNTED_IDS` ids.
    pub runs: BTreeMap<String, u32>,
    /// Runs that were continued on another connection.
    pub resumes: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Prompt tokens processed, excluding those that were cached.
    pub prompt_tokens: u64,
    /// Prompt tokens that were cached.
    pub cached_tokens: u64,
    /// Runs that were cancelled or whose caller disconnected.
    pub cancels: u64,
    /// Chats that were refused without being run.
    pub refused: u64,
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    server: server::Server,
}

server::impl_stand_in!(Engine, Faults);

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// The address cannot be bound or a thread cannot be started.
    pub fn start(cfg: Settings) -> eyre::Result<Self> {
        let make = |control| Shared::new(cfg.clone(), control);
        let (shared, server) = server::Server::start(cfg.listen, make, Shared::handle)?;
        shared.faults.set(server.control(), shared.faults.get());
        Ok(Self { shared, server })
    }

    /// Current counters.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.shared.runs.counters()
    }

    /// State that the commands have resulted in.
    #[must_use]
    pub fn state(&self) -> State {
        self.shared.commands.state()
    }
}

/// State of an engine that its requests share.
#[derive(Debug)]
struct Shared {
    cfg: Settings,
    control: Arc<server::Control>,
    faults: server::FaultSwitch<Faults>,
    runs: run::Runs,
    slots: run::Slots,
    load: load::LoadReporter,
    cache: Mutex<cache::Cache>,
    commands: commands::Commands,
}

impl Shared {
    fn new(cfg: Settings, control: Arc<server::Control>) -> Self {
        Self {
            control,
            faults: server::FaultSwitch::new(cfg.faults.clone(), |faults| {
                faults.refuse_connections
            }),
            runs: run::Runs::default(),
            slots: run::Slots::new(cfg.slots, cfg.queue),
            load: load::LoadReporter::new(cfg.load_lag),
            cache: Mutex::new(cache::Cache::new(&cfg)),
            commands: commands::Commands::new(&cfg),
            cfg,
        }
    }

    fn handle(&self, exchange: server::Exchange) {
        let path = exchange.path().to_owned();
        if path == "/faults" {
            return self.faults.handle_post(exchange, &self.control);
        }
        if self.faults.get().stall {
            return exchange.stall(&self.control, || self.faults.get().stall);
        }
        match (exchange.method(), path.as_str()) {
            ("POST", "/v1/chat/completions") => self.chat(exchange),
            ("GET", "/v1/models" | "/models") => self.list_models(exchange),
            ("GET", "/load") => exchange.respond(200, &self.load.report(self.cfg.slots)),
            ("GET", "/cache/events") => self.cache_events(exchange),
            ("GET", "/cache/snapshot") => {
                let snapshot = sync::lock(&self.cache).snapshot();
                exchange.respond(200, &snapshot);
            }
            ("POST", "/orders") => self.handle_command(exchange),
            ("GET", "/state") => exchange.respond(200, &self.commands.state()),
            (method, path) => {
                let method = method.to_owned();
                if let Some(id) = path.strip_prefix("/v1/requests/") {
                    self.cancel(exchange, &method, id);
                } else if let Some(block) = path.strip_prefix("/kv/") {
                    self.transfer(exchange, &method, block);
                } else {
                    exchange.refuse(404, "not_found", "no such path");
                }
            }
        }
    }

    fn list_models(&self, exchange: server::Exchange) {
        let model = |name: &name::ModelName| serde_json::json!({ "id": name, "object": "model", "created": 0, "owned_by": "engine" });
        let data: Vec<_> = self.commands.state().models.iter().map(model).collect();
        exchange.respond(200, &serde_json::json!({ "object": "list", "data": data }));
    }

    fn cache_events(&self, exchange: server::Exchange) {
        let after = exchange.query("after").unwrap_or("0").parse::<u64>();
        match after {
            Ok(after) => {
                let events = sync::lock(&self.cache).events(after);
                exchange.respond(200, &events);
            }
            Err(err) => exchange.refuse(400, "bad_request", &err.to_string()),
        }
    }

    fn cancel(&self, exchange: server::Exchange, method: &str, id: &str) {
        if method != "DELETE" {
            exchange.refuse(405, "method_not_allowed", "only DELETE");
        } else if self.runs.cancel(id) {
            exchange.respond(200, &serde_json::json!({ "id": id, "cancelled": true }));
        } else {
            exchange.refuse(404, "not_found", "no such run");
        }
    }

    fn transfer(&self, exchange: server::Exchange, method: &str, block: &str) {
        let Ok(block) = u64::from_str_radix(block, 16) else {
            return exchange.refuse(400, "bad_request", "a block is 16 hexadecimal digits");
        };
        match method {
            "GET" => {
                let prefix = sync::lock(&self.cache).export(block);
                match prefix {
                    Some(prefix) => exchange.respond(200, &prefix),
                    None => exchange.refuse(404, "not_found", "the block is not cached"),
                }
            }
            "PUT" => match exchange.json::<cache::Prefix>() {
                Ok(prefix) => {
                    sync::lock(&self.cache).import(&prefix);
                    exchange.respond(200, &serde_json::json!({}));
                }
                Err(err) => exchange.refuse(400, "bad_request", &err.to_string()),
            },
            _ => exchange.refuse(405, "method_not_allowed", "only GET and PUT"),
        }
    }
}
