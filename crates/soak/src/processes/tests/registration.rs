//! Entries are renewed by processes that run, and lapse after those that ended.

use std::time::{Duration, Instant};

use crate::processes::registration::{HEARTBEAT, LAPSE, Registration, Step};

/// A clock that is advanced by hand, and an entry.
struct Played {
    now: Instant,
    registration: Registration,
}

impl Played {
    fn new() -> Self {
        let now = Instant::now();
        let registration = Registration::new(now);
        Self { now, registration }
    }

    fn after(&mut self, span: Duration) -> Option<Step> {
        self.now += span;
        self.registration.advance(self.now, false)
    }

    fn after_outage(&mut self, span: Duration) -> Option<Step> {
        self.now += span;
        self.registration.advance(self.now, true)
    }

    fn start(&mut self) {
        self.registration.start(self.now);
        let written = self.after(Duration::ZERO);
        assert_eq!(written, Some(Step::Write { sequence: 1 }));
    }
}

#[test]
fn running_processes_renew_their_entries() {
    let mut played = Played::new();
    played.start();
    for sequence in 2..6 {
        assert_eq!(played.after(HEARTBEAT / 2), None);
        let written = played.after(HEARTBEAT / 2);
        assert_eq!(written, Some(Step::Write { sequence }));
    }
}

/// Guards against a soak that renews the entry of a process that is gone.
#[test]
fn nothing_is_renewed_after_an_end() {
    let mut played = Played::new();
    played.start();
    played.registration.end();
    played.registration.write_now(played.now);
    assert_eq!(played.after(LAPSE - Duration::from_millis(1)), None);
    let lapsed = played.after(Duration::from_millis(1));
    assert_eq!(lapsed, Some(Step::Remove));
    assert_eq!(played.after(LAPSE), None);
}

#[test]
fn entries_of_earlier_processes_stand_until_the_next_one_writes_or_they_lapse() {
    let mut played = Played::new();
    played.start();
    played.registration.end();
    let first_write = played.now + LAPSE / 2;
    played.registration.start(first_write);
    assert_eq!(played.after(LAPSE / 4), None);
    let written = played.after(LAPSE / 4);
    assert_eq!(written, Some(Step::Write { sequence: 1 }));

    played.registration.end();
    let first_write = played.now + 2 * LAPSE;
    played.registration.start(first_write);
    assert_eq!(played.after(LAPSE), Some(Step::Remove));
    let written = played.after(LAPSE);
    assert_eq!(written, Some(Step::Write { sequence: 1 }));
}

#[test]
fn entries_stand_longer_while_the_store_is_away() {
    let mut played = Played::new();
    played.start();
    assert_eq!(played.after_outage(HEARTBEAT), None);
    let written = played.after(Duration::ZERO);
    assert_eq!(written, Some(Step::Write { sequence: 2 }));

    played.registration.end();
    assert_eq!(played.after_outage(2 * LAPSE), None);
    assert_eq!(played.after(LAPSE / 2), None);
    assert_eq!(played.after(LAPSE / 2), Some(Step::Remove));
}

#[test]
fn processes_that_leave_remove_their_entries_themselves() {
    let mut played = Played::new();
    played.start();
    played.registration.leave();
    assert_eq!(played.after(2 * LAPSE), None);
}

/// Guards against a soak in which an endpoint that is cut off from the store is renewed all the same.
#[test]
fn endpoints_that_are_cut_off_are_not_renewed_and_come_back() {
    let mut played = Played::new();
    played.start();
    let end_of_cut = played.now + 2 * LAPSE;
    played.registration.cut(end_of_cut);
    assert_eq!(played.after(HEARTBEAT), None);
    // A process that starts behind the cut writes no sooner.
    played.registration.start(played.now);
    assert_eq!(played.after(LAPSE - HEARTBEAT), Some(Step::Remove));
    assert_eq!(played.after(LAPSE - HEARTBEAT), None);
    let written = played.after(HEARTBEAT);
    assert_eq!(written, Some(Step::Write { sequence: 1 }));
}
