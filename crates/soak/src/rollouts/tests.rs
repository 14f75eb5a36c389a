//! Releases follow one another, with one version between them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use pistachiochute_standins::platform::store::Store;

use crate::asked;
use crate::rollouts::releases::{Phase, Releases};
use crate::schedule::Fault;

/// Guards against releases that leave no time with one version, which the soak did not play before.
#[test]
fn service_has_one_version_between_two_releases() {
    let store = Store::new();
    let mut releases = Releases::start(store.clone(), Arc::default(), 1).expect("endpoints");
    let mut phase = Phase::Joining;
    let mut versions = vec![releases.versions()];
    for _ in 0..6 {
        releases.step(phase).expect("a step");
        releases.register();
        versions.push(releases.versions());
        phase = phase.next();
    }
    assert_eq!(versions, [1, 2, 2, 1, 2, 2, 1]);
    let served = releases.close();
    assert_eq!(served.iter().filter(|span| span.until.is_some()).count(), 8);
    assert_eq!(store.keys("servers/").len(), 4);
}

#[test]
fn faults_that_are_asked_for_begin_at_their_time() {
    let (asker, mut queue) = asked::Queue::new();
    let now = Instant::now();
    let later = now + Duration::from_millis(100);
    let down = Duration::from_millis(300);
    asker.ask(later, Fault::Kill { host: 1, down });
    asker.ask(now, Fault::HostCutOff { span: down });
    assert_eq!(queue.due(now), [Fault::HostCutOff { span: down }]);
    assert_eq!(queue.due(now), []);
    assert_eq!(queue.due(later), [Fault::Kill { host: 1, down }]);
}
