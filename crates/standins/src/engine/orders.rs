//! Orders to an engine and what they led to.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use pistachiochute_core::name;

use crate::{engine, server, sync};

/// Longest wait for the weight store.
const WEIGHTS_TIMEOUT: Duration = Duration::from_secs(30);

/// What an engine does with an order whose fencing number is older than one it has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fencing {
    /// It refuses the order.
    Strict,
    /// It carries the order out.
    Ignores,
}

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Order {
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
    /// Refuse new chats, or take them again.
    Drain(bool),
}

/// An order with its fencing number: the body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ordered {
    /// Fencing number; a larger one is newer.
    pub fence: u64,
    /// What to do.
    pub order: Order,
}

/// What the orders have led to: the answer of `GET /state`.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct State {
    /// Largest fencing number that was seen.
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
pub(super) struct Orders {
    fencing: Fencing,
    state: Mutex<State>,
}

impl Orders {
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

    /// Carries out an order, or starts the load that it asks for.
    /// Returns the state after it, or the newer fencing number.
    fn apply(&self, ordered: &Ordered) -> Result<State, u64> {
        let mut state = sync::lock(&self.state);
        if self.fencing == Fencing::Strict && ordered.fence < state.fence {
            return Err(state.fence);
        }
        state.fence = state.fence.max(ordered.fence);
        match ordered.order.clone() {
            Order::LoadModel(model) => {
                state.failed.remove(&model);
                if !state.models.contains(&model) {
                    state.loading.insert(model);
                }
            }
            Order::UnloadModel(model) => {
                state.loading.remove(&model);
                state.models.remove(&model);
            }
            Order::LoadAdapter(adapter) => drop(state.adapters.insert(adapter)),
            Order::UnloadAdapter(adapter) => drop(state.adapters.remove(&adapter)),
            Order::ChangeRole(role) => state.role = role,
            Order::Drain(draining) => state.draining = draining,
        }
        Ok(state.clone())
    }

    fn loaded(&self, model: &name::ModelName, whole: bool) {
        let mut state = sync::lock(&self.state);
        if !state.loading.remove(model) {
            return;
        }
        let list = if whole {
            &mut state.models
        } else {
            &mut state.failed
        };
        list.insert(model.clone());
    }
}

impl engine::Shared {
    pub(super) fn order(&self, exchange: server::Exchange) {
        let ordered = match exchange.json::<Ordered>() {
            Ok(ordered) => ordered,
            Err(err) => return exchange.refuse(400, "bad_request", &err.to_string()),
        };
        let before = self.orders.state();
        match self.orders.apply(&ordered) {
            Ok(state) => exchange.respond(200, &state),
            Err(fence) => {
                let message = format!("fencing number {} is older than {fence}", ordered.fence);
                return exchange.refuse(409, "stale_fence", &message);
            }
        }
        if let Order::LoadModel(model) = &ordered.order
            && !before.models.contains(model)
            && !before.loading.contains(model)
        {
            let whole = self.load_model(model);
            self.orders.loaded(model, whole);
        }
    }

    /// Reads the weights of a model. Returns false if the weight store refused.
    fn load_model(&self, model: &name::ModelName) -> bool {
        let read = self
            .cfg
            .weights
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
