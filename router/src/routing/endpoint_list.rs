//! The endpoint list: what discovery tells is applied to the endpoint table, the upstream connections and the
//! decisions.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use kestreltide::interface::*;
use slog::{info, warn};

use super::discovery_watch::{Call, ResponseEnd};
use super::{ReadyReason, Routing};
use crate::protocol::Malformed;
use crate::protocol::discovery::{self, EndpointList, ListedEndpoint};
use crate::transport::SocketId;

impl Routing {
    /// Applies what this router knew of the endpoints before it was started.
    pub fn restore_endpoint_list(&mut self, list: &EndpointList) {
        self.apply_endpoint_list(list, ListScope::Cached);
        self.discovery.record_restored(list.rev);
        self.process_pending();
    }

    pub(super) fn subscribe_endpoint_list(&mut self, on: bool) {
        let response = self.discovery.subscribe(&mut self.event_loop, on);
        self.apply_discovery_responses(response);
    }

    pub(super) fn fetch_endpoint_list(&mut self) {
        let response = self.discovery.fetch_list(&mut self.event_loop);
        self.apply_discovery_responses(response);
    }

    pub(super) fn begin_watch(&mut self) {
        let response = self.discovery.begin_watch(&mut self.event_loop);
        self.apply_discovery_responses(response);
    }

    pub(super) fn on_discovery_readable(&mut self, id: SocketId) {
        let response = self.discovery.on_readable(&mut self.event_loop, id);
        self.apply_discovery_responses(response);
    }

    /// Applies what the old address has told by now and asks the new one.
    pub(super) fn change_discovery_address(&mut self, address: SocketAddr) {
        if address == self.discovery.address() {
            return;
        }
        for id in self.discovery.connections() {
            self.on_discovery_readable(id);
        }
        let response = self.discovery.change_address(&mut self.event_loop, address);
        self.apply_discovery_responses(response);
    }

    /// Applies the response of a call, and those that come when its connection asks again.
    fn apply_discovery_responses(&mut self, mut next: Option<Call>) {
        while let Some(mut call) = next {
            let response = self.apply_discovery_response(&mut call);
            next = self
                .discovery
                .complete(&mut self.event_loop, call, response);
        }
    }

    fn apply_discovery_response(
        &mut self,
        call: &mut Call,
    ) -> Result<Option<ResponseEnd>, Malformed> {
        let accepted_before = call.accepted_before();
        let limits = self.event_loop.limits.discovery.response;
        let Some((response, bytes)) = call.response(&limits)? else {
            return Ok(None);
        };
        let list = discovery::parse_list(&response.body)?;
        let scope = self
            .discovery
            .accept_list(&mut self.event_loop, &list, accepted_before)?;
        if let Some(scope) = scope {
            self.apply_endpoint_list(&list, scope);
        }
        self.mark_ready(ReadyReason::StateReceived);
        Ok(Some(ResponseEnd {
            bytes,
            stays_open: response.stays_open,
        }))
    }

    fn apply_endpoint_list(&mut self, list: &EndpointList, scope: ListScope) {
        self.discovery.record_list_applied();
        self.finish_staging();
        let is_full = scope != ListScope::Delta;
        let mut targets: Vec<_> = list.targets.iter().collect();
        if is_full {
            self.warn_about_duplicates(list);
        }
        if self.endpoints.len() + targets.len() > self.event_loop.limits.discovery.hosts {
            self.free_capacity(&mut targets, is_full);
        }
        let mut entries = Vec::with_capacity(targets.len());
        let mut left_out = vec![];
        for target in targets {
            let is_gone = target.state() == HostState::Gone;
            let (entry, close_idle_connections) = match self.endpoints.apply_entry(target) {
                Some(applied) => (applied.entry, applied.close_idle_connections),
                // It takes no room, and whoever still sends to it has to hear of it.
                None if is_gone => (target.to_host_record().entry(), true),
                None => {
                    left_out.push(target.uid.as_ref());
                    continue;
                }
            };
            if close_idle_connections {
                self.upstreams.close_idle(&self.event_loop, entry.host);
            }
            entries.push(entry);
        }
        if let Some(first) = left_out.first() {
            warn!(self.event_loop.log, "endpoint list truncated"; "uid" => *first,
                "left_out" => left_out.len(), "most" => self.event_loop.limits.discovery.hosts);
        }
        if is_full {
            for host in self.endpoints.retain_listed(&entries) {
                self.upstreams.close_idle(&self.event_loop, host);
            }
            entries.extend(self.endpoints.operator_only_entries());
        }
        let youngest = entries
            .iter()
            .filter_map(|entry| entry.started)
            .reduce(f64::max);
        let youngest = youngest.map_or("none".into(), |at| {
            format!("{:.2}", self.event_loop.now() - at)
        });
        info!(self.event_loop.log, "endpoint list applied"; "rev" => list.rev, "scope" => ?scope, "entries" => entries.len(),
            "running" => entries.iter().filter(|entry| entry.state == HostState::Running).count(),
            "youngest" => youngest);
        self.event_loop.notify_decisions(Event::EndpointList {
            scope,
            entries: entries.into(),
        });
        self.mark_view_stale();
    }

    /// A whole list names each host once; changes may tell that one went and came again.
    fn warn_about_duplicates(&self, list: &EndpointList) {
        let mut hosts: Vec<_> = list
            .targets
            .iter()
            .map(|target| HostId::named(&target.uid))
            .collect();
        hosts.sort_unstable();
        hosts.dedup();
        if hosts.len() < list.targets.len() {
            warn!(self.event_loop.log, "endpoint list names hosts twice, last entry used"; "rev" => list.rev,
                "entries" => list.targets.len(), "hosts" => hosts.len());
        }
    }

    /// Who has left makes room for who comes, and is taken after them: both would else be kept together until the
    /// next sweep, and at the limit who comes be left out.
    fn free_capacity(&mut self, targets: &mut [&ListedEndpoint], is_full: bool) {
        let host = |target: &&ListedEndpoint| HostId::named(&target.uid);
        let last_states: BTreeMap<_, _> = targets
            .iter()
            .map(|target| (host(target), target.state()))
            .collect();
        let is_gone =
            |target: &&ListedEndpoint| last_states.get(&host(target)) == Some(&HostState::Gone);
        targets.sort_by_key(is_gone);
        for target in targets.iter().filter(|target| is_gone(target)) {
            self.endpoints.apply_entry(target);
        }
        if is_full {
            let listed: Vec<_> = targets
                .iter()
                .map(|target| target.to_host_record().entry())
                .collect();
            for host in self.endpoints.retain_listed(&listed) {
                self.upstreams.close_idle(&self.event_loop, host);
            }
        }
        let connected_hosts = self.upstreams.hosts();
        self.endpoints.forget_gone(&connected_hosts);
    }
}
