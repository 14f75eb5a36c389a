//! Begins and ends the faults of the schedule.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use pistachiochute_standins::platform::endpoint::Behaviour;
use pistachiochute_standins::platform::store::{Copy, Mode};
use pistachiochute_standins::relay::Relay;
use rustix::process::Signal;

use super::{
    COPY_INTERVAL, CUT_OFF_HOST, Ending, FAULTY_ENDPOINTS, GOOD, MAX_COPIES, Served, World,
};
use crate::checks::{Disturbance, Disturbed, EVENTS, RESTART};
use crate::foreign::ForeignEntry;
use crate::process::Host;
use crate::schedule::{EntryOfLeaving, Fault};

/// Pause between the two signals of a stop.
const SIGNAL_PAUSE: Duration = Duration::from_millis(50);

impl World {
    pub(super) fn disturb(&mut self, host: usize, span: Duration, kind: Disturbance) {
        let from = Instant::now();
        self.seen.disturbed.push(Disturbed {
            host,
            from,
            until: from + span,
            kind,
        });
    }

    /// Begins a fault. Returns what ends it and when, if it lasts.
    pub(super) fn begin(&mut self, fault: Fault) -> eyre::Result<Option<(Duration, Ending)>> {
        let lasting = |span: Duration, ending: Ending| Ok(Some((span, ending)));
        match fault {
            // A host that was killed and is not started yet cannot be stopped.
            Fault::Stop { host } if !self.hosts[host].is_running() => Ok(None),
            Fault::Stop { host } => {
                let stop = self.hosts[host].stop;
                self.disturb(host, stop + RESTART, Disturbance::PlannedStop);
                // Whoever stops processes may ask again.
                self.hosts[host].signal(Signal::TERM)?;
                std::thread::sleep(SIGNAL_PAUSE);
                self.hosts[host].signal(Signal::TERM)?;
                let span = stop + Duration::from_millis(200);
                lasting(span, Box::new(move |world| world.stopped(host)))
            }
            Fault::Kill { host, down } => {
                self.disturb(host, down + Duration::from_secs(1), Disturbance::Process);
                self.hosts[host].kill()?;
                lasting(down, Box::new(move |world| world.hosts[host].spawn()))
            }
            Fault::Pause { host, span } => {
                self.disturb(host, span, Disturbance::Process);
                self.hosts[host].signal(Signal::STOP)?;
                lasting(span, Box::new(move |w| w.hosts[host].signal(Signal::CONT)))
            }
            Fault::Reload { host } => {
                self.hosts[host].signal(Signal::HUP)?;
                Ok(None)
            }
            other => self.begin_at_store(other),
        }
    }

    /// Ends all hosts at once and starts them again: none can learn from another what it does not read.
    pub(super) fn restart_all(&mut self) -> eyre::Result<()> {
        for host in 0..self.hosts.len() {
            self.disturb(host, Duration::from_secs(1), Disturbance::Process);
            self.hosts[host].kill()?;
        }
        self.hosts.iter_mut().try_for_each(Host::spawn)
    }

