//! Simulation of the membership of a fleet in steps of fixed length. A message takes one step.

use std::collections::BTreeMap;
use std::time::Duration;

use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::{entity, membership, time, topology};
use pistachiochute_messages::{codec, control};
use rand::{Rng as _, SeedableRng as _};

use crate::membership::Fleet;

/// Length of a step, which is also the one-way delay of a message.
pub const STEP: Duration = Duration::from_millis(50);

/// Time after which a probe without an answer has failed.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Size of the headers of a TCP/IPv4 packet with timestamps, in bytes.
pub(crate) const PACKET_HEADER_BYTES: u64 = 52;

/// Number of packets that each end sends in an exchange: data, acknowledgement and window update.
const PACKETS_PER_EXCHANGE: u64 = 3;

/// Size of an h2 frame header, in bytes.
pub(crate) const FRAME_HEADER_BYTES: u64 = 9;

/// Size in bytes of the h2 frames other than data that each end sends in an exchange: headers, end
/// of stream, and a window update with its payload of 4 bytes. The header block is extra.
const CONTROL_FRAMES_BYTES: u64 = 3 * FRAME_HEADER_BYTES + 4;

/// Size of the header block of a request or response whose fields are in the dynamic table, in
/// bytes.
const HEADER_BLOCK_BYTES: u64 = 8;

/// Returns the bytes that one end of an exchange sends for a message, with all headers.
fn wire_bytes(message: &control::Message) -> eyre::Result<u64> {
    let body = codec::encode(message)?.len() as u64;
    let frames = FRAME_HEADER_BYTES + body + CONTROL_FRAMES_BYTES + HEADER_BLOCK_BYTES;
    Ok(frames + PACKETS_PER_EXCHANGE * PACKET_HEADER_BYTES)
}

/// Returns the bytes that each end sends in the exchange of a probe without updates.
pub fn empty_exchange_bytes() -> eyre::Result<u64> {
    let from = entity::HostId::from_index(0);
    let updates = smallvec::SmallVec::new();
    wire_bytes(&control::Message::Probe(membership::Probe {
        from,
        receiver: None,
        updates,
    }))
}

struct InFlight {
    from: usize,
    to: usize,
    probe: membership::Probe,
    is_answer: bool,
}

/// A simulated fleet, with the membership view of each host.
pub struct Simulation {
    now: time::Time,
    views: Vec<membership::Membership>,
    rng: rand_chacha::ChaCha8Rng,
    loss: f64,
    /// Messages in flight, by time of arrival.
    in_flight: BTreeMap<time::Time, Vec<InFlight>>,
    /// Exchanges that will time out, by time: the sender and the host that it probed.
    timeouts: BTreeMap<time::Time, Vec<(usize, usize)>>,
    sent: Vec<u64>,
    received: Vec<u64>,
}

impl Simulation {
    pub fn new(fleet: Fleet, cfg: membership::Config, seed: u64, loss: f64) -> Self {
        let now = time::Time::from_secs(1);
        let list = host_list(fleet);
        let view = |host: &topology::Host| {
            let mut view = membership::Membership::new(cfg, host.id, host.domain);
            view.apply_host_list(now, &list);
            view
        };
        let views: Vec<_> = list.hosts.iter().map(view).collect();
        Self {
            now,
            sent: vec![0; views.len()],
            received: vec![0; views.len()],
            views,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            loss,
            in_flight: BTreeMap::new(),
            timeouts: BTreeMap::new(),
        }
    }

