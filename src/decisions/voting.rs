//! Voting: how this router votes on the canary, and when.
//!
//! A hash of the build and the router selects the voters, so that few routers call the platform and all routers agree
//! on which. The interval between calls follows the rate that the platform accepts.

use super::Router;
use super::canary_assessment::Assessment;
use super::evidence::Signal;
use super::gossip::GOSSIP_INTERVAL;
use super::vote_tables::{VoteInput, VoteState, desired_vote, transition};
use crate::arm::Arm;
use crate::hashing::hash_mix;
use crate::interface::{
    BuildId, Effect, Phase, RolloutOverride, RolloutStatus, RouterId, ServiceSettings,
    SignalComparison, SignalEvidence, Vote, VoteEvidence,
};

/// Minimum number of routers that vote: few enough to reach agreement soon, and more than one in case one is dead.
const MIN_VOTERS: u32 = 3;

/// Seconds for which the canary must look worse before the vote to roll it back, so that gossip can spread the
/// evidence.
const ROLL_BACK_CONFIRM_TIME: f64 = 1.0;

/// Maximum time in a stage, in seconds, for which a canary that a timer promotes is held.
const MAX_HOLD_TIME: f64 = 2.0;

/// Minimum time, in seconds, after which a vote is renewed.
const MIN_RENEW_INTERVAL: f64 = 5.0;

/// Fraction of a vote's lifetime after which it is renewed at the latest.
const RENEW_LIFETIME_FRACTION: f64 = 0.8;

/// Minimum number of voting rounds after which a vote is renewed, see [`VotePacing`].
const MIN_RENEW_ROUNDS: f64 = 3.0;

/// Minimum time, in seconds, before a vote that the platform rejected as overloaded is cast again.
const MIN_RECAST_DELAY: f64 = 0.5;

/// Minimum number of voting rounds before such a vote is cast again.
const MIN_RECAST_ROUNDS: f64 = 0.5;

/// Number of voting rounds for which `Abstain` must be the desired vote before a vote is withdrawn. A call without an
/// answer counts as open for as long.
const WITHDRAW_ROUNDS: f64 = 1.0;

/// Maximum time, in seconds, for which `Abstain` must be the desired vote before a vote is withdrawn.
const MAX_WITHDRAW_DELAY: f64 = 3.0;

/// Seconds for which a desired vote must last before the next group of routers in the hash's order casts it too.
const BACKUP_VOTER_DELAY: f64 = 1.5;

/// How many routers vote and how fast they call the platform; times are in seconds.
pub(super) struct VotePacing {
    voters: u32,
    /// The duration of a voting round: the time in which the platform accepts one call from each voter, renewals and
    /// changed votes included.
    round_time: f64,
    renew_interval: f64,
}

impl VotePacing {
    /// The pacing for a service's settings.
    pub(super) fn new(settings: &ServiceSettings) -> Self {
        let required_votes = settings
            .promote_votes
            .max(settings.roll_back_votes)
            .max(settings.hold_votes);
        let voters = MIN_VOTERS.max(required_votes);
        let round_time = f64::from(voters) / settings.vote_rate;
        let renew_interval = MIN_RENEW_INTERVAL
            .max(MIN_RENEW_ROUNDS * round_time)
            .min(RENEW_LIFETIME_FRACTION * settings.vote_lifetime);
        VotePacing {
            voters,
            round_time,
            renew_interval,
        }
    }

    /// The time for which a vote must be desired before a router of this rank casts it, in seconds: 0 for voters.
    /// Others follow in groups of a third of the number of voters, because voters can be dead or disconnected.
    fn backup_delay(&self, rank: u32) -> f64 {
        let excess_rank = f64::from((rank + 1).saturating_sub(self.voters));
        (excess_rank * f64::from(MIN_VOTERS) / f64::from(self.voters)).ceil() * BACKUP_VOTER_DELAY
    }
}

