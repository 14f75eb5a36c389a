//! Decision-level run of the fleet: the routing of `pistachiochute-core` on every host, messages
//! with delay, and endpoints that are a load and a prefix store.

mod caches;
mod departures;
mod requests;
mod views;

use std::collections::BTreeMap;
use std::time::Duration;

use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::routing::{bound, cache, pacer, router, spill};
use pistachiochute_core::{entity, time};
use rand::SeedableRng as _;

use crate::routing::{churn, faults, store, tally, world};
use crate::traces;

/// One way between hosts of a domain.
const LINK_DELAY: Duration = Duration::from_millis(1);

/// Latest arrival of a cache event.
const CACHE_LAG: Duration = Duration::from_secs(2);

/// Share of the cache events that are lost.
const CACHE_LOSS: f64 = 0.01;

/// Time until the listing of a cache arrives.
const LISTING_DELAY: Duration = Duration::from_secs(1);

/// Interval and lag of the endpoints' own load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a request that found no room is decided again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Most notices that the owner of an endpoint sends when candidates change.
const MAX_NOTICES: usize = 4_096;

/// What happens at a point in time.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A request of the trace reaches its entry host.
    Arrive(usize),
    /// A request is decided again.
    Retry(usize),
    /// A waiting request gives up its place at an endpoint.
    WaitOver(usize, entity::EndpointId),
    /// A request ends at its endpoint. The number is that of its run.
    End(usize, u32),
    /// The loads of a host reach another.
    Views(entity::HostId),
    /// A cache event reaches the owner of the endpoint.
    Cache(entity::EndpointId, cache::Event),
    /// The listing of a cache reaches the owner of the endpoint.
    Listing(entity::EndpointId),
    /// Every host reports its loads again if its budget allows.
    KeepFresh,
    /// Every endpoint's load report reaches its owners.
    Reports,
    /// An endpoint leaves or fails.
    Depart(churn::Departure),
    /// The owners of the domain learn from the endpoint's owner that its connections failed.
    Failed(entity::EndpointId),
    /// Every host knows that an endpoint is gone.
    Gone(entity::EndpointId),
    /// What an endpoint held is lost.
    Lost(entity::EndpointId),
    /// An endpoint returns.
    Return(entity::EndpointId),
    /// The view that some hosts have of a host changes.
    Suspect(faults::Suspicion, bool),
}

/// A request in the fleet.
#[derive(Clone, Debug, Default)]
struct Progress {
    refused: Vec<entity::EndpointId>,
    /// Whether it has already waited for a holder.
    waited: bool,
    /// Where it runs: host that admitted it, endpoint and number of the run.
    runs: Option<(entity::HostId, entity::EndpointId, u32)>,
    run: u32,
}

/// The fleet and its trace.
#[derive(Debug)]
pub struct Fleet<'a> {
    deployment: &'a traces::Deployment,
    trace: &'a [traces::Arrival],
    world: world::World,
    owners: Vec<router::TargetRouter>,
    paces: Vec<pacer::ReportPacer>,
    stores: Vec<store::Store>,
    /// Number of the next cache event of each endpoint.
    cache_seqs: Vec<u64>,
    /// Requests that wait at each endpoint, by the host that holds the queue.
    waiting: BTreeMap<(entity::HostId, entity::EndpointId), Vec<usize>>,
    progress: Vec<Progress>,
    /// Load that each endpoint reported last.
    reports: Vec<u64>,
    faults: faults::Faults,
    events: BTreeMap<(time::Time, u64), Event>,
    seq: u64,
    rng: rand_chacha::ChaCha8Rng,
    tally: tally::Tally,
}

/// Runs the fleet over a trace.
#[must_use]
pub fn run(
    deployment: &traces::Deployment,
    trace: &[traces::Arrival],
    departures: &[churn::Departure],
    faults: faults::Faults,
) -> tally::Tally {
    let mut fleet = Fleet::new(deployment, trace, faults);
    for departure in departures {
        fleet.at(departure.at, Event::Depart(*departure));
    }
    fleet.run()
}

