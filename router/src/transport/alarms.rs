//! What is due when, in order of time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

struct Entry<T> {
    at: f64,
    number: u64,
    what: T,
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        // The heap gives its greatest first.
        other
            .at
            .total_cmp(&self.at)
            .then(other.number.cmp(&self.number))
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

pub struct Alarms<T> {
    heap: BinaryHeap<Entry<T>>,
    number: u64,
    most: usize,
}

impl<T> Alarms<T> {
    pub fn new(most: usize) -> Self {
        Alarms {
            heap: BinaryHeap::new(),
            number: 0,
            most,
        }
    }

    /// False where no more can be kept.
    pub fn set(&mut self, at: f64, what: T) -> bool {
        let room = self.heap.len() < self.most;
        if room {
            self.number += 1;
            self.heap.push(Entry {
                at,
                number: self.number,
                what,
            });
        }
        room
    }

    pub fn next(&self) -> Option<f64> {
        self.heap.peek().map(|entry| entry.at)
    }

    pub fn due(&mut self, now: f64) -> Option<T> {
        if self.next()? > now {
            return None;
        }
        self.heap.pop().map(|entry| entry.what)
    }
}
