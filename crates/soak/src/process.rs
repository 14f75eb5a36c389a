//! Host processes. Only processes that were started here are signalled, by their ids.

#[cfg(test)]
mod tests;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use eyre::WrapErr as _;
use pistachiochute_standins::port::ReservedPort;
use rustix::process::{Pid, Signal};
use serde_json::json;

/// Time beyond that of a planned stop after which a process counts as hanging.
const STOP_SLACK: Duration = Duration::from_secs(10);

/// Time after the store has accepted that an endpoint leaves after which no host sends to it.
pub(crate) const DRAIN: Duration = Duration::from_secs(2);

/// A host, running or not.
pub(crate) struct Host {
    pub name: String,
    pub callers: SocketAddr,
    /// Where other hosts reach it.
    pub links: SocketAddr,
    /// Time of a planned stop.
    pub stop: Duration,
    daemon: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    /// Hold the ports of the host while it does not run.
    ports: [ReservedPort; 4],
    child: Option<OwnedChild>,
}

/// A process that ends with its handle: a run that cannot go on must leave none behind. Hosts that were left once joined
/// the fleet of a later run, whose hosts had got the ports of theirs.
struct OwnedChild(Child);

impl Drop for OwnedChild {
    fn drop(&mut self) {
        // Either fails only if the process has ended, and was waited for.
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

fn reserve_ports() -> eyre::Result<[ReservedPort; 4]> {
    let port = ReservedPort::reserve;
    Ok([port()?, port()?, port()?, port()?])
}

impl Host {
    /// Writes the settings of a host and starts it.
    pub(crate) fn start(
        number: usize,
        domain: &str,
        store: SocketAddr,
        stop: Duration,
        daemon: &Path,
        dir: &Path,
    ) -> eyre::Result<Self> {
        let name = format!("host-{number}");
        let ports = reserve_ports()?;
        let [callers, health, links, metrics] = ports.each_ref().map(ReservedPort::addr);
        let settings = json!({
            "host": {"name": name, "domain": domain},
            "listen": {
                "callers": callers, "health": health, "links": links, "metrics": metrics,
            },
            "store": {"address": store, "lease_ms": 3_000},
            "machine": {"memory_mb": 112, "max_fds": 2_870, "link_mbps": 10},
            "drain_ms": DRAIN.as_millis() as u64,
            "retry": {"ratio": 0.2, "extra": 40},
            "stop_s": stop.as_secs(),
        });
        let path = dir.join(format!("{name}.json"));
        fs::write(&path, settings.to_string()).wrap_err("settings of a host")?;
        let mut host = Self {
            log: dir.join(format!("{name}.log")),
            name,
            callers,
            links,
            stop,
            daemon: daemon.to_owned(),
            settings: path,
            ports,
            child: None,
        };
        host.spawn()?;
        Ok(host)
    }

    /// Starts the process, if it does not run.
    pub(crate) fn spawn(&mut self) -> eyre::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .wrap_err("log of a host")?;
        let child = Command::new(&self.daemon)
            .arg("--on-platform")
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
            .wrap_err_with(|| format!("start {}", self.daemon.display()))?;
        self.child = Some(OwnedChild(child));
        Ok(())
    }

    /// Whether the process runs.
    pub(crate) const fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// How the process ended, if it did so by itself.
    pub(crate) fn ended_by_itself(&mut self) -> eyre::Result<Option<ExitStatus>> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let status = child.0.try_wait()?;
        if status.is_some() {
            self.child = None;
        }
        Ok(status)
    }

    /// Sends a signal to the process, if it runs.
    pub(crate) fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        let pid = Pid::from_child(&child.0);
        rustix::process::kill_process(pid, signal).wrap_err("signal")
    }

    /// Kills the process and gives its ports back.
    pub(crate) fn close(mut self) -> eyre::Result<()> {
        self.kill()?;
        self.ports.into_iter().for_each(ReservedPort::close);
        Ok(())
    }

    /// Kills the process.
    pub(crate) fn kill(&mut self) -> eyre::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.0.kill()?;
            child.0.wait()?;
        }
        Ok(())
    }

    /// Waits for the end of a planned stop. Returns `None` if the process hangs; it is killed then.
    pub(crate) fn wait_stopped(&mut self) -> eyre::Result<Option<ExitStatus>> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let end = Instant::now() + self.stop + STOP_SLACK;
        while Instant::now() < end {
            if let Some(status) = child.0.try_wait()? {
                self.child = None;
                return Ok(Some(status));
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.kill()?;
        Ok(None)
    }
}
