//! The requests that have no final answer yet, with their attempts.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::interface::{
    AttemptOutcome, BuildId, HostEntry, HostPool, KeyId, OperatorOverrides, RequestId,
};

/// One attempt of a request.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) host: HostEntry,
    pub(super) sent_at: f64,
    pub(super) in_flight: bool,
    /// It ended in a way that does not rule out that the host has run it.
    pub(super) may_have_run: bool,
    /// Its outcome is evidence of its build: its host was not ejected when it was sent.
    pub(super) is_evidence: bool,
    /// It went on a connection that had been idle for long.
    pub(super) on_idle_connection: bool,
}

/// An attempt that has ended, with what was known of its request.
pub(super) struct FinishedAttempt {
    pub(super) attempt: Attempt,
    pub(super) operation: usize,
    /// Expected work of the request, in seconds of a standard core.
    pub(super) work: f64,
    pub(super) outcome: AttemptOutcome,
    /// The time that it took, in seconds.
    pub(super) took: f64,
}

/// A request that has no final answer, or still has attempts in flight; points in time are in seconds.
pub(super) struct TrackedRequest {
    pub(super) operation: usize,
    pub(super) key: Option<KeyId>,
    /// Expected work, in seconds of a standard core.
    pub(super) work: f64,
    /// The client sends it again after an earlier try.
    pub(super) is_client_retry: bool,
    pub(super) objective_at: f64,
    pub(super) deadline: f64,
    pub(super) attempts: Vec<Attempt>,
    pub(super) has_final_answer: bool,
    pub(super) pool: Option<Arc<HostPool>>,
    /// What operators had set when it came.
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

    /// The first attempt that may have had an effect; retries are bound to it.
    pub(super) fn first_effect(&self) -> Option<&Attempt> {
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

    /// Marks a request as answered; it is dropped as soon as no attempt of it is in flight.
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

/// The builds that have answered keys which may not go back to an older one.
#[derive(Default)]
pub(super) struct StickyBuilds {
    by_key: BTreeMap<KeyId, BuildId>,
}

impl StickyBuilds {
    /// The build that a key may not go back from.
    pub(super) fn get(&self, key: Option<&KeyId>) -> Option<BuildId> {
        key.and_then(|key| self.by_key.get(key)).copied()
    }

    /// Binds a key to a build; it keeps the newest.
    pub(super) fn bind(&mut self, key: KeyId, build: BuildId) {
        self.by_key
            .entry(key)
            .and_modify(|bound| *bound = build.max(*bound))
            .or_insert(build);
    }

    /// Frees the keys of a build that is rolled back.
    pub(super) fn release(&mut self, build: BuildId) {
        self.by_key.retain(|_, bound| *bound != build);
    }
}
