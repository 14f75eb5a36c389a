//! Commands to an engine, and the state that they result in.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use pistachiochute_core::name;

use crate::{engine, server, sync};

/// Timeout of a read from the weight store.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(30);

/// Whether an engine rejects commands whose fencing number is lower than one that it has received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// Stale commands are rejected with 409.
    Enforced,
    /// Stale commands are executed.
    Disabled,
}

/// A command to an engine.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// Load a model.
    LoadModel(name::ModelName),
    /// Unload a model.
    UnloadModel(name::ModelName),
    /// Load an adapter.
    LoadAdapter(name::ModelName),
    /// Unload an adapter.
    UnloadAdapter(name::ModelName),
    /// Change the role of the engine.
    ChangeRole(String),
    /// Refuse new chats, or accept them again.
    Drain(bool),
}

/// A command with its fencing number: the body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
// `expecting` keeps the text of the error answer to a scalar JSON body.
#[serde(deny_unknown_fields, expecting = "struct Ordered")]
pub struct FencedCommand {
    /// Fencing number; the larger of two is the newer.
    pub fence: u64,
    /// The command.
    #[serde(rename = "order")]
    pub command: Command,
}

/// State that the commands have resulted in: the answer to `GET /state`.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct State {
    /// Largest fencing number received.
    pub fence: u64,
    /// Models that are loaded.
    pub models: BTreeSet<name::ModelName>,
    /// Models that are being loaded.
    pub loading: BTreeSet<name::ModelName>,
    /// Models whose last load failed.
    pub failed: BTreeSet<name::ModelName>,
    /// Adapters that are loaded.
    pub adapters: BTreeSet<name::ModelName>,
    /// Role of the engine.
    pub role: String,
    /// Whether new chats are refused.
    pub draining: bool,
}

#[derive(Debug)]
pub(super) struct Commands {
    fencing: Fencing,
    state: Mutex<State>,
}

impl Commands {
    pub(super) fn new(cfg: &engine::Settings) -> Self {
        let state = State {
            models: cfg.models.iter().cloned().collect(),
            role: "mixed".to_owned(),
            ..State::default()
        };
        Self {
            fencing: cfg.fencing,
            state: Mutex::new(state),
        }
    }

    pub(super) fn state(&self) -> State {
        sync::lock(&self.state).clone()
    }

    /// Executes a command; a model to load is only marked as loading. Returns the resulting state,
    /// or the newer fencing number if the command is stale.
    fn apply(&self, fenced: &FencedCommand) -> Result<State, u64> {
        let mut state = sync::lock(&self.state);
        if self.fencing == Fencing::Enforced && fenced.fence < state.fence {
            return Err(state.fence);
        }
        state.fence = state.fence.max(fenced.fence);
        match fenced.command.clone() {
            Command::LoadModel(model) => {
                state.failed.remove(&model);
                if !state.models.contains(&model) {
                    state.loading.insert(model);
                }
            }
            Command::UnloadModel(model) => {
                state.loading.remove(&model);
                state.models.remove(&model);
            }
            Command::LoadAdapter(adapter) => drop(state.adapters.insert(adapter)),
            Command::UnloadAdapter(adapter) => drop(state.adapters.remove(&adapter)),
            Command::ChangeRole(role) => state.role = role,
            Command::Drain(draining) => state.draining = draining,
        }
        Ok(state.clone())
    }

    /// Ends the loading of a model, unless the model was unloaded meanwhile.
    fn finish_load(&self, model: &name::ModelName, loaded: bool) {
        let mut state = sync::lock(&self.state);
        if !state.loading.remove(model) {
            return;
        }
        let list = if loaded {
            &mut state.models
        } else {
            &mut state.failed
        };
        list.insert(model.clone());
    }
}

impl engine::Shared {
    /// Handles `POST /orders`. A model is loaded after the answer is sent.
    pub(super) fn handle_command(&self, exchange: server::Exchange) {
        let fenced = match exchange.json::<FencedCommand>() {
            Ok(fenced) => fenced,
            Err(err) => return exchange.refuse(400, "bad_request", &err.to_string()),
        };
        let before = self.commands.state();
        match self.commands.apply(&fenced) {
            Ok(state) => exchange.respond(200, &state),
            Err(fence) => {
                let message = format!("fencing number {} is older than {fence}", fenced.fence);
                return exchange.refuse(409, "stale_fence", &message);
            }
        }
        if let Command::LoadModel(model) = &fenced.command
            && !before.models.contains(model)
            && !before.loading.contains(model)
        {
            let loaded = self.load_model(model);
            self.commands.finish_load(model, loaded);
        }
    }

    /// Loads a model. Returns false if its weights could not be read or the engine closes.
    fn load_model(&self, model: &name::ModelName) -> bool {
        let read = self
            .cfg
            .weight_store
            .is_none_or(|addr| read_weights(addr, model));
        read && self.control.sleep(self.cfg.load_time)
    }
}

fn read_weights(addr: SocketAddr, model: &name::ModelName) -> bool {
    let answer = attohttpc::get(format!("http://{addr}/weights/{model}"))
        .timeout(WEIGHTS_TIMEOUT)
        .send()
        .and_then(attohttpc::Response::error_for_status)
        .and_then(attohttpc::Response::bytes);
    answer.is_ok()
}
