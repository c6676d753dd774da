//! Locks, confirmed commits, and rights.

use kestreltide::interface::*;
use kestreltide_datastore::CommitOutcome;
use kestreltide_datastore::commit_coordinator::{
    CommitCoordinator, CommitError, ConfirmedCommit, SessionId, Target,
};
use kestreltide_datastore::*;
use rstest::rstest;

/// The time of the tests, in Unix seconds.
const NOW: f64 = 1_000_000.0;

fn facts_at(at: f64) -> Facts {
    Facts {
        now: NOW + at,
        discovery_received: true,
        ..Facts::default()
    }
}

fn author(name: &str) -> Author {
    Author {
        source: Source::Management,
        name: name.into(),
        version: String::new(),
    }
}

/// Returns a coordinator with one revision of four hosts, and two open sessions.
fn coordinator_with_sessions() -> (CommitCoordinator, SessionId, SessionId) {
    let rules = RuleSettings {
        operations: vec![],
        routers: 1,
        slow_start_initial_fraction: 0.4,
        slow_start_duration: 4.0,
        overload_multiple: 3.0,
        maximums: Maximums::default(),
    };
    let mut coordinator =
        CommitCoordinator::new(Datastore::new(rules, HistoryLimits::default()), None);
    let mut candidate = Candidate::new(coordinator.store.in_force());
    for number in 0..4 {
        let leaves = [
            ("endpoint", format!("127.0.0.1:{}", 7000 + number)),
            ("zone", "a".into()),
            ("kind", "m".into()),
            ("build", "7".into()),
        ];
        leaves.iter().for_each(|(leaf, text)| {
            set_leaf(&mut candidate, &format!("hosts/h{number}/{leaf}"), text)
        });
    }
    coordinator
        .commit(
            None,
            &candidate,
            author("first"),
            None,
            None,
            &facts_at(-100.0),
        )
        .expect("the commit is valid");
    let (first_session, second_session) = (coordinator.open_session(), coordinator.open_session());
    (coordinator, first_session, second_session)
}

/// Sets a leaf of a candidate from text.
fn set_leaf(candidate: &mut Candidate, at: &str, text: &str) {
    let path: Path = at.parse().expect("a valid path");
    candidate
        .tree
        .set(&path, Some(path.leaf().parse(text).expect("a valid value")))
        .expect("a value of the leaf's type");
}

/// Returns a candidate that changes one leaf of the revision in force.
fn candidate_with(coordinator: &CommitCoordinator, at: &str, text: &str) -> Candidate {
    let mut candidate = Candidate::new(coordinator.store.in_force());
    set_leaf(&mut candidate, at, text);
    candidate
}

fn weight_of_h1(coordinator: &CommitCoordinator) -> Option<String> {
    let path = "hosts/h1/weight".parse().expect("a valid path");
    coordinator
        .store
        .in_force()
        .tree
        .get(&path)
        .map(|value| value.to_string())
}

fn confirmed_commit(timeout: f64, persist_id: Option<&str>) -> Option<ConfirmedCommit> {
    Some(ConfirmedCommit {
        timeout,
        persist_id: persist_id.map(str::to_owned),
    })
}

#[rstest]
#[case::running(Target::Running)]
#[case::candidate(Target::Candidate)]
fn a_lock_keeps_others_from_committing_until_it_is_released_or_its_session_ends(
    #[case] target: Target,
) {
    let (mut coordinator, first, second) = coordinator_with_sessions();
    coordinator.lock(first, target).expect("the lock is free");
    let candidate = candidate_with(&coordinator, "hosts/h1/weight", "2");
    for requester in [Some(second), None] {
        assert_eq!(
            coordinator
                .commit(
                    requester,
                    &candidate,
                    author("x"),
                    None,
                    None,
                    &facts_at(0.0)
                )
                .err(),
            Some(CommitError::Locked(first))
        );
    }
    assert_eq!(
        coordinator.lock(second, target),
        Err(CommitError::Locked(first))
    );
    assert_eq!(
        coordinator.unlock(second, target),
        Err(CommitError::LockNotHeld)
    );
    coordinator
        .commit(
            Some(first),
            &candidate,
            author("x"),
            None,
            None,
            &facts_at(0.0),
        )
        .expect("the session holds the lock itself");
    coordinator.close_session(first, &facts_at(1.0));
    coordinator
        .lock(second, target)
        .expect("the lock is free again");
    coordinator
        .unlock(second, target)
        .expect("the session holds the lock");
}

