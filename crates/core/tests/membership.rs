//! Views of the membership converge despite loss, and wrong suspicions are refuted.

use std::collections::BTreeMap;
use std::time::Duration;

use pistachiochute_core::membership::{
    Config, Effect, Effects, Membership, Probe, Status, Subject, Update,
};
use pistachiochute_core::{entity, entity::Entity as _, time, topology};
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};
use rand::{Rng as _, SeedableRng as _};

const DOMAIN_HOSTS: usize = 12;

fn host(i: usize) -> entity::HostId {
    entity::HostId::from_index(i)
}

fn domain(i: usize) -> entity::DomainId {
    entity::DomainId::from_index(i)
}

fn list(version: u64, domains: usize) -> topology::HostList {
    let addr = "127.0.0.1:1".parse().unwrap();
    let presence = topology::Presence::Live;
    let region = entity::RegionId::from_index(0);
    let endpoint = |i: usize| topology::Endpoint {
        id: entity::EndpointId::from_index(i),
        domain: domain(i % domains),
        addr,
        serves: topology::Serves::Engine {
            models: vec!["m1".parse().unwrap()],
        },
        slots: 4,
        presence,
    };
    topology::HostList {
        version,
        domains: (0..domains)
            .map(|i| topology::Domain {
                id: domain(i),
                region,
            })
            .collect(),
        hosts: (0..domains * DOMAIN_HOSTS)
            .map(|i| topology::Host {
                id: host(i),
                domain: domain(i / DOMAIN_HOSTS),
                addr,
                presence,
            })
            .collect(),
        endpoints: (0..4).map(endpoint).collect(),
    }
}

/// Simulated hosts that exchange messages in steps of 50 ms. Messages may be lost.
struct Mesh {
    now: time::Time,
    views: Vec<Membership>,
    rng: rand_chacha::ChaCha8Rng,
    loss: f64,
    /// Hosts that neither send nor answer.
    silent: Vec<bool>,
    /// Whether the domains are cut off from each other.
    cut: bool,
    /// Last reported change of a host's usability, by observer and host.
    usable: BTreeMap<(usize, entity::HostId), bool>,
}

const STEP: Duration = Duration::from_millis(50);

impl Mesh {
    fn new(domains: usize, seed: u64, loss: f64) -> Self {
        let now = time::Time::from_secs(1);
        let list = list(1, domains);
        let views = (0..domains * DOMAIN_HOSTS)
            .map(|i| {
                let mut view =
                    Membership::new(Config::default(), host(i), domain(i / DOMAIN_HOSTS));
                view.apply_host_list(now, &list);
                view
            })
            .collect::<Vec<_>>();
        let silent = vec![false; views.len()];
        let rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        Self {
            now,
            views,
            rng,
            loss,
            silent,
            cut: false,
            usable: BTreeMap::new(),
        }
    }

    fn is_delivered(&mut self, from: usize, to: usize) -> bool {
        let cut = self.cut && from / DOMAIN_HOSTS != to / DOMAIN_HOSTS;
        let lost = self.rng.random_bool(self.loss);
        !cut && !lost && !self.silent[from] && !self.silent[to]
    }

    fn apply_effects(&mut self, at: usize, effects: Effects) -> Vec<(entity::HostId, Probe)> {
        let mut sends = Vec::new();
        for effect in effects {
            match effect {
                Effect::SendProbe { to, probe } => sends.push((to, probe)),
                Effect::HostChanged { host, usable } => {
                    self.usable.insert((at, host), usable);
                }
                Effect::EndpointChanged { .. } | Effect::DomainChanged { .. } => {}
            }
        }
        sends
    }

    fn step(&mut self) {
        self.now += STEP;
        for i in 0..self.views.len() {
            if self.silent[i] {
                continue;
            }
            let effects = self.views[i].tick(self.now);
            for (to, probe) in self.apply_effects(i, effects) {
                self.exchange(i, to, probe);
            }
        }
    }

