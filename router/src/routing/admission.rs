//! Admission of requests: the table of admitted requests, and their limits.

use std::collections::BTreeMap;
use std::sync::Arc;

use kestreltide::interface::*;

use super::Routing;
use super::client_connection::QueuedReply;
use super::metrics::Counter;
use crate::limits::RequestLimits;
use crate::protocol::client::{self, StoredCommand};
use crate::transport::SocketId;

/// A request that a client has sent and that is not admitted yet.
pub(super) struct ParsedRequest {
    pub(super) operation: OperationId,
    pub(super) key: Option<KeyId>,
    /// The hosts that the request's route allows, by the routes in force when the request arrived; `None` allows all.
    pub(super) pool: Option<Arc<HostPool>>,
    /// When the client stops waiting, in Unix seconds.
    pub(super) deadline: f64,
    /// Whether the client marked it as sent before.
    pub(super) is_retry: bool,
    /// The bytes to forward to hosts, with the id that the client gave the request.
    pub(super) command: StoredCommand,
}

/// A request from its admission to its final outcome.
struct AdmittedRequest {
    client: SocketId,
    command: StoredCommand,
    /// When the client stops waiting, in Unix seconds.
    deadline: f64,
    /// Whether its id, should it come again, may be run again.
    may_repeat: bool,
    /// Whether a host may have run it.
    may_have_run: bool,
    /// Attempts started.
    attempts: u32,
    /// The client has disconnected, and the decisions have not processed that event yet.
    client_has_disconnected: bool,
}

/// The admitted requests.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, AdmittedRequest>,
    /// The ids that clients gave to the requests they wait for, each with its client's connection.
    open_ids: BTreeMap<Box<[u8]>, SocketId>,
    /// The number that is the id of the request admitted last.
    last_number: u64,
}

impl RequestTable {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether one more request can be admitted.
    fn has_capacity(&self, limits: &RequestLimits) -> bool {
        self.requests.len() < limits.in_flight
    }

    /// Adds a request and returns the id by which the router knows it.
    fn admit(
        &mut self,
        client: SocketId,
        command: StoredCommand,
        deadline: f64,
        may_repeat: bool,
    ) -> RequestId {
        // Hosts get the client's id unchanged. Inside the router a number takes its place, which stays unique whatever
        // ids clients send.
        self.last_number += 1;
        let id = RequestId(self.last_number.to_string().into());
        self.open_ids.insert(command.id().into(), client);
        let request = AdmittedRequest {
            client,
            command,
            deadline,
            may_repeat,
            may_have_run: false,
            attempts: 0,
            client_has_disconnected: false,
        };
        self.requests.insert(id.clone(), request);
        id
    }

    /// Removes a request that needs no response any more; returns its client.
    pub(super) fn release(&mut self, request: &RequestId) -> Option<SocketId> {
        let request = self.requests.remove(request)?;
        if !request.client_has_disconnected {
            self.open_ids.remove(request.command.id());
        }
        Some(request.client)
    }

    /// Marks a request whose client has disconnected; false where there is no such request.
    pub(super) fn abandon(&mut self, request: &RequestId) -> bool {
        let Some(request) = self.requests.get_mut(request) else {
            return false;
        };
        request.client_has_disconnected = true;
        // The id is free at once: the client may send the request again before the decisions process the disconnect.
        self.open_ids.remove(request.command.id());
        true
    }

    /// Counts one more attempt and returns its number, from 0.
    pub(super) fn begin_attempt(&mut self, request: &RequestId) -> Option<AttemptNumber> {
        let request = self.requests.get_mut(request)?;
        let attempt = AttemptNumber(request.attempts);
        request.attempts += 1;
        Some(attempt)
    }

    /// Whether the request's client is known to have disconnected.
    pub(super) fn client_has_disconnected(&self, request: &RequestId) -> bool {
        self.requests
            .get(request)
            .is_some_and(|request| request.client_has_disconnected)
    }

    /// Whether the request's client still waits for a response.
    pub(super) fn client_awaits_response(&self, request: &RequestId) -> bool {
        self.requests
            .get(request)
            .is_some_and(|request| !request.client_has_disconnected)
    }

    /// The connection of the request's client.
    pub(super) fn client(&self, request: &RequestId) -> Option<SocketId> {
        self.requests.get(request).map(|request| request.client)
    }

    /// When the request's client stops waiting, in Unix seconds.
    pub(super) fn deadline(&self, request: &RequestId) -> Option<f64> {
        self.requests.get(request).map(|request| request.deadline)
    }

    /// The command to forward to hosts.
    pub(super) fn command(&self, request: &RequestId) -> Option<&StoredCommand> {
        self.requests.get(request).map(|request| &request.command)
    }

    /// Attempts started.
    pub(super) fn attempts(&self, request: &RequestId) -> u32 {
        self.requests
            .get(request)
            .map_or(0, |request| request.attempts)
    }

    /// Records whether a host may have run a request.
    pub(super) fn set_may_have_run(&mut self, request: &RequestId, may_have_run: bool) {
        if let Some(request) = self.requests.get_mut(request) {
            request.may_have_run = may_have_run;
        }
    }

    /// The id that the client gave to a request that must not be run again, as a host may have run it.
    pub(super) fn unrepeatable_id(&self, request: &RequestId) -> Option<&[u8]> {
        let request = self.requests.get(request)?;
        (request.may_have_run && !request.may_repeat).then(|| request.command.id())
    }

    /// The connection of the client that awaits the response to the request with this id; clients choose the ids.
    pub(super) fn connection_awaiting(&self, client_id: &[u8]) -> Option<SocketId> {
        self.open_ids.get(client_id).copied()
    }

    /// All requests, each with the number of attempts started.
    pub(super) fn attempt_counts(&self) -> Vec<(RequestId, u32)> {
        self.requests
            .iter()
            .map(|(id, request)| (id.clone(), request.attempts))
            .collect()
    }
}

impl Routing {
    /// Admits a request and passes it to the decisions; rejects it where there is no capacity, or where the router
    /// is shutting down and has already given up its open requests.
    pub(super) fn admit(&mut self, client: SocketId, request: ParsedRequest) {
        let ParsedRequest {
            operation,
            key,
            pool,
            deadline,
            is_retry,
            command,
        } = request;
        let limits = &self.event_loop.limits.requests;
        if !self.requests.has_capacity(limits) || self.shutdown.has_given_up() {
            return self.reject_request(client);
        }
        let may_repeat = self.is_idempotent(operation);
        let id = self.requests.admit(client, command, deadline, may_repeat);
        let time_left = (deadline - self.event_loop.now()).max(0.0);
        self.event_loop.metrics.increment(Counter::RequestsAdmitted);
        if let Some(client) = self.clients.get_mut(&client) {
            client.queue.push_back(QueuedReply::Pending(id.clone()));
        }
        self.event_loop
            .notify_decisions(Event::RequestReceived(Request {
                id,
                operation,
                key,
                time_left,
                work: None,
                is_retry,
                pool,
            }));
    }

    /// Whether an operation may run any number of times.
    pub(super) fn is_idempotent(&self, operation: OperationId) -> bool {
        matches!(
            self.idempotency.get(operation.0),
            Some(Idempotency::Idempotent)
        )
    }

    /// Rejects a request of which no attempt was started, so that a retry is safe.
    pub(super) fn reject_request(&mut self, client: SocketId) {
        self.event_loop.metrics.increment(Counter::RequestsRejected);
        self.reply(client, |out| client::write_busy(out, None));
    }
}
