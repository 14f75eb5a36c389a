//! Stand-in for the platform's store.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message, Reader};
use crate::json::Json;

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Most items of a page.
const PAGE: usize = 500;

struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: i64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes in their order: the revision, and what a watch shows of it.
    history: Vec<(u64, String, String)>,
    leases: HashMap<i64, (Duration, Instant)>,
    last_lease: i64,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: i64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        let shown = show(key, &item);
        self.items.insert(key.to_owned(), item);
        self.history.push((revision, key.to_owned(), shown));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let shown = format!(
                r#"{{"key":"{key}","revision":{},"tombstone":true}}"#,
                self.revision
            );
            self.history.push((self.revision, key.to_owned(), shown));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: i64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == lease)
            .map(|(k, _)| k.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

/// A running store. Clones are the same one.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            addr: listener.local_addr()?,
            shared: Arc::default(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || drop(store.serve(stream)));
            }
        });
        Ok(store)
    }

    /// Writes an entry as the operator or a replica does.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|state| state.put(key, value.as_bytes().to_vec(), 0));
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.shared.0.lock().expect("a sound lock");
        state.expire();
        let result = change(&mut state);
        self.shared.1.notify_all();
        result
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream.try_clone()?);
        while let Some(request) = reader.request()? {
            let (status, body) = self.handle(&request);
            let headers = [("Content-Type", "application/json"), ("Store-Era", "1")];
            http::respond(&stream, status, &headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn handle(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request
            .word(1)
            .split_once('?')
            .unwrap_or((request.word(1), ""));
        let call = path.strip_prefix("/pistachiochute/").unwrap_or("");
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(n, v)| (n.to_owned(), unescape(v)))
            .collect();
        let text = |name: &str| query.get(name).map_or("", String::as_str).to_owned();
        let json = Json::parse(&request.body).unwrap_or(Json::Null);
        let (call, id) = call.split_once('/').unwrap_or((call, ""));
        let id: i64 = id.parse().unwrap_or(0);
        match call {
            "kv-range" => self.range(&text("prefix"), &text("afterRevision")),
            "kv-watch" => {
                let after = text("afterRevision").parse().unwrap_or(0);
                let wait = text("waitMs").parse().unwrap_or(0);
                self.watch(&text("prefix"), after, Duration::from_millis(wait))
            }
            "kv-txn" => self.change(|state| transact(state, &json)),
            "kv-lease" => {
                let ttl = Duration::from_millis(json.get("ttlMs").number() as u64);
                self.change(|state| {
                    state.last_lease += 1;
                    state
                        .leases
                        .insert(state.last_lease, (ttl, Instant::now() + ttl));
                    (
                        "200 OK",
                        format!(
                            r#"{{"lease":{},"ttlMs":{}}}"#,
                            state.last_lease,
                            ttl.as_millis()
                        ),
                    )
                })
            }
            "kv-keep" => self.change(|state| match state.leases.get_mut(&id) {
                Some((ttl, end)) => {
                    *end = Instant::now() + *ttl;
                    ("200 OK", format!(r#"{{"ttlMs":{}}}"#, ttl.as_millis()))
                }
                None => ("404 Not Found", "{}".to_owned()),
            }),
            "kv-lease-end" => {
                self.change(|state| state.end_lease(id));
                ("200 OK", "{}".to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (&'static str, String) {
        self.change(|state| {
            let found = state
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
            let mut items: Vec<String> = found
                .take(PAGE + 1)
                .map(|(key, item)| show(key, item))
                .collect();
            let more = items.len() > PAGE;
            items.truncate(PAGE);
            (
                "200 OK",
                format!(
                    r#"{{"items":[{}],"morePages":{more},"asOf":{}}}"#,
                    items.join(","),
                    state.revision
                ),
            )
        })
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let end = Instant::now() + wait;
        let mut state = self.shared.0.lock().expect("a sound lock");
        loop {
            state.expire();
            let first = state
                .history
                .partition_point(|(revision, _, _)| *revision <= after);
            let new = state.history[first..]
                .iter()
                .filter(|(_, key, _)| key.starts_with(prefix));
            let events: Vec<&str> = new.map(|(_, _, shown)| shown.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (
                    "200 OK",
                    format!(
                        r#"{{"events":[{}],"asOf":{}}}"#,
                        events.join(","),
                        state.revision
                    ),
                );
            }
            let step = left.min(Duration::from_millis(100));
            state = self
                .shared
                .1
                .wait_timeout(state, step)
                .expect("a sound lock")
                .0;
        }
    }
}

fn transact(state: &mut State, json: &Json) -> (&'static str, String) {
    for row in json.get("precondition").list() {
        let is = state
            .items
            .get(row.get("key").text())
            .map_or(0, |item| item.revision);
        if is != row.get("revision").number() as u64 {
            return ("412 Precondition Failed", r#"{"items":[]}"#.to_owned());
        }
    }
    let leases = json
        .get("setKeys")
        .list()
        .iter()
        .map(|set| set.get("lease").number() as i64);
    if leases
        .filter(|lease| *lease != 0)
        .any(|lease| !state.leases.contains_key(&lease))
    {
        return ("404 Not Found", "{}".to_owned());
    }
    for set in json.get("setKeys").list() {
        state.put(
            set.get("key").text(),
            decode(set.get("value").text()),
            set.get("lease").number() as i64,
        );
    }
    for key in json.get("remove").list() {
        state.remove(key.text());
    }
    ("200 OK", format!(r#"{{"revision":{}}}"#, state.revision))
}

fn show(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        created,
        lease,
    } = item;
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{revision},"createdRev":{created},"lease":{lease}}}"#,
        encode(value)
    )
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let code = (*first == b'%').then(|| text_of(tail.get(..2)?)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn text_of(bytes: &[u8]) -> Option<&str> {
    std::str::from_utf8(bytes).ok()
}

fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |i: usize| u32::from(group.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let digit = ALPHABET[(bits >> (18 - 6 * i) & 63) as usize];
            text.push(if i <= group.len() { digit as char } else { '=' });
        }
    }
    text
}

fn decode(text: &str) -> Vec<u8> {
    let digits = text
        .bytes()
        .filter_map(|b| ALPHABET.iter().position(|a| *a == b));
    let digits: Vec<u32> = digits.map(|digit| digit as u32).collect();
    let mut bytes = Vec::new();
    for group in digits.chunks(4) {
        let bits = (0..4).fold(0, |bits, i| bits << 6 | group.get(i).copied().unwrap_or(0));
        bytes.extend_from_slice(&bits.to_be_bytes()[1..group.len()]);
    }
    bytes
}
