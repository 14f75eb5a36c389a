//! The daemon as a process: settings, signals and exit status.

use std::io::{BufRead as _, BufReader, Write as _};
use std::time::{Duration, Instant};
use std::{fs, io, net, path, process};

use serde_json::{Value, json};

/// Longest time that a process may take to start or stop.
const PATIENCE: Duration = Duration::from_secs(20);

fn file(name: &str, settings: &Value) -> path::PathBuf {
    let file = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&file, settings.to_string()).unwrap();
    file
}

fn sound() -> Value {
    json!({
        "host": { "id": "host0", "domain": "dom0", "region": "reg0" },
        "listen": { "callers": "127.0.0.1:0", "admin": "127.0.0.1:0", "links": "127.0.0.1:0" },
        "platform": { "key_value": ["127.0.0.1:1"], "host_list": "127.0.0.1:2" },
        "credentials": { "link": "a secret of the links", "operators": [] },
    })
}

fn daemon(file: &path::Path) -> process::Command {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_pistachiochuted"));
    command.arg("--settings").arg(file);
    command
}

#[test]
fn five_faults_give_five_findings_and_status_2() {
    let mut settings = sound();
    settings["host"]["id"] = json!(3);
    settings["listen"]["links"] = json!("here");
    settings["credentials"]["link"] = json!("short");
    settings["timeouts"] = json!({ "stall_ms": "long" });
    settings["surprise"] = json!(1);
    let file = file("faulty.json", &settings);
    for check in [&["--check"][..], &[]] {
        let output = daemon(&file).args(check).output().unwrap();
        assert_eq!(output.status.code(), Some(2));
        let findings = String::from_utf8(output.stderr).unwrap();
        assert_eq!(findings.lines().count(), 5, "{findings}");
        for place in [
            "$.host.id",
            "$.listen.links",
            "$.credentials.link",
            "$.timeouts.stall_ms",
            "$.surprise",
        ] {
            assert!(findings.contains(place), "{place} in {findings}");
        }
    }
}

#[test]
fn check_starts_nothing() {
    let output = daemon(&file("sound.json", &sound()))
        .arg("--check")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(0));
    assert!(output.stderr.is_empty());
}

#[test]
fn an_address_in_use_is_named() {
    let taken = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = taken.local_addr().unwrap().to_string();
    let mut settings = sound();
    settings["listen"]["callers"] = json!(addr);
    let output = daemon(&file("taken.json", &settings)).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains(&addr), "{error}");
}

/// A daemon that runs, and the lines of its log.
struct Running {
    child: process::Child,
    lines: io::Lines<BufReader<process::ChildStderr>>,
}

impl Running {
    fn start(name: &str) -> Self {
        let mut child = daemon(&file(name, &sound()))
            .stderr(process::Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        Self { child, lines }
    }

    /// Next line of the log with the given message.
    fn line(&mut self, msg: &str) -> Value {
        loop {
            let line = self.lines.next().expect("a line with the message").unwrap();
            let line: Value = serde_json::from_str(&line).unwrap();
            if line["msg"] == msg {
                return line;
            }
        }
    }

    fn signal(&self, name: &str) {
        let status = process::Command::new("kill")
            .arg(name)
            .arg(self.child.id().to_string())
            .status()
            .unwrap();
        assert!(status.success());
    }

    fn wait(mut self) -> Option<i32> {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.child.kill().unwrap();
        panic!("the daemon does not stop");
    }
}

#[test]
fn a_signal_begins_a_planned_stop() {
    for signal in ["-TERM", "-INT"] {
        let mut running = Running::start(&format!("stop{signal}.json"));
        let started = running.line("started");
        assert_eq!(started["host"], "host0");
        let callers: net::SocketAddr = started["callers"].as_str().unwrap().parse().unwrap();
        let mut conn = net::TcpStream::connect(callers).unwrap();
        conn.write_all(b"GET /healthz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
            .unwrap();
        let answer = io::read_to_string(conn).unwrap();
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        running.signal(signal);
        running.line("stopped");
        assert_eq!(running.wait(), Some(0));
    }
}
