//! Failure domains that the operator empties and takes back under load, and whose endpoints are cold then.
//!
//! The endpoints form a service of their own in two domains, of which one is evacuated over and over. When
//! it is taken back, its endpoints have just turned cold, and fall over if they get much more than they
//! bear. The requests go to all hosts, which meet their own faults meanwhile.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use pistachiochute_standins::platform::caller::CallerRequest;
use pistachiochute_standins::platform::endpoint::{Behaviour, Endpoint};
use pistachiochute_standins::platform::records;
use pistachiochute_standins::platform::store::Store;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use crate::checks::Disturbed;
use crate::load;

/// Service of the endpoints.
pub(crate) const SERVICE: &str = "evacuees";

/// Route to the service, whose calls may be repeated.
pub(crate) const ROUTE: &str = "evacuees";

/// Requests a second that an endpoint bears while it is cold.
pub(crate) const COLD_RATE: f64 = 6.0;

/// Requests that a cold endpoint may get within a second: the bound of the pages.
const MAX_WHILE_COLD: usize = (COLD_RATE * 1.5) as usize + 5;

/// Entry by which the operator evacuates the domain.
const ENTRY: &str = "op/evacuate/dom-e";

/// Endpoints of the domain that is evacuated, and of the one that stays.
const EVACUATED_ENDPOINTS: usize = 3;
const STAYING_ENDPOINTS: usize = 2;

/// Callers. Each chooses a host for each request.
const CALLERS: usize = 4;

/// Longest pause between two requests of a caller, in milliseconds.
const PAUSE_MS: u64 = 20;

/// Time before an evacuation, for which the domain is used.
const IN_USE: Duration = Duration::from_secs(2);

/// Time for which the domain is evacuated.
const EVACUATED: Duration = Duration::from_secs(7);

/// Time for which its endpoints are cold when it is taken back.
const COLD: Duration = Duration::from_secs(3);

/// Time in which an evacuation must be in force: the bound of the pages.
const EVACUATION_BOUND: Duration = Duration::from_secs(5);

/// Time for which a host must have been undisturbed to owe anything: the bound of the pages.
const CONTACT: Duration = Duration::from_secs(3);

/// Time for which an endpoint that fell over refuses connections.
const DOWN_FOR: Duration = Duration::from_millis(500);

/// Interval at which cold endpoints count their requests, and at which the operator looks at the clock.
const INTERVAL: Duration = Duration::from_millis(20);

/// Lowest ratio of the shares of requests that are served while the domain is evacuated and before.
const MIN_SHARE_RATIO: f64 = 0.9;

/// Fewest requests whose share is compared.
const MIN_REQUESTS: usize = 20;

/// Distinguishes the callers of a seed from its other callers.
const CALLER_SEED: u64 = 0x6576_6163;

/// What the requests showed.
#[derive(Clone, Debug)]
pub(crate) struct Findings {
    /// Broken promises.
    pub broken: Vec<String>,
    /// Counts for the reader.
    pub summary: String,
}

/// A request, and whether it was served.
#[derive(Clone, Debug)]
struct Record {
    id: String,
    host: usize,
    at: Instant,
    is_served: bool,
}

/// A time from which a domain was evacuated, or its endpoints were cold.
#[derive(Clone, Copy, Debug)]
struct Span {
    from: Instant,
    until: Instant,
}

impl Span {
    fn contains(&self, at: Instant) -> bool {
        (self.from..self.until).contains(&at)
    }
}

/// What the operator did.
#[derive(Clone, Debug, Default)]
struct History {
    evacuated: Vec<Span>,
    cold: Vec<Span>,
}

/// Endpoints, which are registered and not yet called.
pub(crate) struct Fleet {
    store: Store,
    /// Those of the domain that is evacuated come first.
    endpoints: Vec<Endpoint>,
}

impl Fleet {
    /// Starts the endpoints and writes their entries.
    pub(crate) fn start(store: &Store) -> eyre::Result<Self> {
        let mut endpoints = Vec::new();
        for i in 0..EVACUATED_ENDPOINTS + STAYING_ENDPOINTS {
            let behaviour = Behaviour::Answer { status: 200 };
            let endpoint = Endpoint::start(&format!("evacuee-{i}"), behaviour)?;
            let domain = match i < EVACUATED_ENDPOINTS {
                true => "dom-e",
                false => "dom-f",
            };
            register(store, &endpoint, domain, (1, Duration::ZERO));
            endpoints.push(endpoint);
        }
        let store = store.clone();
        Ok(Self { store, endpoints })
    }

