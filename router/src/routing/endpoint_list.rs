//! The endpoint list: applies discovery's responses to the endpoint table, the upstream connections and the decisions.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use kestreltide::interface::*;
use slog::{info, warn};

use super::discovery_call::{Call, ResponseEnd};
use super::{ReadyReason, Routing};
use crate::protocol::Malformed;
use crate::protocol::discovery::{self, EndpointList, ListedEndpoint};
use crate::transport::SocketId;

impl Routing {
    /// Applies the endpoint list that was cached before the router was started.
    pub fn restore_endpoint_list(&mut self, list: &EndpointList) {
        self.apply_endpoint_list(list, ListScope::Cached);
        self.discovery.record_restored(list.rev);
        self.process_pending();
    }

    /// Starts or ends the watch of the endpoint list.
    pub(super) fn subscribe_endpoint_list(&mut self, on: bool) {
        let response = self.discovery.subscribe(&mut self.event_loop, on);
        self.apply_discovery_responses(response);
    }

    /// Fetches the full endpoint list once.
    pub(super) fn fetch_endpoint_list(&mut self) {
        let response = self.discovery.fetch_list(&mut self.event_loop);
        self.apply_discovery_responses(response);
    }

    /// Begins to watch the endpoint list, where it is to be watched and no watch is open.
    pub(super) fn begin_watch(&mut self) {
        let response = self.discovery.begin_watch(&mut self.event_loop);
        self.apply_discovery_responses(response);
    }

    /// Handles a ready connection to discovery.
    pub(super) fn on_discovery_readable(&mut self, id: SocketId) {
        let response = self.discovery.on_readable(&mut self.event_loop, id);
        self.apply_discovery_responses(response);
    }

    /// Applies the responses that discovery's old address has sent already, then requests the list from the new one.
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

    /// Applies the response of a call. Its connection may send the next request, whose response is applied in turn.
    fn apply_discovery_responses(&mut self, mut next: Option<Call>) {
        while let Some(mut call) = next {
            let response = self.apply_discovery_response(&mut call);
            next = self
                .discovery
                .complete(&mut self.event_loop, call, response);
        }
    }

    /// Applies the response of one call; `None` where it is incomplete.
    fn apply_discovery_response(
        &mut self,
        call: &mut Call,
    ) -> Result<Option<ResponseEnd>, Malformed> {
        let accepted_before = call.accepted_before;
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
            is_unchanged: !list.all && list.targets.is_empty(),
        }))
    }

    /// Applies a list to the endpoint table, closes idle connections that it makes unusable, and passes it to the
    /// decisions.
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
            let is_removed = target.state() == HostState::Removed;
            let (entry, close_idle_connections) = match self.endpoints.apply_entry(target) {
                Some(applied) => (applied.entry, applied.close_idle_connections),
                // The table is full. A removed host needs no place in it, and the decisions must learn of its removal.
                None if is_removed => (target.to_host_record().entry(), true),
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

    /// Logs a full list that names a host more than once. In a list of changes this is valid: a host may have left and
    /// come back.
    fn warn_about_duplicates(&self, list: &EndpointList) {
        let mut hosts: Vec<_> = list
            .targets
            .iter()
            .map(|target| HostId::from_name(&target.uid))
            .collect();
        hosts.sort_unstable();
        hosts.dedup();
        if hosts.len() < list.targets.len() {
            warn!(self.event_loop.log, "endpoint list names hosts twice, last entry used"; "rev" => list.rev,
                "entries" => list.targets.len(), "hosts" => hosts.len());
        }
    }

    /// Drops removed hosts from the table to make room for new ones, and orders `targets` so that removed hosts come
    /// last. Otherwise they would stay until the next periodic check, and at the limit new hosts would be left out.
    fn free_capacity(&mut self, targets: &mut [&ListedEndpoint], is_full: bool) {
        let host = |target: &&ListedEndpoint| HostId::from_name(&target.uid);
        let last_states: BTreeMap<_, _> = targets
            .iter()
            .map(|target| (host(target), target.state()))
            .collect();
        let is_removed =
            |target: &&ListedEndpoint| last_states.get(&host(target)) == Some(&HostState::Removed);
        targets.sort_by_key(is_removed);
        for target in targets.iter().filter(|target| is_removed(target)) {
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
        self.endpoints.forget_removed(&connected_hosts);
    }
}
