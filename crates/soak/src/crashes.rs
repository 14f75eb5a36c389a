//! Prompts with a part that crashes each endpoint that begins to answer on it, among sound prompts
//! that share their other parts.
//!
//! The endpoints form a service of their own. Two parts come one after the other, and beside them one
//! request that its callers repeat, several at once; the requests go to all hosts, which meet their
//! own faults meanwhile.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use pistachiochute_standins::platform::caller::CallerRequest;
use pistachiochute_standins::platform::endpoint::{
    Behaviour, CrashingCall, CrashingPart, Endpoint,
};
use pistachiochute_standins::platform::records;
use pistachiochute_standins::platform::store::Store;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::checks::Disturbed;
use crate::load;

/// Service of the endpoints that crash.
pub(crate) const SERVICE: &str = "crashes";

/// Route to the service, whose streams may be resumed.
pub(crate) const ROUTE: &str = "crashes-resumable";

/// Path of the request that crashes endpoints and is repeated.
const REPEATED_PATH: &str = "/crashes-resumable/repeated";

/// Name of that request in the ids of its repetitions.
const REPEATED: &str = "repeated";

/// Repetitions at once.
const REPEATED_AT_ONCE: usize = 3;

/// Time from one wave of repetitions to the next: longer than the time after which the hosts must know
/// the request.
const WAVE_PAUSE: Duration = Duration::from_millis(3_300);

/// Endpoints: enough that most are left after the crashes that the bounds allow.
const ENDPOINTS: usize = 24;

/// Callers with sound prompts. Each chooses a host for each request.
const SOUND_CALLERS: usize = 3;

/// Parts that crash endpoints, in the order in which they come.
const CRASHING_PARTS: [&str; 2] = ["dead1", "dead2"];

/// First parts of all prompts.
const FIRST_PARTS: u32 = 4;

/// Second parts of sound prompts.
const SOUND_PARTS: u32 = 30;

/// Time before the first request with a crashing part.
const FIRST_PART_AFTER: Duration = Duration::from_secs(2);

/// Time for which requests with one crashing part come.
const PART_SPAN: Duration = Duration::from_secs(7);

/// Pause between two requests with a crashing part, in milliseconds.
const CRASHING_PAUSE_MS: std::ops::Range<u64> = 100..500;

/// Longest pause between two sound requests of a caller, in milliseconds.
const SOUND_PAUSE_MS: u64 = 80;

/// Time from the beginning of an answer to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(20);

/// Time for which an endpoint that crashed refuses connections. It outlasts the soak: an incarnation
/// ends once, and no entry of a next one is written.
const DOWN_FOR: Duration = Duration::from_secs(120);

/// Crashes from which on the hosts must know a part: the bound of the pages.
const CRASHES_TO_KNOW_PART: usize = 5;

/// Crashes from which on the hosts must know a request that is repeated: the bound of the pages.
const CRASHES_TO_KNOW_REQUEST: usize = 3;

/// Time after the last of these in which all hosts know it, and for which a host must have been
/// undisturbed to owe anything: the bound of the pages.
const CONTACT: Duration = Duration::from_secs(3);

/// Requests with the part that may still reach endpoints: the bound of the pages.
const ALLOWED: usize = 3;

/// Lowest ratio of the share of sound requests that are served after a part is known to the share
/// before: the bound of the pages.
const MIN_SHARE_RATIO: f64 = 0.5;

/// Fewest sound requests whose share is compared.
const MIN_SOUND: usize = 20;

/// Distinguishes the callers of a seed from its other callers.
const CALLER_SEED: u64 = 0x6372_6173;

const STREAM: Behaviour = Behaviour::Stream {
    events: 12,
    pause: Duration::from_millis(20),
    cut_at: None,
};

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

/// Endpoints that crash, which are registered and not yet called.
pub(crate) struct Fleet {
    endpoints: Vec<Endpoint>,
}

impl Fleet {
    /// Starts the endpoints and writes their entries.
    pub(crate) fn start(store: &Store) -> eyre::Result<Self> {
        let mut endpoints = Vec::new();
        for i in 0..ENDPOINTS {
            let endpoint = Endpoint::start(&format!("crashing-{i}"), STREAM)?;
            let entry = records::entry(SERVICE, endpoint.addr(), "ready", 1);
            store.put(&records::entry_key(endpoint.id()), &entry);
            endpoints.push(endpoint);
        }
        Ok(Self { endpoints })
    }

