//! Releases: endpoints are replaced one by one by some of the other version, so that both versions
//! serve all the time.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use pistachiochute_standins::platform::endpoint::{Behaviour, Endpoint, Software};
use pistachiochute_standins::platform::records;
use pistachiochute_standins::platform::store::Store;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::schedule;
use crate::versions::SERVICE;

/// Events of every stream.
pub(crate) const EVENTS: u64 = 25;

/// Every stream, which takes about 1 s.
const STREAM: Behaviour = Behaviour::Stream {
    events: EVENTS,
    pause: Duration::from_millis(40),
    cut_at: None,
};

/// Software versions that serve side by side.
pub(crate) const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Endpoints of each version at the start.
const REPLICAS: usize = 3;

/// Endpoints of a version that go on serving when one of them is replaced.
const MIN_REMAINING: usize = 2;

/// Pause between two steps, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..1_500;

/// Time between the announcement of an endpoint that it leaves and its end. Some streams are cut.
const DRAIN: Duration = Duration::from_millis(600);

/// Time after which an endpoint that ended starts again under its id. It exceeds the longest fault
/// by the time in which hosts learn of a change.
const RESTART: Duration = schedule::LONGEST.saturating_add(Duration::from_secs(2));

/// Interval at which the state of the endpoints is advanced.
const TICK: Duration = Duration::from_millis(20);

/// Id under which no endpoint is called. What was sent to the endpoint that ended is rejected.
const NO_ID: &str = "ended";

/// Distinguishes the releases of a seed from its faults.
const RELEASE_SEED: u64 = 0x7265_6c73;

/// Time in which an endpoint served, until it announced that it leaves.
#[derive(Clone, Debug)]
pub(crate) struct ReplicaSpan {
    pub version: String,
    pub from: Instant,
    pub until: Option<Instant>,
}

/// What follows the end of an endpoint that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Successor {
    /// Nothing at its address; another endpoint has taken its place.
    Elsewhere,
    /// A process of the other version under its id, after a while.
    SameId,
    /// Another endpoint, of the other version, at its address.
    SameAddress,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Serving,
    Leaving {
        until: Instant,
        successor: Successor,
    },
    Restarting {
        at: Instant,
    },
}

struct Replica {
    id: String,
    version: &'static str,
    started_at_ms: u64,
    endpoint: Endpoint,
    state: State,
    /// Place of its time of service in the list.
    span: usize,
}

/// The endpoints and their releases.
pub(crate) struct Releases {
    store: Store,
    rng: ChaCha8Rng,
    replicas: Vec<Replica>,
    spans: Vec<ReplicaSpan>,
    /// Processes started so far.
    processes: u64,
}

fn other(version: &str) -> &'static str {
    match version == VERSIONS[0] {
        true => VERSIONS[1],
        false => VERSIONS[0],
    }
}

impl Releases {
    /// Starts the endpoints and writes their entries.
    pub(crate) fn start(store: Store, seed: u64) -> eyre::Result<Self> {
        let mut releases = Self {
            store,
            rng: ChaCha8Rng::seed_from_u64(seed ^ RELEASE_SEED),
            replicas: Vec::new(),
            spans: Vec::new(),
            processes: 0,
        };
        for version in VERSIONS {
            for _ in 0..REPLICAS {
                releases.add(version)?;
            }
        }
        Ok(releases)
    }

    /// Plays releases until the soak is over, and closes the endpoints. Returns when they served.
    pub(crate) fn play(
        mut self,
        is_over: Arc<AtomicBool>,
    ) -> thread::JoinHandle<eyre::Result<Vec<ReplicaSpan>>> {
        thread::spawn(move || {
            let mut next = Instant::now();
            while !is_over.load(Ordering::Relaxed) {
                self.advance();
                if Instant::now() >= next {
                    self.step()?;
                    next += Duration::from_millis(self.rng.random_range(PAUSE_MS));
                }
                thread::sleep(TICK);
            }
            for replica in self.replicas {
                replica.endpoint.close();
            }
            Ok(self.spans)
        })
    }

    /// Draws a step: an endpoint is replaced in one of the ways, or its connections are cut.
    fn step(&mut self) -> eyre::Result<()> {
        let Some(replica) = self.draw_replica() else {
            return Ok(());
        };
        match self.rng.random_range(0..5) {
            0 => self.replicas[replica].endpoint.cut_connections(),
            1 | 2 => {
                let version = other(self.replicas[replica].version);
                self.add(version)?;
                self.leave(replica, Successor::Elsewhere);
            }
            3 => self.leave(replica, Successor::SameId),
            _ => self.leave(replica, Successor::SameAddress),
        }
        Ok(())
    }

