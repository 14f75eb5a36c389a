//! Bounded exhaustive search: every order of the steps of a trial.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::rc::Rc;

use crate::actions::action::Action;
use crate::actions::world::{Scope, Variant, Violation, World};

/// A promise that a search found broken, and the steps that break it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample {
    /// The promise.
    pub violation: Violation,
    /// The steps.
    pub steps: Vec<Action>,
}

/// What a search found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Explored {
    /// Different states reached.
    pub states: u64,
    /// Steps taken.
    pub steps: u64,
    /// Most runs of one key in any state.
    pub runs_per_key_max: usize,
    /// First broken promise. The search ends there.
    pub counterexample: Option<Counterexample>,
    /// Whether the search ended at its bound on states, before every order was tried.
    pub cut_short: bool,
}

/// Steps from the start of a trial to a state, latest first.
struct Trail {
    action: Action,
    before: Option<Rc<Trail>>,
}

fn steps_of(trail: Option<&Rc<Trail>>) -> Vec<Action> {
    let mut steps = Vec::new();
    let mut next = trail;
    while let Some(trail) = next {
        steps.push(trail.action);
        next = trail.before.as_ref();
    }
    steps.reverse();
    steps
}

fn fingerprint(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}

/// Tries every order of the steps that the scope allows, up to a bound on states.
#[must_use]
pub fn search(scope: Scope, variant: Variant, max_states: u64) -> Explored {
    let start = World::new(scope, variant);
    let mut seen = HashSet::from([fingerprint(&start)]);
    let mut open: Vec<(World, Option<Rc<Trail>>)> = vec![(start, None)];
    let mut explored = Explored::default();
    while let Some((world, trail)) = open.pop() {
        explored.states += 1;
        explored.runs_per_key_max = explored.runs_per_key_max.max(world.runs_per_key_max());
        for action in world.actions() {
            let mut next = world.clone();
            explored.steps += 1;
            let before = trail.clone();
            let trail = Some(Rc::new(Trail { action, before }));
            if let Err(violation) = next.apply(action) {
                let steps = steps_of(trail.as_ref());
                explored.counterexample = Some(Counterexample { violation, steps });
                return explored;
            }
            if seen.insert(fingerprint(&next)) {
                open.push((next, trail));
            }
        }
        if explored.states >= max_states {
            explored.cut_short = !open.is_empty();
            return explored;
        }
    }
    explored
}
