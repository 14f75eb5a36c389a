//! Test fleet on loopback: linked hosts, engines and a key-value service.

#![allow(dead_code, reason = "each test file uses a part")]

use std::io::{BufRead as _, BufReader};
use std::net;
use std::sync::Arc;
use std::time::{Duration, Instant};

use pistachiochute_core::{entity, lists, revision, topology};
use pistachiochute_runtime::lists::store;
use pistachiochute_runtime::platform::etcd;
use pistachiochute_runtime::{host, metrics, settings};
use pistachiochute_standins::{engine, keyvalue};
use serde_json::{Value, json};

/// API key of the account `farm`.
pub const API_KEY: &str = "farm-key";

/// Credential of an operator who may edit all accounts and plans.
pub const OPERATOR: &str = "credential of ana";

/// Credential of an operator who may edit only the account `farm`.
pub const RESTRICTED_OPERATOR: &str = "credential of bo";

/// Model that every engine serves.
pub const MODEL: &str = "m1";

/// A host with its settings and addresses.
pub struct Member {
    pub id: entity::HostId,
    pub host: host::Host,
    pub callers: net::SocketAddr,
    pub admin: net::SocketAddr,
    pub settings: settings::Settings,
}

/// Hosts, engines and a key-value service in one region.
pub struct Fleet {
    pub members: Vec<Member>,
    pub engines: Vec<(entity::EndpointId, engine::Engine)>,
    pub list: topology::HostList,
    pub key_value: keyvalue::KeyValue,
}

/// Configuration of a fleet.
pub struct FleetConfig {
    pub domains: u32,
    pub hosts: u32,
    pub engines: u32,
    /// Settings of each engine.
    pub engine: engine::Settings,
    /// Sections to add to the settings of each host, or to replace in them.
    pub settings: Value,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            domains: 1,
            hosts: 2,
            engines: 1,
            engine: engine_settings(),
            settings: json!({}),
        }
    }
}

pub fn engine_settings() -> engine::Settings {
    engine::Settings {
        models: vec![MODEL.parse().expect("a name")],
        answer_tokens: 5,
        ..engine::Settings::default()
    }
}

fn listener() -> net::TcpListener {
    net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).expect("a free port")
}

fn addr(listener: &net::TcpListener) -> net::SocketAddr {
    listener.local_addr().expect("a bound address")
}

fn operator(name: &str, credential: &str, accounts: &[&str], plans: &[&str]) -> Value {
    let digest = lists::KeyDigest::of(credential.as_bytes()).to_string();
    json!({ "name": name, "digest": digest, "accounts": accounts, "plans": plans })
}

fn host_settings(
    id: u32,
    domain: u32,
    sockets: &host::Sockets,
    key_value: net::SocketAddr,
    extra: &Value,
) -> settings::Settings {
    let mut document = json!({
        "host": { "id": format!("host{id}"), "domain": format!("dom{domain}"), "region": "reg0" },
        "listen": {
            "callers": addr(&sockets.callers),
            "admin": addr(&sockets.admin),
            "links": addr(&sockets.links),
        },
        "platform": { "key_value": [key_value], "host_list": "127.0.0.1:3" },
        "credentials": {
            "link": "a secret of the links",
            "operators": [
                operator("ana", OPERATOR, &["*"], &["*"]),
                operator("bo", RESTRICTED_OPERATOR, &["farm"], &[]),
            ],
        },
    });
    for (section, value) in extra.as_object().expect("an object of sections") {
        document[section] = value.clone();
    }
    settings::Settings::parse(&document.to_string()).expect("valid settings")
}

/// Lists with one account that may use [`MODEL`] and the service `bookings`.
pub fn lists() -> lists::Lists {
    serde_json::from_value(json!({
        "accounts": {
            "farm": {
                "plan": "basic",
                "key_digests": [lists::KeyDigest::of(API_KEY.as_bytes()).to_string()],
            },
        },
        "plans": {
            "basic": {
                "models": [MODEL],
                "services": ["bookings"],
                "requests_per_minute": 60_000,
                "tokens_per_minute": 60_000_000,
                "in_flight": 1_000,
                "longest_answer": 4_096,
            },
        },
    }))
    .expect("valid lists")
}

fn start_host(settings: settings::Settings, sockets: host::Sockets) -> host::Host {
    let metrics = metrics::Metrics::new().expect("metrics");
    let log = slog::Logger::root(slog::Discard, slog::o!());
    host::Host::start(settings, sockets, metrics, log).expect("a host")
}

