//! Versions that endpoint ids and services have had lately.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::streams::{
    Connected, EndpointKey, IncarnationTag, OriginRecord, Proof, RETENTION, VersionTag,
};
use crate::{directory, time};

/// Longest time between two confirmations of the list of endpoints that leaves no gap. A version
/// may have come and gone unnoticed in a longer one. Other hosts may use an endpoint for this long
/// after this host has learned of its end.
pub const MAX_GAP: Duration = Duration::from_secs(5);

/// Age of the last confirmation from which on the list of endpoints may miss a version that serves now: a
/// host that stood still, or that hears from nobody, does not know what has joined. Confirmations come
/// once a second or more often.
pub const MAX_LIST_AGE: Duration = Duration::from_millis(2_500);

/// Longest time that the report of a stream's origin takes to other hosts.
pub const MAX_REPORT_DELAY: Duration = Duration::from_secs(1);

/// Time for which versions are kept after they were last listed, so that a span of [`RETENTION`]
/// is covered together with the endpoints that other hosts used a little longer.
const VERSION_RETENTION: Duration = RETENTION.saturating_add(MAX_GAP);

/// One incarnation of an endpoint.
#[derive(Debug)]
struct Incarnation {
    identity: directory::Identity,
    service: Arc<str>,
    version: Option<VersionTag>,
    first_listed: time::Time,
    last_listed: time::Time,
    /// Latest time at which it is known to have been alive, from a write of its entry or from its report.
    alive_at: Option<time::Time>,
    /// Whether another process is known to have its address, so that no later write shows that it lives.
    has_ended: bool,
}

impl Incarnation {
    fn new(endpoint: &directory::Endpoint, now: time::Time) -> Self {
        Self {
            identity: endpoint.identity.clone(),
            service: endpoint.service.clone(),
            version: tag(endpoint),
            first_listed: now,
            last_listed: now,
            alive_at: None,
            has_ended: false,
        }
    }

    /// Records that it was alive at a point in time.
    fn record_alive(&mut self, at: time::Time) {
        if !self.has_ended {
            self.alive_at = self.alive_at.max(Some(at));
        }
    }

    /// Whether an entry describes this incarnation. A version that was not known may become known.
    fn is_described_by(&self, endpoint: &directory::Endpoint, version: Option<VersionTag>) -> bool {
        self.identity == endpoint.identity
            && self.service == endpoint.service
            && (self.version == version || (self.version.is_none() && self.identity.is_distinct()))
    }

    /// Whether it started after another incarnation under the same id.
    fn replaces(&self, other: &directory::Identity) -> bool {
        self.identity.id == other.id && self.identity.started_at_ms > other.started_at_ms
    }

    /// Whether it may have the version, as far as is known.
    fn may_have(&self, version: VersionTag) -> bool {
        self.version.is_none_or(|own| own == version)
    }

    /// Whether it is known to have been alive at a point in time, or later.
    fn was_alive_after(&self, at: time::Time) -> bool {
        self.identity.is_distinct() && self.alive_at.is_some_and(|alive_at| at <= alive_at)
    }

    /// Whether a connection that was made by its entry is its own.
    fn has(&self, connected: Connected) -> bool {
        IncarnationTag::of(&self.identity) == connected.to && self.was_alive_after(connected.by)
    }

    /// Whether this host knew it before a stream began that was recorded at `recorded_at`.
    fn was_known_before(&self, recorded_at: time::Time) -> bool {
        self.first_listed + MAX_REPORT_DELAY <= recorded_at
    }
}

/// What the report of a process shows of the incarnation whose entry named its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifeSign {
    /// It was alive at this time.
    Alive(time::Time),
    /// It has ended: another process has its address.
    Ended,
}

/// A version of a service, or `None` for endpoints whose version is not known.
#[derive(Debug)]
struct ServiceVersion {
    version: Option<VersionTag>,
    last_listed: time::Time,
}

