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
use std::sync::Arc;
use std::time::Duration;

use pistachiochute_core::memory::Activity;
use pistachiochute_core::pacing::{Pace, Share};
use pistachiochute_core::units::WorkUnits;
use pistachiochute_core::{framing, liveness, reason, time};
use pistachiochute_runtime::{clock, metrics};

use crate::events;
use crate::traffic::memory;

/// Work of a turn of a connection: system calls, and the library's own work.
const TURN_WORK: WorkUnits = WorkUnits(10);

/// Turns of a connection that do not wait for those of others: ten at once for each request, and five a second.
const FREE_TURNS: Pace = Pace {
    unit_time: Duration::from_millis(20),
    at_once: WorkUnits(100),
};

/// A connection of a caller.
#[derive(Debug)]
pub(super) struct Connection {
    /// What the host holds for the caller.
    account: Arc<memory::Account>,
    state: Cell<liveness::CallerConnection>,
    /// Turns of the connection that are free: the first ones of each request, and a few a second.
    turns: Cell<Share>,
    /// Why the host closes the connection, or `None` while it does not.
    close_cause: Cell<Option<reason::Close>>,
    /// Why the bytes of the caller were refused, if they were.
    framing_fault: Cell<Option<framing::Fault>>,
}

impl Connection {
    /// Creates the state of a connection that was accepted at `now`.
    pub(super) fn new(account: Arc<memory::Account>, now: time::Time) -> Self {
        Self {
            account,
            state: Cell::new(liveness::CallerConnection::new(now)),
            turns: Cell::new(Share::new(FREE_TURNS)),
            close_cause: Cell::new(None),
            framing_fault: Cell::new(None),
        }
    }

    /// What the host holds for the caller.
    pub(super) const fn account(&self) -> &Arc<memory::Account> {
        &self.account
    }

    /// Notes that bytes have arrived.
    pub(super) fn bytes_arrived(&self) {
        let state = self.state.get();
        if state.unfinished() > 0 || state.is_reading_head() {
            return;
        }
        let now = clock::now();
        if self.update(|state| state.bytes_arrived(now)) {
            self.account.set_activity(Activity::Sending, now);
        }
    }

    /// Notes whether the bytes that have arrived end within a head.
    pub(super) fn set_within_head(&self, is_within_head: bool) {
        self.update(|state| state.set_within_head(is_within_head));
    }

    /// Notes that bytes of the caller are refused.
    pub(super) fn framing_refused(&self, fault: framing::Fault) {
        self.framing_fault.set(Some(fault));
    }

    /// Whether the caller has sent too many requests ahead, and is held to that.
    pub(super) fn is_too_far_ahead(&self) -> bool {
        self.account.is_bounded() && self.state.get().is_too_far_ahead()
    }

    /// Notes that a request has been read and is sent on.
    pub(super) fn request_read(&self) {
        self.account.set_activity(Activity::Waiting, clock::now());
    }

    /// Counts a turn of the thread that the connection has had. Returns the time for which it waits for the
    /// next one. The frames of a stream are counted instead of its turns.
    pub(super) fn turn_taken(&self, now: time::Time) -> Duration {
        if !self.account.is_bounded() || self.state.get().is_streaming() {
            return Duration::ZERO;
        }
        let mut turns = self.turns.get();
        let beyond = turns.take(TURN_WORK, now);
        self.turns.set(turns);
        self.account.take_work(beyond, now)
    }

    /// Notes that the answer is a stream with a deadline.
    pub(super) fn stream_began(&self, deadline: time::Time) {
        self.update(|state| state.stream_began(deadline));
    }

    /// Notes that bytes wait, since the caller does not read.
    pub(super) fn write_blocked(&self, now: time::Time) {
        if self.update(|state| state.set_blocked(true)) {
            self.account.set_activity(Activity::Reading, now);
        }
    }

    /// Notes that the system has taken bytes for the caller.
    pub(super) fn written(&self, bytes: usize) {
        if self.state.get().is_blocked() {
            self.account.record_progress(bytes, clock::now());
        }
    }

