//! Seeded fault schedules: long random orders of the steps of a trial.

use rand::{Rng as _, SeedableRng as _};

use crate::actions::action::Action;
use crate::actions::world::{Scope, Variant, Violation, World};

/// Scope of a schedule; larger than an exhaustive search can reach.
pub const SCOPE: Scope = Scope {
    hosts: 3,
    keys: 3,
    begins: 8,
    reuses: 1,
    store_faults: 4,
    endpoint_faults: 2,
    kills: 2,
    cancels: 1,
    phases: &[0, 1, 2, 3],
};

/// Most steps of a schedule.
const MAX_STEPS: usize = 400;

/// Of how many choices of a step that begins a request, moves time or kills a host one is taken.
const RARE: u32 = 12;

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
    pub fn join(self, other: Self) -> Self {
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
        .fold(Tally::default(), Tally::join)
}

fn schedule(seed: u64, variant: Variant) -> Tally {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new(SCOPE, variant);
    let mut broken = None;
    for _ in 0..MAX_STEPS {
        let actions = world.actions();
        if actions.is_empty() || broken.is_some() {
            break;
        }
        let action = actions[rng.random_range(0..actions.len())];
        let rare = matches!(
            action,
            Action::Begin { .. } | Action::Advance | Action::Kill(_)
        );
        if rare && !rng.random_ratio(1, RARE) {
            continue;
        }
        broken = world.apply(action).err();
    }
    Tally {
        schedules: 1,
        runs: world.runs() as u64,
        runs_per_key_max: world.runs_per_key_max() as u64,
        false_not_run: u64::from(broken == Some(Violation::FalseNotRun)),
        wrong_answers: u64::from(matches!(
            broken,
            Some(Violation::WrongAnswer | Violation::FalseReuse)
        )),
    }
}
