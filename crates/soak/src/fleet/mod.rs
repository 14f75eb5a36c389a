//! Plays one seed: a store, endpoints and hosts, with faults as the schedule says.

mod configuration;
mod faults;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use eyre::WrapErr as _;
use pistachiochute_standins::platform::caller::CallerRequest;
use pistachiochute_standins::platform::endpoint::{Behaviour, Endpoint};
use pistachiochute_standins::platform::records;
use pistachiochute_standins::platform::store::{Copy, Store, StoreListener};
use pistachiochute_standins::relay::Relay;

use crate::checks::{EVENTS, Ran, Refused, Seen, Verdict};
use crate::process::Host;
use crate::schedule::draw;
use crate::{
    asked, crashes, crowds, evacuations, foreign, load, processes, rollouts, schedule, versions,
};

/// Endpoints with faults of all kinds.
const FAULTY_ENDPOINTS: usize = 4;

/// Endpoints that stay and are never disturbed, so that something is always served. They may fall
/// silent for a while.
const STEADY_ENDPOINTS: usize = 2;

/// Endpoints that are never disturbed, and that leave in a planned way.
const LEAVING_ENDPOINTS: usize = 2;

/// Endpoints that say in their answers that they leave.
const NOTICING_ENDPOINTS: usize = 2;

/// Endpoints that stay or leave in a planned way, and those before them.
const PLANNED_ENDPOINTS: usize = FAULTY_ENDPOINTS + STEADY_ENDPOINTS + LEAVING_ENDPOINTS;

/// All endpoints.
const ENDPOINTS: usize = PLANNED_ENDPOINTS + NOTICING_ENDPOINTS;

/// Hosts that meet planned work only, beside outages of the whole store.
const PLANNED_HOSTS: usize = 4;

/// Those of them that are not stopped.
const UNSTOPPED_HOSTS: usize = 1;

/// The host whose links lead over relays, so that it can be cut off from all others.
const CUT_OFF_HOST: usize = 0;

/// Callers of each host that open a connection for each request.
const FRESH_CALLERS: usize = 3;

/// Callers of a host with faults of all kinds that keep their connections.
const KEEPING_CALLERS: usize = 1;

/// Callers of a host with planned work only that keep their connections.
const PLANNED_KEEPING_CALLERS: usize = 4;

/// Time of a planned stop of a host with faults of all kinds.
const SHORT_STOP: Duration = Duration::from_secs(4);

/// Time of a planned stop of a host with planned work only.
const LONG_STOP: Duration = Duration::from_secs(8);

/// Pauses between the events of streams that end well within [`SHORT_STOP`], in milliseconds. With
/// [`EVENTS`], the streams take 1 to 2 s.
const SHORT_PAUSE_MS: Range<u64> = 40..80;

/// Pauses between the events of streams that end within [`LONG_STOP`], in milliseconds. With
/// [`EVENTS`], the streams take 1 to 5.5 s.
const LONG_PAUSE_MS: Range<u64> = 40..220;

/// Interval at which the store is copied.
const COPY_INTERVAL: Duration = Duration::from_millis(500);

/// Copies of the store that are kept.
const MAX_COPIES: usize = 24;

/// Fewest items of a page of the store.
const MIN_PAGE_ITEMS: usize = 5;

/// Number of sizes that a page may have, by the seed.
const PAGE_ITEMS_SPAN: usize = 20;

/// Entries of another writer that are there from the beginning.
const FOREIGN_ENTRIES: usize = 30;

/// Time in which all hosts serve after the last fault has ended.
const RECOVERY: Duration = Duration::from_secs(15);

/// Time in which a new fleet serves.
const START: Duration = Duration::from_secs(20);

const GOOD: Behaviour = Behaviour::Stream {
    events: EVENTS,
    pause: Duration::from_millis(8),
    cut_at: None,
};

