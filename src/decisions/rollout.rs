//! The state of the rollout as the platform reports it, and what is reset when a new build or stage begins.

use rand::RngExt;

use super::evidence::Signal;
use super::vote_tables::VoteInput;
use super::voting::voter_rank;
use super::{MIN_DIVISOR, Router};
use crate::arm::Arm;
use crate::interface::{
    AttemptOutcome, BuildId, Effect, Phase, RolloutOverride, RolloutStatus, Vote,
};

use super::gossip::GOSSIP_INTERVAL;

/// Tolerance, in seconds, for the start of a state as computed from its age: the age does not include the time that
/// the message takes to arrive.
const STATUS_AGE_TOLERANCE: f64 = 0.5;

/// What a router knows of the rollout.
pub(super) struct RolloutState {
    /// The latest status; none before the platform has sent one.
    pub(super) status: Option<RolloutStatus>,
    /// When the current stage or phase began, in seconds.
    pub(super) stage_since: f64,
    /// The canary's share of the hosts, weighted by size.
    pub(super) canary_share: f64,
    /// The number of canary hosts.
    pub(super) canary_hosts: f64,
}

impl RolloutState {
    /// The state at time `now`, before the first status.
    pub(super) fn new(now: f64) -> Self {
        RolloutState {
            status: None,
            stage_since: now,
            canary_share: 0.0,
            canary_hosts: 0.0,
        }
    }
}

/// How far the rollout of one build has come, ordered by phase and then by stage; a rollout never goes backwards in
/// this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct RolloutProgress {
    phase_rank: u8,
    stage: u32,
}

/// The progress that a status reports.
fn progress(status: &RolloutStatus) -> RolloutProgress {
    let phase_rank = match status.phase {
        Phase::Canary => 0,
        Phase::Released => 1,
        Phase::RollingBack => 2,
        Phase::RolledBack => 3,
    };
    RolloutProgress {
        phase_rank,
        stage: status.stage,
    }
}

impl Router {
    /// The phase of a build. Builds before that of the latest status count as released, later ones as canaries.
    pub(super) fn phase_of(&self, build: BuildId) -> Phase {
        match self.rollout.status {
            Some(status) if build < status.build => Phase::Released,
            Some(status) if build == status.build => status.phase,
            Some(_) => Phase::Canary,
            // Before the first status only the lowest listed build is safe to use, as any other may be a later one.
            None => {
                let lowest = self.hosts.lowest_build;
                if lowest.is_none_or(|lowest| build <= lowest) {
                    Phase::Released
                } else {
                    Phase::RolledBack
                }
            }
        }
    }

    /// Whether a build is the canary.
    pub(super) fn is_canary(&self, build: BuildId) -> bool {
        self.phase_of(build) == Phase::Canary
    }

    /// Whether a host with a build before the canary is listed; true before the first status.
    pub(super) fn baseline_is_listed(&self) -> bool {
        self.rollout
            .status
            .is_none_or(|status| self.hosts.lists_older_than(status.build))
    }

    /// The operators' override for a build. It can hold the build, roll it back or lower its cap, and nothing more.
    pub(super) fn override_of(&self, build: BuildId) -> Option<RolloutOverride> {
        self.overrides
            .rollout
            .filter(|requested| requested.build == build)
    }

    /// Recomputes the canary's share of the hosts and the weight of the baseline's outcomes, which makes both arms'
    /// evidence comparable in size.
    pub(super) fn update_canary_share(&mut self) {
        let canary = self.hosts.index.sum(|build| self.is_canary(build));
        let total = self.hosts.index.sum(|_| true);
        let share = canary.share / total.share.max(MIN_DIVISOR);
        self.rollout.canary_share = share;
        self.rollout.canary_hosts = canary.hosts as f64;
        self.evidence.baseline_weight = if share > 0.0 {
            (share / (1.0 - share).max(MIN_DIVISOR)).min(1.0)
        } else {
            1.0
        };
    }

