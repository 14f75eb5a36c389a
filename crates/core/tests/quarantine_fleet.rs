//! Accusation of prompt parts that crash endpoints, by a whole fleet in simulated time: hosts that
//! see a fraction of the requests each, links with delays, and endpoints that crash for other
//! reasons, too.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::membership::overlay;
use pistachiochute_core::quarantine::{
    Admission, Crash, IncarnationKey, LostRequest, PROOF_AFTER, PartKey, Parts, Quarantine, Update,
};
use pistachiochute_core::time::Time;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Time at which the first request with a crashing part comes.
const CRASHING_FROM: Time = Time::from_secs(3);

/// End of the simulation.
const END: Time = Time::from_secs(15);

/// Time until a crashed endpoint is back, as another incarnation.
const DOWN_FOR: Duration = Duration::from_secs(3);

/// Interval at which a host applies the answers that went on.
const PROOF_INTERVAL: Duration = Duration::from_millis(100);

/// A fleet and its load.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    hosts: usize,
    endpoints: usize,
    /// Sound requests a second.
    sound_per_s: f64,
    /// Requests a second for each crashing part.
    crashing_per_s: f64,
    /// Crashing parts.
    crashing_parts: u64,
    /// Crashes a second for other reasons.
    other_crashes_per_s: f64,
    /// Share of the endpoints that crash together, once, as a rack does.
    rack: f64,
}

#[derive(Clone, Debug)]
struct Request {
    host: usize,
    endpoint: usize,
    incarnation: u64,
    parts: Parts,
    is_crashing: bool,
    has_gone_on: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Arrives {
        is_crashing: Option<u64>,
    },
    Begins(usize),
    GoesOn(usize),
    Ends(usize),
    Crashes(usize),
    RackCrashes,
    OtherCrash,
    Verified {
        host: usize,
        crash: Crash,
    },
    Delivered {
        host: usize,
        from: usize,
        update: Box<Update>,
    },
    ProofsDue,
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
struct Outcome {
    /// Times at which requests with a crashing part ended endpoints.
    crashes: Vec<Time>,
    /// Times at which requests with a crashing part were sent to an endpoint.
    sent: Vec<Time>,
    sound: usize,
    sound_refused: usize,
    accusations: usize,
}

impl Outcome {
    /// Requests with a crashing part that were sent later than a second after the fourth crash.
    fn sent_late(&self) -> usize {
        let Some(fourth) = self.crashes.get(3) else {
            return 0;
        };
        let is_late = |at: &&Time| **at > *fourth + Duration::from_secs(1);
        self.sent.iter().filter(is_late).count()
    }
}

struct Fleet {
    scenario: Scenario,
    rng: ChaCha8Rng,
    now: Time,
    events: BinaryHeap<Reverse<(Time, u64, usize)>>,
    /// Events by number.
    pending: Vec<Option<Event>>,
    hosts: Vec<Quarantine>,
    links: Vec<Vec<usize>>,
    proven: Vec<Vec<PartKey>>,
    /// Incarnation of each endpoint, and when it is back if it is down.
    endpoints: Vec<(u64, Time)>,
    requests: Vec<Option<Request>>,
    outcome: Outcome,
}

impl Fleet {
    fn new(scenario: Scenario, seed: u64) -> Self {
        Self {
            scenario,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO,
            events: BinaryHeap::new(),
            pending: Vec::new(),
            hosts: vec![Quarantine::new(); scenario.hosts],
            links: links(scenario.hosts),
            proven: vec![Vec::new(); scenario.hosts],
            endpoints: (0..scenario.endpoints)
                .map(|i| (i as u64, Time::ZERO))
                .collect(),
            requests: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        self.schedule(Duration::ZERO, Event::Arrives { is_crashing: None });
        for part in 0..self.scenario.crashing_parts {
            let delay = CRASHING_FROM.since(Time::ZERO);
            self.schedule(
                delay,
                Event::Arrives {
                    is_crashing: Some(part),
                },
            );
        }
        self.schedule(PROOF_INTERVAL, Event::ProofsDue);
        self.schedule(Duration::from_secs(4), Event::RackCrashes);
        if self.scenario.other_crashes_per_s > 0.0 {
            self.schedule(Duration::from_secs(1), Event::OtherCrash);
        }
        while let Some(Reverse((at, _, number))) = self.events.pop() {
            if at > END {
                break;
            }
            self.now = at;
            if let Some(event) = self.pending[number].take() {
                self.handle(event);
            }
        }
        let accusations = self.hosts.iter().map(|host| host.accusations().len());
        self.outcome.accusations = accusations.max().unwrap_or(0);
        self.outcome
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        let number = self.pending.len();
        self.pending.push(Some(event));
        let at = self.now + delay;
        self.events.push(Reverse((at, number as u64, number)));
    }

    fn millis(&mut self, from: u64, to: u64) -> Duration {
        Duration::from_millis(self.rng.random_range(from..to))
    }

    /// Time to the next event of a Poisson process.
    fn pause(&mut self, per_s: f64) -> Duration {
        let draw: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-draw.ln() / per_s)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrives { is_crashing } => self.arrive(is_crashing),
            Event::Begins(request) => self.begin(request),
            Event::GoesOn(request) => self.go_on(request),
            Event::Ends(request) => self.requests[request] = None,
            Event::Crashes(endpoint) => self.crash(endpoint),
            Event::RackCrashes => {
                let count = (self.scenario.rack * self.scenario.endpoints as f64) as usize;
                (0..count).for_each(|endpoint| self.crash(endpoint));
            }
            Event::OtherCrash => {
                let endpoint = self.rng.random_range(0..self.scenario.endpoints);
                self.crash(endpoint);
                let pause = self.pause(self.scenario.other_crashes_per_s);
                self.schedule(pause, Event::OtherCrash);
            }
            Event::Verified { host, crash } => {
                self.apply(host, Update::crash(crash), None);
            }
            Event::Delivered { host, from, update } => self.apply(host, *update, Some(from)),
            Event::ProofsDue => {
                for host in 0..self.hosts.len() {
                    let parts = std::mem::take(&mut self.proven[host]);
                    let update = Update::proofs(&parts, self.now);
                    self.apply(host, update, None);
                }
                self.schedule(PROOF_INTERVAL, Event::ProofsDue);
            }
        }
    }