    /// Notes that no bytes wait for the caller.
    pub(super) fn flushed(&self) {
        if self.state.get().is_blocked() && self.update(|state| state.set_blocked(false)) {
            let activity = match self.state.get().unfinished() {
                0 => Activity::Idle,
                _ => Activity::Waiting,
            };
            self.account.set_activity(activity, clock::now());
        }
    }

    /// Checks whether the caller makes progress. Returns why its connection is to be closed, if it is.
    pub(super) fn check_progress(
        &self,
        now: time::Time,
        head_timeout: Duration,
    ) -> Option<reason::Close> {
        if self.state.get().was_paused(now) {
            self.account.forgive(now);
        }
        let behind = self.account.behind(now);
        self.update(|state| state.check_progress(now, head_timeout, behind))
    }

    /// Counts a request that has arrived.
    pub(super) fn request_started(&self) {
        self.turns.set(Share::new(FREE_TURNS));
        self.update(liveness::CallerConnection::request_arrived);
    }

    /// Counts the end of a request that [`Connection::request_started`] counted.
    pub(super) fn request_finished(&self, now: time::Time) {
        self.update(|state| state.answer_ended(now));
        let state = self.state.get();
        if !state.is_blocked() {
            let activity = match state.is_reading_head() {
                true => Activity::Sending,
                false => Activity::Idle,
            };
            self.account.set_activity(activity, now);
        }
    }

    /// Checks whether the connection is idle.
    pub(super) fn check_idle(
        &self,
        now: time::Time,
        idle_timeout: Duration,
    ) -> liveness::ConnectionStep {
        self.update(|state| state.check_idle(now, idle_timeout))
    }

    /// Begins to shut the connection down because the host stops.
    pub(super) fn stop(&self) -> liveness::ConnectionStep {
        self.update(liveness::CallerConnection::stop)
    }

    fn update<T, F>(&self, change: F) -> T
    where
        F: FnOnce(&mut liveness::CallerConnection) -> T,
    {
        let mut state = self.state.get();
        let result = change(&mut state);
        self.state.set(state);
        result
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
        let requests = self.state.get().unfinished();
        if requests == 0 {
            return;
        }
        self.close_cause.set(Some(cause));
        metrics.connection_closed(cause);
        events.connection_closed(cause, requests, error);
    }

    /// Records that the host is about to close the connection of a caller that misbehaves, or that
    /// others need the room of. To be called before its requests are dropped.
    pub(super) fn record_forced_close(
        &self,
        cause: reason::Close,
        (events, metrics): (&events::Events, &metrics::Metrics),
    ) {
        self.close_cause.set(Some(cause));
        metrics.connection_closed(cause);
        let fault = self.framing_fault.get().map(framing::Fault::as_str);
        events.connection_closed(cause, self.state.get().unfinished(), fault);
    }

    /// Records the end of the connection that hyper reports. Bytes that were refused and a head that
    /// could not be read are always recorded; otherwise the condition of [`Connection::record_close`]
    /// applies.
    pub(super) fn record_result(
        &self,
        result: hyper::Result<()>,
        telemetry: (&events::Events, &metrics::Metrics),
    ) {
        if self.framing_fault.get().is_some() {
            return self.record_forced_close(reason::Close::FramingInvalid, telemetry);
        }
        let Err(e) = result else {
            return;
        };
        if is_closed_by_caller(&e) {
            return;
        }
        if e.is_parse() {
            return self.record_forced_close(reason::Close::HeadInvalid, telemetry);
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
    /// Adds a connection that was accepted at `now`.
    pub(super) fn add(
        &self,
        account: Arc<memory::Account>,
        now: time::Time,
    ) -> (ConnectionNumber, Rc<Connection>) {
        let number = self.next_number.get();
        self.next_number.set(ConnectionNumber(number.0 + 1));
        let connection = Rc::new(Connection::new(account, now));
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