    /// Begins a fault of the store, or of the way to it.
    fn begin_at_store(&mut self, fault: Fault) -> eyre::Result<Option<(Duration, Ending)>> {
        let lasting = |span: Duration, ending: Ending| Ok(Some((span, ending)));
        match fault {
            Fault::StoreRefuses { host, span } => Ok(self.shut(host, Mode::Unavailable, span)),
            Fault::StoreSilent { host, span } => Ok(self.shut(host, Mode::Unresponsive, span)),
            Fault::StoreLosesAnswers { host, span } => {
                Ok(self.shut(host, Mode::LosingAnswers, span))
            }
            Fault::StoreDown { span } => {
                self.is_store_away.store(true, Ordering::Relaxed);
                for host in 0..self.store_listeners.len() {
                    self.shut(host, Mode::Unavailable, span);
                }
                let open = |world: &mut Self| {
                    world.is_store_away.store(false, Ordering::Relaxed);
                    world
                        .store_listeners
                        .iter()
                        .for_each(|store_listener| store_listener.set_mode(Mode::Serving));
                    Ok(())
                };
                lasting(span, Box::new(open))
            }
            Fault::HostCutOff { span } => {
                self.shut(CUT_OFF_HOST, Mode::Unresponsive, span);
                self.link_relays.iter().for_each(Relay::partition);
                let heal = |world: &mut Self| {
                    world.store_listeners[CUT_OFF_HOST].set_mode(Mode::Serving);
                    world.link_relays.iter().for_each(Relay::heal);
                    Ok(())
                };
                lasting(span, Box::new(heal))
            }
            Fault::StoreForgets => {
                self.store.compact_history();
                Ok(None)
            }
            Fault::StoreRestored {
                age,
                away,
                written_after,
            } => Ok(self.begin_restore(age, away, written_after)),
            Fault::ForeignEntry(entry) => Ok(self.leave_foreign(entry)),
            Fault::StoreReset { host } => {
                self.disturb(host, Duration::ZERO, Disturbance::Store);
                self.store_relays[host].reset_connections();
                Ok(None)
            }
            Fault::StoreConnectionsSilent { host, one_way } => {
                // The host finds out by a timeout of its own.
                self.disturb(host, Duration::from_secs(12), Disturbance::Store);
                silence(&self.store_relays[host], one_way);
                Ok(None)
            }
            Fault::StoreDelayed { host, span } => {
                self.disturb(host, span, Disturbance::Store);
                self.store_relays[host].delay(Duration::from_millis(150));
                let ending = move |world: &mut Self| {
                    world.store_relays[host].delay(Duration::ZERO);
                    Ok(())
                };
                lasting(span, Box::new(ending))
            }
            other => self.begin_at_endpoint(other),
        }
    }

    /// Takes the store away. Returns what brings it back from a copy, if there is one.
    fn begin_restore(
        &mut self,
        age: Duration,
        away: Duration,
        written_after: Duration,
    ) -> Option<(Duration, Ending)> {
        let copy = self.copy_of(age)?;
        self.is_store_away.store(true, Ordering::Relaxed);
        for host in 0..self.store_listeners.len() {
            self.shut(host, Mode::Unavailable, away + written_after);
        }
        let come_back = move |world: &mut Self| {
            let lost = world.store.restore(&copy);
            world.copies.clear();
            let store = world.store.clone();
            std::thread::spawn(move || {
                std::thread::sleep(written_after);
                store.write_again(lost);
            });
            world.is_store_away.store(false, Ordering::Relaxed);
            for listener in &world.store_listeners {
                listener.set_mode(Mode::Serving);
            }
            Ok(())
        };
        Some((away, Box::new(come_back)))
    }

    /// The newest copy of the store that is at least so old, or the oldest one.
    fn copy_of(&self, age: Duration) -> Option<Copy> {
        let is_old = |(at, _): &&(Instant, Copy)| at.elapsed() >= age;
        let old = self.copies.iter().rev().find(is_old);
        old.or(self.copies.front()).map(|(_, copy)| copy.clone())
    }

    /// Copies the store now and then, for restores.
    pub(super) fn keep_copy(&mut self) {
        let last = self.copies.back();
        if last.is_some_and(|(at, _)| at.elapsed() < COPY_INTERVAL) {
            return;
        }
        if self.copies.len() >= MAX_COPIES {
            self.copies.pop_front();
        }
        self.copies.push_back((Instant::now(), self.store.copy()));
    }

    /// Leaves an entry of another writer in the store. Returns what removes it, if it does not stay.
    fn leave_foreign(&self, entry: ForeignEntry) -> Option<(Duration, Ending)> {
        entry.put(&self.store);
        let ending: Ending = Box::new(move |world: &mut Self| {
            entry.remove(&world.store);
            Ok(())
        });
        Some((entry.stays()?, ending))
    }