    /// Starts the callers and the operator.
    pub(crate) fn serve(
        self,
        hosts: &[SocketAddr],
        shared: &Arc<load::Shared>,
        seed: u64,
    ) -> Scenario {
        let is_over = Arc::new(AtomicBool::new(false));
        let caller = |number: u64| Caller {
            number,
            hosts: hosts.to_vec(),
            shared: shared.clone(),
            is_over: is_over.clone(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ (number << 32) ^ CALLER_SEED),
        };
        let callers = (0..CALLERS as u64).map(|number| {
            let caller = caller(number);
            thread::spawn(move || caller.send())
        });
        let callers = callers.collect();
        let over = is_over.clone();
        Scenario {
            callers,
            operator: thread::spawn(move || operate(self, &over)),
            is_over,
        }
    }
}

/// Writes the entry of an endpoint: its sequence number, and how long it stays cold.
fn register(store: &Store, endpoint: &Endpoint, domain: &str, (sequence, cold): (u64, Duration)) {
    let mut entry = records::entry(SERVICE, endpoint.addr(), "ready", sequence);
    entry["zone"] = json!(domain);
    entry["coldRemainingMs"] = json!(cold.as_millis() as u64);
    store.put(&records::entry_key(endpoint.id()), &entry);
}

/// Evacuates the domain and takes it back, with cold endpoints, until the soak is over.
fn operate(fleet: Fleet, is_over: &AtomicBool) -> (Vec<Endpoint>, History) {
    let mut history = History::default();
    let mut sequence = 1;
    let wait = |span: Duration| {
        let until = Instant::now() + span;
        while Instant::now() < until && !is_over.load(Ordering::Relaxed) {
            thread::sleep(INTERVAL);
        }
        !is_over.load(Ordering::Relaxed)
    };
    while wait(IN_USE) {
        fleet.store.put(ENTRY, &json!({}));
        let from = Instant::now();
        wait(EVACUATED);
        let until = Instant::now();
        history.evacuated.push(Span { from, until });
        sequence += 1;
        let evacuated = &fleet.endpoints[..EVACUATED_ENDPOINTS];
        for endpoint in evacuated {
            register(&fleet.store, endpoint, "dom-e", (sequence, COLD));
        }
        fleet.store.remove(ENTRY);
        history.cold.push(warm_up(evacuated));
    }
    (fleet.endpoints, history)
}

/// Waits while endpoints are cold. Those that get too much fall over.
fn warm_up(endpoints: &[Endpoint]) -> Span {
    let from = Instant::now();
    let until = from + COLD;
    while Instant::now() < until {
        for endpoint in endpoints {
            let now = Instant::now();
            let is_recent = |at: &&Instant| now.duration_since(**at) < Duration::from_secs(1);
            if endpoint.arrivals().iter().filter(is_recent).count() > MAX_WHILE_COLD {
                endpoint.crash(DOWN_FOR);
            }
        }
        thread::sleep(INTERVAL);
    }
    Span { from, until }
}

/// A caller that sends one request after the other to hosts that it draws.
struct Caller {
    number: u64,
    hosts: Vec<SocketAddr>,
    shared: Arc<load::Shared>,
    is_over: Arc<AtomicBool>,
    rng: ChaCha8Rng,
}

impl Caller {
    fn send(mut self) -> Vec<Record> {
        let mut records = Vec::new();
        while !self.is_over.load(Ordering::Relaxed) {
            let id = format!("e{}-{}", self.number, records.len());
            let host = self.rng.random_range(0..self.hosts.len());
            let key = load::key(self.shared.key.load(Ordering::Relaxed));
            let at = Instant::now();
            let ask = CallerRequest::new(&id, &format!("/{ROUTE}/"), &key);
            let answer = ask.send(self.hosts[host]);
            records.push(Record {
                id,
                host,
                at,
                is_served: answer.status == 200 && answer.is_complete,
            });
            let pause = self.rng.random_range(0..PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
        }
        records
    }
}

/// Requests that are under way.
pub(crate) struct Scenario {
    callers: Vec<thread::JoinHandle<Vec<Record>>>,
    operator: thread::JoinHandle<(Vec<Endpoint>, History)>,
    is_over: Arc<AtomicBool>,
}

impl Scenario {
    /// Ends the callers and the endpoints, and checks what they saw. `disturbed` are the times in
    /// which hosts had faults.
    pub(crate) fn finish(self, disturbed: &[Disturbed]) -> eyre::Result<Findings> {
        self.is_over.store(true, Ordering::Relaxed);
        let panicked = |_| eyre::eyre!("a caller of evacuated endpoints panicked");
        let mut records = Vec::new();
        for caller in self.callers {
            records.extend(caller.join().map_err(panicked)?);
        }
        let operated = self.operator.join();
        let (endpoints, history) =
            operated.map_err(|_| eyre::eyre!("the operator of evacuations panicked"))?;
        let seen = Seen {
            records,
            history,
            disturbed,
        };
        let findings = seen.check(&endpoints[..EVACUATED_ENDPOINTS]);
        endpoints.into_iter().for_each(Endpoint::close);
        Ok(findings)
    }
}

/// Everything that was seen.
struct Seen<'a> {
    records: Vec<Record>,
    history: History,
    disturbed: &'a [Disturbed],
}

