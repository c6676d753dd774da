use super::*;

const OLD: BuildId = BuildId(7);
const NEW: BuildId = BuildId(8);

fn platform(needed: usize) -> Platform {
    let terms = PlatformTerms {
        needed,
        rate: 2.0,
        vote_lifetime: 10.0,
        bake: 3.0,
        shares: vec![0.1, 1.0],
        caps: vec![0.15, 1.0],
    };
    let mut platform = Platform::new(terms, 8, OLD, 100.0);
    platform.offer(100.0, NEW);
    platform
}

#[test]
fn a_build_moves_by_the_votes_that_stand_together_and_not_before_it_has_baked() {
    let mut platform = platform(2);
    assert_eq!(
        platform.vote(100.0, 0, NEW, 0, Vote::Promote),
        AttemptOutcome::Succeeded
    );
    assert_eq!(
        platform.vote(101.0, 1, NEW, 0, Vote::Promote),
        AttemptOutcome::Succeeded
    );
    assert_eq!(platform.step(102.0), None);
    assert_eq!(platform.step(103.0), Some(Move::NextStage));
    assert_eq!(
        (platform.standing(Vote::Promote, 103.0), platform.cap()),
        (0, 1.0)
    );
    assert_eq!(
        platform.vote(104.0, 0, NEW, 0, Vote::Promote),
        AttemptOutcome::Irrelevant
    );
    platform.vote(104.0, 0, NEW, 1, Vote::Promote);
    platform.vote(107.0, 1, NEW, 1, Vote::Promote);
    assert_eq!(platform.step(107.0), Some(Move::Released));
}

#[test]
fn votes_lapse_and_a_router_has_one() {
    let mut platform = platform(2);
    platform.vote(100.0, 0, NEW, 0, Vote::RollBack);
    platform.vote(101.0, 0, NEW, 0, Vote::RollBack);
    assert_eq!(platform.standing(Vote::RollBack, 102.0), 1);
    platform.vote(111.5, 1, NEW, 0, Vote::RollBack);
    assert_eq!(platform.step(111.5), None, "the first has lapsed");
    platform.vote(112.0, 0, NEW, 0, Vote::RollBack);
    assert_eq!(platform.step(112.0), Some(Move::GoingBack));
    assert_eq!(platform.cap(), 0.0);
}

#[test]
fn calls_beyond_the_rate_and_its_burst_are_turned_away() {
    let mut platform = platform(8);
    let verdicts: Vec<_> = (0..5)
        .map(|router| platform.vote(100.0, router, NEW, 0, Vote::Promote))
        .collect();
    assert_eq!(
        verdicts[3..],
        [AttemptOutcome::Succeeded, AttemptOutcome::Rejected]
    );
    assert_eq!(
        platform.vote(100.5, 4, NEW, 0, Vote::Promote),
        AttemptOutcome::Succeeded
    );
    assert_eq!((platform.cast, platform.turned_away), (6, 1));
}