/// Services with one software version, and the version.
pub type OnlyVersions = BTreeMap<Arc<str>, VersionTag>;

/// Time that the confirmations of the list of endpoints cover.
#[derive(Debug)]
struct Coverage {
    /// Start of the time without a gap, or `None` if no version can have been missed since the
    /// fleet started.
    since: Option<time::Time>,
    last_confirmed: Option<time::Time>,
}

impl Coverage {
    const fn new(is_complete: bool, now: time::Time) -> Self {
        Self {
            since: if is_complete { None } else { Some(now) },
            last_confirmed: None,
        }
    }

    fn confirm(&mut self, now: time::Time) {
        let has_gap = match self.last_confirmed {
            Some(previous) => now.since(previous) > MAX_GAP,
            // What came and went before the first list is not known, unless nothing served then.
            None => self.since.is_some(),
        };
        if has_gap {
            self.since = Some(now);
        }
        self.last_confirmed = self.last_confirmed.max(Some(now));
    }

    /// Whether the list of endpoints shows what was listed at a point in time.
    fn reaches(&self, at: time::Time) -> bool {
        self.last_confirmed.is_some_and(|confirmed| at <= confirmed)
    }

    /// Whether the last `span` is covered.
    fn covers(&self, span: Duration, now: time::Time) -> bool {
        self.since.is_none_or(|since| now.since(since) >= span)
    }
}

/// Versions that endpoint ids and services have had, with the time at which each was last listed.
#[derive(Debug)]
pub struct VersionHistory {
    /// Incarnations by the id of the endpoint. Ids whose keys collide count as one.
    incarnations: HashMap<EndpointKey, SmallVec<[Incarnation; 1]>>,
    services: HashMap<Arc<str>, SmallVec<[ServiceVersion; 1]>>,
    coverage: Coverage,
    /// When the endpoints of the directory were last recorded.
    observed_at: time::Time,
    /// Only versions of services before this host started.
    adopted: OnlyVersions,
}

impl VersionHistory {
    /// An empty history. `is_complete` states that nothing was served before this host started, so
    /// that no version can have been missed.
    #[must_use]
    pub fn new(is_complete: bool, now: time::Time) -> Self {
        Self {
            incarnations: HashMap::new(),
            services: HashMap::new(),
            coverage: Coverage::new(is_complete, now),
            observed_at: now,
            adopted: OnlyVersions::new(),
        }
    }

    /// Records all endpoints of the directory, those that are leaving included.
    pub fn observe<'a, Endpoints>(&mut self, endpoints: Endpoints, now: time::Time)
    where
        Endpoints: Iterator<Item = &'a directory::Endpoint>,
    {
        for endpoint in endpoints {
            self.list(endpoint, now);
        }
        self.observed_at = now;
    }

    /// Records that an incarnation wrote its entry at `alive_at` or later. The write of an
    /// incarnation that has been replaced was delayed and does not show that it is alive. Returns whether
    /// this one shows it.
    pub fn record_write(
        &mut self,
        endpoint: &directory::Endpoint,
        alive_at: time::Time,
        now: time::Time,
    ) -> bool {
        let key = EndpointKey::of_id(&endpoint.identity.id);
        let known = self.incarnations.get(&key);
        let is_replaced =
            known.is_some_and(|known| known.iter().any(|i| i.replaces(&endpoint.identity)));
        let incarnation = self.list(endpoint, now);
        let is_sign = !is_replaced && !incarnation.has_ended;
        if is_sign {
            incarnation.record_alive(alive_at);
        }
        is_sign
    }

    /// Records what a report has shown of an incarnation.
    pub fn record_sign(&mut self, identity: &directory::Identity, sign: LifeSign) {
        let key = EndpointKey::of_id(&identity.id);
        let Some(known) = self.incarnations.get_mut(&key) else {
            return;
        };
        for incarnation in known.iter_mut().filter(|i| i.identity == *identity) {
            match sign {
                LifeSign::Alive(at) => incarnation.record_alive(at),
                LifeSign::Ended => incarnation.has_ended = true,
            }
        }
    }

