//! Sections of the settings that contain only numbers and booleans.
//!
//! Each field is declared once, with its JSON name, type, default and range. The macro `section`
//! generates the struct, its `Default`, its reader and its rows of the settings documentation, so
//! the doc comments of the fields must match `docs/operators/settings.md` word for word.

use std::convert::identity;
use std::time::Duration;

use pistachiochute_core::units;

use crate::settings::reader;

/// Row of the settings documentation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocRow {
    /// JSON path without `$`, such as `bounds.body_bytes`.
    pub place: String,
    /// Default value.
    pub default: String,
    /// Smallest and largest value.
    pub range: (String, String),
    /// Meaning and unit of the value.
    pub meaning: String,
}

macro_rules! section {
    (
        $(#[doc = $section_doc:literal])+
        $name:ident in $section:literal {
            $($(#[doc = $doc:literal])+
            $json:literal $field:ident: $ty:ty = $make:path, $default:expr, $range:expr;)+
        }
    ) => {
        $(#[doc = $section_doc])+
        #[derive(Clone, Copy, Debug, PartialEq)]
        pub struct $name {
            $($(#[doc = $doc])+ pub $field: $ty,)+
        }

        impl $name {
            /// Name of the section in the settings.
            pub const SECTION: &'static str = $section;

            /// Rows of the settings documentation for the section.
            #[must_use]
            pub fn doc_rows() -> Vec<DocRow> {
                vec![$(DocRow {
                    place: concat!($section, ".", $json).to_owned(),
                    default: $default.to_string(),
                    range: ($range.start().to_string(), $range.end().to_string()),
                    meaning: concat!($($doc),+).trim().to_owned(),
                },)+]
            }

            pub(super) fn read(reader: &mut reader::Reader<'_>) -> Option<Self> {
                $(let $field = reader.scalar($json, $default, $range);)+
                Some(Self { $($field: $make($field?),)+ })
            }
        }

        impl Default for $name {
            fn default() -> Self {
                Self { $($field: $make($default),)+ }
            }
        }
    };
}

section! {
    /// Polling intervals and timeouts of calls to the platform.
    Polls in "platform" {
        /// Time between two reads of the host list, in milliseconds.
        "host_list_poll_ms" host_list: Duration = Duration::from_millis, 500, 50..=10_000;
        /// Time between two attempts at a key-value service that failed, in milliseconds.
        "key_value_retry_ms" key_value_retry: Duration = Duration::from_millis, 500, 50..=10_000;
        /// Time that one call of the key-value service may take, in milliseconds.
        "key_value_call_ms" key_value_call: Duration = Duration::from_millis, 2_000, 50..=30_000;
    }
}

section! {
    /// Limits on requests of callers.
    Bounds in "bounds" {
        /// Largest header block, in bytes.
        "header_bytes" header: units::ByteSize = units::ByteSize, 16_384, 1_024..=1_048_576;
        /// Largest body, in bytes.
        "body_bytes" body: units::ByteSize = units::ByteSize, 8_388_608, 1_024..=268_435_456;
        /// Deepest nesting of a JSON body, in levels.
        "json_depth" json_depth: u32 = identity, 32, 4..=128;
        /// Time in which the headers have to arrive, in milliseconds.
        "header_read_ms" header_read: Duration = Duration::from_millis, 10_000, 100..=120_000;
        /// Time in which the body has to arrive, in milliseconds.
        "body_read_ms" body_read: Duration = Duration::from_millis, 30_000, 100..=600_000;
        /// Connections of callers with a request in progress at once.
        "connections" connections: u32 = identity, 1_024, 1..=65_536;
    }
}

section! {
    /// Selection of endpoints.
    Routing in "routing" {
        /// Largest load of an endpoint as a multiple of the mean of its pool.
        "load_multiple" load_multiple: f64 = identity, 1.25, 1.0..=16.0;
        /// Weight of cache reuse against skew: 0 prefers an even load, 1 prefers cached prefixes.
        "reuse_weight" reuse_weight: f64 = identity, 0.5, 0.0..=1.0;
        /// Whether endpoints of the caller's own failure domain always come first.
        "always_local" always_local: bool = identity, false, false..=true;
        /// Longest queue of an endpoint, in requests.
        "max_queue" max_queue: u32 = identity, 256, 0..=65_536;
    }
}

section! {
    /// Timeouts.
    Timeouts in "timeouts" {
        /// Time in which a connection has to be made, in milliseconds.
        "connect_ms" connect: Duration = Duration::from_millis, 1_000, 10..=60_000;
        /// Longest silence of an answer that has begun, in milliseconds.
        "stall_ms" stall: Duration = Duration::from_millis, 20_000, 50..=600_000;
        /// Time in which a request has to be answered whole, in milliseconds.
        "request_ms" request: Duration = Duration::from_millis, 120_000, 100..=3_600_000;
        /// Time in which the other end of a link has to answer a ping, in milliseconds.
        "ping_ms" ping: Duration = Duration::from_millis, 2_000, 50..=60_000;
        /// Time that a planned stop waits for the requests in flight, in milliseconds.
        "drain_ms" drain: Duration = Duration::from_millis, 150_000, 100..=3_600_000;
    }
}

section! {
    /// Limits on retries.
    Retry in "retry" {
        /// Retries as a fraction of the requests of the host.
        "budget_ratio" budget_ratio: f64 = identity, 0.08, 0.0..=1.0;
        /// Attempts of one request, the first included.
        "max_attempts" max_attempts: u8 = identity, 6, 1..=16;
        /// Hosts that one request may pass through.
        "max_hops" max_hops: u8 = identity, 4, 2..=8;
    }
}

section! {
    /// Journal of at-most-once actions.
    Journal in "journal" {
        /// Shards of the journal. All hosts of the fleet need the same number.
        "shards" shards: u16 = identity, 16, 1..=256;
        /// Time for which the record of an action is kept, in seconds.
        "retention_s" retention: Duration = Duration::from_secs, 600, 60..=86_400;
    }
}
