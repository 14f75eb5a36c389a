//! A host stands still while a replica writes an answer without a length, and the replica cuts the answer off.

use std::io::{self, Write as _};
use std::net::TcpStream;
use std::os::fd::AsRawFd as _;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::cases::Context;
use crate::fleet::{self, Replica};
use crate::http::{Message, Reader};
use crate::store::Store;
use crate::Verdict;

/// Time for which the host stands still.
const FREEZE: Duration = Duration::from_millis(3_000);

/// Time after which the replica cuts off an answer that is not read.
const PATIENCE: Duration = Duration::from_millis(2_000);

const DEADLINE_MS: u64 = 4_000;
const ANSWER_BYTES: usize = 1 << 20;
const SEND_BUFFER_BYTES: i32 = 16 << 10;
const PIECE_BYTES: usize = 4 << 10;
const REQUESTS: usize = 4;

const ZONES: [&str; 3] = ["riga-a", "riga-b", "riga-c"];

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Gives a connection a small send buffer.
fn limit_send_buffer(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_SNDBUF: i32 = 7;
    // Sound: the value lives through the call, and its length is given.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_SNDBUF,
            &SEND_BUFFER_BYTES,
            4,
        )
    };
}

fn body() -> Vec<u8> {
    let lines = (0_u32..).flat_map(|i| format!("account line {i:08}\n").into_bytes());
    lines.take(ANSWER_BYTES).collect()
}

pub fn run(cx: &Context) -> io::Result<Verdict> {
    let store = Store::start()?;
    store.put("op/config", &fleet::configuration(1));
    let may_write = Arc::new(AtomicBool::new(false));
    let mut replicas = Vec::new();
    for (i, zone) in ZONES.iter().enumerate() {
        let may_write = may_write.clone();
        let behaviour = move |request: &Message, reader: &mut Reader, replica: &Replica| {
            limit_send_buffer(&reader.stream);
            let id = request.header("x-request-id").unwrap_or("-").to_owned();
            while !may_write.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(5));
            }
            // Neither a length nor chunks: the answer ends with its connection.
            let head =
                replica.answer_head(request, "Connection: close\r\nContent-Type: text/plain\r\n");
            let mut stream = &reader.stream;
            stream.set_write_timeout(Some(PATIENCE))?;
            let all = [head.into_bytes(), body()].concat();
            let mut rest = &all[..];
            while !rest.is_empty() {
                let began = Instant::now();
                let written = stream.write(&rest[..rest.len().min(PIECE_BYTES)]);
                rest = &rest[written.unwrap_or(0)..];
                if began.elapsed() >= PATIENCE {
                    replica.record.add(format!(
                        "{} cuts off the answer to {id}, {} bytes short",
                        replica.id,
                        rest.len()
                    ));
                    return Ok(false);
                }
            }
            replica.record.add(format!(
                "{} has written all of the answer to {id}",
                replica.id
            ));
            Ok(false)
        };
        let id = format!("i-app-{i}");
        replicas.push(Replica::start(
            &store,
            &cx.record,
            (&id, "comptoir", zone, 6),
            true,
            Arc::new(behaviour),
        )?);
    }
    let hosts = fleet::start_hosts(&cx.root, &cx.dir, &ZONES, 1, &store)?;
    let host = &hosts[0];
    thread::sleep(Duration::from_millis(1_000));

    let mut clients = Vec::new();
    for i in 0..REQUESTS {
        let (method, path) = ("POST", "/once/statement");
        let id = format!("req-{i}");
        let text = fleet::request(&id, method, path, DEADLINE_MS, "Content-Length: 0\r\n");
        let mut stream = fleet::connect(host.callers)?;
        stream.write_all(text.as_bytes())?;
        cx.record.add(format!("client sends {id} {method} {path}"));
        clients.push((id, thread::spawn(move || fleet::outcome(stream))));
    }
    thread::sleep(Duration::from_millis(200));
    if cx.with_trouble {
        cx.record.add("the host stands still");
        host.signal("STOP");
    }
    may_write.store(true, Ordering::Relaxed);
    if cx.with_trouble {
        thread::sleep(FREEZE);
        cx.record.add("the host goes on");
        host.signal("CONT");
    }
    let sound = body();
    let mut wrong = 0;
    for (id, client) in clients {
        let outcome = client.join().expect("no panic");
        let is_wrong = outcome.status == 200 && outcome.is_whole && outcome.body != sound;
        wrong += usize::from(is_wrong);
        cx.record.add(format!(
            "client of {id} gets status {}, seal {:?}, {} bytes of {ANSWER_BYTES}, complete by its framing: {} {}",
            outcome.status, outcome.seal, outcome.body.len(), outcome.is_whole, outcome.error
        ));
    }
    cx.record.add(format!(
        "{wrong} of {REQUESTS} clients got a part of a body as a whole success"
    ));
    Ok(if wrong > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
