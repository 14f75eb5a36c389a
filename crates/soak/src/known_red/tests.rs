//! Only what is listed by its whole name is passed over.

use super::KnownRed;

const TEXT: &str = "test: soak processes, streams go on too seldom\ncommand: x\n\ntest: soak 851\n\
                    test: measure processes\n";

#[test]
fn listed_promises_are_found_by_their_whole_names() {
    let known = KnownRed::parse(TEXT);
    assert!(known.lists("processes, streams go on too seldom: 3 of 20 take-ups"));
    for broken in [
        "processes, streams go on too seldom and more: 3",
        "processes, streams of two versions: 1 times",
        "rollouts, streams go on too seldom: 3 of 20 take-ups",
        "processes",
    ] {
        assert!(!known.lists(broken), "{broken}");
    }
}

#[test]
fn nothing_is_listed_without_a_file() {
    assert!(!KnownRed::default().lists("processes, streams go on too seldom: 3"));
}
