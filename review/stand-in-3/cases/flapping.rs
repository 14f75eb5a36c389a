//! Two of 18 replicas go down and up by turns, and start again under their ids each time.

use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::cases::Context;
use crate::fleet::{self, Behaviour, Replica};
use crate::http::{Message, Reader};
use crate::store::Store;
use crate::Verdict;

const ZONES: [&str; 3] = ["rennes-a", "rennes-b", "rennes-c"];

const HOSTS_PER_ZONE: usize = 3;

const REPLICAS: usize = 18;

/// Replicas that go down and up: a share of 0.11.
const FLAPPING_REPLICAS: usize = 2;

/// Half of the period in which the replica goes down and up, and the time for which it does.
const HALF_PERIOD: Duration = Duration::from_millis(700);
const FLAPPING: Duration = Duration::from_millis(6_500);

const EVENTS: u64 = 30;
const EVENT_PAUSE: Duration = Duration::from_millis(100);

/// New streams, and the pause between two.
const STREAMS: usize = 800;
const STREAM_PAUSE: Duration = Duration::from_millis(8);

const DEADLINE_MS: u64 = 15_000;

/// Least number of streams that are taken up for the rule.
const LEAST_TAKE_UPS: usize = 12;

pub fn run(cx: &Context) -> io::Result<Verdict> {
    let store = Store::start()?;
    store.put("op/config", &fleet::configuration(1));
    let behaviour: Arc<Behaviour> = Arc::new(stream_events);
    let mut replicas = Vec::new();
    for i in 0..REPLICAS {
        let (id, zone) = (format!("i-llm-{i}"), ZONES[i % ZONES.len()]);
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let of = (id.as_str(), "lecteur", zone, 64);
        let ends = (&store, &cx.record);
        let replica = Replica::start_on(listener, ends, of, ("v1", true), behaviour.clone())?;
        replicas.push(replica);
    }
    let flapping = replicas.split_off(replicas.len() - FLAPPING_REPLICAS);
    let hosts = fleet::start_hosts(&cx.root, &cx.dir, &ZONES, HOSTS_PER_ZONE, &store)?;
    thread::sleep(Duration::from_millis(2_000));
    let addresses: Vec<SocketAddr> = hosts.iter().map(|host| host.callers).collect();

    let turns: Vec<_> = flapping
        .into_iter()
        .map(|replica| {
            let (store, with_trouble) = (store.clone(), cx.with_trouble);
            let behaviour = behaviour.clone();
            thread::spawn(move || match with_trouble {
                true => go_down_and_up(replica, &store, &behaviour),
                false => Ok(()),
            })
        })
        .collect();
    let mut clients = Vec::new();
    for i in 0..STREAMS {
        let (addresses, record) = (addresses.clone(), cx.record.clone());
        clients.push(thread::spawn(move || client(i, &addresses, &record)));
        thread::sleep(STREAM_PAUSE);
    }
    let ends: Vec<End> = clients
        .into_iter()
        .map(|c| c.join().expect("no panic"))
        .collect();
    for turns in turns {
        turns.join().expect("no panic")?;
    }
    let began = ends.iter().filter(|end| end.began).count();
    let taken_up = ends.iter().filter(|end| end.went_on.is_some()).count();
    let went_on = ends.iter().filter(|end| end.went_on == Some(true)).count();
    cx.record.add(format!(
        "{began} of {STREAMS} new streams began; {went_on} of {taken_up} that were taken up went on"
    ));
    let is_too_seldom = went_on * 2 * STREAMS < taken_up * began;
    let is_broken = taken_up >= LEAST_TAKE_UPS && is_too_seldom;
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Ends a replica and starts it again under its id, by turns.
fn go_down_and_up(
    mut replica: Replica,
    store: &Store,
    behaviour: &Arc<Behaviour>,
) -> io::Result<()> {
    let record = replica.record.clone();
    let end = Instant::now() + FLAPPING;
    while Instant::now() < end {
        record.add(format!("{} goes down", replica.id));
        replica.crash();
        thread::sleep(HALF_PERIOD);
        let listener = TcpListener::bind(replica.addr)?;
        let id = replica.id.clone();
        let of = (id.as_str(), "lecteur", ZONES[0], 64);
        record.add(format!("{id} is up again"));
        let ends = (store, &record);
        replica = Replica::start_on(listener, ends, of, ("v1", true), behaviour.clone())?;
        thread::sleep(HALF_PERIOD);
    }
    Ok(())
}

/// Answers a request with events, from the one after `Last-Event-Id` on.
fn stream_events(request: &Message, reader: &mut Reader, replica: &Replica) -> io::Result<bool> {
    let last = request
        .header("last-event-id")
        .and_then(|id| id.parse().ok());
    let more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    let mut stream = &reader.stream;
    stream.write_all(replica.answer_head(request, more).as_bytes())?;
    for event in last.unwrap_or(0) + 1..=EVENTS {
        let text = format!("id: {event}\ndata: token {event}\n\n");
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        thread::sleep(EVENT_PAUSE);
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}

/// What came of a stream.
struct End {
    began: bool,
    /// Whether it went on where it was taken up, if it was.
    went_on: Option<bool>,
}

/// Begins a stream, and takes it up once at the next host if it breaks.
fn client(number: usize, hosts: &[SocketAddr], record: &fleet::Record) -> End {
    let id = format!("stream-{number}");
    let prompt = format!(
        "X-Model: m\r\nX-Token-Usage: 120,90\r\nX-Prompt-Prefix: {number:08x}:120\r\nContent-Length: 0\r\n"
    );
    let (last, is_whole) = events(hosts[number % hosts.len()], &id, &prompt);
    let Some(last_id) = last.filter(|_| !is_whole) else {
        return End {
            began: last.is_some(),
            went_on: None,
        };
    };
    let again = format!("{prompt}Last-Event-Id: {last_id}\r\nResumes: {id}\r\n");
    let (next, _) = events(
        hosts[(number + 1) % hosts.len()],
        &format!("{id}-again"),
        &again,
    );
    let went_on = next == Some(last_id) || next.is_some_and(|next| next > last_id);
    record.add(format!(
        "{id} broke after event {last_id}, is taken up, goes on: {went_on}"
    ));
    End {
        began: true,
        went_on: Some(went_on),
    }
}

/// Reads the events of a stream: the last one, and whether the stream is whole.
fn events(host: SocketAddr, id: &str, more: &str) -> (Option<u64>, bool) {
    let mut last = None;
    let mut read = || -> io::Result<bool> {
        let mut stream = fleet::connect(host)?;
        stream
            .write_all(fleet::request(id, "POST", "/resumable/x", DEADLINE_MS, more).as_bytes())?;
        let mut reader = Reader::new(stream);
        let head = reader.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if head.status() != 200 {
            return Ok(false);
        }
        loop {
            let data = reader.chunk()?;
            if data.is_empty() {
                return Ok(true);
            }
            let text = String::from_utf8_lossy(&data).into_owned();
            let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
            last = ids.filter_map(|id| id.parse().ok()).last().or(last);
        }
    };
    let is_whole = read().unwrap_or(false);
    (last, is_whole)
}