/// The number of routers that come before this one in the hash's order for a build.
pub(super) fn voter_rank(build: BuildId, router: RouterId, routers: u32) -> u32 {
    let sort_key = |router: u32| {
        let hash = hash_mix(hash_mix(u64::from(build.0)) ^ u64::from(router));
        (hash, router)
    };
    let is_before = |other: &u32| sort_key(*other) < sort_key(router.0);
    (0..routers).filter(is_before).count() as u32
}

/// The state of this router's vote; points in time are in seconds.
#[derive(Default)]
pub(super) struct VotingState {
    state: VoteState,
    /// The vote that was cast last.
    last_cast: Vote,
    /// The vote of this router that the platform is last known to have counted.
    counted: Vote,
    cast_at: f64,
    /// The delay before a vote that was not counted is cast again.
    recast_delay: f64,
    pub(super) desired: Vote,
    pub(super) desired_since: f64,
    /// The time since which the canary has looked worse.
    worse_since: f64,
    /// For how long the canary has been held in this stage.
    pub(super) hold_time: f64,
    /// The number of routers that come before this one in the hash's order.
    pub(super) rank: u32,
}

impl VotingState {
    pub(super) fn new() -> Self {
        VotingState {
            recast_delay: MIN_RECAST_DELAY,
            ..VotingState::default()
        }
    }

    /// Records the answer to a vote, and sets the delay before a vote that was not counted is cast again, multiplied
    /// by `jitter`.
    pub(super) fn on_answer(&mut self, may_be_counted: bool, pacing: &VotePacing, jitter: f64) {
        if may_be_counted {
            self.counted = self.last_cast;
        }
        let delay = MIN_RECAST_DELAY
            .max(MIN_RECAST_ROUNDS * pacing.round_time)
            .min(pacing.renew_interval);
        self.recast_delay = jitter * delay;
    }

    /// Turns `Worse` into `ProbablyWorse` until the canary has looked worse for [`ROLL_BACK_CONFIRM_TIME`].
    fn confirm_worse(&mut self, now: f64, assessment: Assessment) -> Assessment {
        if assessment != Assessment::Worse {
            self.worse_since = now;
        }
        let is_confirmed = now - self.worse_since >= ROLL_BACK_CONFIRM_TIME;
        if assessment == Assessment::Worse && !is_confirmed {
            Assessment::ProbablyWorse
        } else {
            assessment
        }
    }

    /// Sets the desired vote.
    fn set_desired(&mut self, now: f64, vote: Vote) {
        if vote != self.desired {
            self.desired = vote;
            self.desired_since = now;
        }
    }

    /// Whether the desired vote should be cast now. There is nothing to withdraw where no vote is counted or pending,
    /// and a vote is withdrawn only after a delay, because the assessment may change back: in a large fleet, needless
    /// calls exhaust the platform's rate, and at any time some voters assess the canary as probably worse.
    fn is_due(&self, now: f64, pacing: &VotePacing) -> bool {
        let abstains = self.desired == Vote::Abstain;
        let is_pending = self.state == VoteState::Pending;
        if abstains && self.counted == Vote::Abstain && !is_pending {
            return false;
        }
        let withdraw_delay = WITHDRAW_ROUNDS * pacing.round_time;
        let call_is_open = is_pending && now - self.cast_at < withdraw_delay;
        let is_confirmed =
            !abstains || now - self.desired_since >= withdraw_delay.min(MAX_WITHDRAW_DELAY);
        let may_interrupt = !call_is_open || self.desired == Vote::RollBack;
        let is_changed = self.desired != self.last_cast && is_confirmed && may_interrupt;
        let wait = if self.state == VoteState::NoVote {
            self.recast_delay
        } else {
            pacing.renew_interval
        };
        is_changed || now - self.cast_at >= wait
    }
}

/// Combines the assessment with an operator's override; the more cautious of both counts.
fn apply_override(assessment: Assessment, requested: Option<&RolloutOverride>) -> Assessment {
    match requested {
        Some(requested) if requested.roll_back => Assessment::Worse,
        Some(_) => Assessment::PromotionBlocked,
        None => assessment,
    }
}

