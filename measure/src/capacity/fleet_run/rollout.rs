//! Where the newest build stands, by the votes of routers: the decisions of the stand-in platform.

use std::collections::BTreeMap;

use super::plan::{BALLOT_LIFE, ROLLOUT_CAPS, ROLLOUT_SHARES};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    Testing,
    Recalling,
    Live,
    Recalled,
}

impl Progress {
    pub fn name(self) -> &'static str {
        match self {
            Progress::Testing => "testing",
            Progress::Recalling => "recalling",
            Progress::Live => "live",
            Progress::Recalled => "recalled",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opinion {
    None,
    On,
    Hold,
    Back,
}

impl Opinion {
    pub fn named(name: &str) -> Option<Self> {
        Some(match name {
            "none" => Opinion::None,
            "on" => Opinion::On,
            "hold" => Opinion::Hold,
            "back" => Opinion::Back,
            _ => return None,
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    pub build: u16,
    pub stage: u32,
    pub progress: Progress,
    pub cap: f64,
    /// Since when it stands so.
    pub since: f64,
}

pub struct Rollout {
    standing: Standing,
    /// The build that serves where the newest is not let on.
    pub baseline: u16,
    needed: usize,
    bake: f64,
    votes: BTreeMap<u32, (Opinion, f64)>,
    /// The most votes on and back that stood at once in this stage.
    pub maximum: [usize; 2],
}

impl Rollout {
    pub fn new(build: u16, needed: u32, bake: f64, now: f64) -> Self {
        let standing = Standing {
            build,
            stage: 0,
            progress: Progress::Live,
            cap: 1.0,
            since: now,
        };
        Rollout {
            standing,
            baseline: build,
            needed: needed as usize,
            bake,
            votes: BTreeMap::new(),
            maximum: [0; 2],
        }
    }

    pub fn standing(&self) -> Standing {
        self.standing
    }

    fn stand(&mut self, stage: u32, progress: Progress, cap: f64, now: f64) {
        let build = self.standing.build;
        self.standing = Standing {
            build,
            stage,
            progress,
            cap,
            since: now,
        };
        self.votes.clear();
        self.maximum = [0; 2];
    }

    /// The next build goes on trial.
    pub fn begin(&mut self, now: f64) -> u16 {
        self.standing.build += 1;
        self.stand(0, Progress::Testing, ROLLOUT_CAPS[0], now);
        self.standing.build
    }

    /// The share of hosts that run the newest build once this stage is settled.
    pub fn share(&self) -> f64 {
        match self.standing.progress {
            Progress::Testing => ROLLOUT_SHARES[self.standing.stage as usize],
            Progress::Live => 1.0,
            Progress::Recalling | Progress::Recalled => 0.0,
        }
    }

    /// A router's vote; false where it is out of date.
    pub fn cast(
        &mut self,
        router: u32,
        build: u16,
        stage: u32,
        opinion: Opinion,
        now: f64,
    ) -> bool {
        let Standing {
            build: newest,
            stage: current,
            progress,
            ..
        } = self.standing;
        let open = matches!(progress, Progress::Testing | Progress::Live);
        let counts = open && (build, stage) == (newest, current);
        if counts {
            self.votes.insert(router, (opinion, now));
        }
        counts
    }

    fn count(&self, opinion: Opinion, now: f64) -> usize {
        self.votes
            .values()
            .filter(|(of, at)| *of == opinion && now - at < BALLOT_LIFE)
            .count()
    }

    /// Moves the build where its votes say so; whether it stands otherwise than before.
    pub fn decide(&mut self, now: f64) -> bool {
        let Standing {
            stage,
            progress,
            since,
            ..
        } = self.standing;
        if progress != Progress::Testing {
            return false;
        }
        let standing = [Opinion::On, Opinion::Back].map(|opinion| self.count(opinion, now));
        self.maximum = [0, 1].map(|of| self.maximum[of].max(standing[of]));
        if standing[1] >= self.needed {
            self.stand(stage, Progress::Recalling, 0.0, now);
            return true;
        }
        let on = standing[0] >= self.needed && now - since >= self.bake;
        if on && stage as usize + 1 < ROLLOUT_SHARES.len() {
            self.stand(
                stage + 1,
                Progress::Testing,
                ROLLOUT_CAPS[stage as usize + 1],
                now,
            );
        } else if on {
            self.baseline = self.standing.build;
            self.stand(stage, Progress::Live, 1.0, now);
        }
        on
    }

    /// All hosts run the baseline again.
    pub fn recalled(&mut self, now: f64) {
        self.stand(self.standing.stage, Progress::Recalled, 0.0, now);
    }

    /// The standing as the platform writes it.
    pub fn render(&self, now: f64) -> String {
        let Standing {
            build,
            stage,
            progress,
            cap,
            since,
        } = self.standing;
        let (progress, age) = (progress.name(), ((now - since).max(0.0) * 1e3) as u64);
        format!(
            "{{\"image\":{build},\"ring\":{stage},\"progress\":\"{progress}\",\"ceiling\":{cap},\
             \"lag_ms\":{age}}}"
        )
    }
}

#[cfg(test)]
mod tests;
