//! The rollout of a build: its status, the votes on it, and the evidence for a vote.

use std::fmt;

use super::events::AttemptOutcome;
use super::ids::BuildId;

/// The phase of a build's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The build is the canary: some of the machines run it, and a cap limits its share of the requests.
    Canary,
    /// The build is being rolled back.
    RollingBack,
    /// The build is released to all machines.
    Released,
    /// The build has been rolled back.
    RolledBack,
}

/// The status of a rollout, as the platform reports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutStatus {
    /// `Succeeded` if this reports the status. Any other outcome answers a vote, and the status is ignored: the vote
    /// was counted if the outcome is `Irrelevant`, may have been counted if it is `TimedOut`, and otherwise was not.
    pub outcome: AttemptOutcome,
    /// The newest build.
    pub build: BuildId,
    /// The stage of its rollout, from 0.
    pub stage: u32,
    /// The phase of its rollout.
    pub phase: Phase,
    /// The largest share of the requests that the build may get.
    pub cap: f64,
    /// The time since this stage or phase began, in seconds.
    pub age: f64,
    /// Whether this is the answer to a vote of this router.
    pub answers_vote: bool,
}

/// A router's vote on a canary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Vote {
    /// Cast no vote, or withdraw the last one.
    #[default]
    Abstain,
    /// Move the canary on to the next stage.
    Promote,
    /// Keep the canary at its stage.
    Hold,
    /// Return to the baseline.
    RollBack,
}

/// The evidence for one quality signal of the baseline or of the canary, merged from the routers' gossip.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SignalEvidence {
    /// The fraction of good outcomes; 0 if there are hardly any outcomes.
    pub good_fraction: f64,
    /// The number of outcomes, weighted and decayed with age.
    pub outcomes: f64,
}

/// Formats the fraction and the number of outcomes: `0.98/120`.
impl fmt::Display for SignalEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}/{:.0}", self.good_fraction, self.outcomes)
    }
}

/// The evidence for one quality signal of the baseline and of the canary.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SignalComparison {
    /// The evidence for the builds before the canary.
    pub baseline: SignalEvidence,
    /// The evidence for the canary.
    pub canary: SignalEvidence,
}

/// Formats the baseline and the canary: `0.98/120:0.71/14`.
impl fmt::Display for SignalComparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.baseline, self.canary)
    }
}

/// The evidence that a vote is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct VoteEvidence {
    /// The canary build.
    pub build: BuildId,
    /// The stage of its rollout, from 0.
    pub stage: u32,
    /// The vote.
    pub vote: Vote,
    /// Responses within the latency objective.
    pub in_time: SignalComparison,
    /// Responses without an error.
    pub no_error: SignalComparison,
    /// Responses as fast as the fast responses of the baseline.
    pub quick: SignalComparison,
    /// The factor by which hosts respond slower than before the canary, according to all routers.
    pub relative_slowdown: f64,
}
