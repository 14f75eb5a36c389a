//! Views of prefix caches, and the choice that they serve.

use std::collections::BTreeMap;
use std::time::Duration;

use pistachiochute_core::entity::Entity as _;
use pistachiochute_core::routing::{cache, pacer, spill};
use pistachiochute_core::{entity, request, time, units};
use rand::seq::SliceRandom as _;
use rand::{Rng as _, SeedableRng as _};

fn chat(number: u64) -> request::ChatKey {
    request::ChatKey(number)
}

fn stored(seq: u64, number: u64) -> cache::Event {
    let tokens = units::Tokens(100 + seq);
    cache::Event {
        seq,
        change: cache::Change::Stored {
            chat: chat(number),
            tokens,
        },
    }
}

fn view(entries: usize) -> cache::View {
    cache::View::new(cache::Settings { entries })
}

/// Events of a cache with what it holds after each.
fn history(rng: &mut rand_chacha::ChaCha8Rng) -> (Vec<cache::Event>, BTreeMap<u64, u64>) {
    let mut held = BTreeMap::new();
    let mut events = Vec::new();
    for seq in 0..400 {
        let number = rng.random_range(0..40);
        let change = match rng.random_range(0..20) {
            0 => {
                held.clear();
                cache::Change::Cleared
            }
            1..8 => {
                held.remove(&number);
                cache::Change::Evicted { chat: chat(number) }
            }
            _ => {
                held.insert(number, 100 + seq);
                let tokens = units::Tokens(100 + seq);
                cache::Change::Stored {
                    chat: chat(number),
                    tokens,
                }
            }
        };
        events.push(cache::Event { seq, change });
    }
    (events, held)
}

fn assert_holds(view: &cache::View, held: &BTreeMap<u64, u64>) {
    assert_eq!(view.len(), held.len());
    for (number, tokens) in held {
        assert_eq!(view.tokens(chat(*number)), units::Tokens(*tokens));
    }
}

#[test]
fn late_and_repeated_events_give_the_same_view() {
    for seed in 0..20 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let (events, held) = history(&mut rng);
        let mut late = events.clone();
        late[1..]
            .chunks_mut(30)
            .for_each(|chunk| chunk.shuffle(&mut rng));
        let mut view = view(1_000);
        for event in late.iter().chain(&events) {
            assert_eq!(view.apply_event(*event), cache::FollowUp::None);
        }
        assert_holds(&view, &held);
        assert_eq!(view.gaps(), 0);
    }
}

#[test]
fn a_lost_event_asks_for_a_listing_that_makes_the_view_whole() {
    for seed in 0..20 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let (events, held) = history(&mut rng);
        let mut view = view(1_000);
        let lost = rng.random_range(1..300);
        let follow_ups: Vec<_> = events
            .iter()
            .filter(|event| event.seq != lost)
            .map(|event| view.apply_event(*event))
            .collect();
        assert!(follow_ups.contains(&cache::FollowUp::FetchSnapshot));
        assert_eq!(view.gaps(), 1);
        let snapshot = held
            .iter()
            .map(|(number, t)| (chat(*number), units::Tokens(*t)));
        view.load_snapshot(400, snapshot);
        assert_holds(&view, &held);
    }
}

#[test]
fn a_listing_older_than_the_view_is_ignored_and_newer_events_stay() {
    let mut view = view(1_000);
    (0..10).for_each(|seq| assert_eq!(view.apply_event(stored(seq, seq)), cache::FollowUp::None));
    view.load_snapshot(5, []);
    assert_eq!(view.len(), 10);
    view.apply_event(stored(12, 99));
    view.load_snapshot(12, [(chat(1), units::Tokens(7))]);
    assert_eq!(view.tokens(chat(1)), units::Tokens(7));
    assert_eq!(view.tokens(chat(99)), units::Tokens(112));
    assert_eq!(view.len(), 2);
}

#[test]
fn a_view_keeps_to_its_bound_and_forgets_the_oldest() {
    let mut view = view(8);
    for seq in 0..100 {
        view.apply_event(stored(seq, seq));
        assert!(view.len() <= 8);
    }
    view.record_sent(chat(93), units::Tokens(5_000));
    view.apply_event(stored(100, 100));
    assert_eq!(view.tokens(chat(93)), units::Tokens(5_000));
    assert_eq!(view.tokens(chat(92)), units::Tokens::ZERO);
}

/// Endpoint 0 holds 4,000 tokens and may be at its bound; endpoint 1 holds nothing.
fn choices(wait: Option<Duration>, remote: bool) -> [spill::EndpointOption; 2] {
    let holder = spill::EndpointOption {
        endpoint: entity::EndpointId::from_index(0),
        held: units::Tokens(4_000),
        load: Some(1_000),
        mean: 1_000.0,
        remote: false,
        wait,
    };
    let other = spill::EndpointOption {
        endpoint: entity::EndpointId::from_index(1),
        held: units::Tokens::ZERO,
        load: (!remote).then_some(1_000),
        remote,
        wait: Some(Duration::ZERO),
        ..holder
    };
    [holder, other]
}

