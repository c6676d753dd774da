use super::*;

fn standing(build: u16, progress: Progress, cap: f64) -> Standing {
    Standing {
        build,
        stage: 0,
        progress,
        cap,
        since: 0.0,
    }
}

#[test]
fn an_attempt_past_the_drain_grace_is_seen() {
    let mut rules = Rules::default();
    rules.notified_host(1, 7, true, 10.0);
    rules.notified_host(1, 7, true, 10.4);
    rules.attempt(1, 7, 41, "a", false, 10.5);
    rules.attempt(2, 7, 41, "a", false, 11.0);
    assert_eq!(rules.seen.past_drain, 0);
    rules.attempt(1, 7, 41, "a", false, 10.6);
    assert_eq!(rules.seen.past_drain, 1);
    rules.notified_host(1, 7, false, 11.0);
    rules.attempt(1, 7, 41, "a", false, 12.0);
    assert_eq!(rules.seen.past_drain, 1);
}

#[test]
fn a_request_with_side_effects_runs_once() {
    let mut rules = Rules::default();
    rules.attempt(1, 1, 41, "a", true, 1.0);
    rules.attempt(1, 1, 41, "b", false, 1.0);
    rules.attempt(1, 2, 41, "b", false, 1.0);
    assert_eq!(rules.seen.ran_twice, 0);
    rules.attempt(1, 2, 41, "a", true, 1.1);
    assert_eq!((rules.seen.ran_twice, rules.examples.len()), (1, 1));
}

#[test]
fn exposure_above_the_cap_is_seen() {
    let mut rules = Rules::default();
    rules.received_rollout(1, standing(42, Progress::Testing, 0.1), 0.0);
    (0..100).for_each(|_| rules.record_request(1, 1.0));
    (0..15).for_each(|_| rules.attempt(1, 1, 42, "a", false, 1.0));
    (0..50).for_each(|_| rules.attempt(1, 1, 41, "a", false, 1.0));
    assert_eq!((rules.seen.exposed, rules.seen.over_cap), (15, 0));
    rules.attempt(1, 1, 42, "a", false, 1.0);
    assert_eq!(rules.seen.over_cap, 1);
    rules.attempt(1, 1, 42, "a", false, 1.0 + EXPOSURE_WINDOW);
    assert_eq!(rules.seen.over_cap, 1);
}

#[test]
fn each_build_is_counted_by_itself() {
    let mut rules = Rules::default();
    rules.received_rollout(1, standing(42, Progress::Testing, 1.0), 0.0);
    (0..10).for_each(|_| rules.record_request(1, 1.0));
    (0..10).for_each(|_| rules.attempt(1, 1, 42, "a", false, 1.0));
    rules.received_rollout(1, standing(43, Progress::Testing, 0.1), 1.5);
    (0..6).for_each(|_| rules.attempt(1, 1, 43, "a", false, 1.8));
    assert_eq!((rules.seen.exposed, rules.seen.over_cap), (16, 0));
    rules.attempt(1, 1, 43, "a", false, 1.8);
    assert_eq!(rules.seen.over_cap, 1);
}

#[test]
fn a_recall_binds_after_a_moment() {
    let mut rules = Rules::default();
    rules.received_rollout(1, standing(42, Progress::Testing, 0.5), 0.0);
    rules.received_rollout(1, standing(42, Progress::Recalling, 0.0), 1.0);
    rules.attempt(1, 1, 42, "a", false, 1.1);
    assert_eq!(rules.seen.over_cap, 0);
    rules.attempt(1, 1, 42, "a", false, 1.3);
    assert_eq!(rules.seen.over_cap, 1);
    rules.attempt(1, 1, 41, "a", false, 1.3);
    rules.received_rollout(1, standing(43, Progress::Live, 1.0), 2.0);
    rules.attempt(1, 1, 43, "a", false, 3.0);
    assert_eq!(rules.seen.over_cap, 1);
}

#[test]
fn what_is_not_answered_is_lost() {
    let mut rules = Rules::default();
    (0..3).for_each(|_| rules.record_request(1, 1.0));
    rules.answered(1, "a", Ending::Served, 0.1);
    rules.answered(1, "b", Ending::Lost, 0.1);
    rules.answered(1, "c", Ending::Failed, TIME_LIMIT + 1.0);
    assert_eq!(
        (
            rules.seen.requested,
            rules.seen.served,
            rules.seen.lost,
            rules.seen.late
        ),
        (3, 1, 1, 1)
    );
}