/// One seed and its sizes.
pub(crate) struct Run {
    pub seed: u64,
    /// Hosts with faults of all kinds.
    pub hosts: usize,
    pub length: Duration,
    pub daemon: PathBuf,
}

/// An endpoint with an address of its own for the fleet. It serves calls at one address and
/// streams at another.
struct Served {
    calls: Endpoint,
    streams: Endpoint,
    relays: [Relay; 2],
    sequence: u64,
}

impl Served {
    fn start(name: &str) -> eyre::Result<Self> {
        let calls = Endpoint::start(&format!("{name}-call"), Behaviour::Answer { status: 200 })?;
        let streams = Endpoint::start(&format!("{name}-stream"), GOOD)?;
        let relays = [Relay::start(calls.addr())?, Relay::start(streams.addr())?];
        Ok(Self {
            calls,
            streams,
            relays,
            sequence: 0,
        })
    }

    fn both(&self) -> [&Endpoint; 2] {
        [&self.calls, &self.streams]
    }

    /// Writes the entries of the endpoint.
    fn register(&mut self, store: &Store, state: &str) {
        self.sequence += 1;
        for (i, endpoint) in self.both().into_iter().enumerate() {
            let service = ["calls", "streams"][i];
            let address = self.relays[i].addr();
            let entry = records::entry(service, address, state, self.sequence);
            store.put(&records::entry_key(endpoint.id()), &entry);
        }
    }

    /// Removes the entries of the endpoint.
    fn deregister(&self, store: &Store) {
        for endpoint in self.both() {
            store.remove(&records::entry_key(endpoint.id()));
        }
    }

    fn set(&self, calls: Behaviour, streams: Behaviour) {
        self.calls.set_behaviour(calls);
        self.streams.set_behaviour(streams);
    }

    /// Refuses what comes, and asks for rest.
    fn push_back(&self, rest: Duration) {
        let seconds = format!("{:.3}", rest.as_secs_f64());
        for endpoint in self.both() {
            endpoint.set_retry_after(Some(&seconds));
        }
        self.set(Behaviour::Refuse, Behaviour::Refuse);
    }

    /// Refusals in which the endpoint asked for rest, and those in which it did not.
    fn refusals(&self) -> Vec<Refused> {
        let refusals = self.both().into_iter().flat_map(|endpoint| {
            let refused = |refusal: pistachiochute_standins::platform::endpoint::Refusal| Refused {
                ran: Ran {
                    id: refusal.id,
                    endpoint: endpoint.id().to_owned(),
                    at: refusal.at,
                },
                rest: refusal.retry_after.and_then(|text| text.parse().ok()),
            };
            endpoint.refusals().into_iter().map(refused)
        });
        refusals.collect()
    }

    fn runs(&self) -> Vec<Ran> {
        let runs = self.both().into_iter().flat_map(|endpoint| {
            let ran = |run: pistachiochute_standins::platform::endpoint::Run| Ran {
                id: run.id,
                endpoint: endpoint.id().to_owned(),
                at: run.started_at,
            };
            endpoint.runs().into_iter().map(ran)
        });
        runs.collect()
    }
}

/// What ends a fault.
type Ending = Box<dyn FnOnce(&mut World) -> eyre::Result<()>>;

/// Everything that a seed plays with.
struct World {
    store: Store,
    /// Copies of the store, oldest first, and when they were made.
    copies: VecDeque<(Instant, Copy)>,
    /// Whether the whole store is out of reach.
    is_store_away: Arc<AtomicBool>,
    store_listeners: Vec<StoreListener>,
    store_relays: Vec<Relay>,
    /// Lead to the host that may be cut off, and from it to each other one.
    link_relays: Vec<Relay>,
    hosts: Vec<Host>,
    served: Vec<Served>,
    /// Endpoints that have left, kept for what they ran.
    gone: Vec<Served>,
    callers: Arc<load::Shared>,
    configuration: configuration::Configuration,
    seen: Seen,
}

