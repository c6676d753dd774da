//! Admit: an invocation is let in while there is room for it, and gets its id.

use std::sync::Arc;

use kestreltide::interface::*;

use super::Routing;
use super::client_connection::QueuedReply;
use super::metrics::Counter;
use crate::protocol::client::{self, Kept};
use crate::transport::SocketId;

/// An invocation as it was taken in.
pub(super) struct ParsedRequest {
    pub(super) operation: OperationId,
    pub(super) key: Option<KeyId>,
    /// The hosts that are for it, by the routes in force when it came.
    pub(super) pool: Option<Arc<Pool>>,
    pub(super) time_left: f64,
    pub(super) again: bool,
    pub(super) kept: Kept,
}

/// An invocation that owes its client an answer.
pub(super) struct AdmittedRequest {
    pub(super) client: SocketId,
    pub(super) kept: Kept,
    pub(super) attempts: u32,
    /// The client is gone, which the decisions are still to hear.
    pub(super) left: bool,
}

impl Routing {
    pub(super) fn admit(&mut self, client: SocketId, taken: ParsedRequest) {
        let ParsedRequest {
            operation,
            key,
            pool,
            time_left,
            again,
            kept,
        } = taken;
        // Nothing has been dispatched: a client may be told that trying again is harmless.
        let full = self.admitted.len() >= self.event_loop.limits.requests.in_flight;
        if full
            || self.reserved_bytes + kept.size()
                > self.event_loop.limits.requests.stored_command_bytes
            || self.has_given_up()
        {
            self.event_loop.metrics.increment(Counter::RequestsRejected);
            return self.reply(client, |out| client::write_throttled(out, None));
        }
        // The client's own id goes to hosts unchanged; here a number stands for it, which nobody can repeat.
        self.last_request_number += 1;
        let id = RequestId(self.last_request_number.to_string().into());
        self.reserved_bytes += kept.size();
        self.open_request_ids.insert(kept.id().into(), client);
        self.event_loop.metrics.increment(Counter::RequestsAdmitted);
        if let Some(client) = self.clients.get_mut(&client) {
            client.queue.push_back(QueuedReply::Pending(id.clone()));
        }
        self.admitted.insert(
            id.clone(),
            AdmittedRequest {
                client,
                kept,
                attempts: 0,
                left: false,
            },
        );
        self.event_loop
            .notify_decisions(Event::RequestReceived(Request {
                id,
                operation,
                key,
                time_left,
                work: None,
                again,
                pool,
            }));
    }

    /// The invocation owes no answer any more.
    pub(super) fn release(&mut self, request: &RequestId) -> Option<AdmittedRequest> {
        let admitted = self.admitted.remove(request)?;
        self.reserved_bytes -= admitted.kept.size();
        if !admitted.left {
            self.open_request_ids.remove(admitted.kept.id());
        }
        Some(admitted)
    }
}
