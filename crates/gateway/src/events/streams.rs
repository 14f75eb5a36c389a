//! Lines about streams that end, and about the versions at which they go on.

use pistachiochute_runtime::clock;

use crate::events::{
    Events, OriginLogEntry, StreamClaimLogEntry, StreamPartsLogEntry, StreamVersionLogEntry, millis,
};

impl Events {
    /// A stream ended that was broken off, resumed or delimited by its connection.
    pub fn stream_parts(&self, entry: &StreamPartsLogEntry<'_>) {
        if !self.allow_line(clock::now()) {
            return;
        }
        let parts: Vec<String> = entry.parts.iter().map(ToString::to_string).collect();
        slog::info!(
            self.log, "stream ended in doubt";
            "request" => entry.request, "parts" => parts.join("; "), "end" => entry.end,
        );
    }

    /// The origins of streams were read that earlier hosts have left in the store.
    pub fn origins_adopted(&self, count: usize) {
        slog::info!(self.log, "stream origins adopted"; "streams" => count);
    }

    /// The version that began a stream is not known for certain, so that the stream is not resumed.
    pub fn origin_unknown(&self, entry: &OriginLogEntry<'_>) {
        if !self.allow_line(clock::now()) {
            return;
        }
        slog::info!(
            self.log, "stream version unknown";
            "stream" => entry.stream.map(|stream| stream.to_string()), "service" => entry.service,
            "has_record" => entry.has_record, "versions" => entry.versions,
            "waited_ms" => millis(entry.waited),
        );
    }

    /// What proved the version of an endpoint at which a stream is to go on, or why nothing did.
    pub fn stream_version(&self, entry: &StreamVersionLogEntry<'_>) {
        if !self.allow_line(clock::now()) {
            return;
        }
        let (message, by) = match entry.proof {
            Ok(proof) => ("stream version proven", proof),
            Err(report) => ("stream version unproven", report),
        };
        slog::info!(
            self.log, "{}", message;
            "request" => entry.request, "endpoint" => %entry.endpoint,
            "version" => entry.version.map(|version| version.to_string()), "by" => by,
            "list_age_ms" => millis(entry.list_age),
        );
    }

    /// A stream was taken up whose record was not proven, and its endpoint was asked.
    pub fn stream_claim(&self, entry: &StreamClaimLogEntry) {
        if !self.allow_line(clock::now()) {
            return;
        }
        let (message, by) = match entry.proof {
            Ok(proof) => ("stream record proven", proof),
            Err(reason) => ("stream record unproven", reason),
        };
        slog::info!(
            self.log, "{}", message;
            "stream" => %entry.stream, "version" => %entry.version,
            "incarnation" => %entry.incarnation, "by" => by,
            "connected_for_ms" => millis(entry.connected_for),
        );
    }
}