impl Router {
    /// Decides this router's vote on the canary, and casts it when it is due.
    pub(super) fn decide_vote(&mut self, now: f64, effects: &mut Vec<Effect>) {
        let is_voted_on =
            |status: &RolloutStatus| matches!(status.phase, Phase::Canary | Phase::Released);
        let Some(status) = self.rollout.status.filter(is_voted_on) else {
            return;
        };
        let assessment = self.assess_canary(now, &status);
        let assessment = self.voting.confirm_worse(now, assessment);
        let requested = self.override_of(status.build).filter(|requested| {
            requested.roll_back || requested.hold && assessment != Assessment::Worse
        });
        let assessment = apply_override(assessment, requested.as_ref());
        let vote = desired_vote(assessment, self.settings.timer_gated);
        let vote = vote.unwrap_or(self.voting.desired);
        let vote = if vote == Vote::Hold && requested.is_none() {
            self.hold_or_abstain()
        } else {
            vote
        };
        self.voting.set_desired(now, vote);
        // Votes that operators request are cast at once by every router; others by the voters, and later by the
        // routers next in order.
        let pacing = &self.settings.vote_pacing;
        let delay = pacing.backup_delay(self.voting.rank);
        let is_voter = requested.is_some() || now - self.voting.desired_since >= delay;
        if self.voting.is_due(now, pacing) && is_voter {
            self.advance_vote(now, VoteInput::Due, effects);
        }
    }

    /// Votes to hold for one more gossip interval, or abstains once the canary has been held for [`MAX_HOLD_TIME`] in
    /// this stage.
    fn hold_or_abstain(&mut self) -> Vote {
        self.voting.hold_time += GOSSIP_INTERVAL;
        if self.voting.hold_time > MAX_HOLD_TIME {
            Vote::Abstain
        } else {
            Vote::Hold
        }
    }

    /// Applies an input to the vote's state table, and casts the desired vote where the table says so.
    pub(super) fn advance_vote(&mut self, now: f64, input: VoteInput, effects: &mut Vec<Effect>) {
        let Some(row) = transition(self.voting.state, input) else {
            return;
        };
        self.voting.state = row.to;
        if input == VoteInput::NewStage {
            self.voting.last_cast = Vote::Abstain;
            self.voting.counted = Vote::Abstain;
        }
        if let Some(status) = self.rollout.status.filter(|_| row.casts) {
            self.cast_vote(now, &status, effects);
        }
    }

    /// Casts the desired vote. The evidence for a new vote is logged by the first [`MIN_VOTERS`] routers, for a vote
    /// to roll back by every router.
    fn cast_vote(&mut self, now: f64, status: &RolloutStatus, effects: &mut Vec<Effect>) {
        let vote = self.voting.desired;
        let is_renewal = self.voting.last_cast == vote;
        self.voting.last_cast = vote;
        self.voting.cast_at = now;
        effects.push(Effect::CastVote {
            build: status.build,
            stage: status.stage,
            vote,
        });
        if !is_renewal && (vote == Vote::RollBack || self.voting.rank < MIN_VOTERS) {
            effects.push(Effect::LogVoteEvidence(self.vote_evidence(status)));
        }
    }

    /// The evidence for the desired vote.
    fn vote_evidence(&self, status: &RolloutStatus) -> VoteEvidence {
        VoteEvidence {
            build: status.build,
            stage: status.stage,
            vote: self.voting.desired,
            in_time: self.signal_comparison(Signal::InTime),
            no_error: self.signal_comparison(Signal::NoError),
            quick: self.signal_comparison(Signal::Quick),
            relative_slowdown: self.peers.shared_slowdown,
        }
    }

    /// The merged evidence of both arms for one signal, over all operations.
    fn signal_comparison(&self, signal: Signal) -> SignalComparison {
        let arm_evidence = |arm| {
            let counts = self.evidence.merged.counts(None, signal, arm);
            SignalEvidence {
                good_fraction: counts.good_fraction(),
                outcomes: counts.total(),
            }
        };
        SignalComparison {
            baseline: arm_evidence(Arm::Baseline),
            canary: arm_evidence(Arm::Canary),
        }
    }
}