impl World {
    fn start(run: &Run, dir: &std::path::Path) -> eyre::Result<Self> {
        let store = Store::new();
        // Small pages, of another size in each seed.
        store.set_page_items(MIN_PAGE_ITEMS + run.seed as usize % PAGE_ITEMS_SPAN);
        foreign::leave(&store, run.seed, FOREIGN_ENTRIES);
        let mut world = Self {
            store,
            copies: VecDeque::new(),
            is_store_away: Arc::default(),
            store_listeners: Vec::new(),
            store_relays: Vec::new(),
            link_relays: Vec::new(),
            hosts: Vec::new(),
            served: Vec::new(),
            gone: Vec::new(),
            callers: Arc::default(),
            configuration: configuration::Configuration::new(),
            seen: Seen::default(),
        };
        world.configure();
        for i in 0..ENDPOINTS {
            let mut served = Served::start(&format!("i-{i}"))?;
            served.register(&world.store, "ready");
            if (FAULTY_ENDPOINTS..PLANNED_ENDPOINTS).contains(&i) {
                let names = served.both().map(|e| e.id().to_owned());
                world.seen.steady.extend(names);
            }
            world.served.push(served);
        }
        for i in 0..run.hosts + PLANNED_HOSTS {
            let store_listener = world.store.listen()?;
            let relay = Relay::start(store_listener.addr())?;
            let domain = ["dom-a", "dom-b"][i % 2];
            let stop = match i < run.hosts {
                true => SHORT_STOP,
                false => LONG_STOP,
            };
            if let Some(host) = world.hosts.get(CUT_OFF_HOST) {
                store_listener.show_instead(host.links, world.link_relays[0].addr());
            }
            let host = Host::start(i, domain, relay.addr(), stop, &run.daemon, dir)?;
            let link_relay = Relay::start(host.links)?;
            world.hosts.push(host);
            world.store_listeners.push(store_listener);
            world.store_relays.push(relay);
            world.relay_link(i, link_relay);
        }
        Ok(world)
    }

    /// Lets the host that may be cut off reach another one over the relay. The relay to itself comes
    /// first.
    fn relay_link(&mut self, host: usize, relay: Relay) {
        if host != CUT_OFF_HOST {
            let listener = &self.store_listeners[CUT_OFF_HOST];
            listener.show_instead(self.hosts[host].links, relay.addr());
        }
        self.link_relays.push(relay);
    }

    /// Writes the next version of the configuration.
    fn configure(&mut self) {
        let key = load::key(self.callers.key.load(Ordering::Relaxed));
        let record = self.configuration.next_record(&key);
        self.store.put(records::CONFIG_KEY, &record);
    }

    /// Notes processes that ended although nobody stopped them.
    fn watch(&mut self, stopping: &[usize]) -> eyre::Result<()> {
        for (i, host) in self.hosts.iter_mut().enumerate() {
            if stopping.contains(&i) {
                continue;
            }
            if let Some(status) = host.ended_by_itself()? {
                let found = format!("{} ended by itself: {status}", host.name);
                self.seen.found.push(found);
                host.spawn()?;
            }
        }
        Ok(())
    }

    /// Waits until every host serves. Returns those that do not.
    fn unready(&self, within: Duration) -> Vec<String> {
        let end = Instant::now() + within;
        let key = load::key(self.callers.key.load(Ordering::Relaxed));
        let serves = |address: SocketAddr| {
            let ask = CallerRequest::new("probe", "/call/", &key);
            ask.send(address).status == 200
        };
        let mut waiting: Vec<_> = self.hosts.iter().collect();
        while !waiting.is_empty() && Instant::now() < end {
            waiting.retain(|host| !serves(host.callers));
            std::thread::sleep(Duration::from_millis(100));
        }
        waiting.iter().map(|host| host.name.clone()).collect()
    }

