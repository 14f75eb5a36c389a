//! State shared by the control and the traffic thread of a host.

use std::net;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use crossbeam::queue::SegQueue;
use pistachiochute_core::choice::load;
use pistachiochute_core::membership::load_reports;
use pistachiochute_core::memory::Limits;
use pistachiochute_core::{admission, catalog, directory, quarantine, rate_limits, streams, time};
use pistachiochute_messages::peer;
use tokio::sync::{mpsc, oneshot, watch};

use crate::traffic::{forwarding, memory};

/// Time in which the control thread answers a query for the origin of a stream.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Queries for the origins of streams that wait for the control thread. Those beyond are not
/// answered.
const MAX_WAITING_QUERIES: usize = 4_096;

/// Requests of other hosts that wait for the traffic thread. Those beyond are refused.
const MAX_WAITING_FORWARDED: usize = 1_024;

/// Crashes that wait for the control thread. Those beyond are not reported.
const MAX_WAITING_CRASHES: usize = 1_024;

/// Immutable snapshot of the routing state.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Incremented with each published view.
    pub generation: u64,
    /// Catalog in force, or `None` before the first one arrives.
    pub catalog: Option<Arc<catalog::Catalog>>,
    /// Endpoints that take new requests.
    pub endpoints: Vec<Arc<directory::Endpoint>>,
    /// Draining endpoints, and those of evacuated failure domains: they finish their requests and take
    /// no new ones.
    pub leaving: Vec<Arc<directory::Endpoint>>,
    /// Failure domains that operators have evacuated.
    pub evacuated: Vec<Arc<str>>,
    /// Failure domains that operators have taken back lately.
    pub returned: Vec<directory::ReturnedDomain>,
    /// Services that have had several software versions lately.
    pub contested: Vec<Arc<str>>,
    /// Number of live hosts of the fleet, including this one.
    pub hosts: u32,
    /// Hashes of the live hosts, sorted.
    pub host_hashes: Vec<u64>,
    /// Hashes of the hosts that were seen within the last minute, sorted.
    pub known_host_hashes: Vec<u64>,
    /// The live hosts but this one.
    pub peers: Vec<Arc<Peer>>,
}

/// Another host that requests can be passed to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name.
    pub name: Arc<str>,
    /// Hash of the name.
    pub hash: u64,
    /// Address that it accepts links on.
    pub links: net::SocketAddr,
}

/// Hash of a host's name, the same on every host.
pub(crate) fn host_hash(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes())
}

impl View {
    /// Whether there is a catalog and at least one endpoint, so that requests can be served. While all
    /// endpoints are evacuated, they can be refused for that reason.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        self.catalog.is_some() && !(self.endpoints.is_empty() && self.evacuated.is_empty())
    }
}

/// Phases of a graceful stop, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Normal operation.
    Serving,
    /// The health check fails and answers carry `Connection: close`, but requests are still
    /// accepted.
    Leaving,
    /// Idle connections are closed, and the remaining requests are finished.
    Closing,
    /// All requests have ended or were cut off.
    Stopped,
}

/// A query of the traffic thread for the version that began a stream.
#[derive(Debug)]
pub(crate) struct OriginRequest {
    /// The query.
    pub(crate) query: streams::OriginQuery,
    /// Takes the answer.
    pub(crate) reply: oneshot::Sender<streams::Answer>,
}

/// What a report has shown of the incarnation of an endpoint.
#[derive(Clone, Debug)]
pub struct ObservedSign {
    /// The incarnation whose entry named the address.
    pub endpoint: directory::Identity,
    /// What was shown.
    pub sign: streams::LifeSign,
}

/// A write of an endpoint's entry, which shows that the endpoint was alive.
#[derive(Clone, Copy, Debug)]
pub struct EntryWrite {
    /// Hash of the endpoint's identity.
    pub endpoint: u64,
    /// The store executed the write at this time or later.
    pub alive_at: time::Time,
}

/// A pause that an endpoint has asked this host for.
#[derive(Clone, Copy, Debug)]
pub struct PushbackNotice {
    /// Hash of the endpoint's identity.
    pub endpoint: u64,
    /// The pause.
    pub pushback: admission::Pushback,
    /// When the answer arrived.
    pub at: time::Time,
}

/// A crash of an endpoint that this host has verified.
#[derive(Debug)]
pub(crate) struct ObservedCrash {
    /// The crash, with the prompts of this host.
    pub(crate) crash: quarantine::Crash,
    /// Identity of the endpoint.
    pub(crate) endpoint: directory::Identity,
}

