//! Votes: who votes, when, and how often.

mod fake;

use fake::*;
use kestreltide::interface::*;
use rstest::rstest;

#[rstest]
#[case::votes(Gate::Any, vec![Vote::Promote])]
#[case::clock(Gate::Clock, vec![Vote::Hold, Vote::Abstain])]
fn a_good_build_is_promoted_or_held_no_longer_than_the_clock_may_be(
    #[case] gate: Gate,
    #[case] expected: Vec<Vote>,
) {
    let mut fake = with_canary(
        ServiceSettings {
            gate,
            votes_back: 1,
            votes_hold: 1,
            ..settings()
        },
        8,
    );
    let (votes, _) = fake.run(6.0, |_, _| (AttemptOutcome::Succeeded, 0.1));
    assert!(
        votes.iter().all(|vote| expected.contains(vote)),
        "{votes:?}"
    );
    assert_eq!(votes.last(), expected.last());
}

#[test]
fn an_unnamed_router_votes_only_when_the_named_ones_do_not() {
    let good = |_: &HostEntry, _| (AttemptOutcome::Succeeded, 0.1);
    let first = |me: u32| {
        let mut fake = with_canary(
            ServiceSettings {
                me: RouterId(me),
                routers: 6,
                ..settings()
            },
            8,
        );
        (1..100)
            .find(|_| !fake.run(0.1, good).0.is_empty())
            .unwrap_or(100)
    };
    let mut firsts: Vec<_> = (0..6).map(first).collect();
    firsts.sort_unstable();
    assert!(firsts[2] < firsts[3] - 10 && firsts[5] < 100, "{firsts:?}");
}

#[rstest]
#[case::counted(AttemptOutcome::Succeeded, 5.0)]
#[case::moot(AttemptOutcome::Irrelevant, 5.0)]
#[case::full(AttemptOutcome::Rejected, 0.5)]
#[case::unanswered(AttemptOutcome::TimedOut, 0.5)]
fn a_vote_is_cast_again_as_its_answer_asks(#[case] outcome: AttemptOutcome, #[case] after: f64) {
    let mut fake = with_canary(
        ServiceSettings {
            vote_lifetime: 60.0,
            ..settings()
        },
        8,
    );
    let well = |_: &HostEntry, _| (AttemptOutcome::Succeeded, 0.1);
    while fake.run(0.1, well).0.is_empty() {}
    let Event::RolloutStatusReceived(answer) = rollout_status(NEW, 0, Phase::Canary, 0.3) else {
        panic!("news")
    };
    fake.feed(Event::RolloutStatusReceived(RolloutStatus {
        outcome,
        answers_vote: true,
        ..answer
    }));
    assert!(fake.run(after - 0.3, well).0.is_empty());
    assert_eq!(fake.run(0.7, well).0.first(), Some(&Vote::Promote));
}

#[test]
fn stand_ins_come_by_thirds_of_the_voters() {
    let how = |_: &HostEntry, _| (AttemptOutcome::Succeeded, 0.1);
    let first = |me: u32| {
        let share = ServiceSettings {
            gate: Gate::Share,
            votes_on: 30,
            votes_back: 20,
            ..settings()
        };
        let mut fake = with_canary(
            ServiceSettings {
                me: RouterId(me),
                routers: 60,
                ..share
            },
            8,
        );
        (1..150)
            .find(|_| !fake.run(0.1, how).0.is_empty())
            .unwrap_or(150)
    };
    let mut firsts: Vec<_> = (0..60).map(first).collect();
    firsts.sort_unstable();
    assert!(
        firsts[29] + 10 < firsts[30] && firsts[59] < 100,
        "{firsts:?}"
    );
}
