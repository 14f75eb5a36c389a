//! Control state of the host and dispatch of commands.

use std::collections::HashMap;
use std::sync::Arc;

use crossbeam::channel;
use pistachiochute_core::{
    entity, health, lists, membership, name, owner, queue, reason, request, retry, revision,
    routing, time, topology,
};

use crate::control::command::Command;
use crate::control::{OfferDecision, Status};
use crate::lists::sync;
use crate::{clock, control, link, metrics, settings};

/// Control state of the host. Only the control thread accesses it.
pub struct State {
    pub(super) settings: Arc<settings::Settings>,
    pub(super) metrics: metrics::Metrics,
    pub(super) log: slog::Logger,
    pub(super) directory: routing::candidates::Directory,
    pub(super) owner: owner::Owner,
    pub(super) health: health::Health,
    /// Endpoints that this host is taking over from former owners.
    pub(super) handovers: routing::handover::Handovers,
    pub(super) report_pacer: routing::pacer::ReportPacer,
    /// Time of the next load report, if one is scheduled.
    pub(super) report_at: Option<time::Time>,
    /// Whether the last load report announced that every further change is reported at once.
    pub(super) pushes_changes: bool,
    /// Offered work that has not been refused or finished.
    pub(super) offers: HashMap<owner::AttemptId, OfferedWork>,
    pub(super) revision: revision::Revision,
    pub(super) lists: Option<Arc<lists::Lists>>,
    /// Accounts by the digests of their API keys. Rebuilt whenever lists are applied.
    pub(super) accounts: HashMap<lists::KeyDigest, name::AccountName>,
    /// Callers' requests in progress, with their accounts.
    pub(super) in_progress: HashMap<request::RequestId, name::AccountName>,
    pub(super) draining: bool,
    budget: retry::Budget,
    pub(super) membership: membership::Membership,
    /// Handle of this thread, through which answers of other hosts are delivered.
    pub(super) handle: control::Handle,
    /// Links to other hosts, once they are started.
    pub(super) links: Option<link::Sender>,
    /// Replica of the lists, started with the first host list.
    pub(super) replica: Option<lists::replica::Replica>,
    /// Channel to the thread that calls the store, once that thread is started.
    pub(super) store: Option<sync::StoreSender>,
    /// Models and services that endpoints serve, set by the first host list.
    pub(super) served_targets: Option<lists::verify::ServedTargets>,
}

/// Offered work that has not been refused or finished.
pub(super) struct OfferedWork {
    pub endpoint: entity::EndpointId,
    /// Whether the work is in the endpoint's queue.
    pub queued: bool,
    pub tx: channel::Sender<OfferDecision>,
}

impl State {
    pub fn new(
        handle: control::Handle,
        settings: Arc<settings::Settings>,
        metrics: metrics::Metrics,
        log: slog::Logger,
    ) -> Self {
        let queue = queue::Bounds {
            entries: settings.routing.max_queue as usize,
            ..queue::Bounds::default()
        };
        let cfg = owner::Config {
            bound: routing::bound::Settings {
                multiple: routing::bound::Multiple::from_ratio(settings.routing.load_multiple)
                    .unwrap_or_default(),
                ..routing::bound::Settings::default()
            },
            queue,
        };
        let spread = match settings.routing.always_local {
            true => routing::candidates::Spread::Local,
            false => routing::candidates::Spread::Region,
        };
        let directory = routing::candidates::Directory::new(&topology::HostList::default(), spread);
        let budget = retry::Budget::new(retry::BudgetConfig {
            per_request_thousandths: (settings.retry.budget_ratio * 1000.0) as u64,
            ..retry::BudgetConfig::default()
        });
        let membership = membership::Membership::new(
            membership::Config::default(),
            settings.host.id,
            settings.host.domain,
        );
        Self {
            membership,
            handle,
            links: None,
            replica: None,
            store: None,
            served_targets: None,
            settings,
            metrics,
            log,
            directory,
            owner: owner::Owner::new(cfg),
            health: health::Health::new(health::Settings::default(), clock::now()),
            handovers: routing::handover::Handovers::default(),
            report_pacer: routing::pacer::ReportPacer::new(routing::pacer::Settings::default()),
            report_at: None,
            pushes_changes: false,
            offers: HashMap::new(),
            revision: revision::Revision::NONE,
            lists: None,
            accounts: HashMap::new(),
            in_progress: HashMap::new(),
            draining: false,
            budget,
        }
    }

