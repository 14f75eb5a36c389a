//! Stand-in of a replica, as PROTOCOL.md describes it.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Head};
use crate::json::quoted;
use crate::record::Record;
use crate::store::Store;

/// How a replica answers requests.
#[derive(Clone)]
pub enum Work {
    /// An answer with a length, after this time.
    Plain(Duration),
    /// The same, but two of five requests fail with this status once they have run.
    Grey { work: Duration, status: u16 },
    /// A stream of so many events, with this pause before each.
    Stream {
        events: u32,
        pause: Duration,
        new_weights_at: Option<u32>,
    },
    /// An answer of so many bytes that has no length and ends with its connection. It is cut off once it
    /// has stayed unread for `patience`.
    Unframed { bytes: usize, patience: Duration },
}

pub struct Settings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub slots: u32,
    pub work: Work,
}

/// A request that reached a replica.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub request: String,
    pub replica: String,
    pub at: Duration,
    /// Whether its run ended before the replica did.
    pub is_complete: bool,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

struct Inner {
    settings: Settings,
    born: u64,
    record: Arc<Record>,
    arrivals: Arrivals,
    connections: Mutex<Vec<TcpStream>>,
    is_leaving: AtomicBool,
    has_ended: AtomicBool,
    running: AtomicU32,
    runs: AtomicU32,
    sequence: AtomicU64,
}

#[derive(Clone)]
pub struct Replica {
    inner: Arc<Inner>,
    pub address: SocketAddr,
}

impl Replica {
    pub fn start(settings: Settings, record: &Arc<Record>, arrivals: &Arrivals) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener
            .set_nonblocking(true)
            .expect("a listener that does not block");
        let address = listener.local_addr().expect("an address");
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("a clock");
        let inner = Arc::new(Inner {
            settings,
            born: since.as_millis() as u64,
            record: record.clone(),
            arrivals: arrivals.clone(),
            connections: Mutex::new(Vec::new()),
            is_leaving: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            running: AtomicU32::new(0),
            runs: AtomicU32::new(0),
            sequence: AtomicU64::new(0),
        });
        let accepting = inner.clone();
        thread::spawn(move || {
            while !accepting.has_ended.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                drop(stream.set_nonblocking(false));
                let inner = accepting.clone();
                if let Ok(clone) = stream.try_clone() {
                    inner.connections.lock().unwrap().push(clone);
                }
                thread::spawn(move || inner.serve(stream));
            }
        });
        Self { inner, address }
    }

    pub fn id(&self) -> &str {
        &self.inner.settings.id
    }

    pub fn key(&self) -> String {
        format!("servers/{}", self.inner.settings.id)
    }

    /// The entry that the replica writes, with the next sequence number.
    pub fn entry(&self) -> String {
        let s = &self.inner.settings;
        let state = match self.inner.is_leaving.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let sequence = self.inner.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":{},\"slots\":{},\
             \"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{}}}",
            quoted(&s.service),
            self.address,
            quoted(&s.zone),
            quoted(&s.version),
            s.slots,
            self.inner.born,
        )
    }

    /// Writes its entry about every `interval`, until it has ended or `is_silent` says so.
    pub fn write_entries(&self, store: &Store, interval: Duration, is_silent: Arc<AtomicBool>) {
        let (replica, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            while !replica.has_ended() && !is_silent.load(Ordering::SeqCst) {
                store.put(&replica.key(), &replica.entry());
                thread::sleep(interval);
            }
        });
    }

    /// From now on it says in all its answers that it leaves.
    pub fn leave(&self) {
        self.inner.is_leaving.store(true, Ordering::SeqCst);
    }

    pub fn has_ended(&self) -> bool {
        self.inner.has_ended.load(Ordering::SeqCst)
    }

    /// Ends the process: its connections are closed.
    pub fn end(&self) {
        self.inner.has_ended.store(true, Ordering::SeqCst);
        for connection in self.inner.connections.lock().unwrap().iter() {
            drop(connection.shutdown(Shutdown::Both));
        }
    }
}

