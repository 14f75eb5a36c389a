//! Seeded fault schedules: long random orders of the steps of a trial.

use rand::{Rng as _, SeedableRng as _};

use crate::actions::model::{Model, Scope, Variant, Violation};
use crate::actions::step::Step;

/// Scope of a schedule; larger than an exhaustive search can reach.
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

/// Most steps of a schedule.
const MAX_STEPS: usize = 400;

/// Of how many choices of a step that begins a request, moves time or kills a host one is taken.
const RARE_STEP_DIVISOR: u32 = 12;

/// What the schedules found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Schedules.
    pub schedules: u64,
    /// Actions that ran.
    pub runs: u64,
    /// Most runs of one key.
    pub runs_per_key_max: u64,
    /// Callers that were told "not run" of a request that ran.
    pub false_not_run: u64,
    /// Callers that were given another request's answer, or a false refusal.
    pub wrong_answers: u64,
}

impl Tally {
    /// Adds the tally of other schedules.
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

/// Runs the schedules of a range of seeds.
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
