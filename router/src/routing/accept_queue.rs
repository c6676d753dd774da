//! Since when the clients in the listener's queue may have been waiting.
//!
//! The time limit of a request counts from its arrival, and a client may send one before it is accepted. Where a turn of
//! the event loop leaves clients in the queue, those of later turns have waited since before that turn.

/// A lower bound on the arrival of the next accepted client.
struct Waiting {
    /// The client arrived then or later, in Unix seconds.
    since: f64,
    /// When `since` was determined, in Unix seconds.
    determined_at: f64,
    /// How many of the next clients may have been in the queue at `determined_at`.
    clients_left: usize,
}

/// The clients that earlier turns have left in the listener's queue. The queue is in the order of arrival.
pub(super) struct AcceptQueue {
    /// The largest number of clients in the queue.
    capacity: usize,
    /// `None` where the last turn emptied the queue.
    waiting: Option<Waiting>,
}

impl AcceptQueue {
    /// A queue for `backlog` clients, which the operating system exceeds by one.
    pub(super) fn new(backlog: usize) -> Self {
        AcceptQueue {
            capacity: backlog + 1,
            waiting: None,
        }
    }

    /// The earliest time, in Unix seconds, at which the next client may have arrived. `arrived_since` is that time for
    /// a queue that was empty at the end of the last turn.
    pub(super) fn arrived_since(&self, arrived_since: f64) -> f64 {
        self.waiting
            .as_ref()
            .map_or(arrived_since, |waiting| waiting.since.min(arrived_since))
    }

    /// Records that the queue was found empty, or that there is no room for its clients. In the latter case it may not
    /// be seen empty for long, and an ever older bound would have new requests rejected.
    pub(super) fn reset(&mut self) {
        self.waiting = None;
    }

    /// Records that a client was accepted at `now`. Once as many were accepted as the queue can hold, the next one has
    /// arrived after the bound was determined.
    pub(super) fn on_accepted(&mut self, now: f64) {
        let Some(waiting) = &mut self.waiting else {
            return;
        };
        waiting.clients_left -= 1;
        if waiting.clients_left == 0 {
            *waiting = Waiting {
                since: waiting.determined_at,
                determined_at: now,
                clients_left: self.capacity,
            };
        }
    }

    /// Records that a turn ends at `now` and may leave clients in the queue. Where the queue was empty before the turn,
    /// they arrived at `arrived_since` or later.
    pub(super) fn on_left_waiting(&mut self, arrived_since: f64, now: f64) {
        let capacity = self.capacity;
        self.waiting.get_or_insert(Waiting {
            since: arrived_since,
            determined_at: now,
            clients_left: capacity,
        });
    }
}

#[cfg(test)]
mod tests;
