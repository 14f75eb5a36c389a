//! Restarts, pauses, cuts and the views that follow them.

use pistachiochute_core::limits::SliceId;
use pistachiochute_core::{entity, entity::Entity as _};
use rand::Rng as _;

use super::{
    CRASHED, CUT_DOMAIN, CUT_S, DOMAINS, Event, HOSTS, LOSS, PAUSE_S, PAUSED, RESTART_PERIOD_S,
    SECOND, World,
};
use crate::lists::population;

impl World {
    pub(super) fn paused(now: u64, host: usize) -> bool {
        host == PAUSED && (PAUSE_S.0 * SECOND..PAUSE_S.1 * SECOND).contains(&now)
    }

    pub(super) fn is_cut(now: u64, host: usize) -> bool {
        let cut = (CUT_S.0 * SECOND..CUT_S.1 * SECOND).contains(&now);
        cut && host % DOMAINS == CUT_DOMAIN
    }

    /// Gives every host its view of the live hosts. A cut-off domain and the others do not see
    /// each other.
    pub(super) fn set_view(&mut self, now: u64) {
        let seen_by = |cut: bool| -> Vec<_> {
            let all = population::hosts(HOSTS, DOMAINS).into_iter();
            let live = all.filter(|(host, _)| {
                let i = host.index();
                let missing = !self.hosts[i].alive || Self::paused(now, i);
                !missing && Self::is_cut(now, i) == cut
            });
            live.collect()
        };
        let views = [seen_by(false), seen_by(true)];
        for i in 0..HOSTS {
            let side = usize::from(Self::is_cut(now, i));
            if self.hosts[i].alive && !Self::paused(now, i) {
                let time = self.clock(i, now);
                self.hosts[i].side = side;
                self.hosts[i].claims.set_hosts(time, views[side].clone());
            }
        }
        let domains: Vec<_> = (0..DOMAINS).map(entity::DomainId::from_index).collect();
        self.candidates = views.map(|view| {
            let candidate = |id: SliceId| Some((id, id.preferred_holder(&view, &domains)?));
            SliceId::all().filter_map(candidate).collect()
        });
    }

    /// Stops a host gracefully: it gives its slices up, and comes back as another process.
    pub(super) fn restart(&mut self, now: u64) {
        self.agenda
            .add(now + RESTART_PERIOD_S * SECOND, Event::Restart);
        let host = self.rng.random_range(0..HOSTS);
        if [CRASHED, PAUSED].contains(&host) || Self::is_cut(now, host) {
            return;
        }
        let effects = self.hosts[host].claims.drain();
        self.claim(now, host, effects);
        self.agenda.add(now + SECOND, Event::Stop(host));
    }

    /// Delay of a message, or `None` if it is lost.
    pub(super) fn delay(&mut self, now: u64, from: usize, to: usize) -> Option<u64> {
        if Self::is_cut(now, from) != Self::is_cut(now, to) {
            return None;
        }
        if from % DOMAINS == to % DOMAINS {
            return Some(self.rng.random_range(200..1_500));
        }
        let lost = self.rng.random_bool(LOSS);
        (!lost).then(|| self.rng.random_range(4_000..9_000))
    }

    pub(super) fn store_delay(&mut self) -> u64 {
        self.rng.random_range(1_000..6_000)
    }
}
