//! Budget of memory for what callers make a host hold, and who goes when it runs short.
//!
//! A [`Holder`] is a connection of a caller, a link of another host, or something that came on one. What is taken for it is leased before
//! the bytes are held. If there is no room, [`Budget::take`] names the holders to close: those whose
//! bytes x [time behind](Progress) is largest. Holders that wait for an endpoint are not named.
//!
//! Invariant: the sum of what is taken never exceeds [`Limits::bytes`].

mod progress;

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;

use crate::time;

pub use progress::{Progress, Rate};

/// Time for which a holder must be behind before it is closed to make room for others.
const MIN_BEHIND: Duration = Duration::from_millis(500);

/// Time for which a new connection may be silent before it is closed for those that have sent something.
const MIN_SILENT: Duration = Duration::from_millis(100);

/// Time after a fruitless search for holders to close in which there is no other.
const SEARCH_INTERVAL: Duration = Duration::from_millis(50);

/// Bounds on what a host holds for its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes held for all callers.
    pub bytes: usize,
    /// Connections of callers.
    pub connections: usize,
}

impl Limits {
    /// No bound.
    pub const NONE: Self = Self {
        bytes: usize::MAX,
        connections: usize::MAX,
    };

    /// Descriptors that are kept for files.
    const FILE_DESCRIPTORS: usize = 200;

    /// Smallest budget, in bytes: a request of the largest usual size, and the buffers of some
    /// connections.
    const MIN_BYTES: usize = 16 << 20;

    /// Smallest number of connections.
    const MIN_CONNECTIONS: usize = 32;

    /// Limits of a machine. Half of its memory is left for the host itself; of the descriptors,
    /// nearly half are left for endpoints and other hosts.
    #[must_use]
    pub fn of_machine(memory_bytes: usize, descriptors: usize) -> Self {
        let sockets = descriptors.saturating_sub(Self::FILE_DESCRIPTORS);
        Self {
            bytes: (memory_bytes / 2).max(Self::MIN_BYTES),
            connections: (sockets.saturating_mul(55) / 100).max(Self::MIN_CONNECTIONS),
        }
    }
}

/// Number of a holder within its budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

/// What a holder is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// A connection of a caller, which counts against [`Limits::connections`].
    Caller,
    /// A link of another host, or something that came on one.
    Link,
}

/// What a holder does, which decides whether it may be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Neither a request nor an answer is under way.
    Idle,
    /// It sends a head or a body.
    Sending,
    /// Its request is complete, and the answer has not begun. It is never closed for others.
    Waiting,
    /// It reads an answer.
    Reading,
}

/// State of one holder.
#[derive(Clone, Copy, Debug)]
struct Holder {
    kind: Kind,
    held: usize,
    /// Bytes that it has asked for and waits for, or 0.
    wanted: usize,
    activity: Activity,
    /// Whether it has done nothing yet.
    is_silent: bool,
    progress: Progress,
    /// Whether it is about to be closed. What it holds will be given back.
    is_closing: bool,
}

impl Holder {
    /// What it would hold with what it waits for.
    const fn total(&self) -> usize {
        self.held + self.wanted
    }

    /// Bytes x seconds behind, or `None` if the holder may not be closed.
    fn debt(&self, now: time::Time) -> Option<u128> {
        let behind = self.progress.behind(now);
        let may_close =
            !self.is_closing && self.activity != Activity::Waiting && behind >= MIN_BEHIND;
        may_close.then(|| self.held as u128 * behind.as_micros())
    }
}

/// Holders to close, worst first.
pub type Victims = SmallVec<[HolderId; 4]>;

/// Result of asking for room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Room {
    /// The bytes are taken.
    Taken,
    /// There is no room now. These holders are to be closed; the asker may ask again once they, or
    /// others that were named before, have given back what they hold.
    Short(Victims),
    /// It can never be had: it exceeds the whole budget.
    Never,
}

/// Budget of one host.
#[derive(Clone, Debug)]
pub struct Budget {
    limits: Limits,
    /// Invariant: the sum of `held` over all holders, and at most `limits.bytes`.
    used: usize,
    next: u64,
    holders: BTreeMap<HolderId, Holder>,
    /// Holders that wait for bytes, in the order in which they get room, with what they want.
    /// Invariant: those whose `wanted` is not 0, by [`Holder::total`].
    waiting: BTreeMap<(usize, HolderId), usize>,
    /// When no holder could be closed. They are not looked through again for some time.
    fruitless_at: Option<time::Time>,
}

