//! Verifies a catalog: what can never take effect, and what contradicts itself.
//!
//! Hosts verify each catalog that they take over and log what is found, but use it all the same: a fleet
//! that refused a catalog would go on with routes that its operators have withdrawn. The command line
//! verifies a configuration with the same function before it is sent.

mod finding;

pub use finding::{
    AccountField, Fault, Finding, LimitField, Place, RouteField, ServiceField, Severity,
};

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::catalog::{Account, AccountIndex, Accounts, Content, Route, RouteIndex, ServiceIndex};
use crate::lists;

/// A configuration that was decoded, with what its decoder found.
#[derive(Clone, Debug, PartialEq)]
pub struct Decoded {
    /// What hosts use.
    pub content: Content,
    /// Findings on what the content does not hold any more.
    pub findings: Vec<Finding>,
}

impl Decoded {
    /// All findings of the decoder and of [`verify`], in the order of their places.
    #[must_use]
    pub fn verify(&self) -> Vec<Finding> {
        let mut findings = self.findings.clone();
        findings.extend(verify(&self.content));
        findings.sort_by_key(|finding| finding.place);
        findings
    }
}

/// Returns all findings on a catalog.
#[must_use]
pub fn verify(content: &Content) -> Vec<Finding> {
    let mut verifier = Verifier {
        content,
        findings: Vec::new(),
    };
    verifier.routes();
    verifier.services();
    verifier.accounts();
    verifier.limits();
    verifier.findings
}

struct Verifier<'a> {
    content: &'a Content,
    findings: Vec<Finding>,
}

impl<'a> Verifier<'a> {
    fn report(&mut self, place: Place, fault: Fault) {
        self.findings.push(Finding::new(place, fault));
    }

    fn routes(&mut self) {
        let mut last_of_address = HashMap::new();
        let mut names = HashSet::new();
        for (i, route) in self.content.routes.iter().enumerate() {
            last_of_address.insert((&route.authority, &route.prefix), i);
            if !names.insert(&route.name) {
                let place = Place::Route(RouteIndex(i as u32), RouteField::Name);
                self.report(place, Fault::RouteNameTwice);
            }
        }
        for (i, route) in self.content.routes.iter().enumerate() {
            let index = RouteIndex(i as u32);
            let last = last_of_address[&(&route.authority, &route.prefix)];
            if last != i {
                let by = self.content.routes[last].name.clone();
                let place = Place::Route(index, RouteField::Prefix);
                self.report(place, Fault::RouteReplaced { by });
            }
            self.address(index, route);
            self.times(index, route);
            self.targets(index, route);
            self.key_of_route(index, route);
        }
    }

    fn address(&mut self, index: RouteIndex, route: &Route) {
        if !may_match_authority(&route.authority) {
            let place = Place::Route(index, RouteField::Authority);
            self.report(place, Fault::AuthorityNeverMatches);
        }
        if !may_match_prefix(&route.prefix) {
            let place = Place::Route(index, RouteField::Prefix);
            self.report(place, Fault::PrefixNeverMatches);
        }
    }

    fn times(&mut self, index: RouteIndex, route: &Route) {
        let timeout_place = Place::Route(index, RouteField::Timeout);
        let target_place = Place::Route(index, RouteField::TargetLatency);
        if route.timeout == Some(Duration::ZERO) {
            self.report(timeout_place, Fault::ZeroTime);
        }
        if route.target_latency == Some(Duration::ZERO) {
            self.report(target_place, Fault::ZeroTime);
        }
        if let (Some(timeout), Some(target)) = (route.timeout, route.target_latency)
            && timeout < target
        {
            self.report(timeout_place, Fault::TimeoutBelowTarget { timeout, target });
        }
        if route.max_attempts == 0 {
            let place = Place::Route(index, RouteField::MaxAttempts);
            self.report(place, Fault::NoAttempt);
        }
    }

    fn targets(&mut self, index: RouteIndex, route: &Route) {
        if route.targets.is_empty() {
            let place = Place::Route(index, RouteField::Targets);
            let route = route.name.clone();
            return self.report(place, Fault::NoTarget { route });
        }
        let has_weight = route.targets.iter().any(|target| target.weight > 0);
        if !has_weight {
            let place = Place::Route(index, RouteField::Targets);
            self.report(place, Fault::NoWeight);
        }
        let mut seen = HashSet::new();
        for (position, target) in route.targets.iter().enumerate() {
            let place = Place::Route(index, RouteField::Target(position));
            let service = self.service_name(target.service);
            if !seen.insert(target.service) {
                self.report(place, Fault::TargetTwice { service });
            } else if has_weight && target.weight == 0 {
                self.report(place, Fault::TargetNeverChosen { service });
            }
        }
    }

    fn service_name(&self, index: ServiceIndex) -> std::sync::Arc<str> {
        let service = self.content.services.get(index.0 as usize);
        service.map_or_else(|| "?".into(), |service| service.name.clone())
    }

