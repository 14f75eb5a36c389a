//! Replica of the lists of accounts and plans.

use std::sync::Arc;

use crossbeam::channel;
use pistachiochute_core::lists::replica::{Effect, Effects, Replica, View};
use pistachiochute_core::{entity, lists, name, revision, time};
use pistachiochute_messages::control;

use crate::control::ListsStatus;
use crate::control::state::State;
use crate::lists::sync;

impl State {
    /// Starts the replica on the first host list, and updates its view of usable hosts afterwards.
    pub(super) fn refresh_replica(&mut self, now: time::Time) {
        let me = self.settings.host.id;
        let usable = self
            .directory
            .hosts()
            .filter(|host| self.membership.is_usable(host.id));
        let view = View::new(
            me,
            self.settings.host.domain,
            usable.map(|host| (host.id, host.domain)),
        );
        let effects = match &mut self.replica {
            Some(replica) => replica.set_view(now, view),
            None => {
                let (replica, effects) = Replica::start(now, view);
                self.replica = Some(replica);
                effects
            }
        };
        self.apply_replica_effects(effects);
    }

    /// Passes an event to the replica, if it is started, and applies the effects.
    pub(super) fn with_replica<F>(&mut self, event: F)
    where
        F: FnOnce(&mut Replica) -> Effects,
    {
        let Some(replica) = &mut self.replica else {
            return;
        };
        let effects = event(replica);
        self.apply_replica_effects(effects);
    }

    fn apply_replica_effects(&mut self, effects: Effects) {
        for effect in effects {
            match effect {
                Effect::Send(to, message) => {
                    let from = self.settings.host.id;
                    self.send(to, &control::Message::Lists { from, message });
                }
                Effect::ReadStore => {
                    let version = self.replica.as_ref().map(Replica::version);
                    self.send_store_command(sync::StoreCommand::Read(
                        version.unwrap_or(lists::Version::NONE),
                    ));
                }
                Effect::Watch => self.send_store_command(sync::StoreCommand::Watch),
                Effect::Unwatch => self.send_store_command(sync::StoreCommand::Unwatch),
                Effect::InForce(version, lists) => self.apply_lists(version, lists),
                Effect::Repair {
                    expected,
                    delta,
                    lists,
                } => {
                    self.send_store_command(sync::StoreCommand::Repair {
                        expected,
                        delta,
                        lists,
                    });
                }
            }
        }
    }

    fn send_store_command(&self, command: sync::StoreCommand) {
        if let Some(store) = &self.store {
            store.send(command);
        }
    }

    /// Sets the channel to the thread that calls the store.
    pub(super) fn set_store(&mut self, store: sync::StoreSender) {
        self.store = Some(store);
    }

    fn apply_lists(&mut self, version: lists::Version, lists: Arc<lists::Lists>) {
        let keys = |(name, account): (&name::AccountName, &lists::Account)| {
            let pair = |digest: &lists::KeyDigest| (*digest, name.clone());
            account.key_digests.iter().map(pair).collect::<Vec<_>>()
        };
        self.accounts = lists.accounts.iter().flat_map(keys).collect();
        self.revision = version.revision;
        slog::info!(self.log, "lists in force"; "revision" => %version.revision,
            "accounts" => lists.accounts.len(), "plans" => lists.plans.len());
        self.lists = Some(lists);
    }

    /// Handles a message of another host's replica.
    pub(super) fn lists_message(
        &mut self,
        now: time::Time,
        from: entity::HostId,
        message: lists::message::Message,
    ) {
        self.with_replica(|replica| replica.handle_message(now, from, message));
    }

    /// Reports which domains have applied a revision.
    pub(super) fn lists_status(
        &self,
        now: time::Time,
        revision: Option<revision::Revision>,
        tx: &channel::Sender<ListsStatus>,
    ) {
        let Some(replica) = &self.replica else { return };
        let version = replica.version();
        let revision = revision.unwrap_or(version.revision);
        let domains = replica.status(now, revision);
        let _ = tx.send(ListsStatus {
            revision,
            version,
            domains,
        });
    }
}
