//! Logs as JSON lines.
//!
//! Lines are written by a thread of their own through a bounded channel, so that a slow reader of
//! the log holds up no request: when the channel is full, lines are dropped and their number is
//! logged. What belongs to a request carries its id in the field `request`. No key, digest or
//! credential is logged.

use std::{fmt, io};

use pistachiochute_core::request;
use slog::Drain as _;

use crate::settings;

/// Lines that may wait to be written.
const CHANNEL_LINES: usize = 4_096;

/// The log of one host.
pub struct Log {
    logger: slog::Logger,
    /// Writes the waiting lines when it is dropped.
    guard: slog_async::AsyncGuard,
}

impl Log {
    /// Opens the log of a host on standard error.
    #[must_use]
    pub fn to_stderr(host: &settings::Host, level: slog::Level) -> Self {
        Self::to_writer(io::stderr(), host, level)
    }

    /// Opens the log of a host on a writer.
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

    /// Opens a log whose lines all carry the given fields.
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

    /// Logger of the host.
    pub fn logger(&self) -> &slog::Logger {
        &self.logger
    }

    /// Writes the waiting lines and closes the log.
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

/// Logger whose lines carry the id of a request.
pub fn for_request(logger: &slog::Logger, id: request::RequestId) -> slog::Logger {
    logger.new(slog::o!("request" => id.to_string()))
}
