//! Latencies keep their size, however long.

use std::time::Duration;

use crate::client;
use crate::load::tally;

#[test]
fn long_latencies_are_told_apart() {
    let mut tally = tally::Tally::new();
    for secs in [1, 10, 90] {
        let reply = client::Reply {
            status: 200,
            outcome: "run".to_owned(),
            end: client::End::Whole,
            text: String::new(),
            tokens: vec![Duration::from_secs(secs)],
            prompt_tokens: 0,
            cached_tokens: 0,
        };
        tally.add(&reply, Duration::ZERO, Duration::from_secs(secs));
    }
    let near = |micros: u64, secs: u64| micros.abs_diff(secs * 1_000_000) < secs * 2_000;
    assert!(near(tally.whole_after.min(), 1));
    assert!(near(tally.whole_after.value_at_quantile(0.5), 10));
    assert!(near(tally.first_token.max(), 90));
}
