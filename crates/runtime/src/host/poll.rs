//! Polling of the platform's host list.

use std::thread;
use std::time::Duration;

use crossbeam::channel;

use crate::platform::host_list;
use crate::{control, settings};

/// A thread that reads the host list periodically and passes it to the control thread.
#[derive(Debug)]
pub struct HostListPoller {
    stop: channel::Sender<()>,
    thread: thread::JoinHandle<()>,
}

impl HostListPoller {
    /// Starts polling.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(
        cfg: &settings::Platform,
        control: control::Handle,
        log: slog::Logger,
    ) -> eyre::Result<Self> {
        let source = host_list::HostListSource::new(cfg.host_list, cfg.polls.key_value_call);
        let period = cfg.polls.host_list;
        let (stop, stopped) = channel::bounded(0);
        let thread = thread::Builder::new()
            .name("host-list".to_owned())
            .spawn(move || run(&source, period, &control, &log, &stopped))?;
        Ok(Self { stop, thread })
    }

    /// Stops the thread and waits for it to end.
    pub fn close(self) {
        drop(self.stop);
        let _ = self.thread.join();
    }
}

fn run(
    source: &host_list::HostListSource,
    period: Duration,
    control: &control::Handle,
    log: &slog::Logger,
    stopped: &channel::Receiver<()>,
) {
    let mut failing = false;
    loop {
        match source.read() {
            Ok(list) => {
                failing = false;
                control.update_host_list(list);
            }
            Err(e) => {
                // The last list stays in use. Only the first failure of an outage is logged.
                if !failing {
                    slog::warn!(log, "host list cannot be read"; "error" => %e);
                }
                failing = true;
            }
        }
        match stopped.recv_timeout(period) {
            Err(channel::RecvTimeoutError::Timeout) => {}
            Ok(()) | Err(channel::RecvTimeoutError::Disconnected) => return,
        }
    }
}
