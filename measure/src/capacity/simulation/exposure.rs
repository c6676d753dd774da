//! Rule 5: in every window, the dispatches at the build on trial against its cap times the invocations taken, for one
//! router by what it was told (the rule), or for all routers together by what the platform says. A cap of all is none.

use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// The worst ratio of what was sent to what may be, and where it was.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Worst {
    pub ratio: f64,
    pub at: f64,
    /// Dispatches at the trial in that window.
    pub sent: usize,
    pub accepted: usize,
    pub cap: f64,
}

pub struct Exposure {
    window: f64,
    spare: f64,
    accepted: VecDeque<f64>,
    sent: VecDeque<f64>,
    /// Since when a cap is in force.
    caps: VecDeque<(f64, f64)>,
    /// With the spare dispatches counted once for all routers.
    pub spare_once: Worst,
    /// With the spare dispatches counted for each router.
    pub spare_each: Worst,
}

impl Exposure {
    /// `window` in seconds; so many `spare` dispatches go beyond the cap.
    pub fn new(window: f64, spare: f64) -> Self {
        let (accepted, sent, caps) = (VecDeque::new(), VecDeque::new(), VecDeque::new());
        let (spare_once, spare_each) = (Worst::default(), Worst::default());
        Exposure {
            window,
            spare,
            accepted,
            sent,
            caps,
            spare_once,
            spare_each,
        }
    }

    /// Another build goes on trial; the worst so far is forgotten.
    pub fn begin(&mut self, now: f64, cap: f64) {
        self.sent.clear();
        self.caps = VecDeque::from([(now, cap)]);
        (self.spare_once, self.spare_each) = (Worst::default(), Worst::default());
    }

    pub fn set_cap(&mut self, now: f64, cap: f64) {
        self.caps.push_back((now, cap));
    }

    pub fn took(&mut self, now: f64) {
        self.accepted.push_back(now);
        Self::forget(&mut self.accepted, now - self.window);
    }

    /// A dispatch at the build on trial, with so many routers up.
    pub fn sent(&mut self, now: f64, routers: usize) {
        self.sent.push_back(now);
        let from = now - self.window;
        Self::forget(&mut self.accepted, from);
        Self::forget(&mut self.sent, from);
        // The highest cap that was in force within the window.
        while self.caps.get(1).is_some_and(|(since, _)| *since <= from) {
            self.caps.pop_front();
        }
        let cap = self.caps.iter().map(|(_, cap)| *cap).fold(0.0, f64::max);
        if cap >= 1.0 {
            return;
        }
        let (sent, accepted) = (self.sent.len(), self.accepted.len());
        let ratio = |spare: f64| sent as f64 / (spare + cap * accepted as f64).max(1.0);
        let [once, each] = [ratio(self.spare), ratio(self.spare * routers as f64)];
        for (worst, ratio) in [(&mut self.spare_once, once), (&mut self.spare_each, each)] {
            if ratio > worst.ratio {
                *worst = Worst {
                    ratio,
                    at: now,
                    sent,
                    accepted,
                    cap,
                };
            }
        }
    }

    fn forget(times: &mut VecDeque<f64>, before: f64) {
        while times.front().is_some_and(|at| *at < before) {
            times.pop_front();
        }
    }
}
