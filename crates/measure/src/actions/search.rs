//! Bounded exhaustive search of the model's states, over every order of its steps.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::rc::Rc;

use crate::actions::model::{Model, Scope, Variant, Violation};
use crate::actions::step::Step;

/// A violated guarantee and the steps that lead to the violation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counterexample {
    /// The violated guarantee.
    pub violation: Violation,
    /// Steps from the initial state, in order.
    pub steps: Vec<Step>,
}

/// Result of a search.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SearchResult {
    /// States expanded. They are distinct up to collisions of their 64-bit fingerprints.
    pub states: u64,
    /// Steps tried.
    pub steps: u64,
    /// Largest number of runs of one key in any state.
    pub runs_per_key_max: usize,
    /// First violation found, which ends the search.
    pub counterexample: Option<Counterexample>,
    /// Whether the search reached its limit on states before it had explored them all.
    pub truncated: bool,
}

/// Steps from the initial state to another one, as a linked list with the latest step first.
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

/// Explores every state that the scope allows, up to a limit on the number of states.
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
