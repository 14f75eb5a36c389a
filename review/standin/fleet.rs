//! The project's own hosts as processes, and what the platform does for them: it renders their settings,
//! asks whether they are ready, forwards connections and stops them.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

const SIGTERM: i32 = 15;

/// Where the repository and the files of this run are.
pub struct Place {
    pub daemon: PathBuf,
    pub folder: PathBuf,
}

struct Ports {
    callers: SocketAddr,
    health: SocketAddr,
    links: SocketAddr,
    metrics: SocketAddr,
}

/// A host of the fleet.
pub struct Host {
    pub name: String,
    pub zone: String,
    ports: Ports,
    settings: PathBuf,
    log: PathBuf,
    daemon: PathBuf,
    /// Where the ids of all processes are written, so that none is left behind.
    pids: PathBuf,
    child: Mutex<Option<Child>>,
}

/// A port that is free for both TCP and UDP, and that the system gives to nobody by itself.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 10_000 + (std::process::id() % 200) as u16 * 100;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::SeqCst);
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

impl Host {
    /// Renders the settings as the template of the deploy file does, and starts the process.
    pub fn start(
        place: &Place,
        (name, zone): (&str, &str),
        store: SocketAddr,
        memory_mb: u64,
    ) -> Arc<Self> {
        let ports = Ports {
            callers: free_port(),
            health: free_port(),
            links: free_port(),
            metrics: free_port(),
        };
        let settings = format!(
            "{{\"host\":{{\"name\":\"{name}\",\"domain\":\"{zone}\"}},\"listen\":{{\"callers\":\"{}\",\
             \"health\":\"{}\",\"links\":\"{}\",\"metrics\":\"{}\"}},\"store\":{{\"address\":\"{store}\",\
             \"lease_ms\":6000}},\"machine\":{{\"memory_mb\":{memory_mb},\"max_fds\":4100}},\
             \"retry\":{{\"ratio\":0.2,\"extra\":52}},\"first_start\":true,\"stop_s\":8}}\n",
            ports.callers, ports.health, ports.links, ports.metrics
        );
        let file = place.folder.join(format!("{name}.json"));
        fs::write(&file, settings).expect("the settings");
        let host = Arc::new(Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            ports,
            settings: file,
            log: place.folder.join(format!("{name}.log")),
            daemon: place.daemon.clone(),
            pids: place.folder.join("pids"),
            child: Mutex::new(None),
        });
        host.spawn();
        host
    }

    pub fn callers(&self) -> SocketAddr {
        self.ports.callers
    }

    /// Starts the process of the host.
    pub fn spawn(&self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let child = Command::new(&self.daemon)
            .args(["--on-platform", "--settings"])
            .arg(&self.settings)
            .env("PISTACHIOCHUTE_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.expect("a log"))
            .stderr(Stdio::null())
            .spawn()
            .expect("the daemon");
        let pids = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.pids);
        writeln!(pids.expect("the list of processes"), "{}", child.id()).expect("a line");
        *self.child.lock().expect("unpoisoned") = Some(child);
    }

    /// How the process ended, if it has.
    pub fn ended(&self) -> Option<String> {
        let mut child = self.child.lock().expect("unpoisoned");
        let status = child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Asks for a planned stop.
    pub fn terminate(&self) {
        if let Some(child) = &*self.child.lock().expect("unpoisoned") {
            // SAFETY: the process was started here and has not been waited for.
            unsafe { kill(child.id() as i32, SIGTERM) };
        }
    }

    /// Kills the process.
    pub fn kill(&self) {
        if let Some(child) = &mut *self.child.lock().expect("unpoisoned") {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Resident memory of the process, in MiB.
    pub fn resident_mb(&self) -> u64 {
        let pid = match &*self.child.lock().expect("unpoisoned") {
            Some(child) => child.id(),
            None => return 0,
        };
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kb.unwrap_or(0) >> 10
    }

    /// Whether the host says that it is ready.
    pub fn is_ready(&self) -> bool {
        let ask = || {
            let timeout = Duration::from_millis(900);
            let mut stream = TcpStream::connect_timeout(&self.ports.health, timeout).ok()?;
            stream.set_read_timeout(Some(timeout)).ok()?;
            stream
                .write_all(b"GET /pistachiochute/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                .ok()?;
            let mut head = [0; 12];
            stream.read_exact(&mut head).ok()?;
            Some(&head[9..] == b"200")
        };
        ask() == Some(true)
    }

    pub fn wait_ready(&self, patience: Duration) -> bool {
        let end = Instant::now() + patience;
        while !self.is_ready() {
            if Instant::now() > end {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        true
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The platform's entry: it asks each host once a second, and forwards connections by what they said.
pub struct Entry {
    hosts: Vec<Arc<Host>>,
    /// For each host: misses in a row.
    misses: Mutex<Vec<u32>>,
}

impl Entry {
    pub fn start(hosts: &[Arc<Host>]) -> Arc<Self> {
        let entry = Arc::new(Self {
            hosts: hosts.to_vec(),
            misses: Mutex::new(vec![0; hosts.len()]),
        });
        for i in 0..hosts.len() {
            let entry = Arc::downgrade(&entry);
            thread::spawn(move || {
                loop {
                    let Some(entry) = entry.upgrade() else { return };
                    let is_ready = entry.hosts[i].is_ready();
                    let mut misses = entry.misses.lock().expect("unpoisoned");
                    misses[i] = match is_ready {
                        true => 0,
                        false => misses[i] + 1,
                    };
                    drop(misses);
                    drop(entry);
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
        entry
    }

    /// Hosts that get new connections of a zone: those in rotation, or all of the zone if fewer than half
    /// are, or those of other zones if none is.
    pub fn targets(&self, zone: &str) -> Vec<Arc<Host>> {
        let misses = self.misses.lock().expect("unpoisoned").clone();
        let in_rotation = |i: usize| misses[i] < 2;
        let of_zone: Vec<usize> = (0..self.hosts.len())
            .filter(|i| self.hosts[*i].zone == zone)
            .collect();
        let ready = of_zone.iter().filter(|i| in_rotation(**i)).count();
        let chosen: Vec<usize> = match ready {
            0 => (0..self.hosts.len()).filter(|i| in_rotation(*i)).collect(),
            _ if ready * 2 < of_zone.len() => of_zone,
            _ => of_zone.into_iter().filter(|i| in_rotation(*i)).collect(),
        };
        chosen.into_iter().map(|i| self.hosts[i].clone()).collect()
    }
}

/// A way between one host and one replica, which can be cut: connections are reset and new ones refused.
pub struct Way {
    pub addr: SocketAddr,
    to: SocketAddr,
    is_cut: Arc<Mutex<bool>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Way {
    pub fn open(to: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let way = Arc::new(Self {
            addr: listener.local_addr().expect("an address"),
            to,
            is_cut: Arc::default(),
            connections: Arc::default(),
        });
        way.accept(listener);
        way
    }

    fn accept(&self, listener: TcpListener) {
        listener.set_nonblocking(true).expect("a socket");
        let (to, is_cut, connections) = (self.to, self.is_cut.clone(), self.connections.clone());
        thread::spawn(move || {
            while !*is_cut.lock().expect("unpoisoned") {
                let Ok((near, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = near.set_nonblocking(false);
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                for (mut from, mut into) in [(&near, &far), (&far, &near)].map(|(a, b)| {
                    (
                        a.try_clone().expect("a handle"),
                        b.try_clone().expect("a handle"),
                    )
                }) {
                    let _ = into.set_nodelay(true);
                    thread::spawn(move || {
                        let _ = std::io::copy(&mut from, &mut into);
                        let _ = into.shutdown(std::net::Shutdown::Both);
                    });
                }
                connections.lock().expect("unpoisoned").extend([near, far]);
            }
        });
    }

    /// Cuts the way for good.
    pub fn cut(&self) {
        *self.is_cut.lock().expect("unpoisoned") = true;
        for connection in self.connections.lock().expect("unpoisoned").drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Writes what happened, with the time since the start of the run.
pub struct Record {
    file: Mutex<fs::File>,
    pub start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        Self {
            file: Mutex::new(fs::File::create(path).expect("the record")),
            start: Instant::now(),
        }
    }

    pub fn note(&self, text: &str) {
        self.note_at(Instant::now(), text);
    }

    pub fn note_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.start).as_secs_f64();
        let mut file = self.file.lock().expect("unpoisoned");
        writeln!(file, "{seconds:8.3} {text}").expect("the record");
    }
}
