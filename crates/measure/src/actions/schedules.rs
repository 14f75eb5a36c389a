//! Random fault schedules: long seeded sequences of steps of the model.

use rand::{Rng as _, SeedableRng as _};

use crate::actions::model::{Model, Scope, Variant, Violation};
use crate::actions::step::Step;

/// Scope of each schedule, too large for an exhaustive search.
pub const SCOPE: Scope = Scope {
    hosts: 3,
    keys: 3,
    requests: 8,
    key_reuses: 1,
    store_faults: 4,
    endpoint_faults: 2,
    kills: 2,
    cancels: 1,
    phases: &[0, 1, 2, 3],
};

/// Largest number of steps drawn for a schedule, skipped ones included.
const MAX_STEPS: usize = 400;

/// Out of how many draws of a rare step one is taken. Steps that send a request, advance time or
/// kill a host are rare.
const RARE_STEP_DIVISOR: u32 = 12;

/// Totals over schedules.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Schedules.
    pub schedules: u64,
    /// Requests that ran at the endpoint.
    pub runs: u64,
    /// Largest number of runs of one key.
    pub runs_per_key_max: u64,
    /// Schedules in which a caller got the outcome "not run" for a request that ran.
    pub false_not_run: u64,
    /// Schedules in which a caller got a wrong answer or a false refusal for key reuse.
    pub wrong_answers: u64,
}

impl Tally {
    /// Merges the totals of other schedules.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        Self {
            schedules: self.schedules + other.schedules,
            runs: self.runs + other.runs,
            runs_per_key_max: self.runs_per_key_max.max(other.runs_per_key_max),
            false_not_run: self.false_not_run + other.false_not_run,
            wrong_answers: self.wrong_answers + other.wrong_answers,
        }
    }
}

/// Runs one schedule for each seed.
#[must_use]
pub fn run(seeds: std::ops::Range<u64>, variant: Variant) -> Tally {
    seeds
        .map(|seed| schedule(seed, variant))
        .fold(Tally::default(), Tally::merge)
}

fn schedule(seed: u64, variant: Variant) -> Tally {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut model = Model::new(SCOPE, variant);
    let mut violation = None;
    for _ in 0..MAX_STEPS {
        let steps = model.enabled_steps();
        if steps.is_empty() || violation.is_some() {
            break;
        }
        let step = steps[rng.random_range(0..steps.len())];
        let rare = matches!(
            step,
            Step::SendRequest { .. } | Step::AdvancePhase | Step::Kill(_)
        );
        if rare && !rng.random_ratio(1, RARE_STEP_DIVISOR) {
            continue;
        }
        violation = model.apply(step).err();
    }
    Tally {
        schedules: 1,
        runs: model.runs() as u64,
        runs_per_key_max: model.runs_per_key_max() as u64,
        false_not_run: u64::from(violation == Some(Violation::FalseNotRun)),
        wrong_answers: u64::from(matches!(
            violation,
            Some(Violation::WrongAnswer | Violation::FalseReuse)
        )),
    }
}
