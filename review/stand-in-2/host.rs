//! Hosts of the system, as processes with the command of the deploy file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use std::{io, thread};

use crate::http::Connection;
use crate::store::Store;

/// Starts of a host whose ports are taken.
const STARTS: usize = 3;

pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub health: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Child,
}

/// Free addresses. They were bound a moment ago, all at once.
fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let sockets: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    sockets
        .iter()
        .map(|socket| socket.local_addr().expect("an address"))
        .collect()
}

impl Host {
    /// Starts a host with the settings that the template of the deploy file gives a small deployment. A
    /// process that ends at once has found one of its ports taken, and gets others.
    pub fn start(name: &str, zone: &str, store: &Store, folder: &Path, program: &Path) -> Self {
        for _ in 0..STARTS {
            let mut host = Self::start_once(name, zone, store, folder, program);
            thread::sleep(Duration::from_millis(200));
            if matches!(host.process.try_wait(), Ok(None)) {
                return host;
            }
        }
        Self::start_once(name, zone, store, folder, program)
    }

    fn start_once(name: &str, zone: &str, store: &Store, folder: &Path, program: &Path) -> Self {
        let addresses = free_addresses(4);
        let (callers, health) = (addresses[0], addresses[1]);
        let text = format!(
            "{{\"host\":{{\"name\":\"{name}\",\"domain\":\"{zone}\"}},\
             \"listen\":{{\"callers\":\"{callers}\",\"health\":\"{health}\",\"links\":\"{}\",\
             \"metrics\":\"{}\"}},\
             \"store\":{{\"address\":\"{}\",\"lease_ms\":6000}},\
             \"machine\":{{\"memory_mb\":260,\"max_fds\":4100,\"link_mbps\":1000.0}},\
             \"retry\":{{\"ratio\":0.2,\"extra\":56}},\
             \"first_start\":true,\"drain_ms\":2000,\"stop_s\":8}}",
            addresses[2], addresses[3], store.address,
        );
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, text).expect("the settings are written");
        let log = folder.join(format!("{name}.log"));
        let process = launch(program, &settings, &log).expect("the host starts");
        Self {
            name: name.to_owned(),
            callers,
            health,
            settings,
            log,
            process,
        }
    }

    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Whether the load balancer would send clients here.
    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.health) else {
            return false;
        };
        let text = "GET /pistachiochute/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        let sent = connection.send(text, b"", Duration::from_millis(500));
        sent.is_ok()
            && connection
                .receive()
                .is_ok_and(|(head, _)| head.status() == 200)
    }

    pub fn wait_until_ready(&self, patience: Duration) -> bool {
        let end = Instant::now() + patience;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        signal(self.id(), name);
    }

    /// Starts the process again with the same settings, as the platform does after its end.
    pub fn restart(&mut self, program: &Path) {
        self.kill();
        self.process = launch(program, &self.settings, &self.log).expect("the host starts");
    }

    pub fn kill(&mut self) {
        drop(self.process.kill());
        drop(self.process.wait());
        STARTED
            .lock()
            .unwrap()
            .retain(|process| *process != self.process.id());
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Processes that this one has started, and that may still run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    for process in STARTED.lock().unwrap().iter() {
        signal(*process, "KILL");
    }
}

/// Sends a signal by its name.
fn signal(process: u32, name: &str) {
    let command = format!("kill -{name} {process}");
    drop(Command::new("sh").args(["-c", &command]).status());
}

fn launch(program: &Path, settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    let process = Command::new(program)
        .args(["--on-platform", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()?;
    STARTED.lock().unwrap().push(process.id());
    Ok(process)
}
