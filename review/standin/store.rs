//! The platform's store: items with revisions, leases, watches, and outages.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json::{self, Value};

const PAGE_ITEMS: usize = 500;

/// How the store handles calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Serving,
    /// It is down: calls have no effect and get no answer. Leases pause.
    Silent,
}

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    end: Instant,
}

struct State {
    mode: Mode,
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::new(State {
                mode: Mode::Serving,
                revision: 100,
                items: BTreeMap::new(),
                history: Vec::new(),
                leases: HashMap::new(),
                last_lease: 7_000,
            }),
            changed: Condvar::new(),
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(100));
                expiring.expire();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic while locked")
    }

    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
        self.changed.notify_all();
    }

    /// Writes as the operator or a replica does. Returns whether the store took it.
    pub fn put(&self, key: &str, value: &str) -> bool {
        let mut state = self.lock();
        if state.mode != Mode::Serving {
            return false;
        }
        state.write(key, Some((value.as_bytes().to_vec(), 0)));
        self.changed.notify_all();
        true
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        if state.mode != Mode::Serving {
            // Leases pause while the store is down.
            for lease in state.leases.values_mut() {
                lease.end += Duration::from_millis(100);
            }
            return;
        }
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, l)| l.end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            state.end_lease(id);
            self.changed.notify_all();
        }
    }

    /// Starts a listener. It shows the second address of each pair in place of the first one.
    pub fn listen(self: &Arc<Self>, shown: Vec<(SocketAddr, SocketAddr)>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, shown) = (store.clone(), shown.clone());
                thread::spawn(move || store.serve(stream, &shown));
            }
        });
        addr
    }

    fn serve(&self, mut stream: TcpStream, shown: &[(SocketAddr, SocketAddr)]) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
        while let Ok(request) = http::read_request(&mut reader) {
            let Some((status, mut body)) = self.handle(&request) else {
                return;
            };
            if !shown.is_empty() {
                body = replace_addresses(&body, shown);
            }
            let extra = "Content-Type: application/json\r\n";
            if http::write_answer(&mut stream, status, extra, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Answers a call, or waits for the end of an outage and gives no answer.
    fn handle(&self, request: &Request) -> Option<(u16, String)> {
        let path = request.path().strip_prefix("/pistachiochute/")?;
        let (name, id) = path.split_once('/').unwrap_or((path, ""));
        let body = json::parse(&request.body).unwrap_or(Value::Null);
        let mut state = self.lock();
        if state.mode == Mode::Silent {
            while state.mode == Mode::Silent {
                state = self.changed.wait(state).expect("no panic while locked");
            }
            return None;
        }
        let now = Instant::now();
        let id: u64 = id.parse().unwrap_or(0);
        let answer = match (request.method.as_str(), name) {
            ("GET", "kv-range") => state.range(request),
            ("GET", "kv-watch") => return self.watch(state, request),
            ("POST", "kv-txn") => state.txn(&body),
            ("POST", "kv-lease") => {
                let ttl = Duration::from_millis(body.get("ttlMs").number().max(1_000.0) as u64);
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(
                    lease,
                    Lease {
                        ttl,
                        end: now + ttl,
                    },
                );
                (
                    200,
                    format!("{{\"lease\":{lease},\"ttlMs\":{}}}", ttl.as_millis()),
                )
            }
            ("POST", "kv-keep") => match state.leases.get_mut(&id) {
                Some(lease) => {
                    lease.end = now + lease.ttl;
                    (200, format!("{{\"ttlMs\":{}}}", lease.ttl.as_millis()))
                }
                None => (404, "{}".to_owned()),
            },
            ("DELETE", "kv-lease-end") => {
                state.end_lease(id);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        };
        self.changed.notify_all();
        Some(answer)
    }

    fn watch(&self, mut state: MutexGuard<'_, State>, request: &Request) -> Option<(u16, String)> {
        let prefix = request.query("prefix").unwrap_or("");
        let number = |name| request.query(name).and_then(|n| n.parse::<u64>().ok());
        let after = number("afterRevision").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        loop {
            if state.mode == Mode::Silent {
                while state.mode == Mode::Silent {
                    state = self.changed.wait(state).expect("no panic while locked");
                }
                return None;
            }
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}")
                    }
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let as_of = state.revision;
                let events = events.join(",");
                return Some((200, format!("{{\"events\":[{events}],\"asOf\":{as_of}}}")));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.expect("no panic while locked").0;
        }
    }
}

impl State {
    fn write(&mut self, key: &str, value: Option<(Vec<u8>, u64)>) {
        if value.is_none() && !self.items.contains_key(key) {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = value.map(|(value, lease)| Item {
            value,
            revision,
            created,
            lease,
        });
        match &item {
            Some(item) => self.items.insert(key.to_owned(), item.clone()),
            None => self.items.remove(key),
        };
        self.history.push((revision, key.to_owned(), item));
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of_lease = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.write(&key, None);
        }
    }

    fn range(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("prefix").unwrap_or("");
        // The page begins after a key, whatever the name of the parameter says.
        let after = request.query("afterRevision").unwrap_or("");
        let mut items = self
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let page: Vec<String> = items
            .by_ref()
            .take(PAGE_ITEMS)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let more = items.next().is_some();
        let as_of = self.revision;
        let page = page.join(",");
        (
            200,
            format!("{{\"items\":[{page}],\"morePages\":{more},\"asOf\":{as_of}}}"),
        )
    }

    fn txn(&mut self, body: &Value) -> (u16, String) {
        for row in body.get("precondition").list() {
            let revision = self
                .items
                .get(row.get("key").text())
                .map_or(0, |i| i.revision);
            if revision != row.get("revision").number() as u64 {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        for set in body.get("setKeys").list() {
            let lease = set.get("lease").number() as u64;
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for set in body.get("setKeys").list() {
            let value = json::unbase64(set.get("value").text());
            let lease = set.get("lease").number() as u64;
            self.write(set.get("key").text(), Some((value, lease)));
        }
        for key in body.get("remove").list() {
            self.write(key.text(), None);
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"createdRev\":{},\"lease\":{}}}",
        json::base64(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

/// Replaces addresses inside the values of an answer.
fn replace_addresses(body: &str, shown: &[(SocketAddr, SocketAddr)]) -> String {
    const START: &str = "\"value\":\"";
    let mut out = String::new();
    let mut rest = body;
    while let Some(start) = rest.find(START) {
        let value_at = start + START.len();
        let Some(length) = rest[value_at..].find('"') else {
            break;
        };
        let value = json::unbase64(&rest[value_at..value_at + length]);
        let mut text = String::from_utf8_lossy(&value).into_owned();
        for (from, to) in shown {
            text = text.replace(&format!("\"{from}\""), &format!("\"{to}\""));
        }
        out.push_str(&rest[..value_at]);
        out.push_str(&json::base64(text.as_bytes()));
        rest = &rest[value_at + length..];
    }
    out.push_str(rest);
    out
}