    /// Starts the callers.
    pub(crate) fn serve(
        self,
        hosts: &[SocketAddr],
        shared: &Arc<load::Shared>,
        seed: u64,
    ) -> Scenario {
        let is_over = Arc::new(AtomicBool::new(false));
        let caller = |number| Caller {
            number,
            hosts: hosts.to_vec(),
            shared: shared.clone(),
            is_over: is_over.clone(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ (number << 32) ^ CALLER_SEED),
        };
        let sound = (1..=SOUND_CALLERS as u64).map(|number| {
            let caller = caller(number);
            thread::spawn(move || caller.send_sound())
        });
        let sound = sound.collect();
        let crashing = caller(0);
        let repeating = (1..=REPEATED_AT_ONCE as u64).map(|number| {
            let caller = caller(SOUND_CALLERS as u64 + number);
            thread::spawn(move || caller.send_repeated())
        });
        let repeating = repeating.collect();
        for endpoint in &self.endpoints {
            endpoint.set_crashing_parts(CRASHING_PARTS.map(crashing_part).to_vec());
            endpoint.set_crashing_call(Some(CrashingCall {
                path: REPEATED_PATH.to_owned(),
                after: CRASH_AFTER,
                down_for: DOWN_FOR,
            }));
        }
        Scenario {
            endpoints: self.endpoints,
            sound,
            crashing: thread::spawn(move || crashing.send_crashing()),
            repeating,
            is_over,
        }
    }
}

fn crashing_part(id: &str) -> CrashingPart {
    CrashingPart {
        id: id.to_owned(),
        after: CRASH_AFTER,
        down_for: DOWN_FOR,
    }
}

/// Requests that are under way.
pub(crate) struct Scenario {
    endpoints: Vec<Endpoint>,
    sound: Vec<thread::JoinHandle<Vec<Record>>>,
    crashing: thread::JoinHandle<Vec<Record>>,
    repeating: Vec<thread::JoinHandle<Vec<Record>>>,
    is_over: Arc<AtomicBool>,
}

impl Scenario {
    /// Ends the callers and the endpoints, and checks what they saw. `disturbed` are the times in
    /// which hosts had faults.
    pub(crate) fn finish(self, disturbed: &[Disturbed]) -> eyre::Result<Findings> {
        self.is_over.store(true, Ordering::Relaxed);
        let panicked = |_| eyre::eyre!("a caller of crashing endpoints panicked");
        let mut sound = Vec::new();
        for caller in self.sound {
            sound.extend(caller.join().map_err(panicked)?);
        }
        let mut crashing = self.crashing.join().map_err(panicked)?;
        for caller in self.repeating {
            crashing.extend(caller.join().map_err(panicked)?);
        }
        let seen = Seen {
            sound,
            crashing,
            runs: runs(&self.endpoints),
            disturbed,
        };
        let findings = seen.check();
        for endpoint in self.endpoints {
            endpoint.close();
        }
        Ok(findings)
    }
}

