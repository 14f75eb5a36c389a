//! Clients of the platform's services: the key-value service and the host list.
//!
//! [`key_value::KeyValue`] is the trait that the rest of the runtime uses; [`etcd::Etcd`]
//! implements it over the JSON form of the etcd v3 API. Its errors distinguish a call that
//! certainly had no effect from one whose answer was lost and that may have taken effect, or still
//! may. Each call opens its own connection and has a timeout, so a dead connection fails only one
//! call.

pub mod etcd;
pub mod host_list;
mod http;
pub mod key_value;
