//! Stand-in for the platform's key-value service.
//!
//! Several [`StoreListener`]s serve one store, so that a test can make the store fail for one host
//! while other hosts still reach it. A list comes in pages, and queries are read strictly.

mod query;
mod restore;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::platform::http;
use query::Query;
pub use restore::{Copy, Lost};

/// Most items of a page, unless a test sets fewer.
const MAX_PAGE_ITEMS: usize = 500;

/// Size of the values of a page in bytes, from which on it takes no further item.
const MAX_PAGE_BYTES: usize = 1 << 20;

/// How a [`StoreListener`] handles calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Calls are executed and answered.
    #[default]
    Serving,
    /// Calls are answered 503 and have no effect.
    Unavailable,
    /// Calls have no effect and are not answered while the mode lasts.
    Unresponsive,
    /// Writes are executed, and their connections close without an answer.
    LosingAnswers,
    /// Lists are answered with bytes that cannot be decoded. All other calls are served.
    UnreadableLists,
    /// Every page of a list is its first page, and says that another one follows. All other calls are
    /// served.
    RepeatedPages,
}

impl Mode {
    /// Whether calls are executed and answered, if not always as they should be.
    const fn answers(self) -> bool {
        match self {
            Self::Serving | Self::UnreadableLists | Self::RepeatedPages => true,
            Self::Unavailable | Self::Unresponsive | Self::LosingAnswers => false,
        }
    }
}

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: i64,
    /// Whether a host has written it.
    is_of_host: bool,
}

#[derive(Clone, Debug)]
struct Change {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Clone, Debug)]
struct State {
    /// Rises when the store comes back from a copy.
    epoch: u64,
    /// What answers name in place of the epoch, if it is not the epoch.
    shown_epoch: Option<String>,
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Most items of a page.
    page_items: usize,
    /// Fields that are shown in place of those of an item, by its key. A field that is null is left out.
    shown_fields: BTreeMap<String, Value>,
    history: Vec<Change>,
    /// Changes up to and including this revision are no longer in the history.
    compacted_revision: u64,
    leases: i64,
    calls: u64,
}

impl Default for State {
    fn default() -> Self {
        Self {
            epoch: 1,
            shown_epoch: None,
            revision: 0,
            items: BTreeMap::new(),
            page_items: MAX_PAGE_ITEMS,
            shown_fields: BTreeMap::new(),
            history: Vec::new(),
            compacted_revision: 0,
            leases: 0,
            calls: 0,
        }
    }
}

impl State {
    fn item_json(&self, key: &str, item: &Item, shown: &Addresses) -> Value {
        let mut json = item_json(key, item, shown);
        let fields = self.shown_fields.get(key).and_then(Value::as_object);
        for (name, value) in fields.into_iter().flatten() {
            match value {
                Value::Null => json.as_object_mut().and_then(|item| item.remove(name)),
                value => json
                    .as_object_mut()
                    .and_then(|item| item.insert(name.clone(), value.clone())),
            };
        }
        json
    }

    /// Writes an item as the operator, an endpoint or another writer does, or removes it.
    fn write(&mut self, key: &str, value: Option<Vec<u8>>) {
        self.write_item(key, value.map(|value| (value, 0, false)));
    }

    fn write_item(&mut self, key: &str, item: Option<(Vec<u8>, i64, bool)>) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = item.map(|(value, lease, is_of_host)| Item {
            value,
            revision,
            created,
            lease,
            is_of_host,
        });
        match &item {
            Some(item) => self.items.insert(key.to_owned(), item.clone()),
            None => self.items.remove(key),
        };
        self.history.push(Change {
            key: key.to_owned(),
            revision,
            item,
        });
    }

    fn revoke_lease(&mut self, lease: i64) {
        let of_lease = |item: &&Item| item.lease == lease;
        let keys: Vec<_> = self
            .items
            .iter()
            .filter(|(_, item)| of_lease(item))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.write(&key, None);
        }
    }
}