/// Ids of the requests that reached endpoints, with the times, in their order.
fn runs(endpoints: &[Endpoint]) -> Vec<(String, Instant)> {
    let runs = endpoints.iter().flat_map(Endpoint::runs);
    let mut runs: Vec<_> = runs.map(|run| (run.id, run.started_at)).collect();
    runs.sort_by_key(|(_, at)| *at);
    runs
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
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    fn send_sound(mut self) -> Vec<Record> {
        let mut records = Vec::new();
        while !self.is_over() {
            let part = format!("50{:02x}", self.rng.random_range(0..SOUND_PARTS));
            let id = format!("s{}-{}", self.number, records.len());
            records.push(self.send(&id, &part));
            let pause = self.rng.random_range(0..SOUND_PAUSE_MS);
            thread::sleep(Duration::from_millis(pause));
        }
        records
    }

    fn send_crashing(mut self) -> Vec<Record> {
        let mut records = Vec::new();
        self.pause_until(Instant::now() + FIRST_PART_AFTER);
        for part in CRASHING_PARTS {
            let end = Instant::now() + PART_SPAN;
            while Instant::now() < end && !self.is_over() {
                let id = format!("{part}-{}", records.len());
                records.push(self.send(&id, part));
                let pause = self.rng.random_range(CRASHING_PAUSE_MS);
                thread::sleep(Duration::from_millis(pause));
            }
        }
        records
    }

    /// Repeats one request in waves, of which each such caller sends one.
    fn send_repeated(mut self) -> Vec<Record> {
        let mut records = Vec::new();
        let mut next = Instant::now() + FIRST_PART_AFTER / 2;
        while !self.is_over() {
            self.pause_until(next);
            next += WAVE_PAUSE;
            let id = format!("{REPEATED}-{}-{}", self.number, records.len());
            records.push(self.send_to(REPEATED_PATH, &id, "50ee"));
        }
        records
    }

    fn pause_until(&self, end: Instant) {
        while Instant::now() < end && !self.is_over() {
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn send(&mut self, id: &str, part: &str) -> Record {
        self.send_to(&format!("/{ROUTE}/"), id, part)
    }

    fn send_to(&mut self, path: &str, id: &str, part: &str) -> Record {
        let host = self.rng.random_range(0..self.hosts.len());
        let first = self.rng.random_range(0..FIRST_PARTS);
        let key = load::key(self.shared.key.load(Ordering::Relaxed));
        let prompt = format!("f0{first}:100,{part}:100,{id}:100");
        let at = Instant::now();
        let answer = CallerRequest::new(id, path, &key)
            .header("X-Model", "m")
            .header("X-Token-Usage", "300,40")
            .header("X-Prompt-Prefix", &prompt)
            .send(self.hosts[host]);
        Record {
            id: id.to_owned(),
            host,
            at,
            is_served: answer.status == 200 && answer.is_complete,
        }
    }
}

/// Everything that was seen.
struct Seen<'a> {
    sound: Vec<Record>,
    crashing: Vec<Record>,
    runs: Vec<(String, Instant)>,
    disturbed: &'a [Disturbed],
}

impl Seen<'_> {
    fn check(&self) -> Findings {
        let mut broken = Vec::new();
        let mut counts = Vec::new();
        let parts = CRASHING_PARTS.map(|part| (part, CRASHES_TO_KNOW_PART));
        let repeated = [(REPEATED, CRASHES_TO_KNOW_REQUEST)];
        for (part, crashes_to_know) in parts.into_iter().chain(repeated) {
            let runs = self.runs_of(part);
            counts.push(runs.len().to_string());
            let Some(known_at) = runs.get(crashes_to_know - 1).map(|at| *at + CONTACT) else {
                continue;
            };
            let late = self.late(part, known_at);
            if late > ALLOWED {
                broken.push(format!("{late} requests with {part} after it was known"));
            }
        }
        broken.extend(self.check_sound());
        let served = self.sound.iter().filter(|record| record.is_served).count();
        let summary = format!(
            "{} of {} sound requests served beside crashing ones, of which {} reached endpoints",
            served,
            self.sound.len(),
            counts.join(", "),
        );
        Findings { broken, summary }
    }

    /// Times at which requests with a part reached endpoints, each of which it crashed.
    fn runs_of(&self, part: &str) -> Vec<Instant> {
        let runs = self.runs.iter();
        let of_part = runs.filter(|(id, _)| id.split('-').next() == Some(part));
        of_part.map(|(_, at)| *at).collect()
    }

    /// Number of requests with a part that reached endpoints although an undisturbed host got them
    /// after the part was known.
    fn late(&self, part: &str, known_at: Instant) -> usize {
        let is_late = |record: &&Record| {
            let has_part = record.id.split('-').next() == Some(part);
            has_part && record.at >= known_at && !self.is_disturbed(record)
        };
        let reached = |record: &Record| self.runs.iter().any(|(id, _)| *id == record.id);
        let late = self.crashing.iter().filter(is_late);
        late.filter(|record| reached(record)).count()
    }

    /// Whether the host of a request had a fault, or had one shortly before.
    fn is_disturbed(&self, record: &Record) -> bool {
        self.disturbed
            .iter()
            .any(|d| d.host == record.host && d.from <= record.at && record.at < d.until + CONTACT)
    }

    /// Sound requests are served about as often after the first crashing part as before.
    fn check_sound(&self) -> Option<String> {
        let first = self.runs_of(CRASHING_PARTS[0]).first().copied()?;
        let known_at = first + 2 * CONTACT;
        let before = Share::of(self.calm_sound().filter(|record| record.at < first));
        let after = Share::of(self.calm_sound().filter(|record| record.at >= known_at));
        let is_comparable = before.sent >= MIN_SOUND && after.sent >= MIN_SOUND;
        let is_lower = after.ratio() < before.ratio() * MIN_SHARE_RATIO;
        (is_comparable && is_lower).then(|| {
            format!(
                "sound requests beside crashing ones: {} of {} served, {} of {} before",
                after.served, after.sent, before.served, before.sent
            )
        })
    }

    fn calm_sound(&self) -> impl Iterator<Item = &Record> {
        self.sound
            .iter()
            .filter(|record| !self.is_disturbed(record))
    }
}

/// Share of requests that were served.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    sent: usize,
    served: usize,
}

impl Share {
    fn of<'a, I>(records: I) -> Self
    where
        I: Iterator<Item = &'a Record>,
    {
        records.fold(Self::default(), |share, record| Self {
            sent: share.sent + 1,
            served: share.served + usize::from(record.is_served),
        })
    }

    fn ratio(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}
