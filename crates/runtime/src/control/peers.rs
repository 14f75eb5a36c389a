//! Messages between the control threads of hosts.

use bytes::Bytes;
use pistachiochute_core::{entity, membership, time};
use pistachiochute_messages::{codec, control};
use tokio::sync::oneshot;

use crate::control::state::State;
use crate::link;

impl State {
    /// Handles a message from another host and answers it.
    pub(super) fn handle_message(
        &mut self,
        now: time::Time,
        message: control::Message,
        done: oneshot::Sender<Bytes>,
    ) {
        let answer = match message {
            control::Message::Probe(probe) => {
                let (answer, effects) = self.membership.handle_probe(now, &probe);
                self.apply_membership_effects(now, effects);
                control::Message::Probe(answer)
            }
            control::Message::Lists { from, message } => {
                self.lists_message(now, from, message);
                control::Message::Received
            }
            control::Message::Received => control::Message::Received,
            control::Message::Loads(report) => {
                control::Message::Loads(self.handle_report(now, &report))
            }
        };
        if let Ok(answer) = codec::encode(&answer) {
            // Sending fails if the connection to the other host has been closed meanwhile.
            let _ = done.send(answer);
        }
    }

    /// Handles the answer of another host to a message.
    pub(super) fn handle_answer(
        &mut self,
        now: time::Time,
        from: entity::HostId,
        answer: Result<control::Message, link::CallError>,
    ) {
        let effects = match answer {
            // The answer names a different host if the address has been reused.
            Ok(control::Message::Probe(probe)) if probe.from != from => {
                self.membership.handle_probe_failure(now, from, false)
            }
            Ok(control::Message::Probe(probe)) => self.membership.handle_answer(now, &probe),
            Ok(control::Message::Loads(report)) if report.from == from => {
                self.apply_report(now, &report);
                return;
            }
            Ok(
                control::Message::Loads(_)
                | control::Message::Lists { .. }
                | control::Message::Received,
            ) => return,
            Err(e) => {
                let refused = e == link::CallError::ConnectFailed;
                self.membership.handle_probe_failure(now, from, refused)
            }
        };
        self.apply_membership_effects(now, effects);
    }

    pub(super) fn send(&self, to: entity::HostId, message: &control::Message) {
        let addr = self.directory.host(to).map(|host| host.addr);
        let (Some(links), Some(addr)) = (&self.links, addr) else {
            return;
        };
        let Ok(encoded) = codec::encode(message) else {
            return;
        };
        let handle = self.handle.clone();
        // Errors count against the host only for probes. Other messages are not failure detection.
        let is_probe = matches!(message, control::Message::Probe(_));
        links.control(addr, encoded, move |answer| {
            let answer = answer.and_then(|bytes| {
                codec::decode_frame(&bytes).map_err(|_| link::CallError::Malformed)
            });
            if answer.is_ok() || is_probe {
                handle.handle_answer(to, answer);
            }
        });
    }

    /// Applies the effects of the membership.
    pub(super) fn apply_membership_effects(
        &mut self,
        now: time::Time,
        effects: membership::Effects,
    ) {
        let mut changed = false;
        for effect in effects {
            match effect {
                membership::Effect::SendProbe { to, probe } => {
                    self.send(to, &control::Message::Probe(probe));
                }
                membership::Effect::HostChanged { host, usable } => {
                    slog::info!(self.log, "host"; "peer" => %host, "usable" => usable);
                    self.refresh_host(host);
                    if !usable {
                        self.host_down(now, host);
                    }
                    changed = true;
                }
                membership::Effect::EndpointChanged { endpoint, leaving } => {
                    slog::info!(self.log, "endpoint";
                        "endpoint" => %endpoint, "leaving" => leaving);
                    self.directory.set_endpoint_leaving(endpoint, leaving);
                    changed = true;
                }
                membership::Effect::DomainChanged { domain, reachable } => {
                    slog::warn!(self.log, "failure domain";
                        "domain" => %domain, "reachable" => reachable);
                    self.refresh_domain(domain);
                    changed = true;
                }
            }
        }
        if changed {
            self.refresh_replica(now);
            self.reconcile_endpoints(now);
        }
    }

    fn refresh_domain(&mut self, domain: entity::DomainId) {
        let in_domain = self.directory.hosts().filter(|host| host.domain == domain);
        let hosts: Vec<_> = in_domain.map(|host| host.id).collect();
        for host in hosts {
            self.refresh_host(host);
        }
    }

    fn refresh_host(&mut self, host: entity::HostId) {
        let domain = self.directory.host(host).map(|host| host.domain);
        let reachable = domain.is_some_and(|domain| self.membership.is_reachable(domain));
        self.directory
            .set_host_usable(host, reachable && self.membership.is_usable(host));
    }
}
