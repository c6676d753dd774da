//! The rollout of a build: its state, votes on it, and what speaks for them.

use std::fmt;

use super::events::AttemptOutcome;
use super::ids::BuildId;

/// The phase of a build's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is the canary: part of the machines run it, under a cap.
    Canary,
    /// It is being rolled back.
    RollingBack,
    /// It is released to all machines.
    Released,
    /// It has been rolled back.
    RolledBack,
}

/// The state of a rollout, as the platform told it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutStatus {
    /// Other than `Succeeded`: the answer to a vote that did not count, or (timed out) may have.
    pub outcome: AttemptOutcome,
    /// The newest build.
    pub build: BuildId,
    /// Its stage, from 0.
    pub stage: u32,
    /// Its phase.
    pub phase: Phase,
    /// The largest share of the requests that it may get.
    pub cap: f64,
    /// The time since this state began, in seconds.
    pub age: f64,
    /// Whether this is the answer to a vote of this router.
    pub answers_vote: bool,
}

/// A router's vote on a canary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Vote {
    /// No vote, or a vote withdrawn.
    #[default]
    Abstain,
    /// To the next stage.
    Promote,
    /// Stay at this stage.
    Hold,
    /// Back to the baseline.
    RollBack,
}

/// What the merged evidence says of one arm by one quality signal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SignalEvidence {
    /// The fraction of good outcomes; 0 where there are hardly any.
    pub good_fraction: f64,
    /// The outcomes, weighted and faded.
    pub outcomes: f64,
}

/// Written as fraction and outcomes: `0.98/120`.
impl fmt::Display for SignalEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}/{:.0}", self.good_fraction, self.outcomes)
    }
}

/// One quality signal of both arms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SignalComparison {
    /// The build, or builds, before the canary.
    pub baseline: SignalEvidence,
    /// The canary.
    pub canary: SignalEvidence,
}

/// Written as baseline and canary: `0.98/120:0.71/14`.
impl fmt::Display for SignalComparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.baseline, self.canary)
    }
}

/// What speaks for a vote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VoteEvidence {
    /// The build that the vote is about.
    pub build: BuildId,
    /// Its stage.
    pub stage: u32,
    /// The vote.
    pub vote: Vote,
    /// Answers within the latency objective.
    pub in_time: SignalComparison,
    /// Answers without an error.
    pub no_error: SignalComparison,
    /// Answers as quick as the quick ones of the baseline.
    pub quick: SignalComparison,
    /// How many times slower hosts are than before the canary, as all routers see it.
    pub relative_slowdown: f64,
}
