//! The fleet of the demo.

use std::time::{Duration, Instant};
use std::{net, thread};

use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::{entity, lists, revision, topology};
use pistachiochute_runtime::{host, metrics, settings};
use pistachiochute_standins::{engine, host_list_server, keyvalue, service};
use serde_json::{Value, json};

/// API key of the demo's account.
pub(super) const KEY: &str = "demo-key-of-the-farm";

/// Model that every engine serves.
pub(super) const MODEL: &str = "reader";

/// Service that books, whose calls may not be repeated.
pub(super) const SERVICE: &str = "bookings";

/// Failure domains.
const DOMAINS: usize = 3;

/// Entry hosts of each failure domain.
const HOSTS: usize = 2;

/// Engines of each failure domain.
const ENGINES: usize = 2;

/// Calls that a replica of the service runs at once.
const SERVICE_SLOTS: u32 = 4;

/// Time to generate one token.
pub(super) const TOKEN_TIME: Duration = Duration::from_millis(10);

/// Time until a change of the host list can be read.
const HOST_LIST_LAG: Duration = Duration::from_millis(300);

/// Longest time until a host that was started is ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Time between two looks at whether the hosts are ready.
const READY_POLL: Duration = Duration::from_millis(20);

/// Credential of the demo's operator.
pub(super) const OPERATOR: &str = "demo-credential-of-ana";

/// Revision of the lists in an empty store.
const NO_LISTS: revision::Revision = revision::Revision::NONE;

/// Offset of the ports for operators from those for callers.
const ADMIN_PORTS: u16 = 10;

/// Offset of the ports for links from those for callers.
const LINK_PORTS: u16 = 20;

/// Offset of the ports of the platform from those for callers.
const PLATFORM_PORTS: u16 = 30;

/// A host of the fleet.
#[derive(Debug)]
struct Member {
    /// Settings with the addresses that were bound, so that the host can start again on them.
    settings: settings::Settings,
    /// The host, unless it was stopped.
    host: Option<host::Host>,
}

/// Hosts with the stand-ins that they use.
#[derive(Debug)]
pub(super) struct Fleet {
    members: Vec<Member>,
    engines: Vec<engine::Engine>,
    /// One replica of the service in each failure domain.
    services: Vec<service::Service>,
    key_value: keyvalue::KeyValue,
    host_list: host_list_server::HostListServer,
    list: topology::HostList,
}

