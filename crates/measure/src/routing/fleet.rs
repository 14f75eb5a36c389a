//! Decision-level run of the fleet: the routing of `pistachiochute-core` on every host, messages
//! with delay, and endpoints that are a load and a prefix store.

use std::collections::BTreeMap;
use std::time::Duration;

use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::routing::{bound, cache, holders, owner, pace, spill};
use pistachiochute_core::{entity, request, time, units};
use rand::{Rng as _, SeedableRng as _};

use crate::routing::{churn, faults, plain, store, tally, world};
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
    owners: Vec<owner::Owner>,
    paces: Vec<pace::Pace>,
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
            owners: vec![owner::Owner::new(settings, time::Time::ZERO); deployment.hosts],
            paces: vec![pace::Pace::new(pace::Settings::default()); deployment.hosts],
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
                state.pool_mut().handed_over(endpoint, 0);
            }
        }
        for (number, arrival) in self.trace.iter().enumerate() {
            self.at(arrival.at, Event::Arrive(number));
        }
        self.at(time::Time::ZERO + REPORT_INTERVAL, Event::Reports);
        self.at(time::Time::ZERO + pace::REFRESH_INTERVAL, Event::KeepFresh);
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

    /// Sends a request to the owner of its first candidate, which decides.
    fn route(&mut self, number: usize, now: time::Time) {
        let arrival = self.trace[number];
        let entry = self.world.entry(arrival.entry);
        let order = self.world.candidates(entry, arrival.chat);
        let Some(home) = order.first().copied() else {
            return;
        };
        let Some(decider) = self.world.owner_seen_by(entry, home) else {
            return;
        };
        self.forward_views(entry, decider, now);
        let ask = owner::Ask {
            chat: Some(arrival.chat),
            prompt: arrival.prompt,
            cost: arrival.cost(),
            candidates: &order,
            refused: &self.progress[number].refused.clone(),
            may_wait: !self.progress[number].waited,
        };
        match self.owners[decider.index()].decide(&ask, now) {
            Some(spill::Way::Wait { endpoint, at_most }) => {
                self.wait(number, decider, endpoint, at_most, now);
            }
            Some(way) => self.send(number, decider, home, way, now),
            None => {
                self.progress[number].refused.clear();
                self.progress[number].waited = true;
                self.at(now + RETRY_DELAY, Event::Retry(number));
            }
        }
    }

    fn wait(
        &mut self,
        number: usize,
        decider: entity::HostId,
        endpoint: entity::EndpointId,
        at_most: Duration,
        now: time::Time,
    ) {
        self.progress[number].waited = true;
        let owner = self
            .world
            .owner_seen_by(decider, endpoint)
            .unwrap_or(decider);
        self.waiting
            .entry((owner, endpoint))
            .or_default()
            .push(number);
        self.at(now + at_most, Event::WaitOver(number, endpoint));
    }

    fn wait_over(&mut self, number: usize, endpoint: entity::EndpointId, now: time::Time) {
        let mut found = false;
        for ((_, at), queue) in &mut self.waiting {
            if *at == endpoint {
                let before = queue.len();
                queue.retain(|waiting| *waiting != number);
                found |= queue.len() < before;
            }
        }
        if found {
            self.route(number, now);
        }
    }

    /// Sends a request on its way. A refusal by the endpoint's owner is decided again.
    fn send(
        &mut self,
        number: usize,
        decider: entity::HostId,
        home: entity::EndpointId,
        way: spill::Way,
        now: time::Time,
    ) {
        let endpoint = way.endpoint();
        let from = match way {
            spill::Way::Import { from, .. } => Some(from),
            spill::Way::Send { .. } | spill::Way::Wait { .. } => None,
        };
        let owner = self
            .world
            .owner_seen_by(decider, endpoint)
            .unwrap_or(decider);
        if self.admit(number, owner, endpoint, from, now) {
            self.note_holder(number, decider, home, endpoint);
        } else {
            self.forward_views(owner, decider, now);
            self.progress[number].refused.push(endpoint);
            self.route(number, now);
        }
    }

    fn note_holder(
        &mut self,
        number: usize,
        decider: entity::HostId,
        home: entity::EndpointId,
        endpoint: entity::EndpointId,
    ) {
        let arrival = self.trace[number];
        let tokens = arrival.prompt + arrival.answer;
        let state = &mut self.owners[decider.index()];
        if endpoint == home {
            state.forget(arrival.chat);
        } else {
            state.note(holders::Notice {
                chat: arrival.chat,
                endpoint,
                tokens,
            });
        }
    }

    fn admit(
        &mut self,
        number: usize,
        owner: entity::HostId,
        endpoint: entity::EndpointId,
        from: Option<entity::EndpointId>,
        now: time::Time,
    ) -> bool {
        let arrival = self.trace[number];
        let tokens = arrival.prompt + arrival.answer;
        let state = &mut self.owners[owner.index()];
        if state
            .admit(endpoint, Some(arrival.chat), tokens, arrival.cost(), now)
            .is_err()
        {
            return false;
        }
        self.begin(number, owner, endpoint, from, now);
        self.loads_changed(owner, now);
        true
    }

    /// Starts a request at its endpoint.
    fn begin(
        &mut self,
        number: usize,
        owner: entity::HostId,
        endpoint: entity::EndpointId,
        from: Option<entity::EndpointId>,
        now: time::Time,
    ) {
        let arrival = self.trace[number];
        self.tally.admit(endpoint.index(), arrival.cost(), now);
        let held = self.stores[endpoint.index()]
            .tokens(arrival.chat)
            .min(arrival.history);
        let there = from.map_or(units::Tokens::ZERO, |from| {
            self.stores[from.index()]
                .tokens(arrival.chat)
                .min(arrival.history)
        });
        let imported = there.saturating_sub(held);
        let first_run = self.progress[number].run == 0;
        if first_run && self.tally.counts(arrival.at) {
            self.tally.wait(now.since(arrival.at));
            self.tally.prefix(held, imported);
        }
        let import = self.import_time(endpoint, from, imported);
        let read_s = (arrival.prompt - held - imported).0 as f64 / plain::READ_TOKENS_PER_S;
        let ends = now + import + arrival.generation() + Duration::from_secs_f64(read_s);
        self.hold(endpoint, arrival.chat, arrival.prompt + arrival.answer, now);
        let progress = &mut self.progress[number];
        progress.run += 1;
        progress.runs = Some((owner, endpoint, progress.run));
        let run = progress.run;
        self.at(ends, Event::End(number, run));
    }

    fn import_time(
        &mut self,
        endpoint: entity::EndpointId,
        from: Option<entity::EndpointId>,
        tokens: units::Tokens,
    ) -> Duration {
        let Some(from) = from else {
            return Duration::ZERO;
        };
        let link = spill::Settings::default();
        let bytes = tokens.0 * link.kv_bytes_per_token;
        let same = self.world.domain(endpoint) == self.world.domain(from);
        let reuse = &mut self.tally.reuse;
        let (sum, rate) = if same {
            (&mut reuse.domain_bytes, link.domain_bytes_per_s)
        } else {
            (&mut reuse.cross_bytes, link.cross_bytes_per_s)
        };
        *sum += bytes;
        Duration::from_secs_f64(bytes as f64 / rate as f64)
    }

    /// Holds a chat in an endpoint's store and publishes the changes.
    fn hold(
        &mut self,
        endpoint: entity::EndpointId,
        chat: request::ChatKey,
        tokens: units::Tokens,
        now: time::Time,
    ) {
        let evicted = self.stores[endpoint.index()].insert(chat, tokens);
        self.publish(endpoint, cache::Change::Stored { chat, tokens }, now);
        for chat in evicted {
            self.publish(endpoint, cache::Change::Evicted { chat }, now);
        }
    }

    fn publish(&mut self, endpoint: entity::EndpointId, change: cache::Change, now: time::Time) {
        let seq = self.cache_seqs[endpoint.index()];
        self.cache_seqs[endpoint.index()] += 1;
        if self.rng.random::<f64>() < CACHE_LOSS {
            return;
        }
        let lag = CACHE_LAG.mul_f64(self.rng.random());
        self.at(
            now + lag,
            Event::Cache(endpoint, cache::Event { seq, change }),
        );
    }

    fn cache_event(&mut self, endpoint: entity::EndpointId, event: cache::Event, now: time::Time) {
        let Some(owner) = self.world.owner(endpoint) else {
            return;
        };
        let need = self.owners[owner.index()].cache_event(endpoint, event);
        if need == cache::Need::Listing {
            self.at(now + LISTING_DELAY, Event::Listing(endpoint));
        }
    }

    fn listing(&mut self, endpoint: entity::EndpointId) {
        let Some(owner) = self.world.owner(endpoint) else {
            return;
        };
        let next = self.cache_seqs[endpoint.index()];
        let entries: Vec<_> = self.stores[endpoint.index()].iter().collect();
        self.owners[owner.index()].cache_listing(endpoint, next, entries);
    }

    /// Ends a request, and admits the ones that waited for its room.
    fn end(&mut self, number: usize, run: u32, now: time::Time) {
        let Some((owner, endpoint, runs)) = self.progress[number].runs else {
            return;
        };
        if runs != run {
            return;
        }
        self.progress[number].runs = None;
        let cost = self.trace[number].cost();
        self.tally.complete(endpoint.index(), cost, now);
        self.owners[owner.index()].complete(endpoint, cost, now);
        self.admit_waiting(owner, endpoint, now);
        self.loads_changed(owner, now);
    }

    fn admit_waiting(
        &mut self,
        owner: entity::HostId,
        endpoint: entity::EndpointId,
        now: time::Time,
    ) {
        let waiting = self
            .waiting
            .get(&(owner, endpoint))
            .cloned()
            .unwrap_or_default();
        for number in waiting {
            if !self.admit(number, owner, endpoint, None, now) {
                return;
            }
            self.waiting
                .entry((owner, endpoint))
                .or_default()
                .retain(|w| *w != number);
            let arrival = self.trace[number];
            let order = self.world.candidates(owner, arrival.chat);
            if let Some(home) = order.first().copied()
                && let Some(decider) = self.world.owner_seen_by(owner, home)
            {
                self.note_holder(number, decider, home, endpoint);
            }
        }
    }

    /// Loads travel with each forwarded request.
    fn forward_views(&mut self, from: entity::HostId, to: entity::HostId, now: time::Time) {
        let loads: Vec<_> = self.owners[from.index()].pool().owned_loads().collect();
        self.take_views(from, to, &loads, None, now);
    }

    fn take_views(
        &mut self,
        from: entity::HostId,
        to: entity::HostId,
        loads: &[(entity::EndpointId, u64)],
        prompt: Option<bool>,
        now: time::Time,
    ) {
        if from == to || self.faults.cut(from, to, now) {
            return;
        }
        let pool = self.owners[to.index()].pool_mut();
        for (endpoint, load) in loads {
            let reading = bound::pool::Reading {
                load: *load,
                age: LINK_DELAY,
                prompt,
            };
            pool.view(*endpoint, reading, now);
        }
    }

    /// Tells the hosts of the domain of a change in the loads, as often as the budget allows.
    fn loads_changed(&mut self, host: entity::HostId, now: time::Time) {
        let peers = self.world.peers(host).len();
        if let Some(at) = self.paces[host.index()].due(peers, now) {
            self.at(at + LINK_DELAY, Event::Views(host));
        }
    }

    fn keep_fresh(&mut self, now: time::Time) {
        for host in self.world.hosts() {
            let peers = self.world.peers(host).len();
            if let Some(at) = self.paces[host.index()].refresh(peers, now) {
                self.at(at + LINK_DELAY, Event::Views(host));
            }
        }
        self.at(now + pace::REFRESH_INTERVAL, Event::KeepFresh);
    }

    fn send_views(&mut self, host: entity::HostId, now: time::Time) {
        let peers = self.world.peers(host);
        let prompt = self.paces[host.index()].sent(peers.len(), now);
        let loads: Vec<_> = self.owners[host.index()].pool().owned_loads().collect();
        for peer in peers {
            self.take_views(host, peer, &loads, Some(prompt), now);
        }
    }

    /// The endpoints' own reports show the loads of one interval ago.
    fn reports(&mut self, now: time::Time) {
        for endpoint in self.world.endpoints() {
            let reported = self.reports[endpoint.index()];
            for owner in &mut self.owners {
                if owner.pool().owns(endpoint) {
                    owner.pool_mut().report(endpoint, reported, now);
                }
            }
            self.reports[endpoint.index()] = self.tally.load(endpoint.index());
        }
        self.at(now + REPORT_INTERVAL, Event::Reports);
    }

    fn depart(&mut self, departure: &churn::Departure, now: time::Time) {
        let endpoint = entity::EndpointId::from_index(departure.endpoint);
        if departure.planned {
            self.at(now + churn::DRAIN, Event::Lost(endpoint));
        } else {
            self.tally.set_live(departure.endpoint, false, now);
            self.stores[departure.endpoint].clear();
            self.at(now + LINK_DELAY, Event::Failed(endpoint));
            self.fail_running(endpoint, now);
        }
        self.at(now + churn::NOTICE, Event::Gone(endpoint));
        self.at(departure.back, Event::Return(endpoint));
    }

    /// Requests at an endpoint that failed are sent again.
    fn fail_running(&mut self, endpoint: entity::EndpointId, now: time::Time) {
        for number in 0..self.progress.len() {
            let Some((owner, at, _)) = self.progress[number].runs else {
                continue;
            };
            if at != endpoint {
                continue;
            }
            let cost = self.trace[number].cost();
            self.progress[number].runs = None;
            self.progress[number].refused = vec![endpoint];
            self.tally.complete(endpoint.index(), cost, now);
            self.owners[owner.index()].complete(endpoint, cost, now);
            self.at(now + 2 * LINK_DELAY, Event::Retry(number));
        }
    }

    fn gone(&mut self, endpoint: entity::EndpointId, now: time::Time) {
        self.tally.set_live(endpoint.index(), false, now);
        let former = self.world.owner(endpoint);
        self.world.set_leaving(endpoint, true);
        if let Some(owner) = former {
            self.send_notices(owner, endpoint);
        }
        self.leave_pools(endpoint);
        self.requeue(endpoint, now);
    }

    fn leave_pools(&mut self, endpoint: entity::EndpointId) {
        self.owners
            .iter_mut()
            .for_each(|owner| owner.leave(endpoint));
    }

    /// Requests that wait at an endpoint that is gone are decided again.
    fn requeue(&mut self, endpoint: entity::EndpointId, now: time::Time) {
        let keys: Vec<_> = self
            .waiting
            .keys()
            .filter(|(_, at)| *at == endpoint)
            .copied()
            .collect();
        for key in keys {
            for number in self.waiting.remove(&key).unwrap_or_default() {
                self.at(now, Event::Retry(number));
            }
        }
    }

    fn comes_back(&mut self, endpoint: entity::EndpointId, now: time::Time) {
        self.stores[endpoint.index()].clear();
        self.world.set_leaving(endpoint, false);
        self.tally.set_live(endpoint.index(), true, now);
        for (host, member) in self.world.memberships() {
            if member == endpoint {
                self.owners[host.index()].pool_mut().join(endpoint, now);
            }
        }
        if let Some(owner) = self.world.owner(endpoint) {
            let state = &mut self.owners[owner.index()];
            state.take_over(endpoint, 0, now);
            state.pool_mut().handed_over(endpoint, 0);
            self.loads_changed(owner, now);
        }
        for other in self.world.endpoints() {
            if let Some(owner) = self.world.owner(other) {
                self.send_notices(owner, other);
            }
        }
    }

    /// Tells the owners of first candidates of the chats that an endpoint holds for them.
    fn send_notices(&mut self, owner: entity::HostId, endpoint: entity::EndpointId) {
        let world = &self.world;
        let first_owner = |chat| {
            let first = world.candidates(owner, chat).first().copied()?;
            Some((first, world.owner(first)?))
        };
        let notices = self.owners[owner.index()].moved_chats(endpoint, MAX_NOTICES, first_owner);
        for (host, list) in notices {
            for notice in list {
                self.owners[host.index()].note(notice);
            }
        }
    }

    /// Some hosts start or stop to suspect a host, which goes on serving.
    fn suspect(&mut self, suspicion: &faults::Suspicion, suspected: bool, now: time::Time) {
        for host in self
            .world
            .hosts()
            .filter(|host| suspicion.is_held_by(*host))
        {
            let former = self.world.owned_in_view_of(host);
            self.world.set_suspected(host, suspicion.host, suspected);
            let owned = self.world.owned_in_view_of(host);
            for endpoint in owned.iter().filter(|endpoint| !former.contains(endpoint)) {
                let report = self.reports[endpoint.index()];
                self.owners[host.index()].take_over(*endpoint, report, now);
                self.at(now + LISTING_DELAY, Event::Listing(*endpoint));
            }
            for endpoint in former.iter().filter(|endpoint| !owned.contains(endpoint)) {
                self.owners[host.index()].give_up(*endpoint, now);
            }
        }
    }
}

fn settings(deployment: &traces::Deployment) -> owner::Settings {
    let multiple = bound::Multiple::from_hundredths(deployment.multiple).unwrap_or_default();
    owner::Settings {
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
