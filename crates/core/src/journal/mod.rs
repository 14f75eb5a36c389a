//! Journal of actions: runs calls that are not idempotent at most once per idempotency key.
//!
//! Before an action is dispatched, its attempt is reserved in a record in the key-value service.
//! Records are grouped into shards. A shard is one value, selected by the hash of the key and the
//! time in the key, and is changed only by a compare-and-swap on its revision. One swap reserves
//! every attempt that waits for the shard and records the outcomes of those that have ended.
//!
//! An attempt is dispatched once, and only after its reservation is confirmed. A reservation is
//! confirmed by the answer to its swap or, if that answer was lost, by finding the attempt's id
//! when the shard is read back. The record of a key holds at most one attempt. Safety therefore
//! does not depend on how many hosts believe that they own an endpoint, on whether a host was
//! paused after its swap, or on when a delayed swap takes effect. No lease is needed, and endpoints
//! need not check one.
//!
//! Keys carry their time of issue (UUIDv7). A key older than the retention window is refused, and a
//! shard is deleted only once every host refuses its keys, allowing for clock skew. The window is
//! checked again after the reservation is confirmed, so that a host that was paused while a shard
//! was deleted does not run an action again.

mod advance;
mod config;
mod event;
mod key;
mod machine;
mod outbox;
mod record;
mod shard;
mod shard_state;

pub use config::{Config, Window};
pub use event::{Answer, AttemptResult, CallId, Effect, Effects, Event};
pub use key::{ActionKey, AttemptId, Fingerprint, KeyHash, ParseKeyError, UnixMillis};
pub use machine::{Journal, NewAttempt};
pub use record::{
    MAX_RECORDED_BODY_BYTES, MAX_RECORDED_CONTENT_TYPE_BYTES, Record, RecordedAnswer, State,
};
pub use shard::{
    MAX_SHARD_BYTES, ModRevision, RECORD_OVERHEAD_BYTES, Shard, ShardCodecError, ShardId,
    StoredShard,
};