/// State shared by the two threads.
#[derive(Debug)]
pub struct Shared {
    /// What the host holds for callers and for the links of other hosts.
    memory: memory::Memory,
    view: ArcSwap<View>,
    remote_loads: ArcSwap<load_reports::WorkByEndpoint>,
    /// When a host that reports these loads was last heard, in microseconds, or 0 if none was.
    remote_loads_heard_at: AtomicU64,
    local_loads: ArcSwap<Vec<load::EndpointLoad>>,
    /// Prompt parts that endpoints cached for this host, to be sent to other hosts.
    pub local_cached_parts: SegQueue<peer::CachedPart>,
    /// Prompt parts that endpoints cached for other hosts.
    pub remote_cached_parts: SegQueue<peer::CachedPart>,
    /// Streams that endpoints began for this host, to be sent to other hosts.
    pub local_beginnings: SegQueue<streams::Beginning>,
    /// What reports to this host have shown of endpoints, for the control thread.
    pub observed_signs: SegQueue<ObservedSign>,
    /// Writes of the entries of endpoints, for the traffic thread.
    pub entry_writes: SegQueue<EntryWrite>,
    /// Limits that endpoints have named to this host, to be sent to other hosts.
    pub local_limits: SegQueue<rate_limits::Statement>,
    /// Limits that endpoints have named to other hosts.
    pub remote_limits: SegQueue<rate_limits::Statement>,
    /// Endpoints that are cold, or no longer are.
    pub cold_endpoints: SegQueue<directory::ColdEndpoint>,
    /// Pauses that endpoints have asked the control thread for, for the traffic thread.
    pub local_pushbacks: SegQueue<PushbackNotice>,
    /// Endpoints that have said to this host that they leave, for the control thread.
    pub local_departures: SegQueue<directory::Departure>,
    verdicts: ArcSwap<quarantine::Verdicts>,
    /// Shared parts of prompts whose answers have gone on for this host.
    pub proven_prompts: SegQueue<quarantine::Parts>,
    forwarded: mpsc::Sender<forwarding::IncomingRequest>,
    /// Receiver of `forwarded`, until the traffic thread takes it.
    forwarded_rx: Mutex<Option<mpsc::Receiver<forwarding::IncomingRequest>>>,
    observed_crashes: mpsc::Sender<ObservedCrash>,
    /// Receiver of `observed_crashes`, until the control thread takes it.
    observed_crashes_rx: Mutex<Option<mpsc::Receiver<ObservedCrash>>>,
    origin_requests: mpsc::Sender<OriginRequest>,
    /// Receiver of `origin_requests`, until the control thread takes it.
    origin_requests_rx: Mutex<Option<mpsc::Receiver<OriginRequest>>>,
    /// When the catalog was last confirmed to be the newest one, in microseconds of the host's
    /// clock.
    catalog_confirmed_micros: AtomicU64,
    /// When the list of endpoints was last confirmed to be current, in microseconds.
    endpoints_confirmed_micros: AtomicU64,
    phase: watch::Sender<Phase>,
}

impl Default for Shared {
    fn default() -> Self {
        let (origin_requests, origin_requests_rx) = mpsc::channel(MAX_WAITING_QUERIES);
        let (observed_crashes, observed_crashes_rx) = mpsc::channel(MAX_WAITING_CRASHES);
        let (forwarded, forwarded_rx) = mpsc::channel(MAX_WAITING_FORWARDED);
        Self {
            memory: memory::Memory::new(Limits::NONE),
            view: ArcSwap::default(),
            remote_loads: ArcSwap::default(),
            remote_loads_heard_at: AtomicU64::new(0),
            local_loads: ArcSwap::default(),
            local_cached_parts: SegQueue::new(),
            remote_cached_parts: SegQueue::new(),
            local_beginnings: SegQueue::new(),
            observed_signs: SegQueue::new(),
            entry_writes: SegQueue::new(),
            local_limits: SegQueue::new(),
            remote_limits: SegQueue::new(),
            cold_endpoints: SegQueue::new(),
            local_pushbacks: SegQueue::new(),
            local_departures: SegQueue::new(),
            verdicts: ArcSwap::default(),
            proven_prompts: SegQueue::new(),
            forwarded,
            forwarded_rx: Mutex::new(Some(forwarded_rx)),
            observed_crashes,
            observed_crashes_rx: Mutex::new(Some(observed_crashes_rx)),
            origin_requests,
            origin_requests_rx: Mutex::new(Some(origin_requests_rx)),
            catalog_confirmed_micros: AtomicU64::new(0),
            endpoints_confirmed_micros: AtomicU64::new(0),
            phase: watch::Sender::new(Phase::Serving),
        }
    }
}

impl Shared {
    /// The state of a host that holds what its limits allow.
    #[must_use]
    pub fn with_limits(limits: Limits) -> Self {
        Self {
            memory: memory::Memory::new(limits),
            ..Self::default()
        }
    }

    /// What the host holds for callers and for the links of other hosts.
    pub(crate) const fn memory(&self) -> &memory::Memory {
        &self.memory
    }

    /// Current view.
    #[must_use]
    pub fn view(&self) -> arc_swap::Guard<Arc<View>> {
        self.view.load()
    }