impl<'a> Fleet<'a> {
    fn new(
        deployment: &'a traces::Deployment,
        trace: &'a [traces::Arrival],
        faults: faults::Faults,
    ) -> Self {
        let settings = settings(deployment);
        let world = world::World::new(deployment);
        let count = deployment.endpoints;
        let domains = (0..count).map(|e| e % deployment.domains).collect();
        let counted_from = time::Time::ZERO + Duration::from_secs_f64(deployment.warm_up_s);
        let multiple = settings.bound.multiple.as_ratio();
        let mut fleet = Self {
            deployment,
            trace,
            owners: vec![router::TargetRouter::new(settings, time::Time::ZERO); deployment.hosts],
            paces: vec![pacer::ReportPacer::new(pacer::Settings::default()); deployment.hosts],
            stores: vec![store::Store::new(deployment.cache_tokens); count],
            cache_seqs: vec![0; count],
            waiting: BTreeMap::new(),
            progress: vec![Progress::default(); trace.len()],
            reports: vec![0; count],
            faults,
            events: BTreeMap::new(),
            seq: 0,
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(deployment.seed ^ 0x666c_6565_7400),
            tally: tally::Tally::new(domains, multiple, counted_from),
            world,
        };
        fleet.start();
        fleet
    }

    fn start(&mut self) {
        for (host, endpoint) in self.world.memberships() {
            self.owners[host.index()]
                .pool_mut()
                .join(endpoint, time::Time::ZERO);
        }
        for endpoint in self.world.endpoints() {
            if let Some(owner) = self.world.owner(endpoint) {
                let state = &mut self.owners[owner.index()];
                state.take_over(endpoint, 0, time::Time::ZERO);
                state.pool_mut().record_handover(endpoint, 0);
            }
        }
        for (number, arrival) in self.trace.iter().enumerate() {
            self.at(arrival.at, Event::Arrive(number));
        }
        self.at(time::Time::ZERO + REPORT_INTERVAL, Event::Reports);
        self.at(time::Time::ZERO + pacer::REFRESH_INTERVAL, Event::KeepFresh);
        for suspicion in self.faults.suspicions() {
            self.at(suspicion.from, Event::Suspect(suspicion, true));
            self.at(suspicion.until, Event::Suspect(suspicion, false));
        }
    }

    fn at(&mut self, at: time::Time, event: Event) {
        self.seq += 1;
        self.events.insert((at, self.seq), event);
    }

    fn run(mut self) -> tally::Tally {
        let end = time::Time::ZERO + Duration::from_secs_f64(self.deployment.length_s);
        while let Some(((now, _), event)) = self.events.pop_first()
            && now <= end
        {
            self.handle(event, now);
        }
        self.tally
    }

    fn handle(&mut self, event: Event, now: time::Time) {
        match event {
            Event::Arrive(number) | Event::Retry(number) => self.route(number, now),
            Event::WaitOver(number, endpoint) => self.wait_over(number, endpoint, now),
            Event::End(number, run) => self.end(number, run, now),
            Event::Views(host) => self.send_views(host, now),
            Event::Cache(endpoint, event) => self.cache_event(endpoint, event, now),
            Event::Listing(endpoint) => self.listing(endpoint),
            Event::KeepFresh => self.keep_fresh(now),
            Event::Reports => self.reports(now),
            Event::Depart(departure) => self.depart(&departure, now),
            Event::Failed(endpoint) => self.leave_pools(endpoint),
            Event::Gone(endpoint) => self.gone(endpoint, now),
            Event::Lost(endpoint) => self.stores[endpoint.index()].clear(),
            Event::Return(endpoint) => self.comes_back(endpoint, now),
            Event::Suspect(suspicion, suspected) => self.suspect(&suspicion, suspected, now),
        }
    }
}

fn settings(deployment: &traces::Deployment) -> router::Settings {
    let multiple = bound::Multiple::from_hundredths(deployment.multiple).unwrap_or_default();
    router::Settings {
        bound: bound::Settings {
            multiple,
            ..bound::Settings::default()
        },
        cache: cache::Settings::default(),
        spill: spill::Settings {
            reuse: deployment.reuse,
            ..spill::Settings::default()
        },
    }
}
