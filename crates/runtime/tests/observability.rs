//! The counters of all reasons are exported from the start, and log lines are JSON with request
//! ids.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use pistachiochute_core::{outcome, reason, request};
use pistachiochute_runtime::{log, metrics, settings};

#[test]
fn counters_of_all_reasons_start_at_zero() {
    let text = metrics::Metrics::new().unwrap().render().unwrap();
    let starts_at_zero_by = |label: &str, metric: &str, value: &str| {
        let label = format!("{label}=\"{value}\"");
        let mut lines = text.lines();
        lines.any(|line| line.starts_with(metric) && line.contains(&label) && line.ends_with(" 0"))
    };
    let starts_at_zero = |metric: &str, reason: &str| starts_at_zero_by("reason", metric, reason);
    for reason in reason::Refusal::ALL {
        assert!(
            starts_at_zero("refusals_total", reason.as_str()),
            "{reason}"
        );
    }
    for reason in reason::Retry::ALL {
        assert!(starts_at_zero("retries_total", reason.as_str()), "{reason}");
    }
    for cause in reason::Close::ALL {
        assert!(
            starts_at_zero_by("cause", "connections_closed_total", cause.as_str()),
            "{cause}"
        );
    }
}

#[test]
fn counts_of_all_threads_are_exported() {
    let metrics = metrics::Metrics::new().unwrap();
    let threads: Vec<_> = (0..4)
        .map(|_| {
            let metrics = metrics.clone();
            std::thread::spawn(move || {
                for _ in 0..100 {
                    metrics.started();
                    metrics.refused(reason::Refusal::AtBound);
                    metrics.finished(outcome::Outcome::NotRun);
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
    metrics.connection_closed(reason::Close::StopDeadline);
    metrics.first_token(Duration::from_millis(300));
    metrics.link_bytes(metrics::Direction::Sent, metrics::Traffic::Control, 71);
    let text = metrics.render().unwrap();
    let value = |start: &str, part: &str| {
        let line = text
            .lines()
            .find(|line| line.starts_with(start) && line.contains(part))
            .unwrap_or_else(|| panic!("{start} {part} in {text}"));
        line.rsplit(' ').next().unwrap().to_owned()
    };
    assert_eq!(value("refusals_total", "at_bound"), "400");
    assert_eq!(value("requests_total", "not_run"), "400");
    assert_eq!(value("connections_closed_total", "stop_deadline"), "1");
    assert_eq!(value("requests_in_flight", "pistachiochute"), "0");
    assert_eq!(value("first_token_seconds_bucket", "le=\"0.35\""), "1");
    assert_eq!(value("first_token_seconds_bucket", "le=\"0.2\""), "0");
    assert_eq!(value("link_bytes_total", "control"), "71");
    metrics.close().unwrap();
}

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for SharedBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn log_lines_are_json_with_request_ids() {
    let host = settings::Host {
        id: "host3".parse().unwrap(),
        domain: "dom1".parse().unwrap(),
        region: "reg0".parse().unwrap(),
        name: Some("counter".to_owned()),
    };
    let written = SharedBuffer::default();
    let log = log::Log::to_writer(written.clone(), &host, slog::Level::Info);
    let id: request::RequestId = "req-018f3c5e7b3a7000800000000000002a".parse().unwrap();
    slog::info!(log::for_request(log.logger(), id), "refused"; "reason" => "at_bound");
    slog::debug!(log.logger(), "below the level");
    log.close();

    let written = written.0.lock().unwrap();
    let lines: Vec<serde_json::Value> = written
        .split(|&b| b == b'\n')
        .filter(|line| !line.is_empty())
        .map(|line| serde_json::from_slice(line).unwrap())
        .collect();
    let [line] = &lines[..] else {
        panic!("one line: {lines:?}")
    };
    assert_eq!(line["request"], id.to_string());
    assert_eq!(line["host"], "host3");
    assert_eq!(line["name"], "counter");
    assert_eq!(line["msg"], "refused");
    assert_eq!(line["reason"], "at_bound");
}
