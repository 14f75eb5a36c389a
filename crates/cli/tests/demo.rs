//! The demo comes out as stated, and the load tool sends its load to a demo that stays up.

use std::io::{BufRead as _, BufReader};
use std::process;

use serde_json::Value;

fn program() -> process::Command {
    process::Command::new(env!("CARGO_BIN_EXE_pistachiochute"))
}

#[test]
fn every_scene_comes_out_as_stated() {
    let output = program().args(["demo", "--json"]).output().unwrap();
    let scenes: Vec<Value> = serde_json::from_slice(&output.stdout).unwrap();
    for scene in &scenes {
        assert_eq!(scene["ok"], true, "{scene}");
    }
    assert!(scenes.len() >= 6);
    assert_eq!(output.status.code(), Some(0));
}

/// A demo that stays up.
struct Stay {
    child: process::Child,
    /// Kept open: a demo whose output is closed ends at its next line.
    output: BufReader<process::ChildStdout>,
    addr: String,
    key: String,
}

impl Stay {
    fn start() -> Self {
        let mut child = program()
            .args(["demo", "--stay", "--port", "0"])
            .stdout(process::Stdio::piped())
            .spawn()
            .unwrap();
        let mut output = BufReader::new(child.stdout.take().unwrap());
        let mut curl = String::new();
        while !curl.starts_with("curl") {
            curl.clear();
            assert!(output.read_line(&mut curl).unwrap() > 0, "a request to try");
        }
        let between = |from: &str, to: &str| {
            let rest = curl.split_once(from).unwrap().1;
            rest.split_once(to).unwrap().0.to_owned()
        };
        Self {
            child,
            output,
            addr: between("http://", "/"),
            key: between("Bearer ", "'"),
        }
    }

    fn load(&self, args: &[&str]) -> Value {
        let output = program()
            .args([
                "load", "--json", "--model", "reader", "--target", &self.addr,
            ])
            .args(["--key", &self.key])
            .args(args)
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(0));
        serde_json::from_slice(&output.stdout).unwrap()
    }

    /// Address of a host for operators and the demo's credential, from the requests to try.
    fn operator(&mut self) -> (String, String) {
        let mut curl = String::new();
        while !curl.contains("/v1/status") {
            curl.clear();
            assert!(
                self.output.read_line(&mut curl).unwrap() > 0,
                "a request to try"
            );
        }
        let admin = curl
            .split_once("http://")
            .unwrap()
            .1
            .split_once('/')
            .unwrap()
            .0;
        let credential = curl
            .split_once("Bearer ")
            .unwrap()
            .1
            .split_once('\'')
            .unwrap()
            .0;
        (admin.to_owned(), credential.to_owned())
    }

    fn close(self) {
        drop(self);
    }
}

/// A test that fails ends its demo too.
impl Drop for Stay {
    fn drop(&mut self) {
        // The demo may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn load_counts_every_request() {
    let stay = Stay::start();
    let report = stay.load(&["--rate", "20", "--duration", "2", "--answer-tokens", "4"]);
    let sent = report["sent"].as_u64().unwrap();
    assert!(sent > 10, "{report}");
    assert_eq!(report["whole"], sent, "{report}");
    assert_eq!(report["first_token_ms"]["count"], sent);
    assert_eq!(report["token_gap_ms"]["count"], 3 * sent);
    // Four tokens of 10 ms each lie between the arrival and the end.
    assert!(
        report["whole_after_ms"]["p50"].as_f64().unwrap() > 30.0,
        "{report}"
    );
    assert!(
        report["token_gap_ms"]["p50"].as_f64().unwrap() > 5.0,
        "{report}"
    );
    assert!(report["cached_share"].as_f64().unwrap() > 0.0, "{report}");

    // The same seed sends the same number of requests.
    let again = stay.load(&["--rate", "20", "--duration", "2", "--answer-tokens", "4"]);
    assert_eq!(again["sent"], sent);

    let report = stay.load(&["--rate", "20", "--duration", "1", "--key", "no-such-key"]);
    let refused = &report["refused"][0];
    assert_eq!(refused["reason"], "unauthorized", "{report}");
    assert_eq!(refused["outcome"], "not_run", "{report}");
    let counted = report["whole"].as_u64().unwrap() + refused["count"].as_u64().unwrap();
    assert_eq!(report["sent"], counted, "{report}");
    stay.close();
}

#[test]
fn load_without_a_fleet_counts_unreachable() {
    let output = program()
        .args([
            "load",
            "--json",
            "--model",
            "m",
            "--target",
            "127.0.0.1:1",
            "--key",
            "k",
        ])
        .args(["--rate", "50", "--duration", "0.5"])
        .output()
        .unwrap();
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(report["unreachable"], report["sent"]);
    assert!(report["sent"].as_u64().unwrap() > 0);
}

#[test]
fn lists_are_read_edited_and_kept_apart_by_their_revision() {
    let mut stay = Stay::start();
    let (admin, credential) = stay.operator();
    let run = |args: &[&str]| {
        let mut command = program();
        command.args(args).args(["--admin", &admin]);
        command
            .env("PISTACHIOCHUTE_CREDENTIAL", &credential)
            .output()
            .unwrap()
    };
    let got = run(&["lists", "get"]);
    assert!(String::from_utf8_lossy(&got.stderr).contains("revision r1"));
    let edited = String::from_utf8(got.stdout).unwrap().replace("64", "65");
    let file = std::env::temp_dir().join(format!("lists-{}.json", process::id()));
    std::fs::write(&file, &edited).unwrap();
    let put = |revision: &str| {
        run(&[
            "lists",
            "put",
            file.to_str().unwrap(),
            "--revision",
            revision,
        ])
    };
    assert_eq!(put("r1").status.code(), Some(0));
    std::fs::write(&file, edited.replace("65", "66")).unwrap();
    let late = put("r1");
    assert_eq!(late.status.code(), Some(1));
    let told = String::from_utf8_lossy(&late.stderr);
    assert!(told.contains("yours") && told.contains("theirs"), "{told}");
    std::fs::write(&file, "{\"plans\": 7}").unwrap();
    assert_eq!(put("r2").status.code(), Some(2));
    std::fs::remove_file(&file).unwrap();
    let history: Value =
        serde_json::from_slice(&run(&["lists", "history", "--json"]).stdout).unwrap();
    assert_eq!(history["edits"].as_array().unwrap().len(), 2);
    let status: Value = serde_json::from_slice(&run(&["status", "--json"]).stdout).unwrap();
    assert_eq!(status["host"]["ready"], true);
    stay.close();
}
