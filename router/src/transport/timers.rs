//! A bounded queue of timers, ordered by deadline.

use std::collections::BTreeMap;

/// Identifies a scheduled timer, so that it can be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerId {
    /// The bits of the deadline, whose order is that of the deadlines: these are not negative.
    deadline_bits: u64,
    /// Increases with each timer, so that timers with the same deadline expire in the order in which they were
    /// scheduled.
    sequence: u64,
}

impl TimerId {
    /// In Unix seconds.
    fn deadline(&self) -> f64 {
        f64::from_bits(self.deadline_bits)
    }
}

/// A queue of timers, each with an event. Deadlines are in Unix seconds.
pub struct Timers<T> {
    pending: BTreeMap<TimerId, T>,
    last_sequence: u64,
    capacity: usize,
}

impl<T> Timers<T> {
    /// Creates an empty queue for at most `capacity` timers.
    pub fn new(capacity: usize) -> Self {
        Timers {
            pending: BTreeMap::new(),
            last_sequence: 0,
            capacity,
        }
    }

    /// Schedules a timer. If the queue is full, drops the event and returns `None`.
    pub fn schedule(&mut self, deadline: f64, event: T) -> Option<TimerId> {
        if self.pending.len() >= self.capacity {
            return None;
        }
        self.last_sequence += 1;
        let id = TimerId {
            deadline_bits: deadline.max(0.0).to_bits(),
            sequence: self.last_sequence,
        };
        self.pending.insert(id, event);
        Some(id)
    }

    /// Removes a timer, if it has not expired.
    pub fn cancel(&mut self, id: TimerId) {
        self.pending.remove(&id);
    }

    /// The number of timers that have not expired.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// The earliest deadline.
    pub fn next_deadline(&self) -> Option<f64> {
        self.pending.keys().next().map(TimerId::deadline)
    }

    /// Removes the earliest timer if its deadline is not after `now`, and returns its event.
    pub fn pop_due(&mut self, now: f64) -> Option<T> {
        if self.next_deadline()? > now {
            return None;
        }
        self.pending.pop_first().map(|(_, event)| event)
    }
}

#[cfg(test)]
mod tests;
