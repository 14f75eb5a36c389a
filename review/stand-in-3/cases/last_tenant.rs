//! A new version of the configuration takes away the keys of the last tenant, and the tenant with them.

use std::io::{self, Write as _};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cases::Context;
use crate::fleet::{self, Host, Replica, KEY};
use crate::http::{Message, Reader};
use crate::store::Store;
use crate::Verdict;

/// A key that no version of the configuration holds.
const UNKNOWN_KEY: &str = "zzzzzzzzzzzzzzzzzzzz";

/// `configApplyMs` of the site, and one second more.
const APPLY: Duration = Duration::from_millis(3_000);

const REQUESTS: usize = 6;

pub fn run(cx: &Context) -> io::Result<Verdict> {
    let store = Store::start()?;
    let first = fleet::configuration(1);
    store.put("op/config", &first);
    let mut replicas = Vec::new();
    for (i, zone) in ["rennes-a", "rennes-b", "rennes-c"].iter().enumerate() {
        let behaviour = |request: &Message, reader: &mut Reader, replica: &Replica| {
            let tenant = request.header("x-tenant").unwrap_or("none");
            replica
                .record
                .add(format!("{} runs it for X-Tenant {tenant}", replica.id));
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

    let before = ask(cx, host, "before", KEY)?;
    if before != 200 {
        return Err(io::Error::other("the tenant is not served before"));
    }
    if cx.with_trouble {
        let at = first
            .find(r#""tenants":"#)
            .expect("the configuration has tenants");
        let second = format!(r#"{}"tenants":[]}}"#, &first[..at])
            .replace(r#""version":1"#, r#""version":2"#);
        cx.record
            .add("the operator writes version 2, with \"tenants\":[]");
        store.put("op/config", &second);
    }
    thread::sleep(APPLY);
    let mut served = 0;
    for i in 0..REQUESTS {
        let status = ask(cx, host, &format!("unknown-{i}"), UNKNOWN_KEY)?;
        served += usize::from(status == 200);
    }
    let after = ask(cx, host, "after", KEY)?;
    cx.record.add(format!("{served} of {REQUESTS} requests with a key that no configuration ever held have run; with the key that was taken away: status {after}"));
    Ok(if served > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends a request. Returns the status of its answer.
fn ask(cx: &Context, host: &Host, id: &str, key: &str) -> io::Result<u16> {
    let text =
        fleet::request(id, "POST", "/once/pay", 3_000, "Content-Length: 8\r\n").replace(KEY, key);
    let mut stream = fleet::connect(host.callers)?;
    cx.record.add(format!("client sends {id} with key {key}"));
    stream.write_all((text + "amount=1").as_bytes())?;
    let outcome = fleet::outcome(stream);
    cx.record.add(format!(
        "client of {id} gets status {}, seal {:?}",
        outcome.status, outcome.seal
    ));
    Ok(outcome.status)
}
