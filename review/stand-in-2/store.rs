//! Stand-in of the platform's store, as PROTOCOL.md describes it: items with revisions, watches, leases.
//! It can be taken down and come back from a copy.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Head, parameter};
use crate::json::{Json, base64, quoted};

/// Bounds of a page.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone)]
struct Item {
    /// In Base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Event {
    revision: u64,
    key: String,
    /// `None` if the key was removed.
    item: Option<Item>,
}

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// What a copy holds.
#[derive(Clone)]
struct Content {
    revision: u64,
    next_lease: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    history: Vec<Event>,
}

struct State {
    content: Content,
    era: u64,
    is_down: bool,
    /// Until when watches that wait are cut.
    cut_until: Option<Instant>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

/// A copy of the store's content.
pub struct Copy(Content);

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let content = Content {
            revision: 100,
            next_lease: 7_000,
            items: BTreeMap::new(),
            leases: BTreeMap::new(),
            history: Vec::new(),
        };
        let state = State {
            content,
            era: 1,
            is_down: false,
            cut_until: None,
        };
        let store = Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            address,
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || expiring.expire_leases());
        store
    }

    /// Writes an item as the operator or a replica does. Returns its revision, which acknowledges it.
    pub fn put(&self, key: &str, value: &str) -> Option<u64> {
        let mut state = self.state.0.lock().unwrap();
        if state.is_down {
            return None;
        }
        state.content.revision += 1;
        state.content.put(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
        Some(state.content.revision)
    }

    pub fn remove(&self, key: &str) -> Option<u64> {
        let mut state = self.state.0.lock().unwrap();
        if state.is_down {
            return None;
        }
        state.content.revision += 1;
        state.content.remove(key);
        self.state.1.notify_all();
        Some(state.content.revision)
    }

    pub fn revision(&self) -> u64 {
        self.state.0.lock().unwrap().content.revision
    }

    pub fn copy(&self) -> Copy {
        Copy(self.state.0.lock().unwrap().content.clone())
    }

    /// Writes an item with bytes that are no text.
    pub fn put_bytes(&self, key: &str, value: &[u8]) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        state.content.revision += 1;
        state.content.put(key, base64(value), 0);
        self.state.1.notify_all();
        state.content.revision
    }

    /// Cuts the watches that wait within a time.
    pub fn cut_watches(&self, span: Duration) {
        self.state.0.lock().unwrap().cut_until = Some(Instant::now() + span);
        self.state.1.notify_all();
    }

    /// Takes the store away: calls get 503, connections that wait are closed.
    pub fn go_down(&self) {
        self.state.0.lock().unwrap().is_down = true;
        self.state.1.notify_all();
    }

    /// Brings the store back from a copy. Its leases go on from now.
    pub fn come_back_from(&self, copy: Copy) {
        let mut state = self.state.0.lock().unwrap();
        state.content = copy.0;
        for lease in state.content.leases.values_mut() {
            lease.ends = Instant::now() + lease.ttl;
        }
        state.era += 1;
        state.is_down = false;
    }

    fn expire_leases(&self) {
        loop {
            thread::sleep(Duration::from_millis(50));
            let mut state = self.state.0.lock().unwrap();
            // While the store is down, leases pause.
            if state.is_down {
                for lease in state.content.leases.values_mut() {
                    lease.ends += Duration::from_millis(50);
                }
                continue;
            }
            let now = Instant::now();
            let leases = state.content.leases.iter();
            let ended: Vec<u64> = leases
                .filter(|(_, l)| l.ends <= now)
                .map(|(id, _)| *id)
                .collect();
            for id in ended {
                state.content.end_lease(id);
            }
            self.state.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let mut stream = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut stream) {
            let Ok(body) = http::read_body(&mut stream, &head) else {
                return;
            };
            let body = String::from_utf8_lossy(&body).into_owned();
            let Some((status, text)) = self.call(&head, &body) else {
                return;
            };
            let era = self.state.0.lock().unwrap().era;
            let fields = [
                ("Content-Type", "application/json".to_owned()),
                ("Store-Era", era.to_string()),
            ];
            if http::answer(stream.get_mut(), status, &fields, text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Answers a call, or closes its connection.
    fn call(&self, head: &Head, body: &str) -> Option<(u16, String)> {
        let (path, query) = head.target();
        let call = path.strip_prefix("/pistachiochute/")?;
        if self.state.0.lock().unwrap().is_down {
            return Some((503, "{}".to_owned()));
        }
        if call == "kv-watch" {
            return self.watch(query);
        }
        let mut state = self.state.0.lock().unwrap();
        let content = &mut state.content;
        let (name, id) = call.split_once('/').unwrap_or((call, ""));
        let answer = match name {
            "kv-key" => content.item(parameter(query, "key")?),
            "kv-range" => content.range(query),
            "kv-txn" => content.txn(&Json::parse(body)?),
            "kv-lease" => {
                let ttl = Json::parse(body)?
                    .get("ttlMs")?
                    .number()?
                    .clamp(1_000.0, 600_000.0);
                content.next_lease += 1;
                let id = content.next_lease;
                let ttl = Duration::from_millis(ttl as u64);
                content.leases.insert(
                    id,
                    Lease {
                        ttl,
                        ends: Instant::now() + ttl,
                    },
                );
                (
                    200,
                    format!("{{\"lease\":{id},\"ttlMs\":{}}}", ttl.as_millis()),
                )
            }
            "kv-keep" => match content.leases.get_mut(&id.parse().ok()?) {
                None => (404, "{}".to_owned()),
                Some(lease) => {
                    lease.ends = Instant::now() + lease.ttl;
                    (200, format!("{{\"ttlMs\":{}}}", lease.ttl.as_millis()))
                }
            },
            "kv-lease-end" => {
                content.end_lease(id.parse().ok()?);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        };
        self.state.1.notify_all();
        Some(answer)
    }

    fn watch(&self, query: &str) -> Option<(u16, String)> {
        let prefix = parameter(query, "prefix").unwrap_or("").to_owned();
        let after: u64 = parameter(query, "afterRevision")?.parse().ok()?;
        let wait: u64 = parameter(query, "waitMs")?.parse().ok()?;
        let end = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.0.lock().unwrap();
        let era = state.era;
        loop {
            // A watch that waits may be cut; one that waited through an outage is.
            let is_cut = state.cut_until.is_some_and(|until| Instant::now() < until);
            if state.is_down || state.era != era || is_cut {
                return None;
            }
            let content = &state.content;
            if after > content.revision {
                return Some((410, "{}".to_owned()));
            }
            let events: Vec<String> = content
                .history
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(&prefix))
                .map(Event::to_json)
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let (events, as_of) = (events.join(","), content.revision);
                return Some((200, format!("{{\"events\":[{events}],\"asOf\":{as_of}}}")));
            }
            state = self.state.1.wait_timeout(state, end - now).unwrap().0;
        }
    }
}

impl Event {
    fn to_json(&self) -> String {
        match &self.item {
            Some(item) => item.to_json(&self.key),
            None => format!(
                "{{\"key\":{},\"revision\":{},\"tombstone\":true}}",
                quoted(&self.key),
                self.revision
            ),
        }
    }
}

impl Item {
    fn to_json(&self, key: &str) -> String {
        format!(
            "{{\"key\":{},\"value\":{},\"revision\":{},\"createdRev\":{},\"lease\":{}}}",
            quoted(key),
            quoted(&self.value),
            self.revision,
            self.created,
            self.lease
        )
    }
}

impl Content {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Event {
            revision,
            key: key.to_owned(),
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            self.history.push(Event {
                revision,
                key: key.to_owned(),
                item: None,
            });
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let items = self.items.iter();
        let keys: Vec<String> = items
            .filter(|(_, item)| item.lease == id)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    fn item(&self, key: &str) -> (u16, String) {
        match self.items.get(key) {
            None => (404, format!("{{\"asOf\":{}}}", self.revision)),
            Some(item) => {
                let text = item.to_json(key);
                (
                    200,
                    format!("{},\"asOf\":{}}}", &text[..text.len() - 1], self.revision),
                )
            }
        }
    }

    fn range(&self, query: &str) -> (u16, String) {
        let prefix = http::decoded(parameter(query, "prefix").unwrap_or(""));
        let after = http::decoded(parameter(query, "afterRevision").unwrap_or(""));
        let items = self.items.iter();
        let mut found = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let mut page: Vec<String> = Vec::new();
        let mut bytes = 0;
        while page.len() < PAGE_ITEMS && bytes < PAGE_BYTES {
            let Some((key, item)) = found.next() else {
                break;
            };
            page.push(item.to_json(key));
            bytes += page[page.len() - 1].len();
        }
        let more = found.next().is_some();
        let text = format!(
            "{{\"items\":[{}],\"morePages\":{more},\"asOf\":{}}}",
            page.join(","),
            self.revision
        );
        (200, text)
    }

    fn txn(&mut self, txn: &Json) -> (u16, String) {
        let list = |name: &str| txn.get(name).map(Json::list).unwrap_or(&[]).to_vec();
        let text =
            |row: &Json, name: &str| row.get(name).and_then(Json::text).unwrap_or("").to_owned();
        let number = |row: &Json, name: &str| row.get(name).and_then(Json::number).unwrap_or(0.0);
        for row in list("precondition") {
            let found = self
                .items
                .get(&text(&row, "key"))
                .map_or(0, |item| item.revision);
            if found != number(&row, "revision") as u64 {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        for row in list("setKeys") {
            let lease = number(&row, "lease") as u64;
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
            let key = text(&row, "key");
            if key.starts_with("op/") || key.starts_with("servers/") {
                return (403, "{}".to_owned());
            }
        }
        self.revision += 1;
        for row in list("setKeys") {
            let lease = number(&row, "lease") as u64;
            self.put(&text(&row, "key"), text(&row, "value"), lease);
        }
        for key in list("remove") {
            self.remove(key.text().unwrap_or(""));
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}
