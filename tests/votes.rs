//! Votes: which routers vote, when they do, and how often.

mod common;

use common::*;
use kestreltide::interface::*;
use rstest::rstest;

#[rstest]
#[case::gated_by_votes(PromotionGate::VoteCount, vec![Vote::Promote])]
#[case::gated_by_timer(PromotionGate::Timer, vec![Vote::Hold, Vote::Abstain])]
fn a_good_build_is_promoted_by_votes_or_held_for_a_limited_time(
    #[case] promotion_gate: PromotionGate,
    #[case] expected: Vec<Vote>,
) {
    let mut harness = with_canary(
        ServiceSettings {
            promotion_gate,
            roll_back_votes: 1,
            hold_votes: 1,
            ..service_settings()
        },
        8,
    );
    let (votes, _) = harness.run(6.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    assert!(
        votes.iter().all(|vote| expected.contains(vote)),
        "{votes:?}"
    );
    assert_eq!(votes.last(), expected.last());
}

#[test]
fn backup_voters_vote_only_after_a_delay() {
    let succeed = |_: &HostEntry, _| (AttemptOutcome::Succeeded, 0.1);
    let first_vote = |router: u32| {
        let mut harness = with_canary(
            ServiceSettings {
                router_id: RouterId(router),
                routers: 6,
                ..service_settings()
            },
            8,
        );
        (1..100)
            .find(|_| !harness.run(0.1, succeed).0.is_empty())
            .unwrap_or(100)
    };
    let mut first_votes: Vec<_> = (0..6).map(first_vote).collect();
    first_votes.sort_unstable();
    assert!(
        first_votes[2] < first_votes[3] - 10 && first_votes[5] < 100,
        "{first_votes:?}"
    );
}

#[rstest]
#[case::counted(AttemptOutcome::Succeeded, 5.0)]
#[case::irrelevant(AttemptOutcome::Irrelevant, 5.0)]
#[case::rejected(AttemptOutcome::Rejected, 0.5)]
#[case::unanswered(AttemptOutcome::TimedOut, 0.5)]
fn the_answer_to_a_vote_sets_the_delay_until_it_is_cast_again(
    #[case] outcome: AttemptOutcome,
    #[case] delay: f64,
) {
    let mut harness = with_canary(
        ServiceSettings {
            vote_lifetime: 60.0,
            ..service_settings()
        },
        8,
    );
    let succeed = |_: &HostEntry, _| (AttemptOutcome::Succeeded, 0.1);
    while harness.run(0.1, succeed).0.is_empty() {}
    let Event::RolloutStatusReceived(answer) = rollout_status(CANARY_BUILD, 0, Phase::Canary, 0.3)
    else {
        panic!("a rollout status")
    };
    harness.handle(Event::RolloutStatusReceived(RolloutStatus {
        outcome,
        answers_vote: true,
        ..answer
    }));
    assert!(harness.run(delay - 0.3, succeed).0.is_empty());
    assert_eq!(harness.run(0.7, succeed).0.first(), Some(&Vote::Promote));
}

#[test]
fn backup_voters_follow_in_groups_of_a_third_of_the_voters() {
    let succeed = |_: &HostEntry, _| (AttemptOutcome::Succeeded, 0.1);
    let first_vote = |router: u32| {
        let settings = ServiceSettings {
            promotion_gate: PromotionGate::VoteShare,
            promote_votes: 30,
            roll_back_votes: 20,
            ..service_settings()
        };
        let mut harness = with_canary(
            ServiceSettings {
                router_id: RouterId(router),
                routers: 60,
                ..settings
            },
            8,
        );
        (1..150)
            .find(|_| !harness.run(0.1, succeed).0.is_empty())
            .unwrap_or(150)
    };
    let mut first_votes: Vec<_> = (0..60).map(first_vote).collect();
    first_votes.sort_unstable();
    assert!(
        first_votes[29] + 10 < first_votes[30] && first_votes[59] < 100,
        "{first_votes:?}"
    );
}

/// The answer to a vote may arrive after a later status. A router that took it for the newest would go back to an
/// earlier stage, or send requests to a build that is being rolled back.
#[rstest]
#[case::earlier_stage(Phase::Canary, 1, 0.0, true)]
#[case::before_release(Phase::Released, 0, 0.0, true)]
#[case::before_roll_back(Phase::RollingBack, 0, 0.9, false)]
fn a_late_vote_answer_does_not_replace_a_newer_status(
    #[case] phase: Phase,
    #[case] stage: u32,
    #[case] answered_cap: f64,
    #[case] canary_gets_attempts: bool,
) {
    let mut harness = with_canary(service_settings(), 8);
    harness.handle(rollout_status(CANARY_BUILD, stage, phase, 0.9));
    let Event::RolloutStatusReceived(answer) =
        rollout_status(CANARY_BUILD, 0, Phase::Canary, answered_cap)
    else {
        panic!("a rollout status")
    };
    harness.handle(Event::RolloutStatusReceived(RolloutStatus {
        answers_vote: true,
        ..answer
    }));
    harness.run(4.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    let (_, sent) = harness.run(4.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    let at_canary = sent
        .iter()
        .filter(|host| host.build == CANARY_BUILD)
        .count();
    assert_eq!(
        at_canary > 0,
        canary_gets_attempts,
        "{at_canary} of {}",
        sent.len()
    );
}

/// A platform that was reset reports an earlier stage as a new status. The lower cap of that stage applies.
#[test]
fn a_new_status_with_an_earlier_stage_is_applied() {
    let mut harness = with_canary(service_settings(), 8);
    harness.handle(rollout_status(CANARY_BUILD, 1, Phase::Canary, 0.9));
    harness.run(4.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    harness.handle(rollout_status(CANARY_BUILD, 0, Phase::Canary, 0.0));
    let (_, sent) = harness.run(4.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    assert!(sent.iter().all(|host| host.build == BASELINE_BUILD));
}