#[test]
fn an_unconfirmed_commit_blocks_others_and_is_rolled_back_on_expiry() {
    let (mut coordinator, first, second) = coordinator_with_sessions();
    coordinator
        .lock(second, Target::Candidate)
        .expect("the lock is free");
    coordinator
        .unlock(second, Target::Candidate)
        .expect("the session holds the lock");
    let candidate = candidate_with(&coordinator, "hosts/h1/weight", "2");
    coordinator
        .commit(
            Some(first),
            &candidate,
            author("ana"),
            confirmed_commit(10.0, None),
            None,
            &facts_at(0.0),
        )
        .expect("the commit is valid");
    assert_eq!(weight_of_h1(&coordinator), Some("2".into()));
    assert!(
        matches!(
            coordinator.lock(second, Target::Running),
            Err(CommitError::CommitPending(_))
        ),
        "no lock for others while a commit is pending"
    );
    let other = candidate_with(&coordinator, "hosts/h2/weight", "2");
    for requester in [Some(second), None] {
        let rejection =
            coordinator.commit(requester, &other, author("rui"), None, None, &facts_at(1.0));
        assert!(
            matches!(rejection, Err(CommitError::CommitPending(pending)) if pending.author == author("ana"))
        );
    }
    assert!(
        coordinator.expire_pending(&facts_at(9.9)).is_none()
            && coordinator.next_expiry() == Some(NOW + 10.0)
    );
    assert!(matches!(
        coordinator.expire_pending(&facts_at(10.0)),
        Some(Ok(CommitOutcome::Applied(_)))
    ));
    assert_eq!(
        (
            weight_of_h1(&coordinator),
            coordinator.store.in_force().revision,
            coordinator.next_expiry()
        ),
        (None, Revision(3), None)
    );
}

#[test]
fn a_confirmed_commit_can_be_extended_and_stays_once_confirmed() {
    let (mut coordinator, first, _) = coordinator_with_sessions();
    let candidate = candidate_with(&coordinator, "hosts/h1/weight", "2");
    coordinator
        .commit(
            Some(first),
            &candidate,
            author("ana"),
            confirmed_commit(10.0, None),
            None,
            &facts_at(0.0),
        )
        .expect("the commit is valid");
    // The second confirmed commit extends the first: both are rolled back together, or both stay.
    let candidate = candidate_with(&coordinator, "hosts/h1/weight", "3");
    coordinator
        .commit(
            Some(first),
            &candidate,
            author("ana"),
            confirmed_commit(10.0, None),
            None,
            &facts_at(5.0),
        )
        .expect("the commit is valid");
    assert_eq!(
        coordinator
            .pending()
            .map(|pending| (pending.rolls_back_to, pending.expires_at)),
        Some((1, NOW + 15.0))
    );
    coordinator
        .confirm(Some(first), None)
        .expect("the commit is of the same session");
    assert!(coordinator.expire_pending(&facts_at(100.0)).is_none());
    assert_eq!(
        coordinator.confirm(Some(first), None),
        Err(CommitError::NoPendingCommit)
    );
    assert_eq!(weight_of_h1(&coordinator), Some("3".into()));
}

