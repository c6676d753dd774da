//! Timers that the decisions have scheduled.

use std::collections::BTreeMap;

use crate::interface::{Effect, RequestId, TimerKey};

/// What a timer is for.
pub(super) enum TimerEvent {
    /// The next gossip round.
    Gossip,
    /// Subscribing to the endpoint list.
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
    /// Whether none was ever scheduled.
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

    /// What an expired timer was for; none for a key that is not known.
    pub(super) fn take(&mut self, key: TimerKey) -> Option<TimerEvent> {
        self.pending.remove(&key.0)
    }
}
