//! Structured logging as JSON lines.
//!
//! A separate thread writes the lines, which it receives through a bounded channel, so that a slow
//! reader of the log delays no request. When the channel is full, lines are dropped and their
//! number is logged. Lines about a request carry its id in the field `request`. Keys, digests and
//! credentials are never logged.

use std::{fmt, io};

use pistachiochute_core::request;
use slog::Drain as _;

use crate::settings;

/// Capacity of the channel to the writing thread, in lines.
const CHANNEL_LINES: usize = 4_096;

/// The log of one host.
pub struct Log {
    logger: slog::Logger,
    /// Flushes the queued lines when it is dropped.
    guard: slog_async::AsyncGuard,
}

impl Log {
    /// Opens the log of a host that writes to standard error.
    #[must_use]
    pub fn to_stderr(host: &settings::Host, level: slog::Level) -> Self {
        Self::to_writer(io::stderr(), host, level)
    }

    /// Opens the log of a host that writes to `writer`.
    #[must_use]
    pub fn to_writer<W>(writer: W, host: &settings::Host, level: slog::Level) -> Self
    where
        W: io::Write + Send + 'static,
    {
        let opened = Self::with_fields(
            writer,
            level,
            slog::o!("host" => host.id.to_string(), "domain" => host.domain.to_string()),
        );
        match &host.name {
            Some(name) => Self {
                logger: opened.logger.new(slog::o!("name" => name.clone())),
                guard: opened.guard,
            },
            None => opened,
        }
    }

    /// Opens a log that adds the given fields to every line.
    #[must_use]
    pub fn with_fields<W, F>(writer: W, level: slog::Level, fields: slog::OwnedKV<F>) -> Self
    where
        W: io::Write + Send + 'static,
        F: slog::SendSyncRefUnwindSafeKV + 'static,
    {
        let json = slog_json::Json::new(writer).add_default_keys().build();
        let leveled = slog::LevelFilter::new(json, level).fuse();
        let (drain, guard) = slog_async::Async::new(leveled)
            .chan_size(CHANNEL_LINES)
            .thread_name("log".to_owned())
            .build_with_guard();
        Self {
            logger: slog::Logger::root(drain.fuse(), fields),
            guard,
        }
    }

    /// Logger without a request id.
    pub fn logger(&self) -> &slog::Logger {
        &self.logger
    }

    /// Flushes the queued lines and closes the log.
    pub fn close(self) {
        drop(self.logger);
        drop(self.guard);
    }
}

impl fmt::Debug for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Log").finish_non_exhaustive()
    }
}

/// Returns a logger that adds the id of a request to every line.
pub fn for_request(logger: &slog::Logger, id: request::RequestId) -> slog::Logger {
    logger.new(slog::o!("request" => id.to_string()))
}