impl Fleet {
    /// Starts the stand-ins and the hosts. With port 0 every address is a free one.
    ///
    /// # Errors
    ///
    /// Returns an error that names the part that cannot start.
    pub(super) fn start(port: u16) -> eyre::Result<Self> {
        let key_value = keyvalue::KeyValue::start_on(local(port, PLATFORM_PORTS))?;
        let engines: eyre::Result<Vec<_>> =
            (0..DOMAINS * ENGINES).map(|_| start_engine()).collect();
        let engines = engines?;
        let services: eyre::Result<Vec<_>> = (0..DOMAINS)
            .map(|_| service::Service::start(service::Settings::default()))
            .collect();
        let services = services?;
        let mut list = host_list(&engines)?;
        list.endpoints.extend(service_entries(&services)?);
        let host_list = host_list_server::HostListServer::start_on(
            local(port, PLATFORM_PORTS + 1),
            HOST_LIST_LAG,
            topology::HostList::default(),
        )?;
        let mut members = Vec::new();
        for number in 0..DOMAINS * HOSTS {
            let settings = host_settings(port, number, key_value.addr(), host_list.addr())?;
            let member = Member::start(settings)?;
            list.hosts.push(entry(number, member.settings.listen.links));
            members.push(member);
        }
        let fleet = Self {
            members,
            engines,
            services,
            key_value,
            host_list,
            list,
        };
        fleet.host_list.set(fleet.list.clone());
        fleet.put_lists()?;
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    /// Address for callers of a host.
    pub(super) fn callers(&self, number: usize) -> net::SocketAddr {
        self.members[number % self.members.len()]
            .settings
            .listen
            .callers
    }

    /// Number of hosts.
    pub(super) fn hosts(&self) -> usize {
        self.members.len()
    }

    /// Runs of each engine so far.
    pub(super) fn runs(&self) -> Vec<usize> {
        let runs = |engine: &engine::Engine| engine.counters().runs.len();
        self.engines.iter().map(runs).collect()
    }

    /// Calls of the service that ran, over all replicas.
    pub(super) fn bookings(&self) -> u64 {
        self.services
            .iter()
            .map(|service| service.counters().runs)
            .sum()
    }

    /// Shows an engine as live or leaving in the host list.
    pub(super) fn set_presence(&mut self, engine: usize, presence: topology::Presence) {
        self.list.endpoints[engine].presence = presence;
        self.list.version += 1;
        self.host_list.set(self.list.clone());
    }

    /// Stops a host as planned and returns how its drain ended, or `None` if it was stopped.
    pub(super) fn stop(&mut self, number: usize) -> Option<host::DrainResult> {
        let host = self.members[number].host.take()?;
        let drained = host.drain();
        host.close();
        Some(drained)
    }

    /// Starts a host again that was stopped.
    ///
    /// # Errors
    ///
    /// Returns an error if the host cannot start.
    pub(super) fn restart(&mut self, number: usize) -> eyre::Result<()> {
        self.members[number] = Member::start(self.members[number].settings.clone())?;
        self.wait_until_ready()
    }

    /// Waits until every host that runs may get requests.
    fn wait_until_ready(&self) -> eyre::Result<()> {
        let until = Instant::now() + START_TIMEOUT;
        let ready = |host: &host::Host| host.control().status().is_some_and(|status| status.ready);
        while !self.running().all(ready) {
            eyre::ensure!(
                Instant::now() < until,
                "a host is not ready after {START_TIMEOUT:?}"
            );
            thread::sleep(READY_POLL);
        }
        Ok(())
    }

    fn running(&self) -> impl Iterator<Item = &host::Host> {
        self.members
            .iter()
            .filter_map(|member| member.host.as_ref())
    }

    /// Records the lists through the administration API, as an operator does.
    fn put_lists(&self) -> eyre::Result<()> {
        let url = format!("http://{}/v1/lists", self.members[0].settings.listen.admin);
        let resp = attohttpc::put(url)
            .header("authorization", format!("Bearer {OPERATOR}"))
            .header("if-match", NO_LISTS.to_string())
            .json(&lists()?)?
            .send()?;
        let status = resp.status();
        eyre::ensure!(
            status.is_success(),
            "the lists were answered {status}: {}",
            resp.text()?
        );
        Ok(())
    }

    /// Address for operators of a host.
    pub(super) fn admin(&self, number: usize) -> net::SocketAddr {
        self.members[number % self.members.len()]
            .settings
            .listen
            .admin
    }

    /// Ends the hosts and the stand-ins.
    pub(super) fn close(self) {
        for member in self.members {
            if let Some(host) = member.host {
                host.close();
            }
        }
        for engine in self.engines {
            engine.close();
        }
        for service in self.services {
            service.close();
        }
        self.host_list.close();
        self.key_value.close();
    }
}

impl Member {
    fn start(mut settings: settings::Settings) -> eyre::Result<Self> {
        let sockets = host::Sockets::bind(&settings.listen)?;
        settings.listen.callers = sockets.callers.local_addr()?;
        settings.listen.links = sockets.links.local_addr()?;
        settings.listen.admin = sockets.admin.local_addr()?;
        let metrics = metrics::Metrics::new()?;
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let host = host::Host::start(settings.clone(), sockets, metrics, log)?;
        Ok(Self {
            settings,
            host: Some(host),
        })
    }
}

/// Loopback address at an offset from the first port, or at a free port.
fn local(port: u16, offset: u16) -> net::SocketAddr {
    let port = if port == 0 {
        0
    } else {
        port.saturating_add(offset)
    };
    net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, port))
}