fn item_json(key: &str, item: &Item, shown: &Addresses) -> Value {
    json!({
        "key": key, "value": BASE64.encode(shown.replace_in(&item.value)), "revision": item.revision,
        "createdRev": item.created, "lease": item.lease,
    })
}

/// Addresses that a listener shows in place of others.
#[derive(Debug, Default)]
struct Addresses(Mutex<Vec<(SocketAddr, SocketAddr)>>);

impl Addresses {
    fn replace_in(&self, value: &[u8]) -> Vec<u8> {
        let pairs = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let Ok(text) = std::str::from_utf8(value) else {
            return value.to_vec();
        };
        let replace = |text: String, (from, to): &(SocketAddr, SocketAddr)| {
            text.replace(&format!("\"{from}\""), &format!("\"{to}\""))
        };
        pairs.iter().fold(text.to_owned(), replace).into_bytes()
    }
}

/// Contents that all listeners serve. Leases do not expire; they end only when revoked.
#[derive(Clone, Debug)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            changed: watch::Sender::new(0),
        }
    }
}

impl Store {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Writes an entry with a JSON value, as the operator or an endpoint does.
    pub fn put(&self, key: &str, value: &Value) {
        let bytes = value.to_string().into_bytes();
        self.put_bytes(key, bytes);
    }

    /// Writes an entry whose value need not be JSON.
    pub fn put_bytes(&self, key: &str, value: Vec<u8>) {
        self.update(|state| state.write(key, Some(value)));
    }

    /// Removes an entry.
    pub fn remove(&self, key: &str) {
        self.update(|state| state.write(key, None));
    }

    /// Bounds the number of items of a page.
    pub fn set_page_items(&self, items: usize) {
        self.lock().page_items = items.max(1);
    }

    /// Shows an item with other fields: those of the object `fields` in place of its own, and without those
    /// that are null there.
    pub fn show_fields(&self, key: &str, fields: Value) {
        self.lock().shown_fields.insert(key.to_owned(), fields);
    }

    /// Keys that begin with a prefix.
    #[must_use]
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Drops the history, so that watches from an earlier revision are answered 410.
    pub fn compact_history(&self) {
        self.update(|state| {
            state.compacted_revision = state.revision;
            state.history.clear();
        });
    }

    /// Number of calls received, over all listeners.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Starts a listener for the store on a free loopback port, in [`Mode::Serving`].
    ///
    /// # Errors
    ///
    /// No address can be bound or the thread cannot be started.
    pub fn listen(&self) -> eyre::Result<StoreListener> {
        let handler = Arc::new(Handler {
            store: self.clone(),
            mode: watch::Sender::new(Mode::Serving),
            cuts: watch::Sender::new(0),
            shown: Addresses::default(),
        });
        let server = http::Server::start(handler.clone())?;
        Ok(StoreListener { server, handler })
    }

