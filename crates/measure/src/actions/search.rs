//! Bounded exhaustive search: every order of the steps of a trial.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::rc::Rc;

use crate::actions::model::{Model, Scope, Variant, Violation};
use crate::actions::step::Step;

/// A promise that a search found broken, and the steps that break it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample {
    /// The promise.
    pub violation: Violation,
    /// The steps.
    pub steps: Vec<Step>,
}

/// What a search found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SearchResult {
    /// Different states reached.
    pub states: u64,
    /// Steps taken.
    pub steps: u64,
    /// Most runs of one key in any state.
    pub runs_per_key_max: usize,
    /// First broken promise. The search ends there.
    pub counterexample: Option<Counterexample>,
    /// Whether the search ended at its bound on states, before every order was tried.
    pub truncated: bool,
}

/// Steps from the start of a trial to a state, latest first.
struct Path {
    step: Step,
    previous: Option<Rc<Path>>,
}

fn steps_along(path: Option<&Rc<Path>>) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut next = path;
    while let Some(path) = next {
        steps.push(path.step);
        next = path.previous.as_ref();
    }
    steps.reverse();
    steps
}

fn fingerprint(model: &Model) -> u64 {
    let mut hasher = DefaultHasher::new();
    model.hash(&mut hasher);
    hasher.finish()
}

/// Tries every order of the steps that the scope allows, up to a bound on states.
#[must_use]
pub fn search(scope: Scope, variant: Variant, max_states: u64) -> SearchResult {
    let start = Model::new(scope, variant);
    let mut seen = HashSet::from([fingerprint(&start)]);
    let mut frontier: Vec<(Model, Option<Rc<Path>>)> = vec![(start, None)];
    let mut result = SearchResult::default();
    while let Some((model, path)) = frontier.pop() {
        result.states += 1;
        result.runs_per_key_max = result.runs_per_key_max.max(model.runs_per_key_max());
        for step in model.enabled_steps() {
            let mut next = model.clone();
            result.steps += 1;
            let previous = path.clone();
            let path = Some(Rc::new(Path { step, previous }));
            if let Err(violation) = next.apply(step) {
                let steps = steps_along(path.as_ref());
                result.counterexample = Some(Counterexample { violation, steps });
                return result;
            }
            if seen.insert(fingerprint(&next)) {
                frontier.push((next, path));
            }
        }
        if result.states >= max_states {
            result.truncated = !frontier.is_empty();
            return result;
        }
    }
    result
}