    pub fn apply(&mut self, now: time::Time, command: Command) {
        match command {
            Command::Admit { request, call, tx } => {
                let admitted = self.admit(now, request, &call);
                let _ = tx.send(admitted);
            }
            Command::Models { key_digest, tx } => {
                let _ = tx.send(self.models(&key_digest));
            }
            Command::EndRequest(request) => {
                self.in_progress.remove(&request);
            }
            Command::NewRetryState {
                request,
                idempotency,
                deadline,
                tx,
            } => {
                let _ = tx.send(self.new_retry_state(request, idempotency, deadline));
            }
            Command::RecordFailure {
                mut retries,
                failure,
                tx,
            } => {
                let decision = retries.record_failure(now, failure, &mut self.budget);
                let _ = tx.send((*retries, decision));
            }
            Command::Locate { endpoint, tx } => {
                let _ = tx.send(self.candidate(endpoint));
            }
            Command::Offer { head, tx } => self.offer(now, &head, tx),
            Command::Finish { endpoint, id, used } => {
                self.remove_offer(id);
                let effects = self.owner.finish(now, endpoint, id, used);
                self.apply_owner_effects(effects);
                self.schedule_report(now);
            }
            Command::Cancel { endpoint, id } => {
                self.remove_offer(id);
                if !self.owner.cancel(endpoint, id) {
                    // The work was dispatched concurrently with the cancellation. Nothing will
                    // run it, so its slot is freed.
                    let effects = self.owner.finish(now, endpoint, id, None);
                    self.apply_owner_effects(effects);
                }
            }
            Command::ObserveHealth(endpoint, observation) => {
                let change = self.health.observe(now, endpoint, observation);
                self.log_health(change.as_slice());
            }
            Command::SetLinks(links) => self.links = Some(links),
            Command::Message { message, done } => self.handle_message(now, message, done),
            Command::Answer { from, answer } => self.handle_answer(now, from, answer),
            Command::UpdateHostList(list) => self.update_host_list(now, &list),
            Command::SetStore(store) => self.set_store(store),
            Command::StoreAnswer(answer) => {
                self.with_replica(|replica| replica.handle_store_answer(now, answer))
            }
            Command::RecordedDelta(delta) => {
                self.with_replica(|replica| replica.handle_recorded_delta(now, delta))
            }
            Command::HighestVersion(tx) => {
                let highest = self
                    .replica
                    .as_ref()
                    .map(lists::replica::Replica::highest_version);
                let _ = tx.send(highest.unwrap_or(lists::Version::NONE));
            }
            Command::ServedTargets(tx) => {
                let _ = tx.send(self.served_targets.clone());
            }
            Command::ListsStatus { revision, tx } => self.lists_status(now, revision, &tx),
            Command::Status(tx) => {
                let _ = tx.send(self.status());
            }
            Command::Drain => self.drain(now),
            Command::Close => {}
        }
    }

    /// Runs timer-driven work.
    pub fn tick(&mut self, now: time::Time) {
        let effects = self.owner.expire(now);
        self.apply_owner_effects(effects);
        let effects = self.membership.tick(now);
        self.apply_membership_effects(now, effects);
        self.with_replica(|replica| replica.tick(now));
        self.tick_loads(now);
        let changes = self.health.tick(now);
        self.log_health(&changes);
    }

    fn log_health(&self, changes: &[health::Change]) {
        for change in changes {
            slog::warn!(self.log, "endpoint health";
                "endpoint" => %change.endpoint, "usable" => change.usable);
        }
    }

    fn new_retry_state(
        &mut self,
        request: request::RequestId,
        idempotency: request::Idempotency,
        deadline: time::Time,
    ) -> retry::RetryState {
        let cfg = retry::Config {
            max_attempts: self.settings.retry.max_attempts,
            max_hops: self.settings.retry.max_hops,
            ..retry::Config::default()
        };
        let seed = request.0.as_u64_pair().1;
        retry::RetryState::new(cfg, idempotency, deadline, seed, &mut self.budget)
    }

    fn update_host_list(&mut self, now: time::Time, list: &topology::HostList) {
        if !self.directory.update(list) {
            return;
        }
        slog::info!(self.log, "host list"; "version" => list.version,
            "hosts" => list.hosts.len(), "endpoints" => list.endpoints.len());
        self.served_targets = Some(lists::verify::ServedTargets::from_host_list(list));
        let effects = self.membership.apply_host_list(now, list);
        self.apply_membership_effects(now, effects);
        self.refresh_replica(now);
        self.reconcile_endpoints(now);
    }

    fn drain(&mut self, now: time::Time) {
        self.draining = true;
        let effects = self.membership.leave();
        self.apply_membership_effects(now, effects);
        let open: Vec<_> = self.owner.open_ids().collect();
        for endpoint in open {
            self.close_endpoint(now, endpoint, reason::Refusal::Draining);
        }
    }

    fn status(&self) -> Status {
        let host = self.settings.host.id;
        let known = self.directory.host(host).is_some();
        Status {
            host,
            ready: known && self.lists.is_some() && !self.draining,
            draining: self.draining,
            revision: self.revision,
            requests_in_progress: self.in_progress.len(),
            owned: self.owner.len(),
            open_endpoints: self.owner.open_count(),
            host_list: self.directory.version(),
        }
    }
}
