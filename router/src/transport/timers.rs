//! A bounded queue of timers, ordered by deadline.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A scheduled timer.
struct Entry<T> {
    /// Unix seconds.
    deadline: f64,
    /// Increases with each timer, so that timers with the same deadline expire in the order in which they were
    /// scheduled.
    sequence: u64,
    event: T,
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        // Reversed, since the heap yields its greatest entry first and the earliest deadline is needed.
        other
            .deadline
            .total_cmp(&self.deadline)
            .then(other.sequence.cmp(&self.sequence))
    }
}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Entry<T> {}

/// A queue of timers, each with an event. Deadlines are in Unix seconds.
pub struct Timers<T> {
    heap: BinaryHeap<Entry<T>>,
    last_sequence: u64,
    capacity: usize,
}

impl<T> Timers<T> {
    /// Creates an empty queue for at most `capacity` timers.
    pub fn new(capacity: usize) -> Self {
        Timers {
            heap: BinaryHeap::new(),
            last_sequence: 0,
            capacity,
        }
    }

    /// Schedules a timer. If the queue is full, drops the event and returns false.
    pub fn schedule(&mut self, deadline: f64, event: T) -> bool {
        let has_capacity = self.heap.len() < self.capacity;
        if has_capacity {
            self.last_sequence += 1;
            self.heap.push(Entry {
                deadline,
                sequence: self.last_sequence,
                event,
            });
        }
        has_capacity
    }

    /// The earliest deadline.
    pub fn next_deadline(&self) -> Option<f64> {
        self.heap.peek().map(|entry| entry.deadline)
    }

    /// Removes the earliest timer if its deadline is not after `now`, and returns its event.
    pub fn pop_due(&mut self, now: f64) -> Option<T> {
        if self.next_deadline()? > now {
            return None;
        }
        self.heap.pop().map(|entry| entry.event)
    }
}
