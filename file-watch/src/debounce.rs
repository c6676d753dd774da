//! When what files hold is a version. Free of I/O: it is told of notices and of what was read, and says when to
//! look next and what to offer.

/// What the waiting goes by, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DebounceSettings {
    /// Without a change for this time, files are taken for written.
    pub quiet_period: f64,
    /// Files that change all the time are looked at all the same after this time.
    pub max_delay: f64,
    /// Between looks where no notice comes.
    pub poll_interval: f64,
    /// Between versions that are offered: who flaps is followed no faster.
    pub min_interval: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// What was seen last has been dealt with.
    Settled,
    /// Something has stirred: since when, when it last changed, and what it was then.
    Changing {
        since: f64,
        changed: f64,
        digest: u64,
    },
}

/// What to do with what was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DebounceAction {
    /// Wait: nothing is new, or it has not settled.
    Wait,
    /// It may be offered if it is whole by its ends; if not, it may still be written.
    OfferIfComplete,
    /// It has settled: if it is not whole now, that is how it was meant.
    Offer,
}

/// Decides when content has settled; all times in seconds on one clock.
#[derive(Clone, Debug)]
pub struct Debouncer {
    patience: DebounceSettings,
    state: State,
    /// What was dealt with last, and when.
    done: Option<(u64, f64)>,
    noticed: bool,
}

impl Debouncer {
    /// Before anything was read.
    pub fn new(patience: DebounceSettings) -> Self {
        Debouncer {
            patience,
            state: State::Settled,
            done: None,
            noticed: true,
        }
    }

    /// This is in force already.
    pub fn mark_handled(&mut self, now: f64, digest: u64) {
        (self.state, self.done) = (State::Settled, Some((digest, now)));
    }

    /// Something may have changed.
    pub fn mark_changed(&mut self) {
        self.noticed = true;
    }

    /// Whether the content is to be read though its mark is as it was.
    pub fn needs_read(&self) -> bool {
        self.noticed || self.state != State::Settled
    }

    /// What was read now; what is offered counts as dealt with, what is tried only once it was whole.
    pub fn observe(&mut self, now: f64, digest: u64) -> DebounceAction {
        self.noticed = false;
        let DebounceSettings {
            quiet_period: debounce,
            max_delay: longest,
            min_interval: apart,
            ..
        } = self.patience;
        if self.done.is_some_and(|(done, _)| done == digest) && self.state == State::Settled {
            return DebounceAction::Wait;
        }
        let (since, changed) = match self.state {
            State::Changing {
                since,
                changed,
                digest: before,
            } if before == digest => (since, changed),
            State::Changing { since, .. } => (since, now),
            State::Settled => (now, now),
        };
        self.state = State::Changing {
            since,
            changed,
            digest,
        };
        let settled = now - changed >= debounce;
        if settled && self.done.is_some_and(|(done, _)| done == digest) {
            // It went and came back before anybody took it.
            self.state = State::Settled;
            return DebounceAction::Wait;
        }
        let late = now - since >= longest;
        let soon = self.done.is_some_and(|(_, at)| now - at < apart);
        match () {
            () if soon => DebounceAction::Wait,
            () if settled => {
                self.mark_handled(now, digest);
                DebounceAction::Offer
            }
            () if late => DebounceAction::OfferIfComplete,
            () => DebounceAction::Wait,
        }
    }

    /// How long to sleep where no notice comes.
    pub fn next_poll_delay(&self, now: f64) -> f64 {
        let soon = self
            .done
            .map_or(0.0, |(_, at)| at + self.patience.min_interval - now);
        match self.state {
            State::Settled => self.patience.poll_interval,
            State::Changing { changed, .. } => {
                let settled = changed + self.patience.quiet_period - now;
                settled
                    .max(soon)
                    .clamp(SHORTEST, self.patience.poll_interval)
            }
        }
    }
}

/// Seconds; a look that finds nothing yet is not repeated at once.
const SHORTEST: f64 = 0.001;