    fn close(self) -> eyre::Result<Seen> {
        for host in self.hosts {
            host.close()?;
        }
        let mut seen = self.seen;
        seen.records = self.callers.records();
        for served in self.served.iter().chain(&self.gone) {
            seen.runs.extend(served.runs());
            seen.refusals.extend(served.refusals());
        }
        for relay in self.store_relays.into_iter().chain(self.link_relays) {
            relay.close();
        }
        for store_listener in self.store_listeners {
            store_listener.close();
        }
        for served in self.served.into_iter().chain(self.gone) {
            served.calls.close();
            served.streams.close();
            served.relays.into_iter().for_each(Relay::close);
        }
        Ok(seen)
    }
}

impl Run {
    /// Plays the seed.
    pub(crate) fn play(&self) -> eyre::Result<Verdict> {
        let dir = std::env::temp_dir().join(format!(
            "pistachiochute-soak-{}-{}",
            std::process::id(),
            self.seed
        ));
        std::fs::create_dir_all(&dir).wrap_err("directory of the run")?;
        let mut world = World::start(self, &dir)?;
        let replicas = versions::Replicas::start(&world.store, self.seed)?;
        let crashing = crashes::Fleet::start(&world.store)?;
        let evacuated = evacuations::Fleet::start(&world.store)?;
        let is_store_away = world.is_store_away.clone();
        let processes = processes::Fleet::start(&world.store, is_store_away, self.seed, &dir)?;
        let is_store_away = world.is_store_away.clone();
        let rollouts = rollouts::Fleet::start(&world.store, is_store_away, self.seed)?;
        let unready = world.unready(START);
        eyre::ensure!(unready.is_empty(), "hosts that do not start: {unready:?}");
        let mut callers = self.start_callers(&world);
        let addresses: Vec<_> = world.hosts.iter().map(|host| host.callers).collect();
        let crowded = addresses[..self.hosts].to_vec();
        callers.push(crowds::start(crowded, world.callers.clone(), self.seed));
        let shared = world.callers.clone();
        callers.push(crowds::start_long_prompts(
            addresses.clone(),
            shared,
            self.seed,
        ));
        let versions = replicas.serve(&addresses, &world.callers, self.seed);
        let crashing = crashing.serve(&addresses, &world.callers, self.seed);
        let evacuated = evacuated.serve(&addresses, &world.callers, self.seed);
        let processes = processes.serve(&addresses, &world.callers, self.seed);
        let (asker, mut asked) = asked::Queue::new();
        let rollouts = rollouts.serve(&addresses[..self.hosts], &world.callers, &asker, self.seed);
        let steps = draw(self.seed, &self.places(), self.length);
        play_steps(&mut world, &steps, &mut asked)?;
        world.restart_all()?;
        let unready = world.unready(RECOVERY);
        if !unready.is_empty() {
            let found = format!("hosts that do not recover: {unready:?}");
            world.seen.found.push(found);
        }
        world.callers.is_over.store(true, Ordering::Relaxed);
        for caller in callers {
            caller
                .join()
                .map_err(|_| eyre::eyre!("a caller panicked"))?;
        }
        let findings = processes.finish()?;
        println!("seed {}: {}", self.seed, findings.summary);
        world.seen.found.extend(findings.broken);
        let findings = versions.finish()?;
        println!("seed {}: {}", self.seed, findings.summary);
        world.seen.found.extend(findings.broken);
        let findings = rollouts.finish()?;
        println!("seed {}: {}", self.seed, findings.summary);
        world.seen.found.extend(findings.broken);
        let findings = evacuated.finish(&world.seen.disturbed)?;
        println!("seed {}: {}", self.seed, findings.summary);
        world.seen.found.extend(findings.broken);
        let findings = crashing.finish(&world.seen.disturbed)?;
        println!("seed {}: {}", self.seed, findings.summary);
        world.seen.found.extend(findings.broken);
        let seen = world.close()?;
        let verdict = self.verdict(&seen, steps.len());
        match verdict.is_kept() {
            true => std::fs::remove_dir_all(&dir).wrap_err("directory of the run")?,
            false => eprintln!("logs of seed {} are in {}", self.seed, dir.display()),
        }
        Ok(verdict)
    }

