//! A key is taken away in a fleet of several hosts a zone, whose configuration holds many keys.

use std::io::{self, Write as _};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cases::Context;
use crate::fleet::{self, Host, Replica, KEY};
use crate::http::{Message, Reader};
use crate::store::Store;
use crate::Verdict;

const ZONES: [&str; 3] = ["rennes-a", "rennes-b", "rennes-c"];
const HOSTS_PER_ZONE: usize = 5;

/// Tenants beside the one whose key is taken away, and keys of each.
const TENANTS: usize = 40;
const KEYS_PER_TENANT: usize = 900;

/// `valueBytes` of the store.
const VALUE_BYTES: usize = 1_048_576;

/// `configApplyMs` of the site is 3,000; the requests come long after it.
const APPLY: Duration = Duration::from_millis(8_000);

pub fn run(cx: &Context) -> io::Result<Verdict> {
    let keys = match std::env::var_os("FEW_KEYS") {
        Some(_) => 9,
        None => KEYS_PER_TENANT,
    };
    let store = Store::start()?;
    let first = configuration(1, &[KEY, "anfqasnmgkcuyj8pjbvk"], keys);
    cx.record.add(format!(
        "the operator writes version 1, {} bytes of {VALUE_BYTES}",
        first.len()
    ));
    if first.len() > VALUE_BYTES {
        return Err(io::Error::other("the configuration is too large"));
    }
    store.put("op/config", &first);
    let mut replicas = Vec::new();
    for (i, zone) in ZONES.iter().enumerate() {
        let behaviour = |request: &Message, reader: &mut Reader, replica: &Replica| {
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
    let hosts = fleet::start_hosts(&cx.root, &cx.dir, &ZONES, HOSTS_PER_ZONE, &store)?;
    // The hosts find each other, and choose their relays.
    thread::sleep(Duration::from_secs(8));
    for host in &hosts {
        if ask(cx, host, "before")? != 200 {
            return Err(io::Error::other("the key is not served before"));
        }
    }
    if cx.with_trouble {
        let second = configuration(2, &["anfqasnmgkcuyj8pjbvk"], keys);
        store.put("op/config", &second);
        cx.record.add(format!(
            "the operator writes version 2 without the key, and has the answer: {} bytes",
            second.len()
        ));
    }
    thread::sleep(APPLY);
    let mut served = 0;
    for host in &hosts {
        served += usize::from(ask(cx, host, "after")? == 200);
    }
    cx.record.add(format!(
        "{served} of {} hosts have a request run with the key",
        hosts.len()
    ));
    let is_broken = cx.with_trouble && served > 0;
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// A configuration in which one tenant has these keys, and others have many.
fn configuration(version: u64, own: &[&str], keys: usize) -> String {
    let text = fleet::configuration(version);
    let at = text
        .find(r#""tenants":"#)
        .expect("the configuration has tenants");
    let tenant = |name: &str, keys: &[String]| {
        format!(
            r#"{{"name":"{name}","apiKeys":[{}],"priority":1}}"#,
            keys.join(",")
        )
    };
    let quoted = |key: &str| format!("\"{key}\"");
    let own: Vec<String> = own.iter().map(|key| quoted(key)).collect();
    let mut tenants = vec![tenant("hule930", &own)];
    for i in 0..TENANTS {
        let keys: Vec<String> = (0..keys)
            .map(|k| quoted(&format!("k{i:04}x{k:014}")))
            .collect();
        tenants.push(tenant(&format!("tenant{i}"), &keys));
    }
    format!(r#"{}"tenants":[{}]}}"#, &text[..at], tenants.join(","))
}

/// Sends a request with the key. Returns the status of its answer.
fn ask(cx: &Context, host: &Host, when: &str) -> io::Result<u16> {
    let id = format!("{}-{when}", host.name);
    let text = fleet::request(&id, "POST", "/once/pay", 3_000, "Content-Length: 8\r\n");
    let mut stream = fleet::connect(host.callers)?;
    stream.write_all((text + "amount=1").as_bytes())?;
    let outcome = fleet::outcome(stream);
    cx.record.add(format!(
        "client of {id} gets status {}, seal {:?}",
        outcome.status, outcome.seal
    ));
    Ok(outcome.status)
}