impl Seen<'_> {
    fn check(&self, endpoints: &[Endpoint]) -> Findings {
        let mut broken = Vec::new();
        let mut runs = 0;
        let mut most = 0;
        for endpoint in endpoints {
            let ran = endpoint.runs();
            runs += ran.len();
            let late = ran
                .iter()
                .filter(|run| self.is_late(&run.id, run.started_at));
            broken.extend(late.map(|run| format!("{} reached an evacuated domain", run.id)));
            let arrivals = endpoint.arrivals();
            for cold in &self.history.cold {
                most = most.max(most_in_a_second(&arrivals, cold));
            }
        }
        if most > MAX_WHILE_COLD {
            broken.push(format!(
                "{most} requests reached a cold endpoint within a second, {MAX_WHILE_COLD} allowed"
            ));
        }
        broken.extend(self.check_served());
        let summary = format!(
            "{} requests beside {} evacuations, {runs} of them at the domain, at most {most} of them in \
             a second while it was cold",
            self.records.len(),
            self.history.evacuated.len(),
        );
        Findings { broken, summary }
    }

    /// Whether a request reached the domain from an undisturbed host after its evacuation had to be in
    /// force.
    fn is_late(&self, id: &str, at: Instant) -> bool {
        let record = self.records.iter().find(|record| record.id == id);
        let evacuated = self.history.evacuated.iter();
        let mut evacuated = evacuated.filter(|span| span.contains(at));
        evacuated.any(|span| {
            let is_owed = |record: &Record| !self.is_disturbed(record.host, span.from, at);
            at >= span.from + EVACUATION_BOUND && record.is_some_and(is_owed)
        })
    }

    /// While the domain is evacuated, the requests of undisturbed hosts are served as before.
    fn check_served(&self) -> Option<String> {
        let is_evacuated = |record: &&Record| {
            let mut evacuated = self.history.evacuated.iter();
            evacuated.any(|span| span.contains(record.at))
        };
        let is_calm = |record: &&Record| !self.is_disturbed(record.host, record.at, record.at);
        let calm = self.records.iter().filter(is_calm);
        let (evacuated, other): (Vec<_>, Vec<_>) = calm.partition(is_evacuated);
        let served = |records: &[&Record]| records.iter().filter(|r| r.is_served).count();
        let (served, served_else) = (served(&evacuated), served(&other));
        let is_comparable = evacuated.len() >= MIN_REQUESTS && other.len() >= MIN_REQUESTS;
        let share = |served: usize, records: &[&Record]| served as f64 / records.len() as f64;
        let least = share(served_else, &other) * MIN_SHARE_RATIO;
        (is_comparable && share(served, &evacuated) < least).then(|| {
            format!(
                "{served} of {} served while a domain was evacuated, {served_else} of {} else",
                evacuated.len(),
                other.len()
            )
        })
    }

    /// Whether a host had a fault between two points in time, or shortly before.
    fn is_disturbed(&self, host: usize, from: Instant, until: Instant) -> bool {
        let mut disturbed = self.disturbed.iter();
        disturbed.any(|d| d.host == host && d.from <= until && from < d.until + CONTACT)
    }
}

/// Most requests that came within one second of a span.
fn most_in_a_second(arrivals: &[Instant], span: &Span) -> usize {
    let mut within: Vec<_> = arrivals.iter().filter(|at| span.contains(**at)).collect();
    within.sort();
    let count = |from: &&Instant| {
        let is_near = |at: &&&Instant| **at >= *from && at.duration_since(**from).as_secs() < 1;
        within.iter().filter(is_near).count()
    };
    within.iter().map(count).max().unwrap_or_default()
}
