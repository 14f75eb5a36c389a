//! Replicas of services, which register themselves in the store.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};
use crate::store::Store;

/// Time between two writes of a replica's entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Id of the part of a prompt that crashes a replica which begins to answer on it.
pub const CRASHING_PART: &str = "dead";

/// Time until a crashed replica is back.
const DOWN_FOR: Duration = Duration::from_secs(2);

/// How a replica serves its requests.
#[derive(Clone, Debug)]
pub enum Work {
    /// A call that takes some time.
    Call { time: Duration },
    /// A stream of events with ids from 1, each with the version of the replica's software. The path ends
    /// with the number of events and the pause before each, in milliseconds.
    Stream,
}

/// A request that began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub replica: String,
    pub version: String,
    pub at: Instant,
}

/// What is fixed for a replica.
pub struct Spec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub work: Work,
}

struct Incarnation {
    version: String,
    born: u128,
    sequence: u64,
}

pub struct Replica {
    pub spec: Spec,
    pub addr: SocketAddr,
    store: Arc<Store>,
    incarnation: Mutex<Incarnation>,
    /// Number of the process, which changes with each start.
    process: AtomicU64,
    is_up: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    running: AtomicU32,
    silent_until: Mutex<Instant>,
    must_crash: AtomicBool,
    crashes: Mutex<Vec<Instant>>,
    runs: Arc<Mutex<Vec<Run>>>,
}

fn unix_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("a time after 1970").as_millis()
}

