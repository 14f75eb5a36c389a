//! Host list of the platform, which lags behind reality.
//!
//! `GET /hosts` answers with a [`topology::HostList`] as JSON. A list that is set becomes visible
//! after a set lag.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use pistachiochute_core::topology;

use crate::{server, sync};

/// Changes that wait to become visible; beyond them the oldest become visible at once.
const MAX_PENDING: usize = 1024;

/// Faults of the host list; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are refused. Only [`HostListServer::set_faults`] ends this.
    pub refuse_connections: bool,
    /// Requests are taken and never answered.
    pub stall: bool,
    /// Requests are answered 503.
    pub down: bool,
    /// Answers are cut half-way.
    pub cut: bool,
}

/// A running host list.
#[derive(Debug)]
pub struct HostListServer {
    shared: Arc<Shared>,
    server: server::Server,
}

server::impl_stand_in!(HostListServer, Faults);

impl HostListServer {
    /// Starts a host list on a free loopback port.
    ///
    /// # Errors
    ///
    /// No address can be bound or a thread cannot be started.
    pub fn start(lag: Duration, list: topology::HostList) -> eyre::Result<Self> {
        Self::start_on(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), lag, list)
    }

    /// Starts a host list on an address. The first list is visible at once.
    ///
    /// # Errors
    ///
    /// The address cannot be bound or a thread cannot be started.
    pub fn start_on(
        addr: SocketAddr,
        lag: Duration,
        list: topology::HostList,
    ) -> eyre::Result<Self> {
        let make = |control| Shared {
            lists: Mutex::new(LaggedList {
                visible: list,
                pending: VecDeque::new(),
                lag,
                reads: 0,
            }),
            faults: server::FaultSwitch::new(Faults::default(), |faults| faults.refuse_connections),
            control,
        };
        let (shared, server) = server::Server::start(addr, make, Shared::handle)?;
        Ok(Self { shared, server })
    }

    /// Replaces the list; the change becomes visible after the lag.
    pub fn set(&self, list: topology::HostList) {
        sync::lock(&self.shared.lists).set(list);
    }

    /// The newest list, whether it is visible yet or not.
    #[must_use]
    pub fn latest(&self) -> topology::HostList {
        let lists = sync::lock(&self.shared.lists);
        lists
            .pending
            .back()
            .map_or(&lists.visible, |(_, list)| list)
            .clone()
    }

    /// Number of reads that were answered.
    #[must_use]
    pub fn reads(&self) -> u64 {
        sync::lock(&self.shared.lists).reads
    }
}

#[derive(Debug)]
struct LaggedList {
    visible: topology::HostList,
    pending: VecDeque<(Instant, topology::HostList)>,
    lag: Duration,
    reads: u64,
}

impl LaggedList {
    fn set(&mut self, list: topology::HostList) {
        if self.pending.len() == MAX_PENDING {
            self.publish_oldest();
        }
        self.pending.push_back((Instant::now() + self.lag, list));
    }

    fn publish_oldest(&mut self) {
        if let Some((_, list)) = self.pending.pop_front() {
            self.visible = list;
        }
    }

    fn read(&mut self) -> topology::HostList {
        let now = Instant::now();
        while self.pending.front().is_some_and(|(at, _)| *at <= now) {
            self.publish_oldest();
        }
        self.reads += 1;
        self.visible.clone()
    }
}

#[derive(Debug)]
struct Shared {
    lists: Mutex<LaggedList>,
    faults: server::FaultSwitch<Faults>,
    control: Arc<server::Control>,
}

impl Shared {
    fn handle(&self, exchange: server::Exchange) {
        if exchange.path() == "/faults" {
            return self.faults.handle_post(exchange, &self.control);
        }
        if (exchange.method(), exchange.path()) != ("GET", "/hosts") {
            return exchange.refuse(404, "not_found", "only GET /hosts");
        }
        let faults = self.faults.get();
        if faults.stall {
            return exchange.stall(&self.control, || self.faults.get().stall);
        }
        if faults.down {
            return exchange.refuse(503, "down", "the host list is down");
        }
        let list = sync::lock(&self.lists).read();
        if faults.cut {
            exchange.respond_truncated(&list);
        } else {
            exchange.respond(200, &list);
        }
    }
}
