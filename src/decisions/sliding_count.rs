//! The number of events within a sliding window, in bounded memory and at a cost that does not grow with their rate.

use std::collections::VecDeque;

/// Events that follow each other within the window's length divided by this share a bucket.
const BUCKETS_PER_WINDOW: f64 = 1024.0;

/// Which end of its bucket an event counts as having happened at. The other events of the bucket then count as earlier or
/// later than they were, by a thousandth of the window at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CountFrom {
    /// Its first event: events leave the window early, never late.
    First,
    /// Its last event: events leave the window late, never early.
    Last,
}

/// Events that count as one point in time.
struct Bucket {
    /// When its first event happened, in seconds.
    first_at: f64,
    /// When its last event happened, in seconds.
    last_at: f64,
    events: usize,
}

/// The number of events within a sliding window.
pub(super) struct SlidingCount {
    count_from: CountFrom,
    buckets: VecDeque<Bucket>,
    total: usize,
}

impl SlidingCount {
    pub(super) fn new(count_from: CountFrom) -> Self {
        SlidingCount {
            count_from,
            buckets: VecDeque::new(),
            total: 0,
        }
    }

    /// Counts an event. Times are in seconds and never decrease; `window` is the window's length.
    pub(super) fn add(&mut self, now: f64, window: f64) {
        self.total += 1;
        match self.buckets.back_mut() {
            Some(last) if now - last.first_at < window / BUCKETS_PER_WINDOW => {
                last.last_at = now;
                last.events += 1;
            }
            _ => self.buckets.push_back(Bucket {
                first_at: now,
                last_at: now,
                events: 1,
            }),
        }
    }

    /// Drops the events for which `is_over` is true of their time. Of later events it must not be true where it is not
    /// of earlier ones.
    pub(super) fn expire(&mut self, is_over: impl Fn(f64) -> bool) {
        let count_from = self.count_from;
        while let Some(oldest) = self.buckets.front()
            && is_over(oldest.time(count_from))
        {
            self.total -= oldest.events;
            self.buckets.pop_front();
        }
    }

    /// The number of events that were not dropped.
    pub(super) fn total(&self) -> usize {
        self.total
    }

    /// The number of events without those for which `is_over` is true of their time. The cost grows with the latter.
    pub(super) fn count_without(&self, is_over: impl Fn(f64) -> bool) -> usize {
        let over = self
            .buckets
            .iter()
            .take_while(|bucket| is_over(bucket.time(self.count_from)))
            .map(|bucket| bucket.events);
        self.total - over.sum::<usize>()
    }
}

impl Bucket {
    fn time(&self, count_from: CountFrom) -> f64 {
        match count_from {
            CountFrom::First => self.first_at,
            CountFrom::Last => self.last_at,
        }
    }
}

#[cfg(test)]
mod tests;
