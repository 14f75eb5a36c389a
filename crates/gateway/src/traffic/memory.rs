//! Leases on the memory that callers and endpoints make the host hold.
//!
//! [`core::memory`](pistachiochute_core::memory) decides. An [`Account`] is a connection of a caller, a
//! link of another host, or something that came on one; what is held for it is leased as [`Held`].
//! Leases travel with the bytes, and give the room back when these are dropped.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use bytes::Bytes;
use pistachiochute_core::memory::{Activity, Budget, HolderId, Limits, Rate, Room, Victims};
use pistachiochute_core::pacing::{Allowance, Pace};
use pistachiochute_core::units::WorkUnits;
use pistachiochute_core::{reason, time};
use pistachiochute_runtime::clock;
use tokio::sync;

/// Least rate at which a caller has to send a body or read an answer.
const LEAST_RATE: Rate = Rate::per_second(4 << 10);

/// Time that may be waited for room that others are about to give back.
const ROOM_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which room is asked for again.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Work of all callers beyond their shares.
const ALL_WORK: Pace = Pace {
    unit_time: Duration::from_micros(20),
    at_once: WorkUnits(50),
};

/// There is no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoRoom;

#[derive(Debug)]
struct State {
    budget: Budget,
    accounts: HashMap<HolderId, Weak<Account>>,
    /// Work that callers may make the traffic thread do.
    allowance: Allowance,
}

/// Memory of a host for its callers and the links of other hosts.
#[derive(Clone, Debug)]
pub(crate) struct Memory {
    state: Arc<Mutex<State>>,
    limits: Limits,
}

impl Memory {
    /// Creates a memory of which nothing is held.
    pub(crate) fn new(limits: Limits) -> Self {
        let state = State {
            budget: Budget::new(limits),
            accounts: HashMap::new(),
            allowance: Allowance::new(ALL_WORK),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            limits,
        }
    }

    /// Whether there is any bound. Without one nothing is counted.
    pub(crate) fn is_bounded(&self) -> bool {
        self.limits != Limits::NONE
    }

    /// Opens an account of a caller's connection. It holds nothing.
    pub(super) fn open(&self, now: time::Time) -> Arc<Account> {
        let id = self.lock().budget.add(LEAST_RATE, now);
        self.account(id)
    }

    /// Opens an account of a link, or of something that came on one. It holds nothing.
    pub(crate) fn open_on_link(&self, now: time::Time) -> Arc<Account> {
        let id = self.lock().budget.add_on_link(LEAST_RATE, now);
        self.account(id)
    }

    fn account(&self, id: HolderId) -> Arc<Account> {
        let account = Arc::new(Account {
            memory: self.clone(),
            id,
            close_cause: Mutex::new(None),
            closing: sync::Notify::new(),
            room: sync::Notify::new(),
        });
        if self.is_bounded() {
            let entry = Arc::downgrade(&account);
            self.lock().accounts.insert(id, entry);
        }
        account
    }

    /// Tells an account that waits for room to ask for it.
    fn tell<F>(&self, choose: F)
    where
        F: FnOnce(&Budget) -> Option<HolderId>,
    {
        let account = {
            let state = self.lock();
            choose(&state.budget).and_then(|id| state.account(id))
        };
        if let Some(account) = account {
            account.room.notify_one();
        }
    }

    /// Bytes that are held.
    #[cfg(test)]
    pub(crate) fn used(&self) -> usize {
        self.lock().budget.used()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Accounts that were named as victims.
    fn find(&self, victims: &Victims) -> Vec<Arc<Account>> {
        let found = victims.iter().filter_map(|id| self.accounts.get(id));
        found.filter_map(Weak::upgrade).collect()
    }

    /// The account of a holder. It must not be dropped while the state is locked.
    fn account(&self, id: HolderId) -> Option<Arc<Account>> {
        self.accounts.get(&id)?.upgrade()
    }
}

/// What is held for one connection, link, or request of another host.
#[derive(Debug)]
pub(crate) struct Account {
    memory: Memory,
    id: HolderId,
    /// Why the account is to be closed, if it is.
    close_cause: Mutex<Option<reason::Close>>,
    closing: sync::Notify,
    /// Told when there may be room for the account, which waits for it.
    room: sync::Notify,
}

impl Account {
    /// Leases bytes before they are held. Waits a little if there is no room.
    pub(crate) async fn lease(self: &Arc<Self>, bytes: usize) -> Result<Held, NoRoom> {
        if !self.memory.is_bounded() {
            return Ok(Held {
                account: self.clone(),
                bytes: 0,
            });
        }
        match self.try_lease(bytes) {
            Some(result) => result,
            None => self.wait_for_room(bytes).await,
        }
    }

    async fn wait_for_room(self: &Arc<Self>, bytes: usize) -> Result<Held, NoRoom> {
        let end = clock::now() + ROOM_TIMEOUT;
        let result = loop {
            let told = tokio::time::timeout(ROOM_POLL_INTERVAL, self.room.notified());
            // Also asks if it is not told: there may be others to close by then.
            drop(told.await);
            match self.try_lease(bytes) {
                Some(result) => break result,
                None if clock::now() >= end => {
                    self.memory.lock().budget.stop_waiting(self.id);
                    break Err(NoRoom);
                }
                None => {}
            }
        };
        // The next one asks at once, and has others closed if it must.
        self.memory.tell(Budget::first_waiting);
        result
    }

