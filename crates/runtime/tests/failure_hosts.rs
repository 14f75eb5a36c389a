//! Hosts that are killed, partitioned, or whose links stall without being closed.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use pistachiochute_core::entity;
use pistachiochute_core::routing::candidates;
use pistachiochute_standins::{engine, relay};
use serde_json::{Value, json};

/// Tokens of a stream during which hosts fail.
const STREAM_TOKENS: u32 = 60;

/// Time within which a caller must see that its host has failed. Its own timeout is longer.
const FAILURE_REPORT_TIMEOUT: Duration = Duration::from_secs(10);

fn fleet_config(domains: u32, hosts: u32, engines: u32) -> support::FleetConfig {
    support::FleetConfig {
        domains,
        hosts,
        engines,
        engine: engine::Settings {
            token_time: Duration::from_millis(15),
            ..support::engine_settings()
        },
        settings: json!({
            "timeouts": { "stall_ms": 1_000, "connect_ms": 300, "ping_ms": 200 },
        }),
    }
}

/// A fleet whose links run through relays, one for each pair of sending failure domain and
/// receiving host.
struct RelayedFleet {
    fleet: support::Fleet,
    relays: BTreeMap<(entity::DomainId, entity::HostId), relay::Relay>,
}

impl RelayedFleet {
    fn start(config: &support::FleetConfig) -> Self {
        let fleet = support::Fleet::start(config);
        let mut relays = BTreeMap::new();
        for domain in &fleet.list.domains {
            for host in &fleet.list.hosts {
                let relay = relay::Relay::start(host.addr).expect("a relay");
                relays.insert((domain.id, host.id), relay);
            }
        }
        let mut fleet = Self { fleet, relays };
        fleet.publish_host_list();
        fleet
    }

    /// Sends each host the host list with the relay addresses of its failure domain.
    fn publish_host_list(&mut self) {
        self.fleet.list.version += 1;
        for member in &self.fleet.members {
            let domain = self.domain(member.id);
            let mut list = self.fleet.list.clone();
            for host in &mut list.hosts {
                host.addr = self.relays[&(domain, host.id)].addr();
            }
            member.host.control().update_host_list(list);
        }
    }

    fn domain(&self, host: entity::HostId) -> entity::DomainId {
        let mut hosts = self.fleet.list.hosts.iter();
        hosts
            .find(|entry| entry.id == host)
            .expect("a host of the list")
            .domain
    }

    /// Returns the index of the member that owns the first engine.
    fn owner(&self) -> usize {
        let spread = candidates::Spread::Region;
        let directory = candidates::Directory::new(&self.fleet.list, spread);
        let owner = directory.owner(self.fleet.engines[0].0);
        let mut members = self.fleet.members.iter();
        members
            .position(|member| Some(member.id) == owner)
            .expect("an owner")
    }

    /// Kills a host after removing it from the host list: its connections are closed and its links
    /// refuse connections.
    fn kill(&mut self, index: usize) {
        let member = self.fleet.members.remove(index);
        self.fleet.list.hosts.retain(|entry| entry.id != member.id);
        self.publish_host_list();
        for ((_, host), relay) in &self.relays {
            if *host == member.id {
                relay.partition();
            }
        }
        member.host.close();
    }

    fn for_links_between_domains<F>(&self, change: F)
    where
        F: Fn(&relay::Relay),
    {
        for ((from, host), relay) in &self.relays {
            if self.domain(*host) != *from {
                change(relay);
            }
        }
    }

    fn close(self) {
        self.fleet.close();
        self.relays.into_values().for_each(relay::Relay::close);
    }
}

type Events = Vec<(String, std::time::Instant)>;

/// Checks that the tokens are the first ones of a single run, and returns their number.
fn tokens_of_one_run(events: &Events) -> u32 {
    let mut runs = BTreeSet::new();
    let mut count = 0;
    for (data, _) in events {
        let chunk: Value = serde_json::from_str(data).unwrap_or_default();
        let Some(token) = chunk["choices"][0]["delta"]["content"].as_str() else {
            continue;
        };
        let (run, number) = token
            .trim()
            .rsplit_once('.')
            .expect("a token of the engine");
        count += 1;
        assert_eq!(number, count.to_string());
        runs.insert(run.to_owned());
    }
    assert!(runs.len() <= 1, "mixed answer of runs {runs:?}");
    count
}

/// Checks that a stream is complete or ends with an error, and returns whether it is complete.
fn assert_complete_or_error(events: &Events, end: std::io::Result<()>) -> bool {
    let count = tokens_of_one_run(events);
    let done = events.last().is_some_and(|(data, _)| data == "[DONE]");
    if done {
        end.expect("a complete answer ends without an error");
        assert_eq!(count, STREAM_TOKENS);
    } else {
        end.expect_err("a partial answer ends with an error");
    }
    done
}

#[test]
fn owner_killed_mid_stream() {
    let mut fleet = RelayedFleet::start(&fleet_config(1, 3, 1));
    let owner = fleet.owner();
    let entry = (owner + 1) % 3;
    let callers = fleet.fleet.members[entry].callers;
    let resp = support::chat(callers, &support::chat_body("x", true, STREAM_TOKENS)).unwrap();
    let reading = std::thread::spawn(move || support::events(resp));
    std::thread::sleep(Duration::from_millis(150));
    fleet.kill(owner);
    let (events, end) = reading.join().unwrap();
    assert!(
        assert_complete_or_error(&events, end),
        "not resumed by the next owner: {events:?}"
    );
    assert_eq!(
        fleet.fleet.engines[0]
            .1
            .counters()
            .runs
            .values()
            .sum::<u32>(),
        1
    );
    for member in &fleet.fleet.members {
        let resp = support::chat(member.callers, &support::chat_body("y", false, 5)).unwrap();
        assert_eq!(resp.status().as_u16(), 200);
    }
    fleet.close();
}