fn choose(settings: spill::Settings, options: &[spill::EndpointOption]) -> Option<spill::Decision> {
    let mut chooser = spill::Chooser::new(settings, time::Time::ZERO);
    chooser.choose(units::Tokens(4_100), 400, options, time::Time::ZERO)
}

#[test]
fn the_holder_is_taken_while_it_admits() {
    let decision = choose(
        spill::Settings::default(),
        &choices(Some(Duration::ZERO), false),
    );
    let endpoint = entity::EndpointId::from_index(0);
    assert_eq!(decision, Some(spill::Decision::Send { endpoint }));
}

#[test]
fn a_short_wait_is_worth_it_and_a_long_one_is_an_import() {
    let settings = spill::Settings::default();
    let short = choose(settings, &choices(Some(Duration::from_millis(20)), false));
    assert!(
        matches!(short, Some(spill::Decision::Wait { at_most, .. }) if at_most == settings.max_wait)
    );
    let long = choose(settings, &choices(Some(Duration::from_secs(2)), false));
    let bytes = units::ByteSize(4_000 * settings.kv_bytes_per_token);
    let endpoint = entity::EndpointId::from_index(1);
    let from = entity::EndpointId::from_index(0);
    assert_eq!(
        long,
        Some(spill::Decision::Import {
            endpoint,
            from,
            bytes
        })
    );
}

#[test]
fn a_slow_link_means_reading_again() {
    let settings = spill::Settings {
        domain_bytes_per_s: 1_000_000,
        ..Default::default()
    };
    let decision = choose(settings, &choices(None, false));
    assert!(matches!(decision, Some(spill::Decision::Send { endpoint }) if endpoint.index() == 1));
}

#[test]
fn imports_between_domains_keep_to_their_budget() {
    let settings = spill::Settings {
        cross_bytes_per_s: 10_000_000_000,
        cross_price: 1,
        cross_budget_bytes_per_s: 100_000_000,
        ..Default::default()
    };
    let mut chooser = spill::Chooser::new(settings, time::Time::ZERO);
    let mut moved = 0;
    for tenth in 0..600 {
        let now = time::Time::from_millis(100 * tenth);
        let decision = chooser.choose(units::Tokens(4_100), 400, &choices(None, true), now);
        if let Some(spill::Decision::Import { bytes, .. }) = decision {
            moved += bytes.0;
        }
    }
    let seconds = 60 + spill::BUDGET_WINDOW.as_secs();
    assert!(moved > 0 && moved <= settings.cross_budget_bytes_per_s * seconds);
}

#[test]
fn the_setting_moves_from_even_load_to_reuse() {
    let mut options = choices(Some(Duration::ZERO), false);
    options[1].load = Some(850);
    let at = |reuse| {
        let settings = spill::Settings {
            reuse,
            ..Default::default()
        };
        choose(settings, &options).map(|decision| decision.endpoint().index())
    };
    assert_eq!((at(0.0), at(1.0)), (Some(1), Some(0)));
}

#[test]
fn nothing_is_chosen_when_nothing_admits() {
    let mut options = choices(None, false);
    options[1].wait = None;
    assert_eq!(choose(spill::Settings::default(), &options), None);
}

#[test]
fn load_reports_keep_to_their_budget() {
    let settings = pacer::Settings::default();
    for peers in [2, 51] {
        let mut pacer = pacer::ReportPacer::new(settings);
        let mut reports = 0;
        let mut due = None;
        for millis in 0..60_000 {
            let now = time::Time::from_millis(millis);
            due = due.or_else(|| pacer.schedule(peers, now));
            if due.is_some_and(|at| at <= now) {
                due = None;
                reports += 1;
                pacer.record_sent(peers, now);
            }
        }
        let bytes = reports * peers as u64 * settings.report_bytes;
        let budget = 60 * settings.bytes_per_s + settings.burst_bytes;
        assert!(
            bytes > budget / 2 && bytes <= budget + 51 * settings.report_bytes,
            "{bytes}"
        );
    }
}

#[test]
fn a_host_promises_prompt_reports_only_while_its_budget_lasts() {
    let mut pacer = pacer::ReportPacer::new(pacer::Settings::default());
    let now = time::Time::from_secs(1);
    let mut promised = true;
    let mut sent = 0;
    while promised {
        assert_eq!(pacer.schedule(2, now), Some(now));
        promised = pacer.record_sent(2, now);
        sent += 1;
    }
    assert!(sent > 8);
    assert_eq!(pacer.schedule(2, now), Some(now));
    pacer.record_sent(2, now);
    assert!(
        pacer
            .schedule_refresh(2, now + pacer::REFRESH_INTERVAL)
            .is_none()
    );
    assert!(
        pacer
            .schedule_refresh(2, now + Duration::from_secs(10))
            .is_some()
    );
}