    /// Leases bytes at once, or asks those who hold most to go.
    fn try_lease(self: &Arc<Self>, bytes: usize) -> Option<Result<Held, NoRoom>> {
        let (victims, room) = {
            let mut state = self.memory.lock();
            match state.budget.take(self.id, bytes, clock::now()) {
                Room::Short(victims) => (state.find(&victims), None),
                Room::Never => (Vec::new(), Some(Err(NoRoom))),
                Room::Taken => (
                    Vec::new(),
                    Some(Ok(Held {
                        account: self.clone(),
                        bytes,
                    })),
                ),
            }
        };
        for victim in victims {
            victim.close_for(reason::Close::MemoryShort);
        }
        room
    }

    /// Takes work beyond the share of a body or stream. Returns the time for which it has to wait.
    pub(super) fn take_work(&self, work: WorkUnits, now: time::Time) -> Duration {
        match self.memory.is_bounded() && work > WorkUnits::ZERO {
            true => self.memory.lock().allowance.take(work, now),
            false => Duration::ZERO,
        }
    }

    /// Makes room for this connection if there are too many. Returns false if there is none.
    pub(super) fn claim_connection(&self) -> bool {
        let mut state = self.memory.lock();
        match state.budget.close_for_connection(self.id, clock::now()) {
            None => true,
            Some(None) => false,
            Some(Some(victim)) => {
                let victims = state.find(&[victim].into_iter().collect());
                drop(state);
                for victim in victims {
                    victim.close_for(reason::Close::ConnectionLimit);
                }
                true
            }
        }
    }

    /// Records what the caller does from now on.
    pub(crate) fn set_activity(&self, activity: Activity, now: time::Time) {
        if self.memory.is_bounded() {
            self.memory
                .lock()
                .budget
                .set_activity(self.id, activity, now);
        }
    }

    /// Records bytes that the caller has sent or read.
    pub(crate) fn record_progress(&self, bytes: usize, now: time::Time) {
        if self.memory.is_bounded() {
            self.memory
                .lock()
                .budget
                .record_progress(self.id, bytes, now);
        }
    }

    /// Does not count the time before `now`, since the process was paused.
    pub(super) fn forgive(&self, now: time::Time) {
        if self.memory.is_bounded() {
            self.memory.lock().budget.forgive(self.id, now);
        }
    }

    /// Time for which the caller is behind [`LEAST_RATE`]. Zero if nothing is bounded.
    pub(super) fn behind(&self, now: time::Time) -> Duration {
        if !self.memory.is_bounded() {
            return Duration::ZERO;
        }
        let lag = self.memory.lock().budget.lag(self.id, now);
        lag.map_or(Duration::ZERO, |(_, behind)| behind)
    }

    /// Whether callers are held to [`LEAST_RATE`].
    pub(crate) fn is_bounded(&self) -> bool {
        self.memory.is_bounded()
    }

    /// Waits until the account is to be closed for others. Returns the cause.
    pub(crate) async fn closing(&self) -> reason::Close {
        loop {
            let cause = *self.lock_cause();
            match cause {
                Some(cause) => return cause,
                None => self.closing.notified().await,
            }
        }
    }

    fn close_for(&self, cause: reason::Close) {
        self.lock_cause().get_or_insert(cause);
        self.closing.notify_one();
    }

    fn lock_cause(&self) -> MutexGuard<'_, Option<reason::Close>> {
        self.close_cause
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.budget.remove(self.id);
        state.accounts.remove(&self.id);
        drop(state);
        self.memory.tell(Budget::first_with_room);
    }
}

/// A lease that grows with a buffer, and ends with it.
#[derive(Debug)]
pub(crate) struct GrowingLease {
    account: Arc<Account>,
    held: Option<Held>,
}

impl GrowingLease {
    /// Creates a lease on nothing.
    pub(crate) const fn new(account: Arc<Account>) -> Self {
        Self {
            account,
            held: None,
        }
    }

    /// Leases room before a buffer grows to a number of bytes.
    pub(crate) async fn reserve(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let held = self.held.as_ref().map_or(0, |held| held.bytes);
        if bytes > held {
            self.held = Some(self.account.lease(bytes.next_power_of_two()).await?);
        }
        Ok(())
    }

    /// Gives the room back, since the buffer is empty.
    pub(crate) fn clear(&mut self) {
        self.held = None;
    }
}

/// A lease on bytes. Gives them back when it is dropped.
#[derive(Debug)]
pub(crate) struct Held {
    account: Arc<Account>,
    bytes: usize,
}

impl Held {
    /// Binds the lease to the bytes that it is for.
    pub(super) fn bind<T>(self, data: T) -> Bytes
    where
        T: AsRef<[u8]> + Into<Bytes> + Send + 'static,
    {
        match self.bytes {
            0 => data.into(),
            _ => Bytes::from_owner(Leased { data, _held: self }),
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if self.bytes > 0 {
            let memory = &self.account.memory;
            memory.lock().budget.give_back(self.account.id, self.bytes);
            memory.tell(Budget::first_with_room);
        }
    }
}

/// Bytes with their lease.
struct Leased<T> {
    data: T,
    _held: Held,
}

impl<T> AsRef<[u8]> for Leased<T>
where
    T: AsRef<[u8]>,
{
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}
