//! The timers that the decisions have scheduled.

use std::collections::BTreeMap;

use crate::interface::{Effect, RequestId, TimerKey};

/// What a timer triggers.
pub(super) enum TimerEvent {
    /// The next gossip round.
    Gossip,
    /// A subscription to the endpoint list.
    Subscribe,
    /// A hedged attempt of a request.
    Hedge(RequestId),
}

/// The timers that have not expired.
#[derive(Default)]
pub(super) struct Timers {
    pending: BTreeMap<u64, TimerEvent>,
    last_key: u64,
}

impl Timers {
    /// Whether no timer has ever been scheduled.
    pub(super) fn is_unused(&self) -> bool {
        self.last_key == 0
    }

    /// Schedules a timer for a point in time, in seconds.
    pub(super) fn schedule(&mut self, at: f64, event: TimerEvent, effects: &mut Vec<Effect>) {
        self.last_key += 1;
        self.pending.insert(self.last_key, event);
        effects.push(Effect::ScheduleTimer {
            at,
            key: TimerKey(self.last_key),
        });
    }

    /// Removes an expired timer and returns its event; none for an unknown key.
    pub(super) fn take(&mut self, key: TimerKey) -> Option<TimerEvent> {
        self.pending.remove(&key.0)
    }
}
