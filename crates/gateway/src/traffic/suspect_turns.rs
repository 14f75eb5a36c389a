//! Turns of requests that were in flight at a crash and that their callers repeat.
//!
//! Repetitions may come at many hosts at once. Each of them that is sent before the others are known to
//! have crashed an endpoint crashes one more. So a host sends one at a time, each after a random delay,
//! so that hosts learn of each other's crashes in between.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::{quarantine, reason};
use pistachiochute_runtime::clock;
use tokio::sync::{Mutex, OwnedMutexGuard};

use crate::traffic::Context;
use crate::traffic::plan::Plan;

/// Longest delay of a turn for each live host: with one repetition at each host, the time between two
/// of them is then on average longer than a crash takes to be known.
const DELAY_PER_HOST: Duration = Duration::from_millis(60);

/// Longest time for which a request waits for its turn, and longest delay of the turn.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The same as a fraction of the time until the deadline.
const MAX_WAIT_FRACTION: f64 = 0.25;

/// Separate crashes from which on a request waits for its turn, even if an answer on it has gone on
/// recently.
const CRASHES_DESPITE_PROOF: usize = 2;

/// The turn of a request, until it is dropped.
pub(super) type Turn = OwnedMutexGuard<()>;

/// Turns by the key of the request.
#[derive(Debug, Default)]
pub(super) struct SuspectTurns {
    by_key: HashMap<quarantine::PartKey, Arc<Mutex<()>>>,
}

impl SuspectTurns {
    /// Forgets requests that nobody waits for.
    pub(super) fn prune(&mut self) {
        self.by_key.retain(|_, turn| Arc::strong_count(turn) > 1);
    }

    fn of(&mut self, key: quarantine::PartKey) -> Arc<Mutex<()>> {
        self.by_key.entry(key).or_default().clone()
    }
}

/// Waits for the turn of a request that was in flight at a crash, if it was. The turn lasts until it is
/// dropped.
///
/// # Errors
///
/// Returns the refusal if another repetition takes too long.
pub(super) async fn wait<D>(cx: &Context<D>, plan: &Plan) -> Result<Option<Turn>, reason::Refusal> {
    if !must_wait(cx, &plan.keys) {
        return Ok(None);
    }
    let lock = cx.suspect_turns.borrow_mut().of(plan.keys.own());
    let turn = tokio::time::timeout(longest_wait(plan), lock.lock_owned()).await;
    let turn = turn.map_err(|_| reason::Refusal::CrashSuspect)?;
    // Another repetition may have been answered, or refused, meanwhile.
    if must_wait(cx, &plan.keys) {
        tokio::time::sleep(delay(cx, plan)).await;
    }
    Ok(Some(turn))
}

/// Whether a request waits for its turn: not if it is accused, and is refused or on trial in any case.
fn must_wait<D>(cx: &Context<D>, keys: &quarantine::RequestKeys) -> bool {
    let verdicts = cx.shared.verdicts();
    if verdicts.admission(keys.all()) != quarantine::Admission::Admitted {
        return false;
    }
    match verdicts.crashes_against(keys.own()) {
        0 => false,
        crashes if crashes >= CRASHES_DESPITE_PROOF => true,
        _ => {
            let own = [keys.own()];
            !cx.crash_watch.borrow().are_proven(&own, clock::now())
        }
    }
}

/// Random delay of a turn.
fn delay<D>(cx: &Context<D>, plan: &Plan) -> Duration {
    let by_hosts = DELAY_PER_HOST * cx.shared.view().hosts;
    let longest = by_hosts.min(longest_wait(plan));
    longest.mul_f64(rand::random_range(0.0..1.0))
}

/// Longest time that a request may wait, so that enough is left to serve it.
fn longest_wait(plan: &Plan) -> Duration {
    let remaining = plan.deadline.remaining(clock::now()).unwrap_or_default();
    remaining.mul_f64(MAX_WAIT_FRACTION).min(MAX_WAIT)
}
