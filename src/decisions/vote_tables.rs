//! The two tables of voting: the vote for each assessment, and the states of this router's vote at the platform.

use super::canary_assessment::Assessment;
use crate::interface::Vote;

/// The vote for an assessment of the canary.
struct DesiredVote {
    assessment: Assessment,
    /// Where votes promote a build; none keeps the last vote.
    vote_gated: Option<Vote>,
    /// Where a timer promotes a build unless votes stop it; none keeps the last vote.
    timer_gated: Option<Vote>,
}

/// The vote for each assessment.
const DESIRED_VOTES: [DesiredVote; 6] = [
    DesiredVote {
        assessment: Assessment::Worse,
        vote_gated: Some(Vote::RollBack),
        timer_gated: Some(Vote::RollBack),
    },
    DesiredVote {
        assessment: Assessment::NotWorse,
        vote_gated: Some(Vote::Promote),
        timer_gated: Some(Vote::Abstain),
    },
    DesiredVote {
        assessment: Assessment::Inconclusive,
        vote_gated: None,
        timer_gated: Some(Vote::Hold),
    },
    DesiredVote {
        assessment: Assessment::ProbablyWorse,
        vote_gated: Some(Vote::Abstain),
        timer_gated: Some(Vote::Hold),
    },
    DesiredVote {
        assessment: Assessment::PromotionBlocked,
        vote_gated: Some(Vote::Abstain),
        timer_gated: Some(Vote::Hold),
    },
    DesiredVote {
        assessment: Assessment::InsufficientData,
        vote_gated: None,
        timer_gated: Some(Vote::Abstain),
    },
];

/// The state of this router's vote at the platform.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum VoteState {
    /// No vote is cast.
    #[default]
    NoVote,
    /// A vote is cast and not answered yet.
    Pending,
    /// The platform has counted the vote.
    Counted,
}

/// An input to the table of the vote's states.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum VoteInput {
    /// The desired vote is to be cast now.
    Due,
    /// The platform has counted the vote.
    Counted,
    /// The vote was rejected, or its answer did not arrive.
    Uncertain,
    /// A new build, stage or phase has begun.
    NewStage,
}

/// A row of the table of the vote's states.
pub(super) struct VoteTransition {
    from: VoteState,
    input: VoteInput,
    pub(super) to: VoteState,
    /// Whether the desired vote is cast.
    pub(super) casts: bool,
}

/// All transitions. Any other combination of state and input has no effect.
const VOTE_TRANSITIONS: [VoteTransition; 7] = [
    VoteTransition {
        from: VoteState::NoVote,
        input: VoteInput::Due,
        to: VoteState::Pending,
        casts: true,
    },
    VoteTransition {
        from: VoteState::Pending,
        input: VoteInput::Due,
        to: VoteState::Pending,
        casts: true,
    },
    VoteTransition {
        from: VoteState::Counted,
        input: VoteInput::Due,
        to: VoteState::Pending,
        casts: true,
    },
    VoteTransition {
        from: VoteState::Pending,
        input: VoteInput::Counted,
        to: VoteState::Counted,
        casts: false,
    },
    VoteTransition {
        from: VoteState::Pending,
        input: VoteInput::Uncertain,
        to: VoteState::NoVote,
        casts: false,
    },
    VoteTransition {
        from: VoteState::Pending,
        input: VoteInput::NewStage,
        to: VoteState::NoVote,
        casts: false,
    },
    VoteTransition {
        from: VoteState::Counted,
        input: VoteInput::NewStage,
        to: VoteState::NoVote,
        casts: false,
    },
];

/// The vote for an assessment; none keeps the last vote.
pub(super) fn desired_vote(assessment: Assessment, is_clock_gated: bool) -> Option<Vote> {
    let row = DESIRED_VOTES
        .iter()
        .find(|row| row.assessment == assessment)?;
    if is_clock_gated {
        row.timer_gated
    } else {
        row.vote_gated
    }
}

/// The transition from a state by an input; none where the input has no effect.
pub(super) fn transition(from: VoteState, input: VoteInput) -> Option<&'static VoteTransition> {
    VOTE_TRANSITIONS
        .iter()
        .find(|row| row.from == from && row.input == input)
}