impl Inner {
    fn serve(&self, stream: TcpStream) {
        drop(stream.set_nodelay(true));
        let mut stream = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut stream) {
            if http::read_body(&mut stream, &head).is_err() {
                return;
            }
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            if self.answer(stream.get_mut(), &head).is_none() {
                return;
            }
        }
    }

    /// Fields of all answers.
    fn fields(&self, id: Option<&str>) -> Vec<(&'static str, String)> {
        let running = self.running.load(Ordering::SeqCst);
        let mut fields = vec![
            ("X-Instance-Id", self.settings.id.clone()),
            (
                "X-Server-Load",
                format!("{running},0,{}", self.settings.slots),
            ),
        ];
        if let Some(id) = id {
            fields.push(("X-Request-Id", id.to_owned()));
        }
        if self.is_leaving.load(Ordering::SeqCst) {
            fields.push(("Server-Leaving", "1".to_owned()));
            fields.push(("Connection", "close".to_owned()));
        }
        fields
    }

    /// Answers a request. `None` closes the connection.
    fn answer(&self, stream: &mut TcpStream, head: &Head) -> Option<()> {
        let (path, _) = head.target();
        if path == "/health" {
            let status = match self.is_leaving.load(Ordering::SeqCst) {
                true => 503,
                false => 200,
            };
            return http::answer(stream, status, &self.fields(None), b"").ok();
        }
        if path == "/pistachiochute/report" {
            let body = format!(
                "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":false,\"sequence\":0,\"queued\":0,\"running\":{},\"kvUsed\":0,\
                 \"kvTotal\":500000,\"handles\":0,\"born\":{}}}",
                self.running.load(Ordering::SeqCst),
                self.born,
            );
            return http::answer(stream, 200, &self.fields(None), body.as_bytes()).ok();
        }
        if path == "/pistachiochute/kv-list" {
            let body = br#"{"epoch":1,"next":1,"held":[]}"#;
            return http::answer(stream, 200, &self.fields(None), body).ok();
        }
        let id = head.get("X-Request-Id").unwrap_or("").to_owned();
        if path.starts_with("/pistachiochute/") || id.is_empty() {
            let mut fields = self.fields(None);
            fields.push(("X-Not-Executed", "1".to_owned()));
            return http::answer(stream, 404, &fields, b"").ok();
        }
        if head
            .get("X-Expect-Instance")
            .is_some_and(|expected| expected != self.settings.id)
        {
            return http::answer(stream, 421, &self.fields(Some(&id)), b"").ok();
        }
        self.run(stream, &id, head.get("X-Tenant"))
    }

    fn run(&self, stream: &mut TcpStream, id: &str, tenant: Option<&str>) -> Option<()> {
        let at = self.record.now();
        let name = &self.settings.id;
        let for_whom = tenant.unwrap_or("none");
        self.record.add_at(
            at,
            format!("request {id} reaches replica {name}, which runs it, X-Tenant: {for_whom}"),
        );
        let position = {
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push(Arrival {
                request: id.to_owned(),
                replica: name.clone(),
                at,
                is_complete: false,
            });
            arrivals.len() - 1
        };
        self.running.fetch_add(1, Ordering::SeqCst);
        let done = match self.settings.work.clone() {
            Work::Plain(work) => self.answer_plain(stream, id, work, 200),
            Work::Grey { work, status } => {
                let fails = self.runs.fetch_add(1, Ordering::SeqCst) % 5 >= 3;
                self.answer_plain(stream, id, work, if fails { status } else { 200 })
            }
            Work::Stream {
                events,
                pause,
                new_weights_at,
            } => self.answer_stream(stream, id, (events, pause), new_weights_at),
            Work::Unframed { bytes, patience } => self.answer_unframed(stream, id, bytes, patience),
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        let what = match done {
            Some(()) => "has answered",
            None => "could not answer",
        };
        self.record
            .add(format!("replica {name} {what} request {id}"));
        self.arrivals.lock().unwrap()[position].is_complete = done.is_some();
        done
    }

    fn answer_plain(
        &self,
        stream: &mut TcpStream,
        id: &str,
        work: Duration,
        status: u16,
    ) -> Option<()> {
        thread::sleep(work);
        if self.has_ended.load(Ordering::SeqCst) {
            return None;
        }
        let mut fields = self.fields(Some(id));
        fields.push(("X-Response-Seal", format!("{}.{id}", self.settings.id)));
        let body = format!("done {id} at {}", self.settings.id);
        self.record.add(format!(
            "replica {} has run request {id}, status {status}",
            self.settings.id
        ));
        http::answer(stream, status, &fields, body.as_bytes()).ok()
    }

    /// Writes in pieces as the other end reads them. Closes the connection in order in any case.
    fn answer_unframed(
        &self,
        stream: &mut TcpStream,
        id: &str,
        bytes: usize,
        patience: Duration,
    ) -> Option<()> {
        small_send_buffer(stream);
        let mut text = String::from("HTTP/1.1 200 OK\r\n");
        for (name, value) in self.fields(Some(id)) {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("X-Response-Seal: {}.{id}\r\n", self.settings.id));
        text.push_str("Content-Type: text/plain\r\nConnection: close\r\n\r\n");
        let mut answer = text.into_bytes();
        answer.extend(report(bytes));
        drop(stream.set_write_timeout(Some(patience)));
        let mut written = 0;
        while written < answer.len() {
            let piece = &answer[written..answer.len().min(written + 16_384)];
            let began = Instant::now();
            let taken = stream.write(piece).unwrap_or(0);
            written += taken;
            match began.elapsed() < patience && taken > 0 {
                true => {}
                false => {
                    self.record.add(format!(
                        "replica {} cuts off the answer to {id}, unread for {patience:?}, after {written} of {} bytes",
                        self.settings.id,
                        answer.len(),
                    ));
                    break;
                }
            }
            // The answer is made as it is written.
            thread::sleep(Duration::from_millis(5));
        }
        drop(stream.shutdown(Shutdown::Write));
        let is_whole = written == answer.len();
        // Ends the loop over requests: the connection is closed.
        let mut rest = [0; 64];
        drop(stream.set_read_timeout(Some(Duration::from_secs(10))));
        while stream.read(&mut rest).is_ok_and(|n| n > 0) {}
        is_whole.then_some(())
    }

    fn answer_stream(
        &self,
        stream: &mut TcpStream,
        id: &str,
        (events, pause): (u32, Duration),
        new_weights_at: Option<u32>,
    ) -> Option<()> {
        let mut head = String::from("HTTP/1.1 200 OK\r\n");
        let mut fields = self.fields(Some(id));
        fields.push(("X-Response-Seal", format!("{}.{id}", self.settings.id)));
        fields.push(("X-Weight-Versions", "1".to_owned()));
        fields.push(("Content-Type", "text/event-stream".to_owned()));
        fields.push(("Transfer-Encoding", "chunked".to_owned()));
        for (name, value) in fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        thread::sleep(pause);
        stream.write_all(format!("{head}\r\n").as_bytes()).ok()?;
        for n in 1..=events {
            if n > 1 {
                thread::sleep(pause);
            }
            if self.has_ended.load(Ordering::SeqCst) {
                return None;
            }
            let first = match new_weights_at {
                Some(at) if at == n => "x-weight-versions: 2\n",
                _ => "",
            };
            let event = format!("{first}id: {n}\ndata: {id} {n}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).ok()?;
        }
        stream.write_all(b"0\r\n\r\n").ok()
    }
}

/// Body of a long answer: numbered lines, so that what is missing shows.
pub fn report(bytes: usize) -> Vec<u8> {
    let mut text = String::with_capacity(bytes + 32);
    let mut line = 0;
    while text.len() < bytes {
        text.push_str(&format!("line {line:08} of the ledger\n"));
        line += 1;
    }
    text.truncate(bytes);
    text.into_bytes()
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Lets the system hold little of what is written, as on the platform, whose windows are small.
fn small_send_buffer(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_SNDBUF: i32 = 7;
    let bytes = 16 << 10;
    // SAFETY: the descriptor is open, and the value lives through the call.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_SNDBUF, &bytes, 4) };
}
