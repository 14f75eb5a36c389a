//! Lines about the catalog.

use std::fmt;
use std::time::Duration;

use pistachiochute_core::catalog::verify;
use pistachiochute_core::{catalog, revision};

use crate::events::{CatalogLogEntry, Events, millis};

/// Most findings on a catalog in one line.
const LISTED_FINDINGS: usize = 8;

impl Events {
    /// A newer catalog was applied.
    pub fn catalog_applied(&self, entry: &CatalogLogEntry) {
        slog::info!(
            self.log, "catalog taken over";
            "version" => %entry.version, "source" => %entry.source, "routes" => entry.routes,
            "max_head_bytes" => entry.limits.max_head_bytes,
            "max_body_bytes" => entry.limits.max_body_bytes,
            "head_timeout_ms" => millis(entry.limits.head_timeout),
            "idle_timeout_ms" => millis(entry.limits.idle_timeout),
        );
    }

    /// What is found in a catalog that is used all the same.
    pub fn catalog_findings(&self, version: catalog::Version, findings: &[verify::Finding]) {
        if findings.is_empty() {
            return;
        }
        let errors = findings.iter().map(verify::Finding::severity);
        let errors = errors.filter(|s| *s > verify::Severity::Warning).count();
        slog::warn!(
            self.log, "catalog has findings";
            "version" => %version, "errors" => errors, "warnings" => findings.len() - errors,
            "first" => list_findings(findings),
        );
    }

    /// A catalog that cannot be used. The version before stays in force.
    pub fn catalog_refused(&self, revision: revision::Revision, findings: &[verify::Finding]) {
        slog::warn!(
            self.log, "catalog refused";
            "revision" => %revision, "findings" => findings.len(), "first" => list_findings(findings),
        );
    }

    /// Other hosts have had a newer catalog for a while, and this host reads it from the store.
    pub fn catalog_behind(
        &self,
        own: Option<catalog::Version>,
        newest: Option<catalog::Version>,
        behind: Duration,
    ) {
        slog::info!(
            self.log, "catalog behind";
            "version" => own.map(|v| v.0), "newest" => newest.map(|v| v.0), "behind_ms" => millis(behind),
        );
    }

    /// Parts of a catalog do not make one. The version before stays in force.
    pub fn catalog_parts_dropped(
        &self,
        peer: &str,
        version: catalog::Version,
        e: &dyn fmt::Display,
    ) {
        slog::warn!(
            self.log, "catalog parts dropped";
            "peer" => peer, "version" => %version, "cause" => %e,
        );
    }
}

/// The first findings, as text.
fn list_findings(findings: &[verify::Finding]) -> String {
    let first = findings.iter().take(LISTED_FINDINGS);
    let first: Vec<_> = first.map(ToString::to_string).collect();
    first.join("; ")
}
