//! Processes that a run has started.

use std::process::{Command, Stdio};

use rustix::process::{Pid, test_kill_process};

use super::OwnedChild;

/// Guards against hosts that are left by a run that could not go on, and join the fleet of a later one.
#[test]
fn process_ends_with_its_handle() {
    let child = Command::new("sleep").arg("60").stdin(Stdio::null()).spawn();
    let child = OwnedChild(child.expect("a process"));
    let pid = Pid::from_child(&child.0);
    assert!(test_kill_process(pid).is_ok(), "it runs");
    drop(child);
    assert!(test_kill_process(pid).is_err(), "it has ended");
}