    /// Replaces the view.
    pub fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
    }

    /// Load that the other hosts put on endpoints.
    #[must_use]
    pub fn remote_loads(&self) -> arc_swap::Guard<Arc<load_reports::WorkByEndpoint>> {
        self.remote_loads.load()
    }

    /// Replaces the load of the other hosts.
    pub fn publish_remote_loads(&self, loads: load_reports::WorkByEndpoint) {
        self.remote_loads.store(Arc::new(loads));
    }

    /// When a host that reports loads was last heard, or `None` if none was.
    #[must_use]
    pub fn remote_loads_heard_at(&self) -> Option<time::Time> {
        let at = self.remote_loads_heard_at.load(Ordering::Relaxed);
        (at != 0).then(|| time::Time::from_micros(at))
    }

    /// Replaces the time at which a host that reports loads was last heard.
    pub fn publish_remote_loads_heard_at(&self, at: Option<time::Time>) {
        let at = at.map_or(0, time::Time::as_micros);
        self.remote_loads_heard_at.store(at, Ordering::Relaxed);
    }

    /// Load that this host puts on endpoints.
    #[must_use]
    pub fn local_loads(&self) -> Arc<Vec<load::EndpointLoad>> {
        self.local_loads.load_full()
    }

    /// Replaces the load of this host.
    pub fn publish_local_loads(&self, loads: Vec<load::EndpointLoad>) {
        self.local_loads.store(Arc::new(loads));
    }

    /// What is known of the version that began a stream. Nothing if the control thread does not answer in
    /// time.
    pub async fn query_origin(&self, query: streams::OriginQuery) -> streams::Answer {
        let (reply, answer) = oneshot::channel();
        let request = OriginRequest { query, reply };
        if self.origin_requests.try_send(request).is_err() {
            return streams::Answer::Unknown;
        }
        match tokio::time::timeout(QUERY_TIMEOUT, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => streams::Answer::Unknown,
        }
    }

    /// Queries of the traffic thread, for the control thread. `None` after the first call.
    pub(crate) fn take_origin_requests(&self) -> Option<mpsc::Receiver<OriginRequest>> {
        let mut receiver = self
            .origin_requests_rx
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        receiver.take()
    }

    /// Hands a request of another host to the traffic thread. One that it cannot take is dropped, which
    /// resets its stream before anything has run.
    pub(crate) fn hand_over(&self, request: forwarding::IncomingRequest) {
        drop(self.forwarded.try_send(request));
    }

    /// Requests of other hosts, for the traffic thread. `None` after the first call.
    pub(crate) fn take_forwarded(&self) -> Option<mpsc::Receiver<forwarding::IncomingRequest>> {
        let mut receiver = self
            .forwarded_rx
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        receiver.take()
    }

    /// Decisions on prompts with parts that crash endpoints.
    #[must_use]
    pub fn verdicts(&self) -> arc_swap::Guard<Arc<quarantine::Verdicts>> {
        self.verdicts.load()
    }

    /// Replaces the decisions on prompts with parts that crash endpoints.
    pub fn publish_verdicts(&self, verdicts: quarantine::Verdicts) {
        self.verdicts.store(Arc::new(verdicts));
    }

    /// Tells the control thread of a crash. Returns false if too many wait for it.
    pub(crate) fn report_crash(&self, crash: ObservedCrash) -> bool {
        self.observed_crashes.try_send(crash).is_ok()
    }

    /// Crashes that the traffic thread observes, for the control thread. `None` after the first
    /// call.
    pub(crate) fn take_observed_crashes(&self) -> Option<mpsc::Receiver<ObservedCrash>> {
        let mut receiver = self
            .observed_crashes_rx
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        receiver.take()
    }

    /// Tells the control thread, and through it the other hosts, that an endpoint has said to this host
    /// that it leaves.
    pub(crate) fn announce_departure(&self, endpoint: &directory::Identity, now: time::Time) {
        self.local_departures.push(directory::Departure {
            endpoint: directory::IncarnationKey::of(endpoint),
            last_seen: now,
        });
    }

    /// Records that the catalog was the newest one at a point in time.
    pub fn confirm_catalog(&self, at: time::Time) {
        self.catalog_confirmed_micros
            .fetch_max(at.as_micros(), Ordering::Relaxed);
    }

    /// Time since the catalog was last confirmed to be the newest one.
    #[must_use]
    pub fn catalog_age(&self, now: time::Time) -> Duration {
        let at = time::Time::from_micros(self.catalog_confirmed_micros.load(Ordering::Relaxed));
        now.since(at)
    }

    /// Records that all changes of the endpoints up to a point in time are in the view.
    pub fn confirm_endpoints(&self, at: time::Time) {
        self.endpoints_confirmed_micros
            .fetch_max(at.as_micros(), Ordering::Relaxed);
    }

    /// When the list of endpoints was last confirmed to be current. Does not go on while this host hears
    /// neither from the store nor from a host that does.
    #[must_use]
    pub fn endpoints_confirmed_at(&self) -> time::Time {
        time::Time::from_micros(self.endpoints_confirmed_micros.load(Ordering::Relaxed))
    }

    /// Current phase.
    #[must_use]
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Enters a phase of the graceful stop.
    pub fn enter_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Subscribes to changes of the phase.
    #[must_use]
    pub fn subscribe_phase(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }
}