    fn exchange(&mut self, from: usize, to: entity::HostId, probe: Probe) {
        let j = to.index();
        if !self.is_delivered(from, j) {
            let effects = self.views[from].handle_probe_failure(self.now, to, false);
            self.apply_effects(from, effects);
            return;
        }
        let (answer, effects) = self.views[j].handle_probe(self.now, &probe);
        self.apply_effects(j, effects);
        let effects = match self.is_delivered(j, from) {
            true => self.views[from].handle_answer(self.now, &answer),
            false => self.views[from].handle_probe_failure(self.now, to, false),
        };
        self.apply_effects(from, effects);
    }

    fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.step();
        }
    }

    fn views_with_usable(&self, subject: usize) -> usize {
        let others = (0..self.views.len()).filter(|&i| i != subject && !self.silent[i]);
        others
            .filter(|&i| self.views[i].is_usable(host(subject)))
            .count()
    }
}

#[test]
fn a_leaving_host_and_endpoint_are_known_in_three_seconds_despite_loss() {
    for seed in 0..20 {
        let mut mesh = Mesh::new(1, seed, 0.1);
        mesh.run(Duration::from_secs(3));
        mesh.views[3].leave();
        let effects =
            mesh.views[5].set_endpoint_leaving(mesh.now, entity::EndpointId::from_index(2), true);
        mesh.apply_effects(5, effects);
        mesh.run(Duration::from_secs(3));
        assert_eq!(mesh.views_with_usable(3), 0, "seed {seed}");
        let endpoint = entity::EndpointId::from_index(2);
        assert!(
            mesh.views.iter().all(|view| view.is_leaving(endpoint)),
            "seed {seed}"
        );
    }
}

#[test]
fn a_dead_host_becomes_unusable_and_a_restarted_one_usable_again() {
    let mut mesh = Mesh::new(1, 7, 0.0);
    mesh.run(Duration::from_secs(2));
    mesh.silent[4] = true;
    mesh.run(Duration::from_secs(6));
    assert_eq!(mesh.views_with_usable(4), 0);
    let list = list(1, 1);
    mesh.views[4] = Membership::new(Config::default(), host(4), domain(0));
    mesh.views[4].apply_host_list(mesh.now, &list);
    mesh.silent[4] = false;
    mesh.run(Duration::from_secs(4));
    assert_eq!(mesh.views_with_usable(4), DOMAIN_HOSTS - 1);
}

#[test]
fn a_suspicion_after_a_short_pause_is_refuted_without_any_change() {
    let mut mesh = Mesh::new(1, 8, 0.0);
    mesh.run(Duration::from_secs(2));
    mesh.silent[4] = true;
    mesh.run(Duration::from_millis(2_500));
    mesh.silent[4] = false;
    mesh.usable.clear();
    mesh.run(Duration::from_secs(10));
    assert_eq!(mesh.views_with_usable(4), DOMAIN_HOSTS - 1);
    let changes = mesh
        .usable
        .iter()
        .filter(|((_, changed), _)| *changed == host(4))
        .count();
    assert_eq!(changes, 0, "no view changed");
}

#[test]
fn a_domain_that_is_cut_off_becomes_unreachable_and_reachable_again() {
    let mut mesh = Mesh::new(3, 9, 0.0);
    mesh.run(Duration::from_secs(3));
    mesh.cut = true;
    mesh.run(Duration::from_secs(5));
    for (i, view) in mesh.views.iter().enumerate() {
        let own = i / DOMAIN_HOSTS;
        for other in 0..3 {
            assert_eq!(view.is_reachable(domain(other)), own == other);
        }
        // Each domain keeps its own hosts in use, and suspects no host of another domain.
        assert!(
            (0..mesh.views.len())
                .filter(|&j| j != i)
                .all(|j| view.is_usable(host(j)))
        );
    }
    mesh.cut = false;
    mesh.run(Duration::from_secs(2));
    assert!(
        mesh.views
            .iter()
            .all(|view| (0..3).all(|other| view.is_reachable(domain(other))))
    );
}

