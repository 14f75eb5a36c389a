//! Client of the key-value service over the JSON form of the etcd v3 API.

mod watch;
mod wire;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use pistachiochute_core::revision::Revision;

use crate::platform::{http, key_value};

/// Largest answer, in bytes. Holds a few dozen values of a megabyte in base64.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Settings of the client.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of the service. When a connection fails, the client goes on to the next one.
    pub addrs: Vec<SocketAddr>,
    /// Longest time of a call until its answer is complete.
    pub call_timeout: Duration,
    /// Time without data after which a watch reconnects.
    pub watch_idle: Duration,
    /// Delay before a watch reconnects.
    pub watch_retry: Duration,
}

/// Client of the key-value service.
#[derive(Clone, Debug)]
pub struct Etcd {
    cfg: Arc<Settings>,
    /// Index of the address to try first: the last one that could be connected.
    current: Arc<AtomicUsize>,
}

impl Etcd {
    /// Creates a client. It does not connect before the first call.
    #[must_use]
    pub fn new(cfg: Settings) -> Self {
        Self {
            cfg: Arc::new(cfg),
            current: Arc::default(),
        }
    }

    /// Sends a call with `f` to the last address that could be connected, or else to the next ones.
    fn send<T, F>(&self, mut f: F) -> Result<T, key_value::Error>
    where
        F: FnMut(SocketAddr) -> Result<T, http::Failure>,
    {
        let addrs = &self.cfg.addrs;
        let mut last = "no address is set".to_owned();
        for _ in addrs {
            let current = self.current.load(Ordering::Relaxed) % addrs.len();
            match f(addrs[current]) {
                Ok(answer) => return Ok(answer),
                Err(http::Failure::Sent(reason)) => {
                    return Err(key_value::Error::Unknown { reason });
                }
                Err(http::Failure::NotSent(err)) => {
                    last = format!("{}: {err}", addrs[current]);
                    self.current.store(current + 1, Ordering::Relaxed);
                }
            }
        }
        Err(key_value::Error::NotSent { reason: last })
    }

    fn call<T>(&self, path: &str, body: &serde_json::Value) -> Result<T, key_value::Error>
    where
        T: serde::de::DeserializeOwned,
    {
        let body = body.to_string();
        let limits = http::Limits {
            timeout: self.cfg.call_timeout,
            max_bytes: MAX_ANSWER_BYTES,
        };
        let answer = self.send(|addr| http::post(addr, path, body.as_bytes(), limits))?;
        if answer.status == 200 {
            return wire::parse(&answer.body);
        }
        Err(wire::status_error(answer.status, &answer.body))
    }
}

impl key_value::KeyValue for Etcd {
    fn range(&self, keys: &key_value::Keys) -> Result<key_value::RangeResult, key_value::Error> {
        let answer: wire::RangeAnswer = self.call("/v3/kv/range", &wire::key_range(keys))?;
        answer.try_into()
    }

    fn txn(&self, txn: &key_value::Txn) -> Result<key_value::TxnResult, key_value::Error> {
        let answer: wire::TxnAnswer = self.call("/v3/kv/txn", &wire::txn_request(txn))?;
        answer.try_into()
    }

    fn grant(&self, ttl: Duration) -> Result<key_value::LeaseId, key_value::Error> {
        let body = serde_json::json!({ "TTL": ttl.as_secs().max(1).to_string() });
        let answer: wire::LeaseAnswer = self.call("/v3/lease/grant", &body)?;
        Ok(answer.id())
    }

    fn keep_alive(&self, lease: key_value::LeaseId) -> Result<Option<Duration>, key_value::Error> {
        let answer: wire::KeepAliveAnswer =
            self.call("/v3/lease/keepalive", &wire::lease_request(lease))?;
        Ok(answer.result.remaining())
    }

    fn revoke(&self, lease: key_value::LeaseId) -> Result<(), key_value::Error> {
        let answer: Result<serde_json::Value, _> =
            self.call("/v3/lease/revoke", &wire::lease_request(lease));
        answer.map(drop)
    }

    fn watch(&self, keys: key_value::Keys, from: Revision) -> eyre::Result<key_value::Watch> {
        watch::start(self.clone(), keys, from)
    }
}