fn host_settings(
    port: u16,
    number: usize,
    key_value: net::SocketAddr,
    host_list: net::SocketAddr,
) -> eyre::Result<settings::Settings> {
    let offset = number as u16;
    let document = json!({
        "host": {
            "id": entity::HostId::from_index(number),
            "domain": entity::DomainId::from_index(number / HOSTS),
            "region": entity::RegionId::from_index(0),
        },
        "listen": {
            "callers": local(port, offset),
            "admin": local(port, ADMIN_PORTS + offset),
            "links": local(port, LINK_PORTS + offset),
        },
        "platform": { "key_value": [key_value], "host_list": host_list },
        "credentials": {
            "link": "a secret that only the demo uses",
            "operators": [{
                "name": "ana",
                "digest": lists::KeyDigest::of(OPERATOR.as_bytes()).to_string(),
                "accounts": ["*"],
                "plans": ["*"],
            }],
        },
    });
    settings::Settings::parse(&document.to_string()).map_err(|findings| {
        let findings: Vec<_> = findings.iter().map(ToString::to_string).collect();
        eyre::eyre!("settings of the demo: {}", findings.join("; "))
    })
}

fn start_engine() -> eyre::Result<engine::Engine> {
    engine::Engine::start(engine::Settings {
        models: vec![MODEL.parse()?],
        token_time: TOKEN_TIME,
        ..engine::Settings::default()
    })
}

fn host_list(engines: &[engine::Engine]) -> eyre::Result<topology::HostList> {
    let region = entity::RegionId::from_index(0);
    let domain = |d| topology::Domain {
        id: entity::DomainId::from_index(d),
        region,
    };
    let endpoint = |(number, engine): (usize, &engine::Engine)| -> eyre::Result<_> {
        Ok(topology::Endpoint {
            id: entity::EndpointId::from_index(number),
            domain: entity::DomainId::from_index(number / ENGINES),
            addr: engine.addr(),
            serves: topology::Serves::Engine {
                models: vec![MODEL.parse()?],
            },
            slots: engine::Settings::default().slots,
            presence: topology::Presence::Live,
        })
    };
    let endpoints: eyre::Result<_> = engines.iter().enumerate().map(endpoint).collect();
    Ok(topology::HostList {
        version: 1,
        domains: (0..DOMAINS).map(domain).collect(),
        hosts: Vec::new(),
        endpoints: endpoints?,
    })
}

fn service_entries(services: &[service::Service]) -> eyre::Result<Vec<topology::Endpoint>> {
    let entry = |(number, service): (usize, &service::Service)| -> eyre::Result<_> {
        Ok(topology::Endpoint {
            id: entity::EndpointId::from_index(DOMAINS * ENGINES + number),
            domain: entity::DomainId::from_index(number),
            addr: service.addr(),
            serves: topology::Serves::Service {
                name: SERVICE.parse()?,
            },
            slots: SERVICE_SLOTS,
            presence: topology::Presence::Live,
        })
    };
    services.iter().enumerate().map(entry).collect()
}

fn entry(number: usize, links: net::SocketAddr) -> topology::Host {
    topology::Host {
        id: entity::HostId::from_index(number),
        domain: entity::DomainId::from_index(number / HOSTS),
        addr: links,
        presence: topology::Presence::Live,
    }
}

/// The two lists: one account with a plan that allows [`MODEL`].
fn lists() -> eyre::Result<lists::Lists> {
    let digest = lists::KeyDigest::of(KEY.as_bytes());
    let document: Value = json!({
        "accounts": { "farm": { "plan": "basic", "key_digests": [digest] } },
        "plans": {
            "basic": {
                "models": [MODEL],
                "services": [SERVICE],
                "requests_per_minute": 60_000,
                "tokens_per_minute": 60_000_000,
                "in_flight": 64,
                "longest_answer": 4_096,
            },
        },
    });
    Ok(serde_json::from_value(document)?)
}