    /// Processes a status of the rollout, which may also be the answer to a vote.
    pub(super) fn on_rollout_status(
        &mut self,
        now: f64,
        status: RolloutStatus,
        effects: &mut Vec<Effect>,
    ) {
        if status.answers_vote {
            self.on_vote_answer(now, status.outcome, effects);
        }
        let old = self.rollout.status;
        let is_outdated = old.is_some_and(|old| self.is_outdated(now, &old, &status));
        if status.outcome != AttemptOutcome::Succeeded || is_outdated {
            return;
        }
        self.rollout.status = Some(status);
        self.sticky_builds.merge_settled(status.build);
        if matches!(status.phase, Phase::RollingBack | Phase::RolledBack) {
            self.sticky_builds.unbind(status.build);
        }
        let is_same_build = old.is_some_and(|old| old.build == status.build);
        if !is_same_build {
            self.begin_canary(&status, old);
        }
        let is_same_stage =
            old.is_some_and(|old| old.stage == status.stage && old.phase == status.phase);
        if !is_same_build || !is_same_stage {
            self.begin_stage(now, &status, is_same_build, effects);
        }
    }

    /// Whether a status is older than the current one. Statuses arrive in order, except that the answer to a vote can
    /// arrive after the status of a later stage. An earlier stage in such an answer is accepted only if it began
    /// after the current one, as happens when the platform's state was reset.
    fn is_outdated(&self, now: f64, current: &RolloutStatus, status: &RolloutStatus) -> bool {
        if current.build != status.build {
            return current.build > status.build;
        }
        let began = now - status.age;
        let has_begun_since = began > self.rollout.stage_since + STATUS_AGE_TOLERANCE;
        status.answers_vote && progress(current) > progress(status) && !has_begun_since
    }

    /// Processes the answer to a vote: it was counted, lost, or rejected because the platform is overloaded.
    fn on_vote_answer(&mut self, now: f64, outcome: AttemptOutcome, effects: &mut Vec<Effect>) {
        let is_counted = matches!(
            outcome,
            AttemptOutcome::Succeeded | AttemptOutcome::Irrelevant
        );
        let jitter = if self.settings.is_large_fleet {
            0.5 + self.rng.random::<f64>()
        } else {
            1.0
        };
        let may_be_counted = is_counted || outcome == AttemptOutcome::TimedOut;
        let pacing = &self.settings.vote_pacing;
        self.voting.on_answer(may_be_counted, pacing, jitter);
        let input = if is_counted {
            VoteInput::Counted
        } else {
            VoteInput::Uncertain
        };
        self.advance_vote(now, input, effects);
    }

    /// Resets the evidence for a new canary; the baseline's current evidence and latencies become the reference.
    fn begin_canary(&mut self, status: &RolloutStatus, old: Option<RolloutStatus>) {
        self.voting.rank = voter_rank(status.build, self.settings.router, self.settings.routers);
        let was_released = old.is_some_and(|old| old.phase == Phase::Released);
        self.evidence.own.begin_canary(was_released);
        self.peers.clear_sent();
        self.evidence.merged = self.evidence.own.clone();
        let in_time = self
            .evidence
            .own
            .counts(None, Signal::InTime, Arm::Baseline);
        self.service_slowdown.best_in_time = in_time.good_fraction();
        self.latency.begin_canary(old.is_some());
        let is_under_way = status.phase == Phase::Canary && status.age > GOSSIP_INTERVAL;
        self.evidence.lacks_evidence = old.is_none() && is_under_way;
    }

    /// Resets the vote for a new stage or phase, where earlier votes no longer count.
    fn begin_stage(
        &mut self,
        now: f64,
        status: &RolloutStatus,
        is_same_build: bool,
        effects: &mut Vec<Effect>,
    ) {
        self.service_slowdown.at_previous_stage = if is_same_build {
            self.peers.shared_slowdown
        } else {
            1.0
        };
        self.rollout.stage_since = now - status.age;
        self.voting.hold_time = 0.0;
        self.voting.desired = Vote::Abstain;
        self.voting.desired_since = now;
        self.advance_vote(now, VoteInput::NewStage, effects);
    }
}
