//! Decides when the content of files is a version. Free of I/O: it is given changes and what was read, and says when to
//! look next and what to offer.

/// The shortest sleep in seconds: a look that finds nothing yet is not repeated at once.
const MIN_DELAY: f64 = 0.001;

/// The times that the decision goes by, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DebounceSettings {
    /// Files without a change for this time are taken for completely written.
    pub quiet_period: f64,
    /// Files that change all the time are looked at all the same after this time.
    pub max_delay: f64,
    /// The time between looks where no change is notified.
    pub poll_interval: f64,
    /// The least time between versions that are offered, however often files change.
    pub min_interval: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// What was seen last has been handled.
    Settled,
    /// Content that has not been handled.
    Changing {
        /// When the first change was seen.
        since: f64,
        /// When the content changed last.
        changed: f64,
        /// What it was then.
        digest: u64,
    },
}

/// What to do with content that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DebounceAction {
    /// Wait: nothing is new, or it has not settled.
    Wait,
    /// Offer it if it is complete by its ends; if not, it may still be written.
    OfferIfComplete,
    /// Offer it: it has settled, and if it is not complete now, that is how it was meant.
    Offer,
}

/// Content that was handled, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Handled {
    digest: u64,
    at: f64,
}

/// Decides when content has settled; all times are seconds of one clock.
#[derive(Clone, Debug)]
pub struct Debouncer {
    settings: DebounceSettings,
    state: State,
    last_handled: Option<Handled>,
    change_notified: bool,
}

impl Debouncer {
    /// Before anything was read.
    pub fn new(settings: DebounceSettings) -> Self {
        Debouncer {
            settings,
            state: State::Settled,
            last_handled: None,
            change_notified: true,
        }
    }

    /// Marks content as in force already.
    pub fn mark_handled(&mut self, now: f64, digest: u64) {
        self.state = State::Settled;
        self.last_handled = Some(Handled { digest, at: now });
    }

    /// Marks that something may have changed.
    pub fn mark_changed(&mut self) {
        self.change_notified = true;
    }

    /// Whether the content is to be read though its stamp is as it was.
    pub fn needs_read(&self) -> bool {
        self.change_notified || self.state != State::Settled
    }

    /// Decides on content that was read now. What is offered counts as handled; what is offered if complete only
    /// after [`Debouncer::mark_handled`].
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
            // It changed and came back before anybody handled it.
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
            DebounceAction::Offer
        } else if now - since >= self.settings.max_delay {
            DebounceAction::OfferIfComplete
        } else {
            DebounceAction::Wait
        }
    }

    /// Seconds to sleep where no change is notified.
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
            .clamp(MIN_DELAY, self.settings.poll_interval)
    }
}
