//! Work at owned endpoints: load bound, queue and handover of ownership.

use std::time::Duration;

use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::routing::bound::{self, pool};
use pistachiochute_core::routing::handover;
use pistachiochute_core::{entity, owner, queue, reason, request, time, units};

const SLOTS: u32 = 64;

fn endpoint(index: usize) -> entity::EndpointId {
    entity::EndpointId::from_index(index)
}

fn host(index: usize) -> entity::HostId {
    entity::HostId::from_index(index)
}

fn work(number: u128, load: u64, may_queue: bool) -> owner::Work {
    let request = request::RequestId(uuid::Uuid::from_u128(number));
    owner::Work {
        id: owner::AttemptId {
            request,
            attempt: 0,
        },
        account: "farm".parse().expect("a name"),
        weight: 1,
        priority: 0,
        cost: units::Tokens(load),
        load,
        pool: [endpoint(0), endpoint(1)].into_iter().collect(),
        deadline: time::Time::from_secs(1_000),
        may_queue,
    }
}

/// An owner of endpoint 0, in a pool with endpoint 1 of another host.
fn owner() -> owner::Owner {
    let cfg = owner::Config {
        bound: bound::Settings::default(),
        queue: queue::Bounds::default(),
    };
    let mut owner = owner::Owner::new(cfg);
    let now = time::Time::ZERO;
    (0..2).for_each(|i| owner.join(now, endpoint(i), owner::Class::Engine));
    assert!(owner.open(now, endpoint(0), owner::Class::Engine, SLOTS));
    owner
}

fn view(owner: &mut owner::Owner, now: time::Time, load: u64) {
    let remote = pool::RemoteLoad {
        load,
        age: Duration::ZERO,
        pushes_changes: Some(true),
    };
    owner.update_view(now, endpoint(1), remote);
}

fn dispatched(effects: &owner::Effects) -> usize {
    effects
        .iter()
        .filter(|e| matches!(e, owner::Effect::Dispatch(_)))
        .count()
}

#[test]
fn nothing_is_dispatched_before_the_handover_and_the_queue_is_dispatched_with_it() {
    let mut owner = owner();
    let now = time::Time::from_millis(10);
    let refused = owner.offer(now, endpoint(0), work(1, 100, false));
    let at_bound = |e: &owner::Effect| {
        matches!(
            e,
            owner::Effect::Refuse {
                reason: reason::Refusal::AtBound,
                ..
            }
        )
    };
    assert!(refused.iter().all(at_bound) && refused.len() == 1);
    assert_eq!(
        dispatched(&owner.offer(now, endpoint(0), work(2, 100, true))),
        0
    );
    assert_eq!(dispatched(&owner.record_handover(now, endpoint(0), 0)), 1);
    assert_eq!(
        owner.owned_loads().collect::<Vec<_>>(),
        [(endpoint(0), 100)]
    );
}

#[test]
fn the_grace_period_ends_the_wait_for_a_silent_former_owner() {
    let mut owner = owner();
    let now = time::Time::from_millis(10);
    owner.offer(now, endpoint(0), work(1, 100, true));
    assert_eq!(
        dispatched(&owner.dispatch_queued(now + Duration::from_secs(2))),
        0
    );
    assert_eq!(
        dispatched(&owner.dispatch_queued(now + Duration::from_secs(4))),
        1
    );
}

#[test]
fn queued_work_is_bounded_and_dispatched_when_the_mean_rises() {
    let mut owner = owner();
    let now = time::Time::from_millis(10);
    owner.record_handover(now, endpoint(0), 0);
    view(&mut owner, now, 1_000);
    let offers = (0..20).map(|number| owner.offer(now, endpoint(0), work(number, 100, true)));
    let started: usize = offers.collect::<Vec<_>>().iter().map(dispatched).sum();
    // 1600 is the largest load within 1.25 times the mean, with 1000 at the other endpoint.
    assert!((10..=16).contains(&started), "{started}");
    let later = now + Duration::from_millis(20);
    assert_eq!(dispatched(&owner.dispatch_queued(later)), 0);
    view(&mut owner, later, 4_000);
    assert_eq!(dispatched(&owner.dispatch_queued(later)), 20 - started);
}

#[test]
fn a_former_owner_reports_its_residual_load_until_it_has_ended() {
    let mut owner = owner();
    let now = time::Time::from_millis(10);
    owner.record_handover(now, endpoint(0), 0);
    let running = work(1, 100, true);
    let id = running.id;
    assert_eq!(dispatched(&owner.offer(now, endpoint(0), running)), 1);
    owner.close(now, endpoint(0), reason::Refusal::NotOwner);
    assert_eq!(owner.residual_load(endpoint(0)), 100);
    assert!(!owner.is_open(endpoint(0)));
    owner.finish(now, endpoint(0), id, None);
    assert_eq!(owner.residual_load(endpoint(0)), 0);
    assert!(owner.is_empty());
}

#[test]
fn a_claim_is_settled_when_every_host_has_answered() {
    let mut handovers = handover::Handovers::default();
    assert!(handovers.claim(endpoint(3), []));
    assert!(!handovers.claim(endpoint(0), [host(1), host(2)]));
    let asked = |handovers: &mut handover::Handovers, secs| {
        let due = handovers.due_queries(time::Time::from_secs(secs));
        due.into_iter().map(|(host, _)| host).collect::<Vec<_>>()
    };
    assert_eq!(asked(&mut handovers, 1), [host(1), host(2)]);
    assert!(asked(&mut handovers, 1).is_empty());
    assert_eq!(handovers.record_answer(host(1), endpoint(0), 70), None);
    assert_eq!(handovers.record_answer(host(2), endpoint(0), 0), Some(70));
    assert_eq!(asked(&mut handovers, 2), [host(1)]);
    assert_eq!(handovers.record_answer(host(1), endpoint(0), 30), Some(30));
    assert_eq!(handovers.host_down(host(1)).to_vec(), [(endpoint(0), 0)]);
    assert!(asked(&mut handovers, 3).is_empty());
}

#[test]
fn a_host_that_is_down_still_has_to_answer_or_outlast_the_grace_period() {
    let mut handovers = handover::Handovers::default();
    handovers.claim(endpoint(0), [host(1), host(2)]);
    assert!(handovers.host_down(host(1)).is_empty());
    assert_eq!(handovers.record_answer(host(2), endpoint(0), 0), None);
    assert_eq!(handovers.record_answer(host(1), endpoint(0), 0), Some(0));
}