impl Budget {
    /// Creates a budget of which nothing is taken.
    #[must_use]
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            used: 0,
            next: 0,
            holders: BTreeMap::new(),
            waiting: BTreeMap::new(),
            fruitless_at: None,
        }
    }

    /// Limits of the budget.
    #[must_use]
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Bytes that are taken.
    #[must_use]
    pub const fn used(&self) -> usize {
        self.used
    }

    /// Number of holders.
    #[must_use]
    pub fn holders(&self) -> usize {
        self.holders.len()
    }

    /// Adds a connection of a caller, which holds nothing yet.
    pub fn add(&mut self, rate: Rate, now: time::Time) -> HolderId {
        self.add_kind(Kind::Caller, rate, now)
    }

    /// Adds a link of another host, or something that came on one. It holds nothing yet.
    pub fn add_on_link(&mut self, rate: Rate, now: time::Time) -> HolderId {
        self.add_kind(Kind::Link, rate, now)
    }

    fn add_kind(&mut self, kind: Kind, rate: Rate, now: time::Time) -> HolderId {
        let id = HolderId(self.next);
        self.next += 1;
        let holder = Holder {
            kind,
            held: 0,
            wanted: 0,
            activity: Activity::Idle,
            is_silent: true,
            progress: Progress::new(rate, now),
            is_closing: false,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Removes a holder, and gives back what it still holds.
    pub fn remove(&mut self, id: HolderId) {
        self.set_wanted(id, 0);
        if let Some(holder) = self.holders.remove(&id) {
            self.used -= holder.held;
        }
    }

    /// Asks for bytes for a holder. Room is given first to those that would hold least with it, so that
    /// one that needs little is not kept waiting by a crowd that asks for more and more.
    pub fn take(&mut self, id: HolderId, bytes: usize, now: time::Time) -> Room {
        self.set_wanted(id, 0);
        if bytes > self.limits.bytes {
            return Room::Never;
        }
        let free = self.limits.bytes - self.used;
        let before = self.wanted_before(id, bytes);
        if bytes + before <= free {
            if let Some(holder) = self.holders.get_mut(&id) {
                holder.held += bytes;
                self.used += bytes;
            }
            return Room::Taken;
        }
        self.set_wanted(id, bytes);
        // Those that come before it ask for themselves. For a new connection, silent holders go for all of
        // them at once.
        let own = bytes.saturating_sub(free);
        let all = match self.is_silent(id) {
            true => (bytes + before).saturating_sub(free),
            false => own,
        };
        Room::Short(self.close_for(own, all, id, now))
    }

    /// The holder that gets room first among those that wait, if any does.
    #[must_use]
    pub fn first_waiting(&self) -> Option<HolderId> {
        let first = self.waiting.first_key_value();
        first.map(|((_, id), _)| *id)
    }

    /// The first holder that waits, if there is room for it now.
    #[must_use]
    pub fn first_with_room(&self) -> Option<HolderId> {
        let ((_, id), wanted) = self.waiting.first_key_value()?;
        let free = self.limits.bytes - self.used;
        (*wanted <= free).then_some(*id)
    }

    /// Ends the wait of a holder for the bytes that it has asked for.
    pub fn stop_waiting(&mut self, id: HolderId) {
        self.set_wanted(id, 0);
    }

    fn set_wanted(&mut self, id: HolderId, bytes: usize) {
        self.change(id, |holder| holder.wanted = bytes);
    }

    /// Changes what a holder holds or wants, and its place among those that wait.
    fn change<F>(&mut self, id: HolderId, change: F)
    where
        F: FnOnce(&mut Holder),
    {
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        if holder.wanted > 0 {
            self.waiting.remove(&(holder.total(), id));
        }
        change(holder);
        if holder.wanted > 0 {
            self.waiting.insert((holder.total(), id), holder.wanted);
        }
    }

    /// Bytes that others wait for which come before a holder that asks for `bytes`.
    fn wanted_before(&self, asker: HolderId, bytes: usize) -> usize {
        let held = self.holders.get(&asker).map_or(0, |holder| holder.held);
        let before = self.waiting.range(..(held + bytes, asker));
        before.map(|(_, wanted)| wanted).sum()
    }

    /// Gives back bytes of a holder. What it no longer holds is not given back twice.
    pub fn give_back(&mut self, id: HolderId, bytes: usize) {
        let mut given = 0;
        self.change(id, |holder| {
            given = bytes.min(holder.held);
            holder.held -= given;
        });
        self.used -= given;
    }

    /// Holder to close because there are more connections than the limit allows: `Some(None)` if none
    /// may be closed for the newest one.
    pub fn close_for_connection(
        &mut self,
        newest: HolderId,
        now: time::Time,
    ) -> Option<Option<HolderId>> {
        if self.holders.len() <= self.limits.connections {
            return None;
        }
        let callers = self.holders.values().filter(|h| h.kind == Kind::Caller);
        let open = callers.filter(|h| !h.is_closing).count();
        if open <= self.limits.connections {
            return None;
        }
        let worst = self.worst(newest, now, |holder| holder.kind == Kind::Caller);
        if let Some(id) = worst {
            self.mark_closing(id);
        }
        Some(worst)
    }

    /// Records what a holder does from now on. Its progress begins anew.
    pub fn set_activity(&mut self, id: HolderId, activity: Activity, now: time::Time) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.activity = activity;
            holder.is_silent = false;
            holder.progress.restart(now);
        }
    }

    /// Records bytes that a holder has sent or read.
    pub fn record_progress(&mut self, id: HolderId, bytes: usize, now: time::Time) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.progress.record(bytes, now);
        }
    }

    /// Does not count the time before `now` for a holder, since the process was paused.
    pub fn forgive(&mut self, id: HolderId, now: time::Time) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.progress.restart(now);
        }
    }

    /// What a holder does, and the time for which it is behind.
    #[must_use]
    pub fn lag(&self, id: HolderId, now: time::Time) -> Option<(Activity, Duration)> {
        let holder = self.holders.get(&id)?;
        Some((holder.activity, holder.progress.behind(now)))
    }

    /// Marks the worst holders as closing until they and those marked before free what the asker is short
    /// of, `own` bytes, and silent ones until they free `all` that it and those before it are short of.
    fn close_for(&mut self, own: usize, all: usize, asker: HolderId, now: time::Time) -> Victims {
        let closing = self.holders.values().filter(|h| h.is_closing);
        let mut expected: usize = closing.map(|h| h.held).sum();
        let mut victims = Victims::new();
        let looked_at = self.fruitless_at;
        if looked_at.is_some_and(|at| now.since(at) < SEARCH_INTERVAL) {
            return victims;
        }
        let may_go = |holder: &Holder| holder.held > 0;
        while expected < all {
            let found = match expected < own {
                true => self.worst(asker, now, may_go),
                false => self.oldest_silent(asker, now, may_go),
            };
            let Some(id) = found else {
                if expected < own {
                    self.fruitless_at = Some(now);
                }
                break;
            };
            expected += self.holders[&id].held;
            self.mark_closing(id);
            victims.push(id);
        }
        victims
    }

    /// The holder with the largest debt among those that may go, other than the asker.
    fn worst<F>(&self, asker: HolderId, now: time::Time, may_go: F) -> Option<HolderId>
    where
        F: Fn(&Holder) -> bool,
    {
        let others = self.holders.iter();
        let others = others.filter(|(id, holder)| **id != asker && may_go(holder));
        let debts = others.filter_map(|(id, holder)| Some((holder.debt(now)?, *id)));
        let most = debts.max().map(|(_, id)| id);
        most.or_else(|| self.oldest_silent(asker, now, may_go))
    }

    /// The oldest holder that has done nothing yet. In a crowd that comes at once, nobody is behind for
    /// long, and a sound caller sends its request before the crowd has come after it.
    fn oldest_silent<F>(&self, asker: HolderId, now: time::Time, may_go: F) -> Option<HolderId>
    where
        F: Fn(&Holder) -> bool,
    {
        let least = match self.is_silent(asker) {
            true => Duration::ZERO,
            false => MIN_SILENT,
        };
        let is_silent = |holder: &Holder| {
            holder.is_silent && !holder.is_closing && holder.progress.behind(now) >= least
        };
        let mut others = self.holders.iter();
        let found =
            others.find(|(id, holder)| **id != asker && is_silent(holder) && may_go(holder));
        found.map(|(id, _)| *id)
    }

    fn is_silent(&self, id: HolderId) -> bool {
        self.holders.get(&id).is_some_and(|h| h.is_silent)
    }

    fn mark_closing(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_closing = true;
        }
    }
}