#[test]
fn a_flapping_endpoint_is_suppressed_until_it_is_stable() {
    let mut view = Membership::new(Config::default(), host(0), domain(0));
    let mut now = time::Time::from_secs(1);
    view.apply_host_list(now, &list(1, 1));
    let endpoint = entity::EndpointId::from_index(1);
    for _ in 0..3 {
        view.set_endpoint_leaving(now, endpoint, true);
        now += Duration::from_millis(500);
        view.set_endpoint_leaving(now, endpoint, false);
        now += Duration::from_millis(500);
    }
    view.tick(now);
    assert!(view.is_leaving(endpoint), "suppressed");
    now += Duration::from_secs(60);
    view.tick(now);
    assert!(!view.is_leaving(endpoint), "usable again");
}

#[test]
fn a_suspicion_does_not_hide_that_a_host_is_leaving() {
    let mut view = Membership::new(Config::default(), host(0), domain(0));
    let now = time::Time::from_secs(1);
    view.apply_host_list(now, &list(1, 1));
    let probe = |incarnation, status| Probe {
        from: host(2),
        receiver: None,
        updates: [Update {
            subject: Subject::Host(host(1)),
            incarnation,
            status,
        }]
        .into_iter()
        .collect(),
    };
    view.handle_probe(now, &probe(1, Status::Leaving));
    view.handle_probe(now, &probe(1, Status::Suspect));
    assert!(!view.is_usable(host(1)));
    view.handle_probe(now, &probe(2, Status::Alive));
    view.tick(now + Duration::from_secs(30));
    assert!(view.is_usable(host(1)));
}

fn statuses() -> impl Strategy<Value = Status> {
    prop_oneof![
        Just(Status::Alive),
        Just(Status::Leaving),
        Just(Status::Suspect),
        Just(Status::Down),
    ]
}

fn updates() -> impl Strategy<Value = Update> {
    let subject = prop_oneof![
        (1_usize..DOMAIN_HOSTS).prop_map(|i| Subject::Host(host(i))),
        (0_usize..4).prop_map(|i| Subject::Endpoint(entity::EndpointId::from_index(i))),
    ];
    (subject, 0_u32..4, statuses()).prop_map(|(subject, incarnation, status)| Update {
        subject,
        incarnation,
        status,
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Two hosts that receive the same updates in any order, any number of times, agree.
    #[test]
    fn the_order_and_number_of_messages_do_not_matter(
        first in prop::collection::vec(updates(), 1..40),
        order in any::<u64>(),
    ) {
        let mut again = first.clone();
        again.extend(first.clone());
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(order);
        for i in (1..again.len()).rev() {
            again.swap(i, rng.random_range(0..=i));
        }
        let receive = |updates: &[Update]| {
            let mut view = Membership::new(Config::default(), host(0), domain(0));
            let now = time::Time::from_secs(1);
            view.apply_host_list(now, &list(1, 1));
            for update in updates {
                let updates = [*update].into_iter().collect();
                view.handle_probe(now, &Probe { from: host(1), receiver: None, updates });
            }
            // Long enough for suspicions to be confirmed and for flap damping to end.
            view.tick(now + Duration::from_secs(5));
            view.tick(now + Duration::from_secs(200));
            view
        };
        let (a, b) = (receive(&first), receive(&again));
        for i in 1..DOMAIN_HOSTS {
            prop_assert_eq!(a.is_usable(host(i)), b.is_usable(host(i)));
        }
        for i in 0..4 {
            let endpoint = entity::EndpointId::from_index(i);
            prop_assert_eq!(a.is_leaving(endpoint), b.is_leaving(endpoint));
        }
    }
}
