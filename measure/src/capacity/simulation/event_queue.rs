//! Events in the order of their times; those of the same time in the order in which they were put in.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

#[cfg(test)]
mod tests;

/// A queue of events by simulated time. What happens is kept in the heap itself.
pub struct EventQueue<T> {
    heap: BinaryHeap<Entry<T>>,
    next: u64,
}

struct Entry<T> {
    /// Nanoseconds, so that times have a total order.
    at: u64,
    order: u64,
    what: T,
}

impl<T> EventQueue<T> {
    pub fn new() -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            next: 0,
        }
    }

    /// Adds an event; `at` in seconds, the past counts as time zero.
    pub fn push(&mut self, at: f64, what: T) {
        let at = (at.max(0.0) * 1e9) as u64;
        self.heap.push(Entry {
            at,
            order: self.next,
            what,
        });
        self.next += 1;
    }

    /// Takes the earliest event that is due by `until` (seconds), with its time.
    pub fn pop_until(&mut self, until: f64) -> Option<(f64, T)> {
        let limit = (until.max(0.0) * 1e9) as u64;
        if self.heap.peek()?.at > limit {
            return None;
        }
        let entry = self.heap.pop()?;
        Some((entry.at as f64 / 1e9, entry.what))
    }
}

impl<T> Ord for Entry<T> {
    /// Reversed: the heap has the greatest on top, and the earliest is wanted.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
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