    fn key_of_route(&mut self, index: RouteIndex, route: &Route) {
        if route.is_public {
            return;
        }
        let place = Place::Route(index, RouteField::IsPublic);
        match &self.content.accounts {
            Accounts::Open => self.report(place, Fault::OpenToEverybody),
            Accounts::Keyed(accounts) => {
                if accounts
                    .iter()
                    .all(|account| account.key_digests.is_empty())
                {
                    self.report(place, Fault::NoKeyForRoute);
                }
            }
        }
    }

    fn services(&mut self) {
        let routes = self.content.routes.iter();
        let used: HashSet<_> = routes
            .flat_map(|route| route.targets.iter().map(|target| target.service))
            .collect();
        let services = self.content.services.iter().enumerate();
        let last_of_name: HashMap<_, _> = services.map(|(i, s)| (&s.name, i)).collect();
        for (i, service) in self.content.services.iter().enumerate() {
            let index = ServiceIndex(i as u32);
            let name = Place::Service(index, ServiceField::Name);
            if last_of_name[&service.name] != i {
                self.report(name, Fault::ServiceReplaced);
            } else if !used.contains(&index) {
                self.report(name, Fault::ServiceUnused);
            }
            if service.max_connections == 0 {
                let place = Place::Service(index, ServiceField::MaxConnections);
                self.report(place, Fault::Zero);
            }
            if service.memory_tokens == Some(0) {
                let place = Place::Service(index, ServiceField::Memory);
                self.report(place, Fault::Zero);
            }
        }
    }

    fn accounts(&mut self) {
        let content = self.content;
        let mut names = HashSet::new();
        let mut last_of_key = HashMap::new();
        for (i, account) in content.accounts.as_slice().iter().enumerate() {
            let index = AccountIndex(i as u32);
            if !names.insert(&account.name) {
                let place = Place::Account(index, AccountField::Name);
                self.report(place, Fault::AccountTwice);
            }
            if account.key_digests.is_empty() {
                let place = Place::Account(index, AccountField::Keys);
                self.report(place, Fault::AccountWithoutKey);
            }
            for digest in &account.key_digests {
                last_of_key.insert(*digest, i);
            }
        }
        for (i, account) in content.accounts.as_slice().iter().enumerate() {
            self.keys(i, account, &last_of_key);
        }
    }

    fn keys(
        &mut self,
        i: usize,
        account: &'a Account,
        last_of_key: &HashMap<lists::KeyDigest, usize>,
    ) {
        let empty = lists::KeyDigest::of(b"");
        let mut seen = HashSet::new();
        for (position, digest) in account.key_digests.iter().enumerate() {
            let place = Place::Account(AccountIndex(i as u32), AccountField::Key(position));
            let last = last_of_key[digest];
            if *digest == empty {
                self.report(place, Fault::EmptyKey);
            }
            if last != i {
                let by = self.content.accounts.as_slice()[last].name.clone();
                self.report(place, Fault::KeyReplaced { by });
            }
            if !seen.insert(digest) {
                self.report(place, Fault::KeyTwice);
            }
        }
    }

    fn limits(&mut self) {
        let limits = self.content.limits;
        let (head, body) = (limits.max_head_bytes, limits.max_body_bytes);
        let (head_timeout, idle_timeout) = (limits.head_timeout, limits.idle_timeout);
        for (size, field) in [(head, LimitField::HeadBytes), (body, LimitField::BodyBytes)] {
            if size == 0 {
                self.report(Place::Limit(field), Fault::Zero);
            }
        }
        let times = [
            (head_timeout, LimitField::HeadTimeout),
            (idle_timeout, LimitField::IdleTimeout),
        ];
        for (time, field) in times {
            if time.is_zero() {
                self.report(Place::Limit(field), Fault::ZeroTime);
            }
        }
        if head > body && body > 0 {
            let place = Place::Limit(LimitField::HeadBytes);
            self.report(place, Fault::HeadAboveBody { head, body });
        }
        if head_timeout > idle_timeout {
            let fault = Fault::HeadTimeoutAboveIdle {
                head: head_timeout,
                idle: idle_timeout,
            };
            self.report(Place::Limit(LimitField::HeadTimeout), fault);
        }
    }
}

/// Whether a request can have this host name once its port is removed.
fn may_match_authority(authority: &str) -> bool {
    let has_port = match authority.rsplit_once(':') {
        Some((_, port)) => port.bytes().all(|b| b.is_ascii_digit()),
        None => false,
    };
    let is_name = |b: u8| b.is_ascii_graphic() && !b"/?#@".contains(&b) && !b.is_ascii_uppercase();
    !authority.is_empty() && !has_port && authority.bytes().all(is_name)
}

/// Whether the path of a request can begin with this prefix.
fn may_match_prefix(prefix: &str) -> bool {
    let is_path = |b: u8| b.is_ascii_graphic() && !b"?#".contains(&b);
    prefix.starts_with('/') && prefix.ends_with('/') && prefix.bytes().all(is_path)
}