    pub fn run(&mut self, span: Duration) -> eyre::Result<()> {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            self.deliver_due()?;
            self.expire_due()?;
            for i in 0..self.views.len() {
                let effects = self.views[i].tick(self.now);
                self.run_effects(i, effects)?;
            }
        }
        Ok(())
    }

    pub fn start_host_leave(&mut self, host: usize) {
        self.views[host].leave();
    }

    pub fn start_endpoint_leave(&mut self, host: usize, endpoint: entity::EndpointId) {
        self.views[host].set_endpoint_leaving(self.now, endpoint, true);
    }

    pub fn all_hosts_see_leaving(&self, endpoint: entity::EndpointId) -> bool {
        self.views.iter().all(|view| view.is_leaving(endpoint))
    }

    pub fn reset_traffic(&mut self) {
        self.sent.fill(0);
        self.received.fill(0);
    }

    /// Returns the bytes of the busiest host in its busier direction.
    pub fn busiest_bytes(&self) -> u64 {
        self.sent
            .iter()
            .chain(&self.received)
            .copied()
            .max()
            .unwrap_or_default()
    }

    fn deliver_due(&mut self) -> eyre::Result<()> {
        let later = self
            .in_flight
            .split_off(&(self.now + Duration::from_micros(1)));
        let due = std::mem::replace(&mut self.in_flight, later);
        for message in due.into_values().flatten() {
            let (i, probe) = (message.to, message.probe);
            if message.is_answer {
                let effects = self.views[i].handle_answer(self.now, &probe);
                self.run_effects(i, effects)?;
                continue;
            }
            let (answer, effects) = self.views[i].handle_probe(self.now, &probe);
            self.run_effects(i, effects)?;
            self.send(i, message.from, answer, true)?;
        }
        Ok(())
    }

    fn expire_due(&mut self) -> eyre::Result<()> {
        let later = self
            .timeouts
            .split_off(&(self.now + Duration::from_micros(1)));
        let due = std::mem::replace(&mut self.timeouts, later);
        for (from, to) in due.into_values().flatten() {
            let to = entity::HostId::from_index(to);
            let effects = self.views[from].handle_probe_failure(self.now, to, false);
            self.run_effects(from, effects)?;
        }
        Ok(())
    }

    fn run_effects(&mut self, at: usize, effects: membership::Effects) -> eyre::Result<()> {
        for effect in effects {
            if let membership::Effect::SendProbe { to, probe } = effect {
                self.send(at, to.index(), probe, false)?;
            }
        }
        Ok(())
    }

    fn send(
        &mut self,
        from: usize,
        to: usize,
        probe: membership::Probe,
        is_answer: bool,
    ) -> eyre::Result<()> {
        let bytes = wire_bytes(&control::Message::Probe(probe.clone()))?;
        self.sent[from] += bytes;
        self.received[to] += bytes;
        if self.rng.random_bool(self.loss) {
            let prober = if is_answer { (to, from) } else { (from, to) };
            self.timeouts
                .entry(self.now + TIMEOUT)
                .or_default()
                .push(prober);
            return Ok(());
        }
        let message = InFlight {
            from,
            to,
            probe,
            is_answer,
        };
        self.in_flight
            .entry(self.now + STEP)
            .or_default()
            .push(message);
        Ok(())
    }
}

fn host_list(fleet: Fleet) -> topology::HostList {
    let addr = std::net::SocketAddr::from((std::net::Ipv4Addr::LOCALHOST, 1));
    let presence = topology::Presence::Live;
    let domain = |i: usize| entity::DomainId::from_index(i / fleet.hosts);
    topology::HostList {
        version: 1,
        domains: (0..fleet.regions * fleet.domains)
            .map(|i| topology::Domain {
                id: entity::DomainId::from_index(i),
                region: entity::RegionId::from_index(i / fleet.domains),
            })
            .collect(),
        hosts: (0..fleet.len())
            .map(|i| topology::Host {
                id: entity::HostId::from_index(i),
                domain: domain(i),
                addr,
                presence,
            })
            .collect(),
        endpoints: vec![topology::Endpoint {
            id: entity::EndpointId::from_index(0),
            domain: domain(0),
            addr,
            serves: topology::Serves::Engine { models: Vec::new() },
            slots: 1,
            presence,
        }],
    }
}
