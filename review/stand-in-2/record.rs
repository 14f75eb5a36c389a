//! What was sent, answered and run, with the time since the start of the case.

use std::fs;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    pub started: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Mutex::new(Vec::new()),
        }
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn add(&self, line: String) {
        self.add_at(self.now(), line);
    }

    pub fn add_at(&self, at: Duration, line: String) {
        self.lines.lock().unwrap().push((at, line));
    }

    pub fn write(&self, file: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:9.3} s  {line}\n", at.as_secs_f64()))
            .collect();
        fs::write(file, text).expect("the record is written");
    }
}
