//! Voting: what this router votes on the canary, and when.
//!
//! A hash of the build and the router names the voters, so that few routers call the platform and all agree on
//! which. Calls are paced by the rate that the platform accepts.

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

/// Routers that vote, at least: few enough to agree soon, more than one may be dead.
const VOTERS: u32 = 3;

/// Seconds that a build keeps looking worse before the vote to roll it back, for evidence to mix.
const ROLL_BACK_DELAY: f64 = 1.0;

/// Seconds of a stage for which a canary that a timer moves on is held at most.
const HOLD_MAX: f64 = 2.0;

/// Seconds after which a vote is renewed, at least.
const RENEW_INTERVAL: f64 = 5.0;

/// Part of a vote's lifetime after which it is renewed at the latest.
const RENEW_PART_OF_LIFETIME: f64 = 0.8;

/// Turns after which a vote is renewed, at least.
const TURNS_TO_RENEW: f64 = 3.0;

/// Seconds before a vote is cast again that found the platform full, at least.
const RECAST_DELAY: f64 = 0.5;

/// Turns before a vote is cast again that found the platform full, at least.
const TURNS_TO_RECAST: f64 = 0.5;

/// Turns that a wish to withdraw the vote stands before it is cast; a call stays open for as long.
const TURNS_TO_WITHDRAW: f64 = 1.0;

/// Seconds that a wish to withdraw the vote stands before it is cast, at most.
const WITHDRAW_DELAY_MAX: f64 = 3.0;

/// Seconds that a vote goes unmet before the next routers in the hash's order cast it too.
const STAND_IN_DELAY: f64 = 1.5;

/// How many routers vote, and how fast the platform takes their calls; times are in seconds.
pub(super) struct VotePacing {
    voters: u32,
    /// The time in which the platform takes a vote of each voter: renewals and changes of mind count too.
    turn: f64,
    renew_interval: f64,
}

impl VotePacing {
    /// The pacing by a service's settings.
    pub(super) fn new(settings: &ServiceSettings) -> Self {
        let needed = settings
            .promote_votes
            .max(settings.roll_back_votes)
            .max(settings.hold_votes);
        let voters = VOTERS.max(needed);
        let turn = f64::from(voters) / settings.vote_rate;
        let renew_interval = RENEW_INTERVAL
            .max(TURNS_TO_RENEW * turn)
            .min(RENEW_PART_OF_LIFETIME * settings.vote_lifetime);
        VotePacing {
            voters,
            turn,
            renew_interval,
        }
    }

    /// The delay after which a router of this rank casts a vote that stays unmet: some voters may be dead or cut off.
    fn stand_in_delay(&self, rank: u32) -> f64 {
        let beyond = f64::from((rank + 1).saturating_sub(self.voters));
        (beyond * f64::from(VOTERS) / f64::from(self.voters)).ceil() * STAND_IN_DELAY
    }
}

/// The number of routers that the hash names before this one for a build.
pub(super) fn voter_rank(build: BuildId, router: RouterId, routers: u32) -> u32 {
    let place = |router: u32| {
        let hash = hash_mix(hash_mix(u64::from(build.0)) ^ u64::from(router));
        (hash, router)
    };
    let is_before = |other: &u32| place(*other) < place(router.0);
    (0..routers).filter(is_before).count() as u32
}

/// What this router votes; points in time are in seconds.
#[derive(Default)]
pub(super) struct VotingState {
    state: VoteState,
    /// The vote that was cast last.
    last_cast: Vote,
    /// What the platform was last known to have counted of this router.
    counted: Vote,
    cast_at: f64,
    /// The time before a vote that was not counted is cast again.
    recast_delay: f64,
    pub(super) desired: Vote,
    pub(super) desired_since: f64,
    /// Since when the canary has looked worse.
    worse_since: f64,
    /// How long the canary was held in this stage.
    pub(super) hold_time: f64,
    /// The number of routers that the hash names before this one.
    pub(super) rank: u32,
}

impl VotingState {
    pub(super) fn new() -> Self {
        VotingState {
            recast_delay: RECAST_DELAY,
            ..VotingState::default()
        }
    }

    /// Notes the answer to a vote; the next one, where it was not counted, waits for `jitter` times a delay.
    pub(super) fn on_answer(&mut self, may_be_counted: bool, pacing: &VotePacing, jitter: f64) {
        if may_be_counted {
            self.counted = self.last_cast;
        }
        let delay = RECAST_DELAY
            .max(TURNS_TO_RECAST * pacing.turn)
            .min(pacing.renew_interval);
        self.recast_delay = jitter * delay;
    }

    /// A build that only begins to look worse is doubtful.
    fn confirm(&mut self, now: f64, assessment: Assessment) -> Assessment {
        if assessment != Assessment::Worse {
            self.worse_since = now;
        }
        let is_firm = now - self.worse_since >= ROLL_BACK_DELAY;
        if assessment == Assessment::Worse && !is_firm {
            Assessment::Doubtful
        } else {
            assessment
        }
    }