    fn arrive(&mut self, is_crashing: Option<u64>) {
        let per_s = match is_crashing {
            Some(_) => self.scenario.crashing_per_s,
            None => self.scenario.sound_per_s,
        };
        let pause = self.pause(per_s);
        self.schedule(pause, Event::Arrives { is_crashing });
        let first = PartKey::new(1_000 + self.rng.random_range(0..8));
        let second = match is_crashing {
            Some(part) => PartKey::new(part),
            None => PartKey::new(2_000 + self.rng.random_range(0..240)),
        };
        let parts: Parts = [first, second].into_iter().collect();
        let host = self.rng.random_range(0..self.hosts.len());
        let verdicts = self.hosts[host].verdicts(self.now, |_| true);
        let is_refused = verdicts.admission(&parts) != Admission::Admitted;
        if is_crashing.is_none() {
            self.outcome.sound += 1;
            self.outcome.sound_refused += usize::from(is_refused);
        }
        if is_refused {
            return;
        }
        let endpoint = self.rng.random_range(0..self.scenario.endpoints);
        let (incarnation, back_at) = self.endpoints[endpoint];
        if back_at > self.now {
            return;
        }
        if is_crashing.is_some() {
            self.outcome.sent.push(self.now);
        }
        let number = self.requests.len();
        self.requests.push(Some(Request {
            host,
            endpoint,
            incarnation,
            parts,
            is_crashing: is_crashing.is_some(),
            has_gone_on: false,
        }));
        let delay = self.millis(30, 500);
        self.schedule(delay, Event::Begins(number));
    }

    fn begin(&mut self, number: usize) {
        let Some(request) = self.requests[number].clone() else {
            return;
        };
        if request.is_crashing {
            let delay = self.millis(5, 100);
            self.outcome.crashes.push(self.now + delay);
            return self.schedule(delay, Event::Crashes(request.endpoint));
        }
        self.schedule(PROOF_AFTER, Event::GoesOn(number));
        let length = self.millis(200, 2_000);
        self.schedule(length, Event::Ends(number));
    }

    fn go_on(&mut self, number: usize) {
        if let Some(request) = &mut self.requests[number] {
            request.has_gone_on = true;
            self.proven[request.host].extend(&request.parts);
        }
    }

    /// Ends the process of an endpoint. Each host with requests there verifies that.
    fn crash(&mut self, endpoint: usize) {
        let (incarnation, back_at) = self.endpoints[endpoint];
        if back_at > self.now {
            return;
        }
        self.endpoints[endpoint] = (incarnation + 10_000, self.now + DOWN_FOR);
        let mut prompts: std::collections::BTreeMap<usize, Vec<Parts>> = Default::default();
        for request in &mut self.requests {
            let is_there = |r: &Request| r.endpoint == endpoint && r.incarnation == incarnation;
            let Some(lost) = request.take_if(|r| is_there(r)) else {
                continue;
            };
            if !lost.has_gone_on {
                prompts.entry(lost.host).or_default().push(lost.parts);
            }
        }
        let lost = |keys| LostRequest {
            keys,
            sent_at: None,
        };
        for (host, prompts) in prompts {
            let crash = Crash {
                incarnation: IncarnationKey::new(incarnation),
                at: self.now,
                requests: prompts.into_iter().map(lost).collect(),
            };
            let delay = self.millis(2, 30);
            self.schedule(delay, Event::Verified { host, crash });
        }
    }

