//! Client edge towards the platform: the key-value service and the host list.
//!
//! [`key_value::KeyValue`] is the trait that the rest of the runtime uses; [`etcd::Etcd`]
//! implements it over the JSON form of the etcd v3 API. Its errors tell a call that certainly had
//! no effect from one that may have taken effect although its answer is lost, or may yet. Each
//! call opens its own connection and has a deadline, so a connection that went silent costs one
//! call and no more.

pub mod etcd;
pub mod host_list;
mod http;
pub mod key_value;
