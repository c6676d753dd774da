//! The platform: it counts each router's vote for a while, and moves a build by the votes of enough of them.

use kestreltide::interface::*;

#[cfg(test)]
mod tests;

/// What the platform is set to.
#[derive(Clone, Debug)]
pub struct PlatformTerms {
    /// Votes that have to stand at once, on or back.
    pub needed: usize,
    /// Calls a second that it takes of all routers, twice that in a burst.
    pub rate: f64,
    /// Seconds that a vote counts.
    pub vote_lifetime: f64,
    /// Seconds that a stage lasts at least.
    pub bake: f64,
    pub shares: Vec<f64>,
    pub caps: Vec<f64>,
}

/// What the votes came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Move {
    NextStage,
    Released,
    GoingBack,
}

#[derive(Clone, Copy)]
struct Ballot {
    vote: Vote,
    until: f64,
}

pub struct Platform {
    terms: PlatformTerms,
    ballots: Vec<Option<Ballot>>,
    tokens: f64,
    tokens_at: f64,
    build: BuildId,
    stage: u32,
    phase: Phase,
    since: f64,
    /// Calls that came.
    pub cast: usize,
    /// Of them, those that found the platform full.
    pub turned_away: usize,
}

impl Platform {
    /// `build` has been released for a minute.
    pub fn new(terms: PlatformTerms, routers: usize, build: BuildId, now: f64) -> Self {
        Platform {
            tokens: 2.0 * terms.rate,
            tokens_at: now,
            ballots: vec![None; routers],
            stage: terms.shares.len() as u32 - 1,
            phase: Phase::Released,
            since: now - 60.0,
            terms,
            build,
            cast: 0,
            turned_away: 0,
        }
    }

    pub fn build(&self) -> BuildId {
        self.build
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    pub fn stage(&self) -> u32 {
        self.stage
    }

    /// Share of all machines that the present stage has.
    pub fn share(&self) -> f64 {
        self.terms.shares[self.stage as usize]
    }

    /// Of all invocations, how many may go to the build on trial.
    pub fn cap(&self) -> f64 {
        match self.phase {
            Phase::Canary => self.terms.caps[self.stage as usize],
            Phase::Released => 1.0,
            Phase::RollingBack | Phase::RolledBack => 0.0,
        }
    }

    pub fn rollout_status(&self, now: f64) -> RolloutStatus {
        RolloutStatus {
            outcome: AttemptOutcome::Succeeded,
            build: self.build,
            stage: self.stage,
            phase: self.phase,
            cap: self.cap(),
            age: now - self.since,
            answers_vote: false,
        }
    }

    fn enter(&mut self, now: f64, stage: u32, phase: Phase) {
        (self.stage, self.phase, self.since) = (stage, phase, now);
        self.ballots.fill(None);
    }

    pub fn offer(&mut self, now: f64, build: BuildId) {
        self.build = build;
        self.enter(now, 0, Phase::Canary);
    }

    /// No machine runs the build any more.
    pub fn withdrawn(&mut self, now: f64) {
        self.enter(now, self.stage, Phase::RolledBack);
    }

    pub fn standing(&self, vote: Vote, now: f64) -> usize {
        self.ballots
            .iter()
            .flatten()
            .filter(|ballot| ballot.vote == vote && ballot.until > now)
            .count()
    }

    /// Takes a router's vote, if it can.
    pub fn vote(
        &mut self,
        now: f64,
        router: usize,
        build: BuildId,
        stage: u32,
        vote: Vote,
    ) -> AttemptOutcome {
        self.cast += 1;
        self.tokens =
            (self.tokens + (now - self.tokens_at) * self.terms.rate).min(2.0 * self.terms.rate);
        self.tokens_at = now;
        if build != self.build
            || stage != self.stage && vote == Vote::Promote
            || self.phase != Phase::Canary
        {
            return AttemptOutcome::Irrelevant;
        }
        if self.tokens < 1.0 {
            self.turned_away += 1;
            return AttemptOutcome::Rejected;
        }
        self.tokens -= 1.0;
        self.ballots[router] = Some(Ballot {
            vote,
            until: now + self.terms.vote_lifetime,
        });
        AttemptOutcome::Succeeded
    }

    /// Moves the build if the votes that stand say so.
    pub fn step(&mut self, now: f64) -> Option<Move> {
        if self.phase != Phase::Canary {
            return None;
        }
        if self.standing(Vote::RollBack, now) >= self.terms.needed {
            self.enter(now, self.stage, Phase::RollingBack);
            return Some(Move::GoingBack);
        }
        if now - self.since < self.terms.bake
            || self.standing(Vote::Promote, now) < self.terms.needed
        {
            return None;
        }
        let last = self.stage as usize + 1 == self.terms.shares.len();
        let (stage, phase) = if last {
            (self.stage, Phase::Released)
        } else {
            (self.stage + 1, Phase::Canary)
        };
        self.enter(now, stage, phase);
        Some(if last {
            Move::Released
        } else {
            Move::NextStage
        })
    }
}