    pub(super) fn begin_at_endpoint(
        &mut self,
        fault: Fault,
    ) -> eyre::Result<Option<(Duration, Ending)>> {
        match fault {
            Fault::EndpointReset { endpoint } => {
                self.served[endpoint]
                    .relays
                    .iter()
                    .for_each(Relay::reset_connections);
            }
            Fault::EndpointSilent { endpoint, one_way } => {
                let relays = &self.served[endpoint].relays;
                relays.iter().for_each(|relay| silence(relay, one_way));
            }
            Fault::EndpointCut { endpoint, span } => {
                self.served[endpoint]
                    .relays
                    .iter()
                    .for_each(Relay::partition);
                let heal = move |world: &mut Self| {
                    world.served[endpoint].relays.iter().for_each(Relay::heal);
                    Ok(())
                };
                return Ok(Some((span, Box::new(heal))));
            }
            Fault::EndpointBad {
                endpoint,
                kind,
                span,
            } => {
                let (calls, streams) = bad(kind);
                self.served[endpoint].set(calls, streams);
                let heal = move |world: &mut Self| {
                    world.served[endpoint].set(Behaviour::Answer { status: 200 }, GOOD);
                    Ok(())
                };
                return Ok(Some((span, Box::new(heal))));
            }
            Fault::EndpointReplaced { endpoint } => self.replace(endpoint)?,
            Fault::EndpointPauses { endpoint, span } => {
                for endpoint in self.served[endpoint].both() {
                    endpoint.fall_silent(span);
                }
            }
            Fault::EndpointPushesBack {
                endpoint,
                rest,
                span,
            } => {
                self.served[endpoint].push_back(rest);
                let name = self.served[endpoint].calls.id().to_owned();
                let ending = move |world: &mut Self| {
                    world.end_pushback(&name);
                    Ok(())
                };
                return Ok(Some((span, Box::new(ending))));
            }
            Fault::EndpointSaysLeaving {
                endpoint,
                bad_kind,
                entry,
                lead,
            } => {
                let ending = self.say_leaving(endpoint, bad_kind, entry)?;
                return Ok(Some((lead, ending)));
            }
            other => self.change_configuration(other),
        }
        Ok(None)
    }

    /// Lets an endpoint serve again that asked for rest, wherever it is now.
    fn end_pushback(&self, calls: &str) {
        let mut all = self.served.iter().chain(&self.gone);
        if let Some(served) = all.find(|served| served.calls.id() == calls) {
            served.set(Behaviour::Answer { status: 200 }, GOOD);
        }
    }

    /// Lets an endpoint say in its answers that it leaves, and another one take its place. Returns what
    /// changes its entry.
    fn say_leaving(
        &mut self,
        endpoint: usize,
        bad_kind: Option<u8>,
        entry: EntryOfLeaving,
    ) -> eyre::Result<Ending> {
        let name = format!("i-{endpoint}-{}", self.gone.len());
        let mut next = Served::start(&name)?;
        next.register(&self.store, "ready");
        let old = std::mem::replace(&mut self.served[endpoint], next);
        if let Some(kind) = bad_kind {
            let (calls, streams) = bad(kind);
            old.set(calls, streams);
        }
        for endpoint in old.both() {
            endpoint.set_leave_notice(Some("1"));
            let name = endpoint.id().to_owned();
            self.seen.noticed.insert(name, Instant::now());
        }
        let place = self.gone.len();
        self.gone.push(old);
        Ok(Box::new(move |world: &mut Self| {
            let old = &mut world.gone[place];
            match entry {
                EntryOfLeaving::Draining => old.register(&world.store, "draining"),
                EntryOfLeaving::Removed => old.deregister(&world.store),
                EntryOfLeaving::Ready => old.register(&world.store, "ready"),
            }
            Ok(())
        }))
    }

    fn change_configuration(&mut self, fault: Fault) {
        let next = &mut self.configuration;
        match fault {
            Fault::RouteAdded => next.added_routes += 1,
            Fault::ManyRoutes => next.toggle_size(),
            Fault::LimitsChanged { idle_timeout_ms } => next.idle_timeout_ms = idle_timeout_ms,
            _ => return self.change_key(),
        }
        self.configure();
    }

