//! What a stand-in bears a second: a bucket of tokens that refills at a rate.

/// Seconds of its rate that a bucket holds.
const BURST: f64 = 1.0;

#[derive(Clone, Debug)]
pub struct Budget {
    rate: f64,
    maximum: f64,
    left: f64,
    at: f64,
}

impl Budget {
    /// So many a second, and `bursts` seconds' worth at once.
    pub fn with_burst(rate: f64, bursts: f64, now: f64) -> Self {
        Budget {
            rate,
            maximum: rate * bursts,
            left: rate * bursts,
            at: now,
        }
    }

    pub fn new(rate: f64, now: f64) -> Self {
        Self::with_burst(rate, BURST, now)
    }

    fn refill(&mut self, now: f64) {
        self.left = (self.left + self.rate * (now - self.at).max(0.0)).min(self.maximum);
        self.at = self.at.max(now);
    }

    /// Takes so much if it is there.
    pub fn take(&mut self, now: f64, amount: f64) -> bool {
        self.refill(now);
        let there = self.left >= amount;
        self.left -= if there { amount } else { 0.0 };
        there
    }

    /// Takes so much if it is there within so many seconds; after how many.
    pub fn take_within(&mut self, now: f64, amount: f64, patience: f64) -> Option<f64> {
        self.refill(now);
        let wait = ((amount - self.left) / self.rate).max(0.0);
        (wait <= patience).then(|| {
            self.left -= amount;
            wait
        })
    }
}

#[cfg(test)]
mod tests;
