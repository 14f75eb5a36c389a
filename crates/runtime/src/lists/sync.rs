//! Calls to the store for the replica of the control thread.
//!
//! The calls block, so they run on their own thread, which sends the results to the control thread.
//! While the host is a watcher, the same thread receives the events of the watch.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel;
use pistachiochute_core::lists::replica::StoreAnswer;
use pistachiochute_core::lists::{self, edit, storage};
use pistachiochute_core::revision;

use crate::lists::store;
use crate::platform::key_value;
use crate::{control, wall_clock};

/// Capacity of the command channel.
const COMMAND_BUFFER: usize = 64;

/// Delay before the watch is started again after a failure.
const WATCH_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Command of the control thread for the store.
#[derive(Clone, Debug)]
pub enum StoreCommand {
    /// Read the lists. The replica has this version.
    Read(lists::Version),
    /// Watch the store and deliver each new edit.
    Watch,
    /// Stop the watch.
    Unwatch,
    /// Restore lists to a store that has fallen behind.
    Repair {
        /// Version that the store must still be at.
        expected: lists::Version,
        /// Delta to the version to write.
        delta: lists::Delta,
        /// The lists to write.
        lists: Arc<lists::Lists>,
    },
}

/// Handle through which the control thread sends commands. Never blocks.
#[derive(Clone, Debug)]
pub struct StoreSender {
    tx: channel::Sender<StoreCommand>,
}

impl StoreSender {
    /// Sends a command, or drops it if the channel is full. The replica repeats commands that are
    /// not answered.
    pub fn send(&self, command: StoreCommand) {
        let _ = self.tx.try_send(command);
    }
}

/// The thread that calls the store.
#[derive(Debug)]
pub struct StoreSync {
    stop: channel::Sender<()>,
    thread: thread::JoinHandle<()>,
}

impl StoreSync {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(
        store: store::Store,
        control: control::Handle,
        log: slog::Logger,
    ) -> eyre::Result<(Self, StoreSender)> {
        let (tx, rx) = channel::bounded(COMMAND_BUFFER);
        let (stop, stopped) = channel::bounded(0);
        let worker = Worker {
            store,
            control,
            log,
            watch: None,
            failing: false,
        };
        let thread = thread::Builder::new()
            .name("lists".to_owned())
            .spawn(move || worker.run(&rx, &stopped))?;
        Ok((Self { stop, thread }, StoreSender { tx }))
    }

    /// Stops the thread and waits for it to end.
    pub fn close(self) {
        drop(self.stop);
        let _ = self.thread.join();
    }
}

struct Worker {
    store: store::Store,
    control: control::Handle,
    log: slog::Logger,
    watch: Option<key_value::Watch>,
    /// Whether the last read failed. Only the first failure of an outage is logged.
    failing: bool,
}

impl Worker {
    fn run(mut self, rx: &channel::Receiver<StoreCommand>, stopped: &channel::Receiver<()>) {
        let none = channel::never();
        loop {
            let events = self
                .watch
                .as_ref()
                .map_or(&none, key_value::Watch::events)
                .clone();
            channel::select! {
                recv(stopped) -> _ => break,
                recv(rx) -> command => match command {
                    Ok(command) => self.execute(command),
                    Err(_) => break,
                },
                recv(events) -> event => match event {
                    Ok(event) => self.handle_watch_event(event),
                    Err(_) => self.restart_watch(),
                },
            }
        }
        self.unwatch();
    }

    fn execute(&mut self, command: StoreCommand) {
        match command {
            StoreCommand::Read(version) => {
                let answer = self.read(version);
                self.control.handle_store_answer(answer);
            }
            StoreCommand::Watch => self.start_watch(),
            StoreCommand::Unwatch => self.unwatch(),
            StoreCommand::Repair {
                expected,
                delta,
                lists,
            } => self.repair(expected, delta, &lists),
        }
    }

    fn read(&mut self, version: lists::Version) -> StoreAnswer {
        match self.store.read() {
            Ok(read) => {
                self.failing = false;
                match read.stored.version() == version {
                    true => StoreAnswer::Same,
                    false => StoreAnswer::Lists(read.stored.snapshot()),
                }
            }
            Err(e) => {
                if !self.failing {
                    slog::warn!(self.log, "lists cannot be read"; "error" => %e);
                }
                self.failing = true;
                StoreAnswer::Unavailable
            }
        }
    }

    /// Starts the watch at the current revision. Earlier edits are found by the next read.
    fn start_watch(&mut self) {
        if self.watch.is_some() {
            return;
        }
        let after = self
            .store
            .read()
            .map_or(revision::Revision::NONE, |read| read.revision);
        match self.store.watch(after) {
            Ok(watch) => self.watch = Some(watch),
            Err(e) => {
                slog::warn!(self.log, "cannot start the watch of the lists"; "error" => %e);
                thread::sleep(WATCH_RETRY_DELAY);
            }
        }
    }

    fn unwatch(&mut self) {
        if let Some(watch) = self.watch.take() {
            watch.close();
        }
    }

    fn restart_watch(&mut self) {
        self.unwatch();
        thread::sleep(WATCH_RETRY_DELAY);
        self.start_watch();
    }

    fn handle_watch_event(&mut self, event: key_value::WatchEvent) {
        match event {
            key_value::WatchEvent::Changes { changes, .. } => {
                for change in changes {
                    self.handle_change(&change);
                }
            }
            key_value::WatchEvent::Reset { .. } => {
                let answer = self.read(lists::Version::NONE);
                self.control.handle_store_answer(answer);
            }
            key_value::WatchEvent::Progress(_) | key_value::WatchEvent::Lost(_) => {}
        }
    }

    fn handle_change(&self, change: &key_value::Change) {
        // Deletions only trim the history and change no list.
        let key_value::Change::Put(entry) = change else {
            return;
        };
        match storage::read_record(&entry.key, &entry.value) {
            Ok(record) => self.control.handle_recorded_delta(record.delta),
            Err(e) => slog::error!(self.log, "edit cannot be read"; "error" => %e),
        }
    }

    fn repair(&self, expected: lists::Version, delta: lists::Delta, lists: &lists::Lists) {
        let record = storage::Record {
            edit: storage::EditId(uuid::Uuid::now_v7()),
            author: storage::Author::Fleet,
            at_ms: wall_clock::now_ms(),
            delta: delta.clone(),
        };
        slog::warn!(self.log, "store is behind; restoring the lists"; "was" => ?expected);
        // If the answer is lost, the next read finds the result.
        if self.store.repair(expected, lists, &record) == Ok(edit::CommitResult::Committed) {
            self.control.handle_recorded_delta(delta);
        }
    }
}
