//! Connections of callers: their unfinished requests, and why the host closed them.
//!
//! A request counts as unfinished until its [report](crate::traffic::report) is finished. Bytes of
//! the answer may still be in the buffers of the connection then.

use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::error::Error as _;
use std::io;
use std::rc::Rc;

use pistachiochute_core::reason;
use pistachiochute_runtime::metrics;

use crate::events;

/// A connection of a caller.
#[derive(Debug, Default)]
pub(super) struct Connection {
    unfinished_requests: Cell<usize>,
    /// Why the host closes the connection, or `None` while it does not.
    close_cause: Cell<Option<reason::Close>>,
}

impl Connection {
    /// Counts a request that has arrived.
    pub(super) fn request_started(&self) {
        self.unfinished_requests
            .set(self.unfinished_requests.get() + 1);
    }

    /// Counts the end of a request that [`Connection::request_started`] counted.
    pub(super) fn request_finished(&self) {
        self.unfinished_requests
            .set(self.unfinished_requests.get() - 1);
    }

    /// How a request ended that is unfinished when the connection is closed.
    pub(super) fn end_of_unfinished(&self) -> Cow<'static, str> {
        match self.close_cause.get() {
            Some(cause) => Cow::Owned(format!("host closed the connection: {cause}")),
            None => Cow::Borrowed("caller left"),
        }
    }

    /// Records that the host is about to close the connection, if it has unfinished requests. Must
    /// be called before these are dropped, so that their log lines name the cause.
    pub(super) fn record_close(
        &self,
        cause: reason::Close,
        error: Option<&str>,
        (events, metrics): (&events::Events, &metrics::Metrics),
    ) {
        let requests = self.unfinished_requests.get();
        if requests == 0 {
            return;
        }
        self.close_cause.set(Some(cause));
        metrics.connection_closed(cause);
        events.connection_closed(cause, requests, error);
    }

    /// Records the end of the connection that hyper reports. Has the same condition as
    /// [`Connection::record_close`].
    pub(super) fn record_result(
        &self,
        result: hyper::Result<()>,
        telemetry: (&events::Events, &metrics::Metrics),
    ) {
        let Err(e) = result else {
            return;
        };
        if is_closed_by_caller(&e) {
            return;
        }
        let text = format!("{:#}", eyre::Report::new(e));
        self.record_close(reason::Close::ConnectionError, Some(&text), telemetry);
    }
}

/// Key of a connection in [`OpenConnections`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionNumber(u64);

/// The open connections of callers.
#[derive(Debug, Default)]
pub(super) struct OpenConnections {
    next_number: Cell<ConnectionNumber>,
    connections: RefCell<BTreeMap<ConnectionNumber, Rc<Connection>>>,
}

impl OpenConnections {
    /// Adds a connection.
    pub(super) fn add(&self) -> (ConnectionNumber, Rc<Connection>) {
        let number = self.next_number.get();
        self.next_number.set(ConnectionNumber(number.0 + 1));
        let connection = Rc::<Connection>::default();
        self.connections
            .borrow_mut()
            .insert(number, connection.clone());
        (number, connection)
    }

    /// Removes a connection that is closed.
    pub(super) fn remove(&self, number: ConnectionNumber) {
        self.connections.borrow_mut().remove(&number);
    }

    /// Number of open connections.
    pub(super) fn count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// All open connections, in the order in which they were accepted.
    pub(super) fn all(&self) -> Vec<Rc<Connection>> {
        self.connections.borrow().values().cloned().collect()
    }
}

/// Whether a connection failed because the caller closed it. The system reports a reset instead of
/// the end of the stream if the caller had not read all of the answer.
fn is_closed_by_caller(e: &hyper::Error) -> bool {
    if e.is_incomplete_message() {
        return true;
    }
    let cause = e
        .source()
        .and_then(|cause| cause.downcast_ref::<io::Error>());
    matches!(
        cause.map(io::Error::kind),
        Some(
            io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::BrokenPipe
        )
    )
}

#[cfg(test)]
mod tests;
