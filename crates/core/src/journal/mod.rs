//! Journal of actions: calls that are not idempotent run at most once per key.
//!
//! Before an action is dispatched, its attempt is reserved in a record of the key-value service.
//! Records are kept in shards. A shard is one value, found by the hash of the key and by the time
//! in the key, and is changed only by a compare-and-swap on its revision. One swap reserves every
//! attempt that waits for the shard and records the outcomes of those that have ended.
//!
//! Only the attempt whose reservation is confirmed is dispatched, once. A reservation is confirmed
//! by the answer to its swap, or, if that answer was lost, by finding the attempt's id when the
//! shard is read back. At most one attempt can be in the record of a key, so it does not matter
//! how many hosts believe that they own an endpoint, whether a host was paused after its swap, or
//! when a delayed swap takes effect. No lease is needed, and endpoints need not check one.
//!
//! Keys carry their time (UUIDv7). A key older than the retention window is refused, and a shard
//! is deleted only when every host refuses its keys, clock skew included. The window is checked
//! again after the reservation is confirmed, so a host that was paused across the deletion of a
//! shard does not run an action again.

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
    DecodeShardError, MAX_SHARD_BYTES, ModRevision, RECORD_OVERHEAD_BYTES, Shard, ShardId,
    StoredShard,
};