    fn update<F>(&self, change: F)
    where
        F: FnOnce(&mut State),
    {
        let mut state = self.lock();
        change(&mut state);
        self.changed.send_replace(state.revision);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A listener on an address of its own, with its own fault mode.
#[derive(Debug)]
pub struct StoreListener {
    server: http::Server,
    handler: Arc<Handler>,
}

impl StoreListener {
    /// Address that the listener is bound to.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Closes the connections of all calls in progress. Later calls are not affected.
    pub fn cut_watches(&self) {
        self.handler.cuts.send_modify(|cuts| *cuts += 1);
    }

    /// Changes how calls are handled, including those in progress.
    pub fn set_mode(&self, mode: Mode) {
        self.handler.mode.send_replace(mode);
    }

    /// Shows another address in place of one, in all entries that are read later: a host that uses this
    /// listener reaches an endpoint by a way of its own.
    pub fn show_instead(&self, address: SocketAddr, shown: SocketAddr) {
        let shown_addresses = &self.handler.shown.0;
        let mut pairs = shown_addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        pairs.push((address, shown));
    }

    /// Closes the listener and its connections, and ends its thread.
    pub fn close(self) {
        self.server.close();
    }
}

#[derive(Debug)]
struct Handler {
    store: Store,
    mode: watch::Sender<Mode>,
    /// Number of times that the calls in progress were cut.
    cuts: watch::Sender<u64>,
    shown: Addresses,
}

impl http::Handler for Handler {
    async fn handle(self: Arc<Self>, req: Request<Incoming>) -> Option<Response<http::Body>> {
        let mut answer = self.clone().answer(req).await?;
        let epoch = self.store.shown_epoch();
        if let Ok(epoch) = hyper::header::HeaderValue::from_str(&epoch) {
            answer.headers_mut().insert("store-era", epoch);
        }
        Some(answer)
    }
}

impl Handler {
    async fn answer(self: Arc<Self>, req: Request<Incoming>) -> Option<Response<http::Body>> {
        self.store.lock().calls += 1;
        let mode = *self.mode.borrow();
        if mode == Mode::Unavailable {
            return Some(http::answer(StatusCode::SERVICE_UNAVAILABLE, ""));
        }
        if mode == Mode::Unresponsive {
            self.wait_until(|mode| mode != Mode::Unresponsive).await;
            return None;
        }
        let drops_answer = mode == Mode::LosingAnswers && req.method() != Method::GET;
        let mut mode_change = self.mode.subscribe();
        let mut cuts = self.cuts.subscribe();
        let answer = tokio::select! {
            answer = self.dispatch(req) => answer,
            // An end of service closes the connections of waiting watches.
            _ = mode_change.wait_for(|mode| !mode.answers()) => None,
            _ = cuts.changed() => None,
        };
        answer.filter(|_| !drops_answer)
    }
}

impl Handler {
    /// Waits until the mode satisfies `is_over`.
    async fn wait_until<F>(&self, is_over: F)
    where
        F: Fn(Mode) -> bool,
    {
        let mut modes = self.mode.subscribe();
        // Does not fail: the sender lives as long as this handler.
        drop(modes.wait_for(|mode| is_over(*mode)).await);
    }

    async fn dispatch(&self, req: Request<Incoming>) -> Option<Response<http::Body>> {
        let path = req.uri().path().to_owned();
        let Some(query) = Query::parse(req.uri().query().unwrap_or("")) else {
            return Some(http::answer(
                StatusCode::BAD_REQUEST,
                "the query cannot be read",
            ));
        };
        let method = req.method().clone();
        let body = req.into_body().collect().await.ok()?.to_bytes();
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let call = path.strip_prefix("/pistachiochute/")?;
        let (name, id) = call.split_once('/').unwrap_or((call, ""));
        let lease: i64 = id.parse().unwrap_or(0);
        Some(match (method, name) {
            (Method::GET, "kv-range") => self.range(&query),
            (Method::GET, "kv-watch") => self.watch(&query).await,
            (Method::POST, "kv-txn") => self.txn(&body),
            (Method::POST, "kv-lease") => {
                let mut state = self.store.lock();
                state.leases += 1;
                ok(&json!({"lease": state.leases, "ttlMs": body["ttlMs"]}))
            }
            (Method::POST, "kv-keep") if lease > self.store.lock().leases => {
                http::answer(StatusCode::NOT_FOUND, "no such lease")
            }
            (Method::POST, "kv-keep") => ok(&json!({"ttlMs": 3_000})),
            (Method::DELETE, "kv-lease-end") => {
                self.store.update(|state| state.revoke_lease(lease));
                ok(&json!({}))
            }
            _ => http::answer(StatusCode::NOT_FOUND, ""),
        })
    }

    /// One page of a list.
    fn range(&self, query: &Query) -> Response<http::Body> {
        if !query.has_only(&["prefix", "afterRevision", "allowStale"]) {
            return http::answer(StatusCode::BAD_REQUEST, "unknown parameter");
        }
        let mode = *self.mode.borrow();
        if mode == Mode::UnreadableLists {
            return http::answer(StatusCode::OK, "{\"items\": [\u{1}");
        }
        let prefix = query.get("prefix").unwrap_or("");
        let after = query
            .get("afterRevision")
            .filter(|_| mode != Mode::RepeatedPages);
        let state = self.store.lock();
        let is_listed =
            |key: &str| key.starts_with(prefix) && after.is_none_or(|after| key > after);
        let mut listed = state
            .items
            .iter()
            .filter(|(key, _)| is_listed(key))
            .peekable();
        let mut items = Vec::new();
        let mut bytes = 0;
        while items.len() < state.page_items
            && bytes < MAX_PAGE_BYTES
            && let Some((key, item)) = listed.next()
        {
            bytes += item.value.len();
            items.push(state.item_json(key, item, &self.shown));
        }
        let more = mode == Mode::RepeatedPages || listed.peek().is_some();
        ok(&json!({"items": items, "morePages": more, "asOf": state.revision}))
    }

    async fn watch(&self, query: &Query) -> Response<http::Body> {
        let number = |name: &str| query.get(name).and_then(|n| n.parse::<u64>().ok());
        let (Some(after), Some(wait)) = (number("afterRevision"), number("waitMs")) else {
            return http::answer(StatusCode::BAD_REQUEST, "a number is missing");
        };
        if !query.has_only(&["prefix", "afterRevision", "waitMs"]) {
            return http::answer(StatusCode::BAD_REQUEST, "unknown parameter");
        }
        let prefix = query.get("prefix").unwrap_or("").to_owned();
        let wait = Duration::from_millis(wait);
        let mut changed = self.store.changed.subscribe();
        let waiting = async {
            loop {
                if let Some(answer) = self.changes(&prefix, after) {
                    return answer;
                }
                if changed.changed().await.is_err() {
                    return ok(&Value::Null);
                }
            }
        };
        match tokio::time::timeout(wait, waiting).await {
            Ok(answer) => answer,
            Err(_) => ok(&json!({"events": [], "asOf": self.store.lock().revision})),
        }
    }

    /// Answer to a watch, if there are changes after `after` or its history is compacted.
    fn changes(&self, prefix: &str, after: u64) -> Option<Response<http::Body>> {
        let state = self.store.lock();
        if after < state.compacted_revision || after > state.revision {
            return Some(http::answer(StatusCode::GONE, ""));
        }
        let is_new = |change: &&Change| change.revision > after && change.key.starts_with(prefix);
        let events: Vec<_> = state
            .history
            .iter()
            .filter(is_new)
            .map(|change| match &change.item {
                Some(item) => state.item_json(&change.key, item, &self.shown),
                None => json!({
                    "key": change.key, "revision": change.revision, "tombstone": true,
                }),
            })
            .collect();
        let answer = json!({"events": events, "asOf": state.revision});
        (!events.is_empty()).then(|| ok(&answer))
    }

    fn txn(&self, body: &Value) -> Response<http::Body> {
        let mut revision = 0;
        self.store.update(|state| {
            for set in body["setKeys"].as_array().into_iter().flatten() {
                let value = BASE64.decode(set["value"].as_str().unwrap_or(""));
                let lease = set["lease"].as_i64().unwrap_or(0);
                if lease > state.leases {
                    return;
                }
                let key = set["key"].as_str().unwrap_or("");
                state.write_item(key, Some((value.unwrap_or_default(), lease, true)));
            }
            revision = state.revision;
        });
        match revision {
            0 => http::answer(StatusCode::NOT_FOUND, "no such lease"),
            revision => ok(&json!({ "revision": revision })),
        }
    }
}

fn ok(value: &Value) -> Response<http::Body> {
    http::answer(StatusCode::OK, value.to_string())
}