    /// Draws an endpoint without which enough of its version serve.
    fn draw_replica(&mut self) -> Option<usize> {
        let serves = |replica: &&Replica| replica.state == State::Serving;
        let count = |version: &str| {
            let serving = self.replicas.iter().filter(serves);
            serving.filter(|r| r.version == version).count()
        };
        let may_leave = |i: &usize| {
            let replica = &self.replicas[*i];
            serves(&replica) && count(replica.version) > MIN_REMAINING
        };
        let candidates: Vec<_> = (0..self.replicas.len()).filter(may_leave).collect();
        let draw = self.rng.random_range(0..candidates.len().max(1));
        candidates.get(draw).copied()
    }

    fn next_process(&mut self) -> u64 {
        self.processes += 1;
        self.processes
    }

    /// Adds an endpoint.
    fn add(&mut self, version: &'static str) -> eyre::Result<()> {
        let started_at_ms = self.next_process();
        let id = format!("versioned-{started_at_ms}");
        let software = Software::new(version, started_at_ms);
        let replica = Replica {
            endpoint: Endpoint::start_software(&id, software, STREAM)?,
            id,
            version,
            started_at_ms,
            state: State::Serving,
            span: 0,
        };
        self.replicas.push(replica);
        self.serve(self.replicas.len() - 1);
        Ok(())
    }

    /// Writes the first entry of an endpoint's process.
    fn serve(&mut self, replica: usize) {
        let replica = &mut self.replicas[replica];
        replica.state = State::Serving;
        replica.span = self.spans.len();
        self.spans.push(ReplicaSpan {
            version: replica.version.to_owned(),
            from: Instant::now(),
            until: None,
        });
        replica.register(&self.store, "ready", 1);
    }

    /// Lets an endpoint announce that it leaves.
    fn leave(&mut self, replica: usize, successor: Successor) {
        let replica = &mut self.replicas[replica];
        let now = Instant::now();
        self.spans[replica.span].until = Some(now);
        replica.state = State::Leaving {
            until: now + DRAIN,
            successor,
        };
        replica.register(&self.store, "draining", 2);
    }

    /// Ends and starts the endpoints whose time has come.
    fn advance(&mut self) {
        let now = Instant::now();
        let mut i = 0;
        while i < self.replicas.len() {
            match self.replicas[i].state {
                State::Leaving { until, successor } if until <= now => {
                    let is_closed = self.end(i, successor);
                    i += usize::from(!is_closed);
                    continue;
                }
                State::Restarting { at } if at <= now => {
                    let id = self.replicas[i].id.clone();
                    self.restart(i, id);
                }
                _ => {}
            }
            i += 1;
        }
    }

    /// Ends an endpoint that has left. Returns whether it was closed and taken off the list.
    fn end(&mut self, i: usize, successor: Successor) -> bool {
        let key = records::entry_key(&self.replicas[i].id);
        self.store.remove(&key);
        match successor {
            Successor::Elsewhere => {
                let replica = self.replicas.remove(i);
                replica.endpoint.close();
                return true;
            }
            Successor::SameId => {
                let replica = &mut self.replicas[i];
                let software = Software::new(replica.version, replica.started_at_ms);
                replica.endpoint.restart(NO_ID, software);
                let at = Instant::now() + RESTART;
                replica.state = State::Restarting { at };
            }
            Successor::SameAddress => {
                let id = format!("versioned-{}", self.processes + 1);
                self.restart(i, id);
            }
        }
        false
    }

    /// Starts a process of the other version at the address of an endpoint that has ended.
    fn restart(&mut self, i: usize, id: String) {
        let started_at_ms = self.next_process();
        let replica = &mut self.replicas[i];
        replica.version = other(replica.version);
        replica.started_at_ms = started_at_ms;
        replica.id = id;
        let software = Software::new(replica.version, started_at_ms);
        replica.endpoint.restart(&replica.id, software);
        self.serve(i);
    }
}

impl Replica {
    /// Writes the entry of the endpoint.
    fn register(&self, store: &Store, state: &str, sequence: u64) {
        let entry = records::Entry {
            service: SERVICE,
            address: self.endpoint.addr(),
            state,
            version: self.version,
            started_at_ms: self.started_at_ms,
            sequence,
        };
        store.put(&records::entry_key(&self.id), &entry.record());
    }
}
