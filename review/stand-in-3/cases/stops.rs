//! A second stop signal while a host finishes its requests.

use std::io::{self, Write as _};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cases::Context;
use crate::fleet::{self, Replica};
use crate::store::Store;
use crate::Verdict;

/// Work of each request: longer than the time between the signals, far shorter than the grace of 8 s.
const WORK: Duration = Duration::from_millis(2_500);

/// Requests in progress at the stop.
const REQUESTS: usize = 12;

pub fn run(cx: &Context) -> io::Result<Verdict> {
    let store = Store::start()?;
    store.put("op/config", &fleet::configuration(1));
    let mut replicas = Vec::new();
    for (i, zone) in ["rennes-a", "rennes-b", "rennes-c"].iter().enumerate() {
        let behaviour = |request: &crate::http::Message,
                         reader: &mut crate::http::Reader,
                         replica: &Replica| {
            thread::sleep(WORK);
            replica.answer(request, &reader.stream, "approved")?;
            Ok(true)
        };
        let id = format!("i-app-{i}");
        replicas.push(Replica::start(
            &store,
            &cx.record,
            (&id, "comptoir", zone, 6),
            false,
            Arc::new(behaviour),
        )?);
    }
    let hosts = fleet::start_hosts(
        &cx.root,
        &cx.dir,
        &["rennes-a", "rennes-b", "rennes-c"],
        1,
        &store,
    )?;
    let host = &hosts[0];
    thread::sleep(Duration::from_millis(1_000));

    let mut clients = Vec::new();
    for i in 0..REQUESTS {
        let id = format!("req-{i}");
        let body = "amount=1";
        let text = fleet::request(
            &id,
            "POST",
            "/once/pay",
            10_000,
            &format!("Content-Length: {}\r\n", body.len()),
        );
        let mut stream = fleet::connect(host.callers)?;
        stream.write_all((text + body).as_bytes())?;
        cx.record.add(format!("client sends {id}"));
        let record = cx.record.clone();
        clients.push(thread::spawn(move || {
            let outcome = fleet::outcome(stream);
            record.add(format!(
                "client of {id} gets status {}, whole: {}, {}",
                outcome.status, outcome.is_whole, outcome.error
            ));
            outcome
        }));
    }
    thread::sleep(Duration::from_millis(500));
    cx.record.add("SIGTERM");
    host.signal("TERM");
    if cx.with_trouble {
        thread::sleep(Duration::from_millis(1_000));
        cx.record.add("SIGTERM again");
        host.signal("TERM");
    }
    let outcomes = clients
        .into_iter()
        .map(|client| client.join().expect("no panic"));
    let cut = outcomes.filter(|outcome| !outcome.is_whole).count();
    cx.record.add(format!(
        "{cut} of {REQUESTS} requests were read, passed on and never answered"
    ));
    Ok(if cut > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
