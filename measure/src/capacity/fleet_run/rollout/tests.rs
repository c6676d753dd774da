use super::*;

fn with_canary() -> Rollout {
    let mut rollout = Rollout::new(41, 2, 3.0, 0.0);
    assert_eq!(rollout.begin(10.0), 42);
    rollout
}

fn vote(rollout: &mut Rollout, opinion: Opinion, now: f64) {
    let Standing { build, stage, .. } = rollout.standing();
    (0..2).for_each(|router| assert!(rollout.cast(router, build, stage, opinion, now)));
}

#[test]
fn half_of_the_routers_move_it_on_once_it_has_baked() {
    let mut rollout = with_canary();
    vote(&mut rollout, Opinion::On, 11.0);
    assert!(!rollout.decide(12.0));
    assert!(rollout.decide(13.0));
    assert_eq!(
        (
            rollout.standing().stage,
            rollout.standing().cap,
            rollout.share()
        ),
        (1, 0.7, 0.5)
    );
    for now in [20.0, 30.0] {
        vote(&mut rollout, Opinion::On, now);
        assert!(rollout.decide(now));
    }
    assert_eq!(
        (rollout.standing().progress, rollout.baseline),
        (Progress::Live, 42)
    );
}

#[test]
fn one_vote_is_not_enough_and_old_ones_do_not_count() {
    let mut rollout = with_canary();
    assert!(rollout.cast(7, 42, 0, Opinion::On, 11.0));
    assert!(!rollout.decide(14.0));
    assert!(rollout.cast(8, 42, 0, Opinion::On, 11.0 + BALLOT_LIFE));
    assert!(!rollout.decide(11.0 + BALLOT_LIFE));
    assert!(!rollout.cast(8, 41, 0, Opinion::On, 14.0));
    assert!(!rollout.cast(8, 42, 1, Opinion::On, 14.0));
}

#[test]
fn votes_back_recall_it_at_once() {
    let mut rollout = with_canary();
    vote(&mut rollout, Opinion::Back, 10.5);
    assert!(rollout.decide(10.5));
    assert_eq!(
        (
            rollout.standing().progress,
            rollout.baseline,
            rollout.share()
        ),
        (Progress::Recalling, 41, 0.0)
    );
    rollout.recalled(11.0);
    assert_eq!(
        rollout.render(12.5),
        "{\"image\":42,\"ring\":0,\"progress\":\"recalled\",\"ceiling\":0,\"lag_ms\":1500}"
    );
}