impl Fleet {
    pub fn start(config: &FleetConfig) -> Self {
        let mut list = topology::HostList {
            version: 1,
            ..topology::HostList::default()
        };
        let key_value = keyvalue::KeyValue::start().expect("a key-value service");
        record_lists(key_value.addr(), &lists());
        let mut engines = Vec::new();
        let mut bound = Vec::new();
        for d in 0..config.domains {
            let domain = format!("dom{d}").parse().expect("a domain");
            let region = "reg0".parse().expect("a region");
            list.domains.push(topology::Domain { id: domain, region });
            for i in 0..config.hosts {
                let sockets = host::Sockets {
                    callers: listener(),
                    links: listener(),
                    admin: listener(),
                };
                let number = d * config.hosts + i;
                let id = format!("host{number}").parse().expect("a host");
                let addr = addr(&sockets.links);
                let presence = topology::Presence::Live;
                list.hosts.push(topology::Host {
                    id,
                    domain,
                    addr,
                    presence,
                });
                bound.push((number, d, id, sockets));
            }
            for i in 0..config.engines {
                let engine = engine::Engine::start(config.engine.clone()).expect("an engine");
                let id = format!("ep{}", d * config.engines + i)
                    .parse()
                    .expect("an endpoint");
                list.endpoints.push(topology::Endpoint {
                    id,
                    domain,
                    addr: engine.addr(),
                    serves: topology::Serves::Engine {
                        models: config.engine.models.clone(),
                    },
                    slots: config.engine.slots,
                    presence: topology::Presence::Live,
                });
                engines.push((id, engine));
            }
        }
        let start = |(number, d, id, sockets): (u32, u32, entity::HostId, host::Sockets)| {
            let settings = host_settings(number, d, &sockets, key_value.addr(), &config.settings);
            let callers = addr(&sockets.callers);
            let admin = addr(&sockets.admin);
            let host = start_host(settings.clone(), sockets);
            Member {
                id,
                host,
                callers,
                admin,
                settings,
            }
        };
        let members = bound.into_iter().map(start).collect();
        let fleet = Self {
            members,
            engines,
            list,
            key_value,
        };
        fleet.publish_host_list();
        assert!(
            eventually(|| fleet.ready()),
            "the fleet did not become ready"
        );
        fleet
    }

    /// Sends the current host list to every host.
    pub fn publish_host_list(&self) {
        for member in &self.members {
            member.host.control().update_host_list(self.list.clone());
        }
    }

    /// Changes the host list and sends it to every host.
    pub fn update_host_list<F>(&mut self, change: F)
    where
        F: FnOnce(&mut topology::HostList),
    {
        change(&mut self.list);
        self.list.version += 1;
        self.publish_host_list();
    }

    /// Closes a host and starts it again without its state, on the same addresses.
    pub fn restart(&mut self, index: usize) {
        let member = self.members.remove(index);
        let settings = member.settings.clone();
        member.host.close();
        let sockets = host::Sockets::bind(&settings.listen).expect("the addresses are free");
        let host = start_host(settings.clone(), sockets);
        host.control().update_host_list(self.list.clone());
        let member = Member {
            host,
            settings,
            ..member
        };
        self.members.insert(index, member);
    }

    /// Whether every host accepts requests.
    pub fn ready(&self) -> bool {
        let statuses = self
            .members
            .iter()
            .map(|member| member.host.control().status());
        statuses
            .into_iter()
            .all(|status| status.is_some_and(|status| status.ready))
    }

    /// Records lists in the store and waits until every host has applied them.
    pub fn set_lists(&self, lists: &lists::Lists) {
        let revision = record_lists(self.key_value.addr(), lists);
        let in_force = |member: &Member| {
            member
                .host
                .control()
                .status()
                .is_some_and(|status| status.revision >= revision)
        };
        assert!(
            eventually(|| self.members.iter().all(in_force)),
            "the lists were not applied by every host"
        );
    }

    pub fn close(self) {
        for member in self.members {
            member.host.close();
        }
        for (_, engine) in self.engines {
            engine.close();
        }
        self.key_value.close();
    }
}

/// Records lists in a store as an edit by the fleet, and returns their revision.
pub fn record_lists(addr: net::SocketAddr, lists: &lists::Lists) -> revision::Revision {
    let kv = etcd::Etcd::new(etcd::Settings {
        addrs: vec![addr],
        call_timeout: Duration::from_secs(5),
        watch_idle: Duration::from_secs(5),
        watch_retry: Duration::from_millis(100),
    });
    let store = store::Store::new(Arc::new(kv));
    let read = store.read().expect("the store answers");
    let before = read.stored.snapshot();
    let record = lists::storage::Record {
        edit: lists::storage::EditId(uuid::Uuid::now_v7()),
        author: lists::storage::Author::Fleet,
        at_ms: 0,
        delta: lists::Delta::after(before.version, before.lists.changes_to(lists)),
    };
    let answer = store.commit(read.cas_version, &record);
    assert_eq!(answer, lists::edit::CommitResult::Committed);
    record.delta.to.revision
}

/// Builds the body of a chat request.
pub fn chat_body(text: &str, stream: bool, tokens: u32) -> Value {
    json!({
        "model": MODEL,
        "stream": stream,
        "max_tokens": tokens,
        "messages": [{ "role": "user", "content": text }],
    })
}

/// Sends a chat request for the account `farm`.
pub fn chat(callers: net::SocketAddr, body: &Value) -> attohttpc::Result<attohttpc::Response> {
    attohttpc::post(format!("http://{callers}/v1/chat/completions"))
        .header("authorization", format!("Bearer {API_KEY}"))
        .timeout(Duration::from_secs(20))
        .json(body)?
        .send()
}

/// Reads a stream: the data and arrival time of each event, and how the stream ended.
pub fn events(resp: attohttpc::Response) -> (Vec<(String, Instant)>, Result<(), std::io::Error>) {
    let mut events = Vec::new();
    for line in BufReader::new(resp).lines() {
        match line {
            Ok(line) => {
                if let Some(data) = line.strip_prefix("data: ") {
                    events.push((data.to_owned(), Instant::now()));
                }
            }
            Err(e) => return (events, Err(e)),
        }
    }
    (events, Ok(()))
}

/// Returns the value of a header, or an empty string.
pub fn header(resp: &attohttpc::Response, name: &str) -> String {
    let value = resp
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Polls `holds` for up to ten seconds, and returns whether it became true.
pub fn eventually<F>(mut holds: F) -> bool
where
    F: FnMut() -> bool,
{
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        if holds() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    false
}