#[rstest]
#[case::without_persist_id(None, true)]
#[case::with_persist_id(Some("night"), false)]
fn a_confirmed_commit_ends_with_its_session_unless_it_has_a_persist_id(
    #[case] name: Option<&str>,
    #[case] is_rolled_back: bool,
) {
    let (mut coordinator, first, second) = coordinator_with_sessions();
    let candidate = candidate_with(&coordinator, "hosts/h1/weight", "2");
    coordinator
        .commit(
            Some(first),
            &candidate,
            author("ana"),
            confirmed_commit(10.0, name),
            None,
            &facts_at(0.0),
        )
        .expect("the commit is valid");
    assert_eq!(
        coordinator.close_session(first, &facts_at(1.0)).is_some(),
        is_rolled_back
    );
    assert_eq!(weight_of_h1(&coordinator).is_none(), is_rolled_back);
    if let Some(name) = name {
        assert_eq!(
            coordinator.confirm(Some(second), None),
            Err(CommitError::NoPendingCommit)
        );
        assert_eq!(
            coordinator.confirm(Some(second), Some("day")),
            Err(CommitError::NoPendingCommit)
        );
        coordinator
            .cancel(Some(second), Some(name), &facts_at(2.0))
            .expect("cancelled by its persist id");
        assert_eq!(weight_of_h1(&coordinator), None);
    }
}

#[test]
fn a_pending_commit_expires_at_once_after_a_restart() {
    let (mut coordinator, first, _) = coordinator_with_sessions();
    let candidate = candidate_with(&coordinator, "hosts/h1/weight", "2");
    coordinator
        .commit(
            Some(first),
            &candidate,
            author("ana"),
            confirmed_commit(600.0, Some("x")),
            None,
            &facts_at(0.0),
        )
        .expect("the commit is valid");
    let text = serde_json::to_string(&coordinator.pending()).expect("serializable");
    let rules = RuleSettings {
        operations: vec![],
        routers: 1,
        slow_start_initial_fraction: 0.4,
        slow_start_duration: 4.0,
        overload_multiple: 3.0,
        maximums: Maximums::default(),
    };
    let store = Datastore::from_state(rules, HistoryLimits::default(), coordinator.store.state());
    let mut restarted =
        CommitCoordinator::new(store, serde_json::from_str(&text).expect("deserializable"));
    assert_eq!(weight_of_h1(&restarted), Some("2".into()));
    assert!(matches!(
        restarted.expire_pending(&facts_at(5.0)),
        Some(Ok(CommitOutcome::Applied(_)))
    ));
    assert_eq!(weight_of_h1(&restarted), None);
}

#[test]
fn a_rollback_that_breaks_a_rule_is_rejected_and_recorded() {
    let (mut coordinator, first, _) = coordinator_with_sessions();
    let drained = candidate_with(&coordinator, "hosts/h1/state", "draining");
    coordinator
        .commit(
            Some(first),
            &drained,
            author("ana"),
            confirmed_commit(10.0, None),
            None,
            &facts_at(0.0),
        )
        .expect("the commit is valid");
    // The rollback would put a drained host back in service without a restart.
    let Some(Err(errors)) = coordinator.expire_pending(&facts_at(10.0)) else {
        panic!("the rollback is rejected")
    };
    assert_eq!(errors.first[0].rule, Some(Rule::DrainsKept));
    assert!(coordinator.next_expiry().is_none() && coordinator.store.rejections().count() == 1);
}

#[test]
fn rights_allow_only_the_paths_that_they_name() {
    let (coordinator, ..) = coordinator_with_sessions();
    let changes = |at: &str, text: &str| {
        coordinator
            .store
            .in_force()
            .tree
            .differences(&candidate_with(&coordinator, at, text).tree)
    };
    let rights = Rights::parse("read, weights").expect("valid rights");
    rights
        .check(&changes("hosts/h1/weight", "2"))
        .expect("allowed by the right");
    for (at, text, needed) in [
        ("routes/r/operation", "read", "routes"),
        ("ring/back", "true", "ring"),
    ] {
        let error = rights
            .check(&changes(at, text))
            .expect_err("no right allows this");
        assert_eq!(
            (error.path.as_str(), error.expected),
            (at, format!("the right {needed}"))
        );
    }
    assert!(Rights::parse("read write").is_err() && Rights::parse(" ").is_err());
}
