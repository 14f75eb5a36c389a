//! Views of prefix caches, spill decisions, and the rate of load reports.

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

/// Random events of a cache, with its content after the last one.
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
fn reordered_and_duplicate_events_give_the_same_view() {
    for seed in 0..20 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let (events, held) = history(&mut rng);
        let mut reordered = events.clone();
        reordered[1..]
            .chunks_mut(30)
            .for_each(|chunk| chunk.shuffle(&mut rng));
        let mut view = view(1_000);
        for event in reordered.iter().chain(&events) {
            assert_eq!(view.apply_event(*event), cache::FollowUp::None);
        }
        assert_holds(&view, &held);
        assert_eq!(view.gaps(), 0);
    }
}

#[test]
fn a_lost_event_requires_a_snapshot_that_repairs_the_view() {
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
fn a_snapshot_older_than_the_view_is_ignored_and_newer_events_stay() {
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
fn a_full_view_evicts_the_least_recently_used_chat() {
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
fn options(wait: Option<Duration>, remote: bool) -> [spill::EndpointOption; 2] {
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
fn the_holder_is_selected_while_it_admits() {
    let decision = choose(
        spill::Settings::default(),
        &options(Some(Duration::ZERO), false),
    );
    let endpoint = entity::EndpointId::from_index(0);
    assert_eq!(decision, Some(spill::Decision::Send { endpoint }));
}

#[test]
fn a_short_wait_beats_an_import_and_a_long_wait_does_not() {
    let settings = spill::Settings::default();
    let short = choose(settings, &options(Some(Duration::from_millis(20)), false));
    assert!(
        matches!(short, Some(spill::Decision::Wait { at_most, .. }) if at_most == settings.max_wait)
    );
    let long = choose(settings, &options(Some(Duration::from_secs(2)), false));
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
fn prefill_beats_an_import_over_a_slow_link() {
    let settings = spill::Settings {
        domain_bytes_per_s: 1_000_000,
        ..Default::default()
    };
    let decision = choose(settings, &options(None, false));
    assert!(matches!(decision, Some(spill::Decision::Send { endpoint }) if endpoint.index() == 1));
}

#[test]
fn imports_between_domains_stay_within_their_budget() {
    let settings = spill::Settings {
        cross_bytes_per_s: 10_000_000_000,
        cross_price: 1,
        cross_budget_bytes_per_s: 100_000_000,
        ..Default::default()
    };
    let mut chooser = spill::Chooser::new(settings, time::Time::ZERO);
    let mut imported = 0;
    for tenth in 0..600 {
        let now = time::Time::from_millis(100 * tenth);
        let decision = chooser.choose(units::Tokens(4_100), 400, &options(None, true), now);
        if let Some(spill::Decision::Import { bytes, .. }) = decision {
            imported += bytes.0;
        }
    }
    let seconds = 60 + spill::BUDGET_WINDOW.as_secs();
    assert!(imported > 0 && imported <= settings.cross_budget_bytes_per_s * seconds);
}

#[test]
fn the_reuse_setting_trades_even_load_for_cache_reuse() {
    let mut options = options(Some(Duration::ZERO), false);
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
fn there_is_no_decision_when_no_endpoint_admits() {
    let mut options = options(None, false);
    options[1].wait = None;
    assert_eq!(choose(spill::Settings::default(), &options), None);
}

#[test]
fn load_reports_stay_within_their_budget() {
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
fn a_host_announces_that_it_pushes_changes_only_while_its_budget_lasts() {
    let mut pacer = pacer::ReportPacer::new(pacer::Settings::default());
    let now = time::Time::from_secs(1);
    let mut pushes_changes = true;
    let mut sent = 0;
    while pushes_changes {
        assert_eq!(pacer.schedule(2, now), Some(now));
        pushes_changes = pacer.record_sent(2, now);
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
