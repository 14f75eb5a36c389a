//! Fault injection: restarts, the pause, the partition and message loss, and the views of the live
//! hosts that result.

use pistachiochute_core::limits::SliceId;
use pistachiochute_core::{entity, entity::Entity as _};
use rand::Rng as _;

use super::{
    CRASHED_HOST, DOMAINS, Event, HOSTS, LOSS_PROBABILITY, MICROS_PER_S, PARTITION_S,
    PARTITIONED_DOMAIN, PAUSE_S, PAUSED_HOST, RESTART_PERIOD_S, Simulation,
};
use crate::lists::population;

impl Simulation {
    pub(super) fn is_paused(now: u64, host: usize) -> bool {
        host == PAUSED_HOST && (PAUSE_S.0 * MICROS_PER_S..PAUSE_S.1 * MICROS_PER_S).contains(&now)
    }

    pub(super) fn is_partitioned(now: u64, host: usize) -> bool {
        let partitioned =
            (PARTITION_S.0 * MICROS_PER_S..PARTITION_S.1 * MICROS_PER_S).contains(&now);
        partitioned && host % DOMAINS == PARTITIONED_DOMAIN
    }

    /// Updates every host's view of the live hosts. The partitioned domain and the other domains do
    /// not see each other.
    pub(super) fn update_views(&mut self, now: u64) {
        let seen_by = |partitioned: bool| -> Vec<_> {
            let all = population::hosts(HOSTS, DOMAINS).into_iter();
            let live = all.filter(|(host, _)| {
                let i = host.index();
                let missing = !self.hosts[i].alive || Self::is_paused(now, i);
                !missing && Self::is_partitioned(now, i) == partitioned
            });
            live.collect()
        };
        let views = [seen_by(false), seen_by(true)];
        for i in 0..HOSTS {
            let side = usize::from(Self::is_partitioned(now, i));
            if self.hosts[i].alive && !Self::is_paused(now, i) {
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

    /// Restarts a random host gracefully: it releases its slices, stops after a second and comes
    /// back as a new process.
    pub(super) fn restart(&mut self, now: u64) {
        self.events
            .schedule(now + RESTART_PERIOD_S * MICROS_PER_S, Event::Restart);
        let host = self.rng.random_range(0..HOSTS);
        if [CRASHED_HOST, PAUSED_HOST].contains(&host) || Self::is_partitioned(now, host) {
            return;
        }
        let effects = self.hosts[host].claims.drain();
        self.run_claim_effects(now, host, effects);
        self.events.schedule(now + MICROS_PER_S, Event::Stop(host));
    }

    /// Draws the delay of a message in microseconds. Returns `None` if the message is lost.
    pub(super) fn message_delay(&mut self, now: u64, from: usize, to: usize) -> Option<u64> {
        if Self::is_partitioned(now, from) != Self::is_partitioned(now, to) {
            return None;
        }
        if from % DOMAINS == to % DOMAINS {
            return Some(self.rng.random_range(200..1_500));
        }
        let lost = self.rng.random_bool(LOSS_PROBABILITY);
        (!lost).then(|| self.rng.random_range(4_000..9_000))
    }

    pub(super) fn store_delay(&mut self) -> u64 {
        self.rng.random_range(1_000..6_000)
    }
}