    fn start_callers(&self, world: &World) -> Vec<std::thread::JoinHandle<()>> {
        let hosts = world.hosts.iter().enumerate();
        let callers = hosts.flat_map(|(i, host)| {
            let (keeping, pause_ms) = match i < self.hosts {
                true => (KEEPING_CALLERS, SHORT_PAUSE_MS),
                false => (PLANNED_KEEPING_CALLERS, LONG_PAUSE_MS),
            };
            let habits = std::iter::repeat_n(load::Habit::Fresh, FRESH_CALLERS)
                .chain(std::iter::repeat_n(
                    load::Habit::Keeping { pause_ms },
                    keeping,
                ))
                .chain([load::Habit::Withdrawn]);
            habits.map(move |habit| (i, host.callers, habit))
        });
        let start = |(number, (host, address, habit))| {
            let caller = load::Caller {
                number,
                host,
                address,
                habit,
            };
            caller.start(world.callers.clone(), self.seed)
        };
        callers.enumerate().map(start).collect()
    }

    /// What the schedule touches.
    fn places(&self) -> schedule::Places {
        let hosts = self.hosts + PLANNED_HOSTS;
        schedule::Places {
            faulty_hosts: self.hosts,
            faulty_endpoints: FAULTY_ENDPOINTS,
            planned_hosts: self.hosts..hosts,
            stopped_hosts: self.hosts..hosts - UNSTOPPED_HOSTS,
            leaving_endpoints: FAULTY_ENDPOINTS + STEADY_ENDPOINTS..PLANNED_ENDPOINTS,
            pausing_endpoints: FAULTY_ENDPOINTS..PLANNED_ENDPOINTS,
            noticing_endpoints: PLANNED_ENDPOINTS..ENDPOINTS,
        }
    }

    fn verdict(&self, seen: &Seen, faults: usize) -> Verdict {
        let is_served = |record: &&load::Record| {
            (200..300).contains(&record.answer.status) && record.answer.is_complete
        };
        Verdict {
            seed: self.seed,
            requests: seen.records.len(),
            served: seen.records.iter().filter(is_served).count(),
            runs: seen.runs.len(),
            faults,
            broken: seen.check(),
        }
    }
}

/// Plays the faults of a schedule, and ends all that are still under way.
fn play_steps(
    world: &mut World,
    steps: &[schedule::Step],
    asked: &mut asked::Queue,
) -> eyre::Result<()> {
    let began = Instant::now();
    let mut steps = steps.iter().peekable();
    let mut under_way: Vec<(Instant, Option<usize>, Ending)> = Vec::new();
    while steps.peek().is_some() || !under_way.is_empty() {
        let now = Instant::now();
        let (due, rest): (Vec<_>, Vec<_>) = under_way.into_iter().partition(|(at, ..)| *at <= now);
        under_way = rest;
        for (_, _, end) in due {
            end(world)?;
        }
        let mut busy: Vec<_> = under_way.iter().filter_map(|(_, host, _)| *host).collect();
        world.watch(&busy)?;
        world.keep_copy();
        let mut beginning = match steps.peek() {
            Some(_) => asked.due(now),
            None => Vec::new(),
        };
        beginning.extend(
            steps
                .next_if(|step| began + step.at <= now)
                .map(|step| step.fault),
        );
        for fault in beginning {
            // A host that is being stopped is left alone until it has ended.
            let touches = faults::host_of(fault);
            if touches.is_some_and(|host| busy.contains(&host)) {
                continue;
            }
            if let Some((span, end)) = world.begin(fault)? {
                let stopping = faults::stopping(fault);
                busy.extend(stopping);
                under_way.push((Instant::now() + span, stopping, end));
            }
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}
