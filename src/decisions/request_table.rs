//! The requests without a final answer, with their attempts.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::sticky_builds::KeyHash;
use crate::interface::{AttemptOutcome, HostEntry, HostPool, OperatorOverrides, RequestId};

/// One attempt of a request.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) host: HostEntry,
    /// When it was sent, in seconds.
    pub(super) sent_at: f64,
    pub(super) in_flight: bool,
    /// It has ended, and the host may have run it.
    pub(super) may_have_run: bool,
    /// Its outcome counts as evidence about its build: its host was not ejected when it was sent.
    pub(super) is_evidence: bool,
    /// It was sent on a connection that counted as idle.
    pub(super) on_idle_connection: bool,
}

/// An attempt that has ended, with the properties of its request.
pub(super) struct FinishedAttempt {
    pub(super) attempt: Attempt,
    pub(super) operation: usize,
    /// Expected work of the request, in CPU seconds on a core of a standard machine.
    pub(super) work: f64,
    pub(super) outcome: AttemptOutcome,
    /// How long it took, in seconds.
    pub(super) duration: f64,
}

/// A request without a final answer or with attempts in flight; points in time are in seconds.
pub(super) struct TrackedRequest {
    pub(super) operation: usize,
    /// None also where the decisions do not depend on keys.
    pub(super) key: Option<KeyHash>,
    /// Expected work, in CPU seconds on a core of a standard machine.
    pub(super) work: f64,
    /// The client has sent it before.
    pub(super) is_client_retry: bool,
    /// The end of the latency objective.
    pub(super) objective_at: f64,
    /// When the client stops waiting.
    pub(super) deadline: f64,
    pub(super) attempts: Vec<Attempt>,
    pub(super) has_final_answer: bool,
    /// The hosts that may serve it; none: all.
    pub(super) pool: Option<Arc<HostPool>>,
    /// The operators' overrides in force when it arrived.
    pub(super) overrides: Arc<OperatorOverrides>,
}

impl TrackedRequest {
    /// The number of attempts in flight.
    pub(super) fn in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.in_flight)
            .count()
    }

    /// The first attempt that may have an effect. Idempotency keys limit the retries after it, in time and to hosts
    /// that know the key.
    pub(super) fn first_attempt_with_possible_effect(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.in_flight || attempt.may_have_run)
    }
}

/// The tracked requests by id.
#[derive(Default)]
pub(super) struct RequestTable {
    by_id: BTreeMap<RequestId, TrackedRequest>,
}

impl RequestTable {
    pub(super) fn get(&self, id: &RequestId) -> Option<&TrackedRequest> {
        self.by_id.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &RequestId) -> Option<&mut TrackedRequest> {
        self.by_id.get_mut(id)
    }

    pub(super) fn insert(&mut self, id: RequestId, request: TrackedRequest) {
        self.by_id.insert(id, request);
    }

    /// Marks a request as answered. It is removed once none of its attempts is in flight.
    pub(super) fn close(&mut self, id: &RequestId) {
        let Some(request) = self.by_id.get_mut(id) else {
            return;
        };
        request.has_final_answer = true;
        if request.in_flight() == 0 {
            self.by_id.remove(id);
        }
    }
}
