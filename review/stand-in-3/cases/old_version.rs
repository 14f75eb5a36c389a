//! Replicas spoil a few of their streams: the first line names HTTP/1.0, and the stream is broken off.

use std::io::{self, Write as _};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cases::Context;
use crate::fleet::{self, Replica};
use crate::http::{Message, Reader};
use crate::store::Store;
use crate::Verdict;

const ZONES: [&str; 3] = ["rennes-a", "rennes-b", "rennes-c"];
const REPLICAS: usize = 6;

/// Replicas that spoil answers, and one in how many of their answers they spoil.
const FAULTY_REPLICAS: usize = 3;
const ONE_IN: usize = 40;

const EVENTS: u64 = 10;
const EVENT_PAUSE: Duration = Duration::from_millis(20);

/// Event after which a spoilt stream ends.
const BROKEN_OFF_AFTER: u64 = 4;

const STREAMS: usize = 600;
const STREAM_PAUSE: Duration = Duration::from_millis(10);
const DEADLINE_MS: u64 = 15_000;

pub fn run(cx: &Context) -> io::Result<Verdict> {
    let store = Store::start()?;
    store.put("op/config", &fleet::configuration(1));
    let mut replicas = Vec::new();
    for i in 0..REPLICAS {
        let is_faulty = cx.with_trouble && i < FAULTY_REPLICAS;
        let answers = AtomicUsize::new(0);
        let behaviour = move |request: &Message, reader: &mut Reader, replica: &Replica| {
            let number = answers.fetch_add(1, Ordering::Relaxed);
            let is_spoilt = is_faulty && number % ONE_IN == ONE_IN - 1;
            answer(request, reader, replica, is_spoilt)
        };
        let id = format!("i-llm-{i}");
        let of = (id.as_str(), "lecteur", ZONES[i % ZONES.len()], 64);
        replicas.push(Replica::start(
            &store,
            &cx.record,
            of,
            true,
            Arc::new(behaviour),
        )?);
    }
    let hosts = fleet::start_hosts(&cx.root, &cx.dir, &ZONES, 1, &store)?;
    thread::sleep(Duration::from_millis(1_500));
    let mut clients = Vec::new();
    for i in 0..STREAMS {
        let (host, record) = (hosts[i % hosts.len()].callers, cx.record.clone());
        clients.push(thread::spawn(move || client(i, host, &record)));
        thread::sleep(STREAM_PAUSE);
    }
    let wrong = clients
        .into_iter()
        .map(|client| client.join().expect("no panic"));
    let wrong = wrong.filter(|is_wrong| *is_wrong).count();
    cx.record.add(format!(
        "{wrong} of {STREAMS} streams ended early and look complete"
    ));
    Ok(if wrong > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Answers a request with events. A spoilt answer names another version and is reset.
fn answer(
    request: &Message,
    reader: &mut Reader,
    replica: &Replica,
    is_spoilt: bool,
) -> io::Result<bool> {
    let more = match is_spoilt {
        true => "Content-Type: text/event-stream\r\n",
        false => "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
    };
    let head = replica.answer_head(request, more);
    let mut stream = &reader.stream;
    match is_spoilt {
        true => stream.write_all(head.replacen("HTTP/1.1", "HTTP/1.0", 1).as_bytes())?,
        false => stream.write_all(head.as_bytes())?,
    }
    for event in 1..=EVENTS {
        let text = format!("id: {event}\ndata: token {event}\n\n");
        if is_spoilt && event > BROKEN_OFF_AFTER {
            let id = request.header("x-request-id").unwrap_or("-");
            replica
                .record
                .add(format!("{} breaks {id} off in event {event}", replica.id));
            stream.write_all(&text.as_bytes()[..4])?;
            stream.shutdown(Shutdown::Both)?;
            return Ok(false);
        }
        match is_spoilt {
            true => stream.write_all(text.as_bytes())?,
            false => stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?,
        }
        thread::sleep(EVENT_PAUSE);
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// Sends a request for a stream. Returns whether it ended early and looks complete.
fn client(number: usize, host: SocketAddr, record: &fleet::Record) -> bool {
    let id = format!("stream-{number}");
    let more = format!(
        "X-Model: m\r\nX-Token-Usage: 120,90\r\nX-Prompt-Prefix: {number:08x}:120\r\nContent-Length: 0\r\n"
    );
    let text = fleet::request(&id, "POST", "/stream/x", DEADLINE_MS, &more);
    let Ok(mut stream) = fleet::connect(host) else {
        return false;
    };
    if stream.write_all(text.as_bytes()).is_err() {
        return false;
    }
    let outcome = fleet::outcome(stream);
    let body = String::from_utf8_lossy(&outcome.body).into_owned();
    let has_last = body.contains(&format!("id: {EVENTS}\n"));
    let is_wrong = outcome.status == 200 && outcome.is_whole && !has_last;
    if is_wrong || !outcome.is_whole {
        record.add(format!(
            "client of {id} gets status {}, seal {:?}, {} events, complete by its framing: {}, {}",
            outcome.status,
            outcome.seal,
            body.matches("id: ").count(),
            outcome.is_whole,
            outcome.error
        ));
    }
    is_wrong
}
