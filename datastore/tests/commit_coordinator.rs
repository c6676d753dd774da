//! Stories of the desk: locks, commits that are undone unless they are confirmed, and who is kept out.

use kestreltide::interface::*;
use kestreltide_datastore::CommitOutcome;
use kestreltide_datastore::commit_coordinator::{
    CommitCoordinator, CommitError, ConfirmedCommit, SessionId, Target,
};
use kestreltide_datastore::*;
use rstest::rstest;

const NOW: f64 = 1_000_000.0;

fn facts(at: f64) -> Facts {
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

/// A desk with one revision of four hosts, and two sessions at it.
fn desk() -> (CommitCoordinator, SessionId, SessionId) {
    let rules = RuleSettings {
        operations: vec![],
        routers: 1,
        slow_start_initial_fraction: 0.4,
        slow_start_duration: 4.0,
        overload_multiple: 3.0,
        maximums: Maximums::default(),
    };
    let mut desk = CommitCoordinator::new(Datastore::new(rules, HistoryLimits::default()), None);
    let mut candidate = Candidate::new(desk.store.in_force());
    for number in 0..4 {
        let leaves = [
            ("endpoint", format!("127.0.0.1:{}", 7000 + number)),
            ("zone", "a".into()),
            ("kind", "m".into()),
            ("build", "7".into()),
        ];
        leaves
            .iter()
            .for_each(|(leaf, text)| put(&mut candidate, &format!("hosts/h{number}/{leaf}"), text));
    }
    desk.commit(
        None,
        &candidate,
        author("first"),
        None,
        None,
        &facts(-100.0),
    )
    .expect("well");
    let (one, two) = (desk.open_session(), desk.open_session());
    (desk, one, two)
}

fn put(candidate: &mut Candidate, at: &str, text: &str) {
    let path: Path = at.parse().expect("a path");
    candidate
        .tree
        .set(&path, Some(path.leaf().parse(text).expect("a value")))
        .expect("of its type");
}

fn edit(desk: &CommitCoordinator, at: &str, text: &str) -> Candidate {
    let mut candidate = Candidate::new(desk.store.in_force());
    put(&mut candidate, at, text);
    candidate
}

fn weight(desk: &CommitCoordinator) -> Option<String> {
    let path = "hosts/h1/weight".parse().expect("a path");
    desk.store
        .in_force()
        .tree
        .get(&path)
        .map(|value| value.to_string())
}

fn confirm(within: f64, persist: Option<&str>) -> Option<ConfirmedCommit> {
    Some(ConfirmedCommit {
        timeout: within,
        persist_id: persist.map(str::to_owned),
    })
}

#[rstest]
#[case::running(Target::Running)]
#[case::candidate(Target::Candidate)]
fn a_lock_keeps_every_other_way_in_out_until_it_is_let_go_or_its_session_dies(
    #[case] target: Target,
) {
    let (mut desk, one, two) = desk();
    desk.lock(one, target).expect("free");
    let candidate = edit(&desk, "hosts/h1/weight", "2");
    for asker in [Some(two), None] {
        assert_eq!(
            desk.commit(asker, &candidate, author("x"), None, None, &facts(0.0))
                .err(),
            Some(CommitError::Locked(one))
        );
    }
    assert_eq!(desk.lock(two, target), Err(CommitError::Locked(one)));
    assert_eq!(desk.unlock(two, target), Err(CommitError::LockNotHeld));
    desk.commit(Some(one), &candidate, author("x"), None, None, &facts(0.0))
        .expect("its own");
    desk.close_session(one, &facts(1.0));
    desk.lock(two, target).expect("free again");
    desk.unlock(two, target).expect("held");
}

#[test]
fn what_is_not_confirmed_in_time_is_undone_though_another_holds_a_lock() {
    let (mut desk, one, two) = desk();
    desk.lock(two, Target::Candidate).expect("free");
    desk.unlock(two, Target::Candidate).expect("held");
    let candidate = edit(&desk, "hosts/h1/weight", "2");
    desk.commit(
        Some(one),
        &candidate,
        author("ana"),
        confirm(10.0, None),
        None,
        &facts(0.0),
    )
    .expect("well");
    assert_eq!(weight(&desk), Some("2".into()));
    assert!(
        matches!(
            desk.lock(two, Target::Running),
            Err(CommitError::CommitPending(_))
        ),
        "not while it waits"
    );
    let other = edit(&desk, "hosts/h2/weight", "2");
    for asker in [Some(two), None] {
        let refused = desk.commit(asker, &other, author("rui"), None, None, &facts(1.0));
        assert!(
            matches!(refused, Err(CommitError::CommitPending(pending)) if pending.author == author("ana"))
        );
    }
    assert!(desk.expire_pending(&facts(9.9)).is_none() && desk.next_expiry() == Some(NOW + 10.0));
    assert!(matches!(
        desk.expire_pending(&facts(10.0)),
        Some(Ok(CommitOutcome::Applied(_)))
    ));
    assert_eq!(
        (
            weight(&desk),
            desk.store.in_force().revision,
            desk.next_expiry()
        ),
        (None, Revision(3), None)
    );
}

#[test]
fn a_confirmed_commit_stays_and_a_later_ordinary_one_confirms_too() {
    let (mut desk, one, _) = desk();
    let candidate = edit(&desk, "hosts/h1/weight", "2");
    desk.commit(
        Some(one),
        &candidate,
        author("ana"),
        confirm(10.0, None),
        None,
        &facts(0.0),
    )
    .expect("well");
    // Extended: the whole of both comes back, or stays.
    let candidate = edit(&desk, "hosts/h1/weight", "3");
    desk.commit(
        Some(one),
        &candidate,
        author("ana"),
        confirm(10.0, None),
        None,
        &facts(5.0),
    )
    .expect("well");
    assert_eq!(
        desk.pending()
            .map(|pending| (pending.rolls_back_to, pending.expires_at)),
        Some((1, NOW + 15.0))
    );
    desk.confirm(Some(one), None).expect("it is its own");
    assert!(desk.expire_pending(&facts(100.0)).is_none());
    assert_eq!(
        desk.confirm(Some(one), None),
        Err(CommitError::NoPendingCommit)
    );
    assert_eq!(weight(&desk), Some("3".into()));
}

#[rstest]
#[case::its_session_dies(None, true)]
#[case::it_has_a_name(Some("night"), false)]
fn a_commit_dies_with_its_session_unless_it_has_a_name(
    #[case] name: Option<&str>,
    #[case] undone: bool,
) {
    let (mut desk, one, two) = desk();
    let candidate = edit(&desk, "hosts/h1/weight", "2");
    desk.commit(
        Some(one),
        &candidate,
        author("ana"),
        confirm(10.0, name),
        None,
        &facts(0.0),
    )
    .expect("well");
    assert_eq!(desk.close_session(one, &facts(1.0)).is_some(), undone);
    assert_eq!(weight(&desk).is_none(), undone);
    if let Some(name) = name {
        assert_eq!(
            desk.confirm(Some(two), None),
            Err(CommitError::NoPendingCommit)
        );
        assert_eq!(
            desk.confirm(Some(two), Some("day")),
            Err(CommitError::NoPendingCommit)
        );
        desk.cancel(Some(two), Some(name), &facts(2.0))
            .expect("by its name");
        assert_eq!(weight(&desk), None);
    }
}

#[test]
fn a_commit_that_waits_when_the_router_restarts_is_undone_at_once() {
    let (mut desk, one, _) = desk();
    let candidate = edit(&desk, "hosts/h1/weight", "2");
    desk.commit(
        Some(one),
        &candidate,
        author("ana"),
        confirm(600.0, Some("x")),
        None,
        &facts(0.0),
    )
    .expect("well");
    let text = serde_json::to_string(&desk.pending()).expect("a form");
    let rules = RuleSettings {
        operations: vec![],
        routers: 1,
        slow_start_initial_fraction: 0.4,
        slow_start_duration: 4.0,
        overload_multiple: 3.0,
        maximums: Maximums::default(),
    };
    let store = Datastore::from_state(rules, HistoryLimits::default(), desk.store.state());
    let mut again =
        CommitCoordinator::new(store, serde_json::from_str(&text).expect("it reads back"));
    assert_eq!(weight(&again), Some("2".into()));
    assert!(matches!(
        again.expire_pending(&facts(5.0)),
        Some(Ok(CommitOutcome::Applied(_)))
    ));
    assert_eq!(weight(&again), None);
}

#[test]
fn what_would_break_a_rule_by_coming_back_stays_away_and_is_told() {
    let (mut desk, one, _) = desk();
    let drained = edit(&desk, "hosts/h1/state", "draining");
    desk.commit(
        Some(one),
        &drained,
        author("ana"),
        confirm(10.0, None),
        None,
        &facts(0.0),
    )
    .expect("well");
    // Undoing the drain would take a draining host back in.
    let Some(Err(errors)) = desk.expire_pending(&facts(10.0)) else {
        panic!("it is refused")
    };
    assert_eq!(errors.first[0].rule, Some(Rule::DrainsKept));
    assert!(desk.next_expiry().is_none() && desk.store.rejections().count() == 1);
}

#[test]
fn rights_cover_what_they_name_and_nothing_else() {
    let (desk, ..) = desk();
    let changes = |at: &str, text: &str| {
        desk.store
            .in_force()
            .tree
            .differences(&edit(&desk, at, text).tree)
    };
    let rights = Rights::parse("read, weights").expect("rights");
    rights
        .check(&changes("hosts/h1/weight", "2"))
        .expect("its right");
    for (at, text, needed) in [
        ("routes/r/operation", "read", "routes"),
        ("ring/back", "true", "ring"),
    ] {
        let error = rights.check(&changes(at, text)).expect_err("beyond");
        assert_eq!(
            (error.path.as_str(), error.expected),
            (at, format!("the right {needed}"))
        );
    }
    assert!(Rights::parse("read write").is_err() && Rights::parse(" ").is_err());
}
