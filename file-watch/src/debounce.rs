//! Decides when changed content of files has settled, so that a file is not taken up while it is being written.
//! Performs no I/O: it is given the changes and a digest of what was read, and returns when to poll next and whether to
//! emit the content.

/// The shortest time between polls, in seconds, which avoids a busy loop.
const MIN_DELAY_SECONDS: f64 = 0.001;

/// The times that the decision depends on, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DebounceSettings {
    /// The time without a change after which content has settled: the files are taken to be completely written.
    pub quiet_period: f64,
    /// The time after which a complete version is emitted though the files keep changing.
    pub max_delay: f64,
    /// The time between polls if no change is notified.
    pub poll_interval: f64,
    /// The minimum time between versions that are emitted, however often the files change.
    pub min_interval: f64,
}

/// The state of the content that was read last.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// The content that was read last has been handled.
    Settled,
    /// The content that was read last has not been handled.
    Changing {
        /// When the first change was seen, in seconds.
        since: f64,
        /// When the last change was seen, in seconds.
        changed: f64,
        /// The digest of the content after the last change.
        digest: u64,
    },
}

/// What to do with content that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DebounceAction {
    /// Wait: nothing is new, the content has not settled, or the last version was emitted too recently.
    Wait,
    /// Emit the content if it is a complete version. Otherwise wait, as it may still be being written.
    EmitIfComplete,
    /// Emit the content: it has settled, so if it is not complete, that is an error.
    Emit,
}

/// Content that was handled, and when (in seconds).
#[derive(Clone, Copy, Debug, PartialEq)]
struct HandledContent {
    digest: u64,
    at: f64,
}

/// Decides when content has settled. All times are in seconds of one monotonic clock.
#[derive(Clone, Debug)]
pub struct Debouncer {
    settings: DebounceSettings,
    state: State,
    last_handled: Option<HandledContent>,
    /// Whether the files may have changed since they were read last.
    change_notified: bool,
}

impl Debouncer {
    /// Creates a debouncer before any content was read.
    pub fn new(settings: DebounceSettings) -> Self {
        Debouncer {
            settings,
            state: State::Settled,
            last_handled: None,
            change_notified: true,
        }
    }

    /// Marks content as handled: it is not emitted again.
    pub fn mark_handled(&mut self, now: f64, digest: u64) {
        self.state = State::Settled;
        self.last_handled = Some(HandledContent { digest, at: now });
    }

    /// Marks that the files may have changed, so that they are read at the next poll.
    pub fn mark_changed(&mut self) {
        self.change_notified = true;
    }

    /// Returns whether the files have to be read though their stamps are unchanged.
    pub fn needs_read(&self) -> bool {
        self.change_notified || self.state != State::Settled
    }

    /// Decides what to do with content that was read at `now`. After [`DebounceAction::Emit`] the content counts as
    /// handled; after [`DebounceAction::EmitIfComplete`] only once [`Debouncer::mark_handled`] is called.
    pub fn observe(&mut self, now: f64, digest: u64) -> DebounceAction {
        self.change_notified = false;
        let is_handled = self.last_handled.is_some_and(|last| last.digest == digest);
        if is_handled && self.state == State::Settled {
            return DebounceAction::Wait;
        }
        let (since, changed) = match self.state {
            State::Settled => (now, now),
            State::Changing {
                since,
                changed,
                digest: before,
            } => (since, if before == digest { changed } else { now }),
        };
        self.state = State::Changing {
            since,
            changed,
            digest,
        };
        let has_settled = now - changed >= self.settings.quiet_period;
        if has_settled && is_handled {
            // The content changed and changed back before the change was handled.
            self.state = State::Settled;
            return DebounceAction::Wait;
        }
        let is_too_soon = self
            .last_handled
            .is_some_and(|last| now - last.at < self.settings.min_interval);
        if is_too_soon {
            DebounceAction::Wait
        } else if has_settled {
            self.mark_handled(now, digest);
            DebounceAction::Emit
        } else if now - since >= self.settings.max_delay {
            DebounceAction::EmitIfComplete
        } else {
            DebounceAction::Wait
        }
    }

    /// Returns the seconds until the next poll if no change is notified before.
    pub fn next_poll_delay(&self, now: f64) -> f64 {
        let State::Changing { changed, .. } = self.state else {
            return self.settings.poll_interval;
        };
        let until_settled = changed + self.settings.quiet_period - now;
        let until_allowed = self
            .last_handled
            .map_or(0.0, |last| last.at + self.settings.min_interval - now);
        until_settled
            .max(until_allowed)
            .clamp(MIN_DELAY_SECONDS, self.settings.poll_interval)
    }
}