    /// Records that the list of endpoints was confirmed to have been current at a point in time.
    pub fn confirm(&mut self, at: time::Time) {
        self.coverage.confirm(at);
    }

    /// Drops what was not listed for longer than a query can ask about.
    pub fn tick(&mut self, now: time::Time) {
        let is_kept = |last_listed: time::Time| now.since(last_listed) <= VERSION_RETENTION;
        self.incarnations.retain(|_, incarnations| {
            incarnations.retain(|i| is_kept(i.last_listed));
            !incarnations.is_empty()
        });
        self.services.retain(|_, versions| {
            versions.retain(|v| is_kept(v.last_listed));
            !versions.is_empty()
        });
    }

    /// Number of versions of a service in the history. Endpoints whose version is not known count
    /// as one more.
    #[must_use]
    pub fn versions(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, SmallVec::len)
    }

    /// Versions of the services that have had more than one in the last `span`. Endpoints whose version
    /// is not known count as one.
    #[must_use]
    pub fn contested(&self, span: Duration, now: time::Time) -> SmallVec<[VersionTag; 4]> {
        let services = self.services.values();
        let contested = services.filter(|versions| in_span(versions, span, now).count() > 1);
        contested.flatten().filter_map(|v| v.version).collect()
    }

    /// Services that have had more than one version in the last `span`. Endpoints whose version is not known
    /// count as one.
    #[must_use]
    pub fn contested_services(&self, span: Duration, now: time::Time) -> Vec<Arc<str>> {
        let services = self.services.iter();
        let contested = services.filter(|(_, versions)| in_span(versions, span, now).count() > 1);
        contested.map(|(service, _)| service.clone()).collect()
    }

    /// Services that are known to have had one version in the last `span`, with it: this host has seen the
    /// whole span, or the hosts before it have left the same.
    #[must_use]
    pub fn only_versions(&self, span: Duration, now: time::Time) -> OnlyVersions {
        let is_covered = self.coverage.covers(span, now);
        let only = |(service, versions): (&Arc<str>, &SmallVec<[ServiceVersion; 1]>)| {
            let mut versions = in_span(versions, span, now);
            let (Some(only), None) = (versions.next(), versions.next()) else {
                return None;
            };
            let version = only.version?;
            let is_known = is_covered || self.adopted.get(service) == Some(&version);
            is_known.then(|| (service.clone(), version))
        };
        self.services.iter().filter_map(only).collect()
    }

    /// Adopts what the hosts before this one knew of services with one version. It holds for a service
    /// as long as no other version is listed.
    pub fn adopt(&mut self, only_versions: OnlyVersions) {
        self.adopted = only_versions;
    }

    /// Whether an endpoint id has been listed lately.
    #[must_use]
    pub fn knows(&self, endpoint: EndpointKey) -> bool {
        self.incarnations.contains_key(&endpoint)
    }

    /// Whether a record names the version that began the stream: the process was shown to be the one of
    /// the entry by which it was reached, or that incarnation was alive after its connection was made.
    #[must_use]
    pub fn is_certain(&self, record: &OriginRecord) -> bool {
        let OriginRecord {
            origin,
            recorded_at,
            proof,
        } = *record;
        let known = self.incarnations.get(&origin.endpoint);
        let incarnations = known.map_or(&[][..], SmallVec::as_slice);
        let has_version = |i: &Incarnation| i.version == Some(origin.version);
        match proof {
            Proof::Shown => true,
            Proof::Reported(_) => self.version_of(record).is_some(),
            Proof::ShownBefore if known.is_none() => true,
            Proof::Open(Some(connected)) => incarnations
                .iter()
                .any(|i| has_version(i) && i.has(connected)),
            Proof::ShownBefore | Proof::Open(None) => {
                let candidates = incarnations.iter().filter(|i| i.may_have(origin.version));
                let is_only_candidate = candidates.count() == 1;
                incarnations.iter().any(|i| {
                    has_version(i)
                        && i.was_alive_after(recorded_at)
                        && (is_only_candidate || i.was_known_before(recorded_at))
                })
            }
        }
    }

    /// Version of the incarnation that began a stream, as it said itself, once its entry is known.
    #[must_use]
    pub fn version_of(&self, record: &OriginRecord) -> Option<VersionTag> {
        let Proof::Reported(connected) = record.proof else {
            return None;
        };
        let incarnations = self.incarnations.get(&record.origin.endpoint)?;
        let is_meant = |i: &&Incarnation| {
            i.identity.is_distinct() && IncarnationTag::of(&i.identity) == connected.to
        };
        incarnations.iter().find(is_meant)?.version
    }

    /// The only version at which a stream of a service can have begun in the last `span`, before `began_by`.
    /// `None` if the service has had several, if the version of an endpoint is not known, or if the history
    /// does not cover the span.
    ///
    /// A host may have sent the stream to an endpoint that joined since this host's list was confirmed, or
    /// to a process that has taken the place of the one in the list. So the list must reach to `began_by`,
    /// and each incarnation in it must have been alive then or later, whatever time has gone by.
    #[must_use]
    pub fn only_version(
        &self,
        service: &str,
        span: Duration,
        began_by: time::Time,
        now: time::Time,
    ) -> Option<VersionTag> {
        let is_shown = self.coverage.reaches(began_by) && self.are_alive(service, began_by);
        if span > RETENTION || !is_shown {
            return None;
        }
        let versions = self.services.get(service)?;
        let mut in_span = in_span(versions, span + MAX_GAP, now);
        let only = in_span.next()?.version?;
        if in_span.next().is_some() {
            return None;
        }
        let was_only = self.adopted.get(service) == Some(&only) && versions.len() == 1;
        (was_only || self.coverage.covers(span, now)).then_some(only)
    }

    /// Whether all incarnations of a service that are listed now were alive at a point in time, or later.
    fn are_alive(&self, service: &str, at: time::Time) -> bool {
        let known = self.incarnations.values().flatten();
        let mut listed =
            known.filter(|i| *i.service == *service && self.observed_at <= i.last_listed);
        listed.all(|i| i.was_alive_after(at))
    }

    fn list(&mut self, endpoint: &directory::Endpoint, now: time::Time) -> &mut Incarnation {
        let version = tag(endpoint);
        self.list_version(&endpoint.service, version, now);
        let key = EndpointKey::of_id(&endpoint.identity.id);
        let incarnations = self.incarnations.entry(key).or_default();
        let position = incarnations
            .iter()
            .position(|i| i.is_described_by(endpoint, version));
        let position = position.unwrap_or_else(|| {
            incarnations.push(Incarnation::new(endpoint, now));
            incarnations.len() - 1
        });
        let incarnation = &mut incarnations[position];
        incarnation.version = version;
        incarnation.last_listed = now;
        incarnation
    }

    fn list_version(&mut self, service: &Arc<str>, version: Option<VersionTag>, now: time::Time) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), SmallVec::new());
        }
        let Some(versions) = self.services.get_mut(service) else {
            return;
        };
        match versions.iter_mut().find(|v| v.version == version) {
            Some(known) => known.last_listed = now,
            None => versions.push(ServiceVersion {
                version,
                last_listed: now,
            }),
        }
    }
}

/// Versions that were listed in the last `span`.
fn in_span(
    versions: &[ServiceVersion],
    span: Duration,
    now: time::Time,
) -> impl Iterator<Item = &ServiceVersion> {
    versions
        .iter()
        .filter(move |v| now.since(v.last_listed) <= span)
}

fn tag(endpoint: &directory::Endpoint) -> Option<VersionTag> {
    let version = endpoint.version.as_ref()?;
    Some(VersionTag::new(&endpoint.service, version))
}
