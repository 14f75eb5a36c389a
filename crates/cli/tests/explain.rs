//! The story of one request, from the logs of two hosts.

use std::io::Write as _;
use std::process::{Command, Stdio};

const LOG: &str = r#"
  34.1 host-a {"msg":"catalog taken over","host":"host-a","version":"v7","source":"store"}
  34.2 host-a {"msg":"endpoint changed","host":"host-a","key":"servers/i-8","state":"ready"}
not a log line
  34.3 host-b {"msg":"request ended","host":"host-b","request":"other","status":200}
  35.4 host-a {"msg":"attempt ended","host":"host-a","request":"r1","endpoint":"i-8@17","cause":"connect: timed out","next":"connect_failed"}
  35.5 host-a {"msg":"request ended","host":"host-a","request":"r1","status":503,"reason":"no_endpoint","outcome":"not_run"}
"#;

fn explain(id: &str) -> (Option<i32>, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_pistachiochute"))
        .args(["explain", id])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the command starts");
    let mut stdin = child.stdin.take().expect("its input");
    stdin.write_all(LOG.as_bytes()).expect("the log is read");
    drop(stdin);
    let output = child.wait_with_output().expect("the command ends");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    (output.status.code(), text)
}

#[test]
fn a_story_has_what_decided_and_what_came_of_it() {
    let (code, text) = explain("r1");
    let expected = "host host-a\n  \
        before: catalog taken over source=store version=v7\n  \
        before: endpoint changed key=servers/i-8 state=ready\n  \
        attempt ended cause=connect: timed out endpoint=i-8@17 next=connect_failed\n  \
        request ended outcome=not_run reason=no_endpoint status=503\n";
    assert_eq!((code, &*text), (Some(0), expected));
}

#[test]
fn an_unknown_request_has_no_story() {
    let (code, text) = explain("r2");
    assert_eq!((code, &*text), (Some(1), "no line is about request r2\n"));
}