#[test]
fn owner_killed_with_requests_queued() {
    let mut config = fleet_config(1, 3, 1);
    config.engine.slots = 1;
    let mut fleet = RelayedFleet::start(&config);
    let owner = fleet.owner();
    let entry = (owner + 1) % 3;
    let callers = fleet.fleet.members[entry].callers;
    let ask = move |i: u32| {
        let body = support::chat_body(&format!("chat {i}"), false, 20);
        let resp = support::chat(callers, &body).unwrap();
        let status = resp.status().as_u16();
        let outcome = support::header(&resp, "x-outcome");
        let request = support::header(&resp, "x-request-id");
        let answer: Value = resp.json().unwrap();
        (status, outcome, request, answer["error"].clone())
    };
    let asking: Vec<_> = (0..6).map(|i| std::thread::spawn(move || ask(i))).collect();
    std::thread::sleep(Duration::from_millis(200));
    fleet.kill(owner);
    let answers: Vec<_> = asking
        .into_iter()
        .map(|thread| thread.join().unwrap())
        .collect();
    let runs = fleet.fleet.engines[0].1.counters().runs;
    for (status, outcome, request, _) in &answers {
        match outcome.as_str() {
            "not_run" => assert!(!runs.contains_key(request), "{request} ran: {runs:?}"),
            "run" | "unknown" => {}
            other => panic!("status {status} with outcome {other:?}"),
        }
    }
    let answered = answers.iter().filter(|(status, ..)| *status == 200).count();
    assert_eq!(answered, answers.len(), "{answers:?}");
    fleet.close();
}

#[test]
fn entry_killed_mid_request() {
    let mut fleet = RelayedFleet::start(&fleet_config(1, 3, 1));
    let entry = (fleet.owner() + 1) % 3;
    let callers = fleet.fleet.members[entry].callers;
    let resp = support::chat(callers, &support::chat_body("x", true, STREAM_TOKENS)).unwrap();
    let reading = std::thread::spawn(move || support::events(resp));
    std::thread::sleep(Duration::from_millis(150));
    let begin = std::time::Instant::now();
    fleet.kill(entry);
    let (events, end) = reading.join().unwrap();
    assert!(
        begin.elapsed() < FAILURE_REPORT_TIMEOUT,
        "the caller waited {:?}",
        begin.elapsed()
    );
    assert!(!assert_complete_or_error(&events, end));
    let cancelled = || fleet.fleet.engines[0].1.counters().cancels > 0;
    assert!(
        support::eventually(cancelled),
        "the engine was not cancelled"
    );
    assert!(fleet.fleet.engines[0].1.counters().tokens < u64::from(STREAM_TOKENS));
    for member in &fleet.fleet.members {
        let resp = support::chat(member.callers, &support::chat_body("y", false, 5)).unwrap();
        assert_eq!(resp.status().as_u16(), 200);
    }
    fleet.close();
}

#[test]
fn domain_partitioned_and_rejoined() {
    let fleet = RelayedFleet::start(&fleet_config(2, 2, 1));
    let all_answer = |when: &str| {
        for member in &fleet.fleet.members {
            for i in 0..6 {
                let body = support::chat_body(&format!("{when} {i}"), false, 2);
                let resp = support::chat(member.callers, &body).unwrap();
                let status = resp.status().as_u16();
                assert_eq!(
                    status,
                    200,
                    "{when}, {}: {}",
                    member.id,
                    resp.text().unwrap()
                );
            }
        }
    };
    let tokens = || -> Vec<u64> {
        fleet
            .fleet
            .engines
            .iter()
            .map(|(_, engine)| engine.counters().tokens)
            .collect()
    };
    all_answer("before");
    let crossed = || -> u64 {
        let between = fleet
            .relays
            .iter()
            .filter(|((from, to), _)| fleet.domain(*to) != *from);
        between.map(|(_, relay)| relay.bytes()).sum()
    };
    assert!(crossed() > 0, "no request crossed domains");
    fleet.for_links_between_domains(relay::Relay::partition);
    let before = (crossed(), tokens());
    all_answer("cut off");
    assert_eq!(crossed(), before.0);
    assert!(
        tokens().iter().zip(&before.1).all(|(now, then)| now > then),
        "a domain served no requests during the partition"
    );
    fleet.for_links_between_domains(relay::Relay::heal);
    let healed = || {
        all_answer("rejoined");
        crossed() > before.0
    };
    assert!(
        support::eventually(healed),
        "no request crossed domains after they were rejoined"
    );
    fleet.close();
}

#[test]
fn stream_over_a_stalled_link_is_resumed_on_a_new_connection() {
    let fleet = RelayedFleet::start(&fleet_config(1, 2, 1));
    let owner = fleet.owner();
    let callers = fleet.fleet.members[1 - owner].callers;
    let resp = support::chat(callers, &support::chat_body("x", true, STREAM_TOKENS)).unwrap();
    let reading = std::thread::spawn(move || support::events(resp));
    std::thread::sleep(Duration::from_millis(150));
    fleet.relays.values().for_each(relay::Relay::blackhole);
    let (events, end) = reading.join().unwrap();
    assert!(
        assert_complete_or_error(&events, end),
        "not resumed: {events:?}"
    );
    assert_eq!(
        fleet.fleet.engines[0]
            .1
            .counters()
            .runs
            .values()
            .sum::<u32>(),
        1
    );
    let resp = support::chat(callers, &support::chat_body("y", false, 5)).unwrap();
    assert_eq!(resp.status().as_u16(), 200);
    fleet.close();
}