    fn apply(&mut self, host: usize, update: Update, from: Option<usize>) {
        let effects = self.hosts[host].apply(update, self.now);
        if effects.forward.is_empty() {
            return;
        }
        for to in self.links[host].clone() {
            if Some(to) == from {
                continue;
            }
            let delay = self.millis(1, 30);
            let update = Box::new(effects.forward.clone());
            let delivered = Event::Delivered {
                host: to,
                from: host,
                update,
            };
            self.schedule(delay, delivered);
        }
    }
}

/// Links of the overlay network of `count` hosts in eight domains.
fn links(count: usize) -> Vec<Vec<usize>> {
    let name = |i: usize| -> Arc<str> { format!("h{i:03}").into() };
    let domain = |i: usize| -> Arc<str> { format!("d{}", i % 8).into() };
    let hosts: Vec<_> = (0..count)
        .map(|i| overlay::OverlayHost {
            name: name(i),
            domain: domain(i),
            is_live: true,
        })
        .collect();
    let number = |name: &Arc<str>| name[1..].parse().expect("a number");
    let of_host = |i: usize| {
        let overlay = overlay::Overlay::new(&name(i), &domain(i), &hosts);
        overlay.links.iter().map(number).collect()
    };
    (0..count).map(of_host).collect()
}

const BASE: Scenario = Scenario {
    hosts: 8,
    endpoints: 24,
    sound_per_s: 100.0,
    crashing_per_s: 2.0,
    crashing_parts: 1,
    other_crashes_per_s: 0.0,
    rack: 0.0,
};

fn outcomes(scenario: Scenario, seeds: u64) -> Vec<Outcome> {
    let runs = (0..seeds).map(|seed| Fleet::new(scenario, seed).run());
    runs.collect()
}

/// Checks the aims of the design: the part is known after three crashes in the median, and no
/// request with it is sent a second after the fourth.
fn check(scenario: Scenario, seeds: u64) {
    let outcomes = outcomes(scenario, seeds);
    for (seed, outcome) in outcomes.iter().enumerate() {
        let late = outcome.sent_late();
        assert_eq!(late, 0, "seed {seed} of {scenario:?}: {outcome:?}");
        let begun = 1.0 - outcome.sound_refused as f64 / outcome.sound as f64;
        assert!(begun >= 0.95, "seed {seed} of {scenario:?}: {begun}");
    }
}

fn median_crashes(scenario: Scenario, seeds: u64) -> usize {
    let outcomes = outcomes(scenario, seeds);
    let mut crashes: Vec<usize> = outcomes.iter().map(|o| o.crashes.len()).collect();
    crashes.sort_unstable();
    crashes[crashes.len() / 2]
}

#[test]
fn crashing_part_is_known_in_fleets_of_all_sizes() {
    for (hosts, seeds) in [(2, 40), (8, 40), (30, 40)] {
        check(Scenario { hosts, ..BASE }, seeds);
    }
}

#[test]
fn crashing_part_is_known_at_the_design_size() {
    let scenario = Scenario {
        hosts: 420,
        endpoints: 930,
        sound_per_s: 4_200.0,
        ..BASE
    };
    check(scenario, 2);
}

#[test]
fn rare_crashing_part_ends_three_endpoints_in_the_median() {
    let scenario = Scenario {
        crashing_per_s: 1.0,
        ..BASE
    };
    assert!(median_crashes(scenario, 40) <= 3);
}

#[test]
fn frequent_crashing_part_is_known() {
    let scenario = Scenario {
        crashing_per_s: 40.0,
        endpoints: 200,
        ..BASE
    };
    check(scenario, 40);
}

#[test]
fn crashing_part_is_known_beside_other_crashes() {
    let scenario = Scenario {
        other_crashes_per_s: 0.5,
        rack: 0.3,
        ..BASE
    };
    check(scenario, 40);
}

#[test]
fn two_crashing_parts_are_accused() {
    let scenario = Scenario {
        crashing_parts: 2,
        ..BASE
    };
    for (seed, outcome) in outcomes(scenario, 40).iter().enumerate() {
        assert!(outcome.accusations >= 2, "seed {seed}: {outcome:?}");
        assert!(outcome.crashes.len() <= 12, "seed {seed}: {outcome:?}");
    }
}

/// Guards against refusing sound requests on days on which endpoints crash for other reasons.
#[test]
fn no_part_is_accused_when_endpoints_crash_for_other_reasons() {
    for (hosts, rack) in [(2, 0.15), (8, 0.3), (30, 0.3)] {
        let scenario = Scenario {
            hosts,
            rack,
            crashing_parts: 0,
            other_crashes_per_s: 0.5,
            ..BASE
        };
        for (seed, outcome) in outcomes(scenario, 40).iter().enumerate() {
            assert_eq!(outcome.accusations, 0, "seed {seed} of {scenario:?}");
            assert_eq!(outcome.sound_refused, 0, "seed {seed} of {scenario:?}");
        }
    }
}
