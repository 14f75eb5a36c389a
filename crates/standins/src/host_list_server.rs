//! Server for the platform's host list, with a configurable propagation delay.
//!
//! `GET /hosts` answers with a [`topology::HostList`] as JSON. A new list becomes visible to
//! readers only after the delay.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use pistachiochute_core::topology;

use crate::{server, sync};

/// Maximum number of lists that wait to become visible. Beyond it the oldest is published early.
const MAX_PENDING: usize = 1024;

/// Faults of the host list; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Connections are refused, including those to `/faults`. Only
    /// [`HostListServer::set_faults`] clears this.
    pub refuse_connections: bool,
    /// Requests are accepted and not answered while the fault is set.
    pub stall: bool,
    /// Requests are answered 503.
    pub down: bool,
    /// The connection closes half-way through the body of an answer.
    pub cut: bool,
}

/// A running host list server.
#[derive(Debug)]
pub struct HostListServer {
    shared: Arc<Shared>,
    server: server::Server,
}

server::impl_stand_in!(HostListServer, Faults);

impl HostListServer {
    /// Starts a host list server on a free loopback port.
    ///
    /// # Errors
    ///
    /// No address can be bound or a thread cannot be started.
    pub fn start(lag: Duration, list: topology::HostList) -> eyre::Result<Self> {
        Self::start_on(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), lag, list)
    }

    /// Starts a host list server on an address. `list` is visible at once.
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

    /// Replaces the list; readers see the change after the delay.
    pub fn set(&self, list: topology::HostList) {
        sync::lock(&self.shared.lists).set(list);
    }

    /// The list that was set last, even if readers do not see it yet.
    #[must_use]
    pub fn latest(&self) -> topology::HostList {
        let lists = sync::lock(&self.shared.lists);
        lists
            .pending
            .back()
            .map_or(&lists.visible, |(_, list)| list)
            .clone()
    }

    /// Number of times that the list was read, including reads whose answer was cut.
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