impl Replica {
    /// Starts a replica and writes its entry.
    pub fn start(
        store: &Arc<Store>,
        spec: Spec,
        version: &str,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let replica = Arc::new(Self {
            spec,
            addr: listener.local_addr().expect("an address"),
            store: store.clone(),
            incarnation: Mutex::new(Incarnation {
                version: version.to_owned(),
                born: unix_ms(),
                sequence: 0,
            }),
            process: AtomicU64::new(0),
            is_up: AtomicBool::new(true),
            connections: Mutex::default(),
            running: AtomicU32::new(0),
            silent_until: Mutex::new(Instant::now()),
            must_crash: AtomicBool::new(false),
            crashes: Mutex::default(),
            runs: runs.clone(),
        });
        replica.beat();
        replica.clone().accept(listener);
        let beating = replica.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                if beating.is_up.load(Ordering::SeqCst) {
                    beating.beat();
                }
            }
        });
        let crashing = replica.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                if crashing.must_crash.load(Ordering::SeqCst) {
                    crashing.crash();
                }
            }
        });
        replica
    }

    fn crash(self: &Arc<Self>) {
        let now = Instant::now();
        self.crashes.lock().expect("unpoisoned").push(now);
        self.start_again(&self.version(), DOWN_FOR);
        self.must_crash.store(false, Ordering::SeqCst);
    }

    /// When the replica crashed.
    pub fn crashes(&self) -> Vec<Instant> {
        self.crashes.lock().expect("unpoisoned").clone()
    }

    pub fn version(&self) -> String {
        self.incarnation.lock().expect("unpoisoned").version.clone()
    }

    /// Writes the entry. Returns whether the store took it.
    pub fn beat(&self) -> bool {
        let mut incarnation = self.incarnation.lock().expect("unpoisoned");
        incarnation.sequence += 1;
        let Spec {
            id,
            service,
            zone,
            slots,
            ..
        } = &self.spec;
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"{}\",\
             \"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{},\
             \"born\":{}}}",
            self.addr, incarnation.version, incarnation.sequence, incarnation.born
        );
        self.store.put(&format!("servers/{id}"), &entry)
    }

    /// Sends nothing until a point in time.
    pub fn be_silent_until(&self, end: Instant) {
        *self.silent_until.lock().expect("unpoisoned") = end;
    }

    /// Ends the process and starts another one under the same id at the same address, with software of
    /// another version. Returns whether the store took its first entry.
    pub fn start_again(self: &Arc<Self>, version: &str, down_for: Duration) -> bool {
        self.is_up.store(false, Ordering::SeqCst);
        self.process.fetch_add(1, Ordering::SeqCst);
        // Time for the accepting thread to close its socket.
        thread::sleep(Duration::from_millis(10));
        for connection in self.connections.lock().expect("unpoisoned").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        thread::sleep(down_for);
        *self.incarnation.lock().expect("unpoisoned") = Incarnation {
            version: version.to_owned(),
            born: unix_ms(),
            sequence: 0,
        };
        let listener = TcpListener::bind(self.addr).expect("the port of the replica");
        self.is_up.store(true, Ordering::SeqCst);
        let is_written = self.beat();
        self.clone().accept(listener);
        is_written
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        let process = self.process.load(Ordering::SeqCst);
        listener.set_nonblocking(true).expect("a socket");
        thread::spawn(move || {
            while self.process.load(Ordering::SeqCst) == process {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        let Ok(kept) = stream.try_clone() else {
                            continue;
                        };
                        self.connections.lock().expect("unpoisoned").push(kept);
                        let replica = self.clone();
                        let serve = move || replica.serve(stream, process);
                        let builder = thread::Builder::new().stack_size(256 << 10);
                        let _ = builder.spawn(serve);
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
    }

    fn serve(&self, mut stream: TcpStream, process: u64) {
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Ok(request) = http::read_request(&mut reader) {
            if self.process.load(Ordering::SeqCst) != process {
                break;
            }
            if self.answer(&mut stream, &request, process).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        let port = stream.peer_addr().ok();
        let mut open = self.connections.lock().expect("unpoisoned");
        open.retain(|c| c.peer_addr().ok().is_some_and(|p| Some(p) != port));
    }

    fn answer(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        process: u64,
    ) -> std::io::Result<()> {
        match request.path() {
            "/pistachiochute/kv-list" => {
                let body = b"{\"epoch\":1,\"next\":1,\"held\":[]}";
                return http::write_answer(stream, 200, "", body);
            }
            "/health" => {
                let extra = format!("X-Instance-Id: {}\r\n", self.spec.id);
                return http::write_answer(stream, 200, &extra, b"");
            }
            _ => {}
        }
        if request
            .header("x-expect-instance")
            .is_some_and(|id| id != self.spec.id)
        {
            let extra = format!("X-Instance-Id: {}\r\n", self.spec.id);
            return http::write_answer(stream, 421, &extra, b"");
        }
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let running = self.running.fetch_add(1, Ordering::SeqCst);
        let result = match running < self.spec.slots {
            true => self.run(stream, request, &id, process),
            false => {
                let extra = format!("X-Request-Id: {id}\r\nX-Not-Executed: 1\r\n");
                http::write_answer(stream, 503, &extra, b"")
            }
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        result
    }

    fn run(
        &self,
        stream: &mut TcpStream,
        request: &Request,
        id: &str,
        process: u64,
    ) -> std::io::Result<()> {
        let version = self.version();
        self.runs.lock().expect("unpoisoned").push(Run {
            id: id.to_owned(),
            replica: self.spec.id.clone(),
            version: version.clone(),
            at: Instant::now(),
        });
        let fields = format!(
            "X-Request-Id: {id}\r\nX-Response-Seal: {}.{id}\r\n",
            self.spec.id
        );
        let stream_head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{fields}\r\n"
        );
        match self.spec.work {
            Work::Call { time } => {
                thread::sleep(time);
                self.wait_while_silent();
                http::write_answer(stream, 200, &fields, &[b'x'; 800])
            }
            Work::Stream => {
                let mut numbers = request
                    .path()
                    .rsplit('/')
                    .filter_map(|n| n.parse::<u64>().ok());
                let pause = Duration::from_millis(numbers.next().unwrap_or(100));
                let events = numbers.next().unwrap_or(5);
                let last = request
                    .header("last-event-id")
                    .and_then(|id| id.parse().ok());
                stream.write_all(stream_head.as_bytes())?;
                if has_crashing_part(request) {
                    thread::sleep(Duration::from_millis(20));
                    self.must_crash.store(true, Ordering::SeqCst);
                }
                for number in last.unwrap_or(0) + 1..=events {
                    thread::sleep(pause);
                    self.wait_while_silent();
                    if self.process.load(Ordering::SeqCst) != process {
                        return Err(std::io::ErrorKind::ConnectionAborted.into());
                    }
                    let event = format!("id: {number}\ndata: {version} {number}\n\n");
                    write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
                }
                stream.write_all(b"0\r\n\r\n")
            }
        }
    }

    fn wait_while_silent(&self) {
        loop {
            let end = *self.silent_until.lock().expect("unpoisoned");
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            thread::sleep(left);
        }
    }
}

/// Whether a prompt has the part that crashes replicas among its parts but the last one.
fn has_crashing_part(request: &Request) -> bool {
    let parts = request.header("x-prompt-prefix").unwrap_or("");
    let mut ids: Vec<&str> = parts
        .split(',')
        .filter_map(|p| p.split(':').next())
        .collect();
    ids.pop();
    ids.contains(&CRASHING_PART)
}
