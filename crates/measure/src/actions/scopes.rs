//! Scopes of the exhaustive searches, each of which focuses on one kind of fault.

use crate::actions::model::Scope;

/// Two hosts and two requests with one key, without faults or the passage of time.
const TWO_HOSTS: Scope = Scope {
    hosts: 2,
    keys: 1,
    requests: 2,
    key_reuses: 0,
    store_faults: 0,
    endpoint_faults: 0,
    kills: 0,
    cancels: 0,
    phases: &[0],
};

/// Phases from the issue of a key to the deletion of its shard.
const TO_DELETION: &[usize] = &[0, 2, 3];

/// Phases from the issue of a key to a time after the deadline of its attempts.
const TO_DEADLINE: &[usize] = &[0, 1];

/// Scopes that a debug build searches within seconds, with their names.
pub const SMALL: &[(&str, Scope)] = &[
    (
        "lost answers and late writes",
        Scope {
            store_faults: 2,
            ..TWO_HOSTS
        },
    ),
    (
        "owner killed",
        Scope {
            store_faults: 1,
            kills: 1,
            ..TWO_HOSTS
        },
    ),
    (
        "repeats and endpoint faults",
        Scope {
            requests: 3,
            endpoint_faults: 1,
            ..TWO_HOSTS
        },
    ),
    (
        "another body",
        Scope {
            store_faults: 1,
            key_reuses: 1,
            ..TWO_HOSTS
        },
    ),
    (
        "callers that go away",
        Scope {
            store_faults: 1,
            cancels: 1,
            ..TWO_HOSTS
        },
    ),
    (
        "group commit",
        Scope {
            keys: 2,
            ..TWO_HOSTS
        },
    ),
    (
        "paused past the deadline",
        Scope {
            store_faults: 1,
            phases: TO_DEADLINE,
            ..TWO_HOSTS
        },
    ),
    (
        "paused past the deletion, clocks skewed",
        Scope {
            phases: TO_DELETION,
            ..TWO_HOSTS
        },
    ),
];

/// Scopes that a release build searches within tens of seconds, with their names.
pub const LARGE: &[(&str, Scope)] = &[
    (
        "three lost answers or late writes",
        Scope {
            store_faults: 3,
            endpoint_faults: 1,
            ..TWO_HOSTS
        },
    ),
    (
        "owners killed, repeats",
        Scope {
            requests: 3,
            store_faults: 1,
            kills: 1,
            endpoint_faults: 1,
            ..TWO_HOSTS
        },
    ),
    (
        "three owners",
        Scope {
            hosts: 3,
            requests: 3,
            store_faults: 1,
            ..TWO_HOSTS
        },
    ),
    (
        "group commit with lost answers",
        Scope {
            keys: 2,
            requests: 3,
            store_faults: 1,
            ..TWO_HOSTS
        },
    ),
    (
        "late writes past the deletion, clocks skewed",
        Scope {
            store_faults: 1,
            phases: TO_DELETION,
            ..TWO_HOSTS
        },
    ),
];