    /// Lets an endpoint leave, and another one take its place.
    pub(super) fn replace(&mut self, endpoint: usize) -> eyre::Result<()> {
        let name = format!("i-{endpoint}-{}", self.gone.len());
        let mut next = Served::start(&name)?;
        next.register(&self.store, "ready");
        let is_steady = endpoint >= FAULTY_ENDPOINTS;
        let mut old = std::mem::replace(&mut self.served[endpoint], next);
        old.register(&self.store, "draining");
        old.set(Behaviour::Answer { status: 200 }, GOOD);
        for endpoint in old.both() {
            let name = endpoint.id().to_owned();
            self.seen.left.insert(name, Instant::now());
        }
        if is_steady {
            let names = self.served[endpoint].both().map(|e| e.id().to_owned());
            self.seen.steady.extend(names);
        }
        self.gone.push(old);
        Ok(())
    }

    /// Takes the key of all callers away and gives them another.
    pub(super) fn change_key(&mut self) {
        let old = self.callers.key.fetch_add(1, Ordering::Relaxed);
        self.configure();
        self.seen.revoked.insert(old, Instant::now());
    }

    pub(super) fn shut(
        &mut self,
        host: usize,
        mode: Mode,
        span: Duration,
    ) -> Option<(Duration, Ending)> {
        self.disturb(host, span, Disturbance::Store);
        self.store_listeners[host].set_mode(mode);
        let open = move |world: &mut Self| {
            world.store_listeners[host].set_mode(Mode::Serving);
            Ok(())
        };
        Some((span, Box::new(open)))
    }

    /// Ends a planned stop.
    pub(super) fn stopped(&mut self, host: usize) -> eyre::Result<()> {
        let was_running = self.hosts[host].is_running();
        match self.hosts[host].wait_stopped()? {
            Some(_) => {}
            None if was_running => {
                let name = &self.hosts[host].name;
                self.seen
                    .found
                    .push(format!("{name} did not end a planned stop"));
            }
            None => {}
        }
        self.hosts[host].spawn()
    }
}

/// Bad behaviours of calls and streams.
fn bad(kind: u8) -> (Behaviour, Behaviour) {
    let cut = Behaviour::Stream {
        events: EVENTS,
        pause: Duration::from_millis(8),
        cut_at: Some(u64::from(kind % 6) * 4),
    };
    match kind {
        0 => (Behaviour::Refuse, Behaviour::Refuse),
        1 => (Behaviour::CloseWithoutAnswer, cut),
        2 => (Behaviour::Hang, Behaviour::Hang),
        3 => (Behaviour::WrongRequestId, cut),
        4 => (Behaviour::Unsealed, Behaviour::CloseWithoutAnswer),
        // The endpoint runs what it then answers as if it had not.
        5 => (Behaviour::Answer { status: 503 }, cut),
        6 => (
            Behaviour::Answer { status: 429 },
            Behaviour::Answer { status: 429 },
        ),
        7 => (
            Behaviour::Answer { status: 408 },
            Behaviour::Answer { status: 421 },
        ),
        _ => (
            Behaviour::Answer { status: 421 },
            Behaviour::Answer { status: 503 },
        ),
    }
}

fn silence(relay: &Relay, one_way: bool) {
    match one_way {
        true => relay.blackhole_answers(),
        false => relay.blackhole(),
    }
}

/// Host of a fault that ends with a process that is stopped on purpose.
pub(super) const fn stopping(fault: Fault) -> Option<usize> {
    match fault {
        Fault::Stop { host } => Some(host),
        _ => None,
    }
}

/// Host whose process a fault stops or holds up.
pub(super) const fn host_of(fault: Fault) -> Option<usize> {
    match fault {
        Fault::Stop { host } | Fault::Kill { host, .. } | Fault::Pause { host, .. } => Some(host),
        _ => None,
    }
}