    /// Sets the desired vote.
    fn desire(&mut self, now: f64, vote: Vote) {
        if vote != self.desired {
            self.desired = vote;
            self.desired_since = now;
        }
    }

    /// Whether the desired vote is to be cast now. Nothing is cast where nothing stands, nor is a vote withdrawn at
    /// once that may return: in a large fleet calls for nothing fill the platform, and some of half the voters
    /// doubt at any time.
    fn is_due(&self, now: f64, pacing: &VotePacing) -> bool {
        let abstains = self.desired == Vote::Abstain;
        let is_pending = self.state == VoteState::Pending;
        if abstains && self.counted == Vote::Abstain && !is_pending {
            return false;
        }
        let turn = TURNS_TO_WITHDRAW * pacing.turn;
        let is_open = is_pending && now - self.cast_at < turn;
        let is_firm = !abstains || now - self.desired_since >= turn.min(WITHDRAW_DELAY_MAX);
        let may_interrupt = !is_open || self.desired == Vote::RollBack;
        let is_changed = self.desired != self.last_cast && is_firm && may_interrupt;
        let wait = if self.state == VoteState::NoVote {
            self.recast_delay
        } else {
            pacing.renew_interval
        };
        is_changed || now - self.cast_at >= wait
    }
}

/// Operators' wishes stand beside the evidence: the more careful counts.
fn with_override(assessment: Assessment, asked: Option<&RolloutOverride>) -> Assessment {
    match asked {
        Some(asked) if asked.roll_back => Assessment::Worse,
        Some(_) => Assessment::SlowingAll,
        None => assessment,
    }
}

impl Router {
    /// Decides this router's vote on the canary, and casts it where it is due.
    pub(super) fn decide_vote(&mut self, now: f64, effects: &mut Vec<Effect>) {
        let is_voted_on =
            |status: &RolloutStatus| matches!(status.phase, Phase::Canary | Phase::Released);
        let Some(status) = self.rollout.status.filter(is_voted_on) else {
            return;
        };
        let assessment = self.assess_canary(now, &status);
        let assessment = self.voting.confirm(now, assessment);
        let asked = self
            .override_of(status.build)
            .filter(|asked| asked.roll_back || asked.hold && assessment != Assessment::Worse);
        let assessment = with_override(assessment, asked.as_ref());
        let vote = desired_vote(assessment, self.settings.timer_gated);
        let vote = vote.unwrap_or(self.voting.desired);
        let vote = if vote == Vote::Hold && asked.is_none() {
            self.limit_hold()
        } else {
            vote
        };
        self.voting.desire(now, vote);
        // Operators' wishes are cast at once and at any rank; others by the voters, then by those next in order.
        let pacing = &self.settings.vote_pacing;
        let delay = pacing.stand_in_delay(self.voting.rank);
        let is_voter = asked.is_some() || now - self.voting.desired_since >= delay;
        if self.voting.is_due(now, pacing) && is_voter {
            self.advance_vote(now, VoteInput::Due, effects);
        }
    }

    /// Holds for one more gossip interval, or no more where the canary was held for long in this stage.
    fn limit_hold(&mut self) -> Vote {
        self.voting.hold_time += GOSSIP_INTERVAL;
        if self.voting.hold_time > HOLD_MAX {
            Vote::Abstain
        } else {
            Vote::Hold
        }
    }

    /// Moves the vote by the table of transitions, and casts it where the table says so.
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

    /// Casts the desired vote; a new vote is explained by the first voters, a vote to roll back by all.
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
        if !is_renewal && (vote == Vote::RollBack || self.voting.rank < VOTERS) {
            effects.push(Effect::LogVoteEvidence(self.vote_evidence(status)));
        }
    }

    /// What speaks for the desired vote.
    fn vote_evidence(&self, status: &RolloutStatus) -> VoteEvidence {
        VoteEvidence {
            build: status.build,
            stage: status.stage,
            vote: self.voting.desired,
            in_time: self.compare(Signal::InTime),
            no_error: self.compare(Signal::NoError),
            quick: self.compare(Signal::Quick),
            relative_slowdown: self.peers.shared_slowdown,
        }
    }

    /// The merged evidence of both arms by one signal, over all operations.
    fn compare(&self, signal: Signal) -> SignalComparison {
        let of_arm = |arm| {
            let counts = self.evidence.merged.counts(None, signal, arm);
            SignalEvidence {
                good_fraction: counts.good_fraction(),
                outcomes: counts.total(),
            }
        };
        SignalComparison {
            baseline: of_arm(Arm::Baseline),
            canary: of_arm(Arm::Canary),
        }
    }
}
