//! Stories of the datastore, one for each way in which a change could be half taken, taken wrongly or lost.

use std::collections::BTreeSet;
use std::sync::Arc;

use kestreltide::interface::*;
use kestreltide_datastore::*;
use proptest::prelude::*;
use rstest::rstest;

const NOW: f64 = 1_000_000.0;

fn rules() -> RuleSettings {
    let operations = vec!["read".into(), "set".into()];
    RuleSettings {
        operations,
        routers: 4,
        slow_start_initial_fraction: 0.4,
        slow_start_duration: 4.0,
        overload_multiple: 3.0,
        maximums: Maximums::default(),
    }
}

fn facts(at: f64) -> Facts {
    Facts {
        now: NOW + at,
        discovery_received: true,
        ..Facts::default()
    }
}

fn author(name: &str) -> Author {
    Author {
        source: Source::Files,
        name: name.into(),
        version: String::new(),
    }
}

fn path(text: &str) -> Path {
    text.parse().expect("a path")
}

/// Sets leaves by their text; a dash takes one away.
fn edit(tree: &mut Tree, edits: &[(&str, &str)]) {
    for (at, text) in edits {
        let path = path(at);
        let leaf = path.leaf();
        let value = (*text != "-").then(|| leaf.parse(text).expect("a value"));
        tree.set(&path, value).expect("of its type");
    }
}

fn host(tree: &mut Tree, name: &str, port: u16, zone: &str, build: u16) {
    let at = |leaf: &str| format!("hosts/{name}/{leaf}");
    let (endpoint, build) = (format!("127.0.0.1:{port}"), build.to_string());
    let leaves = [
        ("endpoint", endpoint.as_str()),
        ("zone", zone),
        ("kind", "std"),
        ("build", &build),
    ];
    leaves
        .iter()
        .for_each(|(leaf, text)| edit(tree, &[(&at(leaf), text)]));
}

/// A store with so many hosts in two zones, as its first revision, taken long ago.
fn fleet(hosts: u16) -> Datastore {
    let mut store = Datastore::new(rules(), HistoryLimits::default());
    let mut candidate = Candidate::new(store.in_force());
    for number in 0..hosts {
        let zone = if number % 2 == 0 { "north" } else { "south" };
        host(
            &mut candidate.tree,
            &format!("h{number}"),
            7000 + number,
            zone,
            41,
        );
    }
    store
        .commit(&candidate, author("first"), &facts(-1000.0))
        .expect("well");
    store
}

fn try_edits(
    store: &mut Datastore,
    edits: &[(&str, &str)],
    facts: &Facts,
) -> Result<CommitOutcome, ValidationErrors> {
    let mut candidate = Candidate::new(store.in_force());
    edit(&mut candidate.tree, edits);
    store.commit(&candidate, author("test"), facts)
}

fn refused(result: Result<CommitOutcome, ValidationErrors>) -> Vec<ValidationError> {
    result.expect_err("it is refused").first
}

#[test]
fn a_commit_is_one_revision_and_its_snapshot_says_what_changed() {
    let mut store = fleet(4);
    let taken = try_edits(
        &mut store,
        &[("hosts/h1/weight", "2"), ("hosts/h3/state", "draining")],
        &facts(0.0),
    );
    let Ok(CommitOutcome::Applied(snapshot)) = taken else {
        panic!("taken: {taken:?}")
    };
    assert_eq!(snapshot.revision(), Revision(2));
    let named = |name| HostId::named(name);
    let mut changed = vec![named("h1"), named("h3")];
    changed.sort();
    assert_eq!(*snapshot.changed, changed);
    assert_eq!(*snapshot.overrides.weights, [(named("h1"), 2.0)]);
    let state = snapshot
        .configured(named("h3"))
        .and_then(|said| said.entry)
        .map(|entry| entry.state);
    assert_eq!(state, Some(HostState::Stopping));
    let again = try_edits(&mut store, &[("hosts/h1/weight", "2")], &facts(0.0));
    assert!(
        matches!(again, Ok(CommitOutcome::Unchanged)),
        "nothing changes, and no number is used up"
    );
}

#[test]
fn all_faults_of_a_candidate_are_told_and_nothing_of_it_stays() {
    let mut store = fleet(4);
    let before = store.state();
    let edits = [
        ("hosts/new/endpoint", "127.0.0.1:7001"),
        ("hosts/new/zone", "north"),
        ("hosts/nobody/weight", "3"),
        ("hosts/h0/started", "9000000"),
        ("hosts/h1/weight", "2"),
    ];
    let errors = refused(try_edits(&mut store, &edits, &facts(0.0)));
    let paths: BTreeSet<_> = errors.iter().map(|error| error.path.as_str()).collect();
    let expected = [
        "hosts/h0/started",
        "hosts/new/build",
        "hosts/new/kind",
        "hosts/nobody",
    ];
    assert_eq!(paths, expected.into_iter().collect());
    let after = store.state();
    assert_eq!(
        (after.tree, after.revision, after.history.len()),
        (before.tree, before.revision, 1)
    );
    let Some(RejectedCommit {
        revision: stays,
        errors,
        ..
    }) = store.rejections().next_back()
    else {
        panic!("it is remembered")
    };
    assert_eq!((*stays, errors.first.len()), (1, 4));
    assert!(
        errors.to_string().contains(
            "hosts/nobody: no such host is listed, by discovery or here (given: no entry"
        )
    );
}

#[rstest]
#[case::one_address(&[("hosts/h1/endpoint", "127.0.0.1:7000")], "is the address of h0 too")]
#[case::nine_in_ten(&[("hosts/h0/state", "out"), ("hosts/h1/state", "out"), ("hosts/h2/state", "out")], "3 of 4")]
#[case::a_zone(&[("hosts/h0/state", "out"), ("hosts/h2/state", "out")], "zone north would be left")]
#[case::a_start_ahead(&[("hosts/h0/started", "1000050")], "lies 50.0 s ahead")]
fn an_edit_that_is_dangerous_is_refused_with_the_reason(
    #[case] edits: &[(&str, &str)],
    #[case] why: &str,
) {
    let mut store = fleet(4);
    let errors = refused(try_edits(&mut store, edits, &facts(0.0)));
    assert!(
        errors.iter().any(|error| error.to_string().contains(why)),
        "{errors:?}"
    );
}

#[test]
fn guards_count_as_they_were_before_the_change_that_they_guard() {
    let mut store = fleet(4);
    let loosen = [
        ("guards/largest-removal", "1"),
        ("guards/least-hosts-zone", "0"),
        ("guards/least-hosts-build", "0"),
    ];
    let out = [
        ("hosts/h0/state", "out"),
        ("hosts/h1/state", "out"),
        ("hosts/h2/state", "out"),
    ];
    assert!(try_edits(&mut store, &[loosen.as_slice(), &out].concat(), &facts(0.0)).is_err());
    try_edits(&mut store, &loosen, &facts(0.0)).expect("guards alone");
    try_edits(&mut store, &out, &facts(0.0)).expect("now it is meant");
}

/// A weight on a host that has just started, the routers there are, how the reason begins, and after how many
/// seconds the same is taken.
#[rstest]
#[case::alone("60", 1, Some(("this router would send", 4.0)))]
#[case::alone_of_many("60", 4, Some(("this router alone", 4.0)))]
#[case::only_together("2", 4, Some(("all 4 routers together, though none alone,", 1.67)))]
#[case::carried("1.1", 4, None)]
fn a_weight_that_pushes_a_just_started_host_over_is_refused_until_it_is_warm(
    #[case] weight: &str,
    #[case] routers: u32,
    #[case] expected: Option<(&str, f64)>,
) {
    let mut store = fleet(40);
    let rules = RuleSettings { routers, ..rules() };
    try_edits(&mut store, &[("hosts/h0/started", "1000000")], &facts(0.0)).expect("a start");
    let mut store = Datastore::from_state(rules, HistoryLimits::default(), store.state());
    let result = try_edits(&mut store, &[("hosts/h0/weight", weight)], &facts(0.1));
    let Some((who, later)) = expected else {
        return drop(result.expect("it carries that"));
    };
    let errors = result.expect_err("it is refused");
    let [error] = errors.first.as_slice() else {
        panic!("one fault: {errors}")
    };
    assert!(
        error.problem.starts_with(who) && error.rule == Some(Rule::WarmUpRespected),
        "{error}"
    );
    let passes = errors.retry_at().expect("it passes by itself");
    assert!((passes - NOW - later).abs() < 0.2, "{}", passes - NOW);
    try_edits(
        &mut store,
        &[("hosts/h0/weight", weight)],
        &facts(later + 0.2),
    )
    .expect("it is warm enough");
}

#[test]
fn a_host_listed_anew_without_a_start_counts_as_just_started() {
    let mut store = fleet(10);
    let mut candidate = Candidate::new(store.in_force());
    host(&mut candidate.tree, "new", 9000, "north", 41);
    let Ok(CommitOutcome::Applied(snapshot)) =
        store.commit(&candidate, author("test"), &facts(0.0))
    else {
        panic!()
    };
    let entry = snapshot
        .configured(HostId::named("new"))
        .and_then(|said| said.entry);
    assert_eq!(entry.and_then(|entry| entry.started), Some(NOW));
    assert!(try_edits(&mut store, &[("hosts/new/weight", "30")], &facts(0.5)).is_err());
    try_edits(&mut store, &[("hosts/new/weight", "30")], &facts(5.0)).expect("it is warm");
}

#[test]
fn a_drain_is_never_held_up_by_a_cold_host() {
    let mut store = fleet(10);
    try_edits(&mut store, &[("hosts/h0/weight", "20")], &facts(0.0)).expect("it is warm");
    try_edits(&mut store, &[("hosts/h0/started", "1000010")], &facts(10.0)).expect("it restarted");
    try_edits(&mut store, &[("hosts/h1/state", "draining")], &facts(10.1)).expect("a drain");
    assert!(try_edits(&mut store, &[("hosts/h0/weight", "25")], &facts(10.1)).is_err());
}

#[rstest]
#[case::by_state(&[("hosts/h1/state", "in-service")])]
#[case::by_silence(&[("hosts/h1/state", "-")])]
#[case::with_its_old_start(&[("hosts/h1/state", "in-service"), ("hosts/h1/started", "999000")])]
fn a_drained_host_comes_back_only_with_a_new_start(#[case] back: &[(&str, &str)]) {
    let mut store = fleet(4);
    try_edits(&mut store, &[("hosts/h1/state", "draining")], &facts(0.0)).expect("a drain");
    let errors = refused(try_edits(&mut store, back, &facts(5.0)));
    assert_eq!(
        errors.iter().map(|error| error.rule).collect::<Vec<_>>(),
        [Some(Rule::DrainsKept)]
    );
    // Not by way of "out", nor after it has been left off the list, nor by a new memory.
    try_edits(&mut store, &[("hosts/h1/state", "out")], &facts(6.0)).expect("out");
    let mut store = Datastore::from_state(rules(), HistoryLimits::default(), store.state());
    assert!(try_edits(&mut store, back, &facts(7.0)).is_err());
    let new = [
        ("hosts/h1/state", "in-service"),
        ("hosts/h1/started", "1000008"),
    ];
    try_edits(&mut store, &new, &facts(9.0)).expect("another process");
}

#[test]
fn a_host_that_was_only_taken_out_comes_back_as_it_is() {
    let mut store = fleet(4);
    try_edits(&mut store, &[("hosts/h1/state", "out")], &facts(0.0)).expect("out");
    try_edits(&mut store, &[("hosts/h1/state", "in-service")], &facts(1.0)).expect("in again");
}

#[rstest]
#[case::withdrawn(Phase::RolledBack, true)]
#[case::going_back(Phase::RollingBack, true)]
#[case::on_trial(Phase::Canary, false)]
fn no_host_of_a_build_that_was_taken_back_is_put_in_service(
    #[case] phase: Phase,
    #[case] refuses: bool,
) {
    let mut store = fleet(4);
    let outcome = AttemptOutcome::Succeeded;
    let news = RolloutStatus {
        outcome,
        build: BuildId(42),
        stage: 0,
        phase,
        cap: 0.1,
        age: 1.0,
        answers_vote: false,
    };
    let mut candidate = Candidate::new(store.in_force());
    host(&mut candidate.tree, "new", 9000, "north", 42);
    let facts = Facts {
        rollout: Some(news),
        ..facts(0.0)
    };
    assert_eq!(
        store.commit(&candidate, author("test"), &facts).is_err(),
        refuses
    );
}

#[test]
fn the_build_on_trial_and_the_released_one_keep_hosts() {
    let mut store = fleet(4);
    let mut candidate = Candidate::new(store.in_force());
    host(&mut candidate.tree, "new", 9000, "north", 42);
    store
        .commit(&candidate, author("test"), &facts(0.0))
        .expect("well");
    let (outcome, phase) = (AttemptOutcome::Succeeded, Phase::Canary);
    let news = RolloutStatus {
        outcome,
        build: BuildId(42),
        stage: 0,
        phase,
        cap: 0.1,
        age: 1.0,
        answers_vote: false,
    };
    let facts = Facts {
        rollout: Some(news),
        ..facts(1.0)
    };
    let errors = refused(try_edits(&mut store, &[("hosts/new/state", "out")], &facts));
    assert!(
        errors[0].problem.contains("build 42 would be left"),
        "{}",
        errors[0]
    );
}

#[test]
fn of_two_who_change_one_leaf_the_second_is_told_who_was_first() {
    let mut store = fleet(4);
    let (mut one, mut two) = (
        Candidate::new(store.in_force()),
        Candidate::new(store.in_force()),
    );
    edit(
        &mut one.tree,
        &[("hosts/h1/weight", "2"), ("hosts/h2/weight", "2")],
    );
    edit(
        &mut two.tree,
        &[("hosts/h0/weight", "3"), ("hosts/h1/weight", "3")],
    );
    store
        .commit(&one, author("ana"), &facts(0.0))
        .expect("the first");
    let errors = refused(store.commit(&two, author("rui"), &facts(0.3)));
    let [error] = errors.as_slice() else {
        panic!("one leaf: {errors:?}")
    };
    assert_eq!(
        (error.path.as_str(), error.found.as_str()),
        ("hosts/h1/weight", "3")
    );
    assert!(
        error
            .problem
            .contains("since revision 1 by revision 2 (files by ana, 1970-01-12T13:46:40.000Z)"),
        "{error}"
    );
    assert_eq!(
        store.in_force().tree.get(&path("hosts/h0/weight")),
        None,
        "nothing of it stays"
    );
}

#[test]
fn who_changes_other_leaves_is_taken_on_top_and_checked_with_what_is_there() {
    let mut store = fleet(4);
    let (mut one, mut two) = (
        Candidate::new(store.in_force()),
        Candidate::new(store.in_force()),
    );
    let mut three = two.clone();
    edit(&mut one.tree, &[("hosts/h1/state", "out")]);
    edit(
        &mut two.tree,
        &[("hosts/h2/weight", "2"), ("hosts/h1/state", "out")],
    );
    edit(&mut three.tree, &[("hosts/h3/state", "out")]);
    store
        .commit(&one, author("ana"), &facts(0.0))
        .expect("the first");
    store
        .commit(&two, author("rui"), &facts(0.0))
        .expect("another leaf, and the same value");
    let errors = refused(store.commit(&three, author("eva"), &facts(0.0)));
    assert!(
        errors[0].problem.contains("zone south would be left"),
        "well alone, not with the running set"
    );
}

#[test]
fn an_earlier_revision_comes_back_as_a_new_one() {
    let mut store = fleet(4);
    try_edits(&mut store, &[("hosts/h1/weight", "2")], &facts(0.0)).expect("2");
    try_edits(
        &mut store,
        &[("hosts/h1/weight", "3"), ("hosts/h2/size", "4")],
        &facts(1.0),
    )
    .expect("3");
    store
        .roll_back(Revision(2), author("ana"), &facts(2.0))
        .expect("back");
    let now = store.in_force();
    assert_eq!(
        (now.revision, now.tree.get(&path("hosts/h2/size"))),
        (Revision(4), None)
    );
    let last = store.history().next_back().expect("a record");
    assert_eq!(
        (last.author.source.clone(), last.changes.len()),
        (Source::RolledBack(2), 2)
    );
    let error = store.tree_at(Revision(9)).expect_err("it never was");
    assert_eq!(error.expected, "0 to 4");
}

#[test]
fn history_is_bounded_by_revisions_and_by_what_they_changed() {
    let mut store = fleet(10);
    let keep = HistoryLimits {
        revisions: 20,
        changes: 60,
        rejections: 4,
        drained: 8,
    };
    store = Datastore::from_state(rules(), keep, store.state());
    for number in 0..100u32 {
        let edits: Vec<_> = (0..8)
            .map(|host| {
                (
                    format!("hosts/h{host}/weight"),
                    format!("{}", 1 + number % 9),
                )
            })
            .collect();
        let edits: Vec<_> = edits
            .iter()
            .map(|(path, text)| (path.as_str(), text.as_str()))
            .collect();
        try_edits(&mut store, &edits, &facts(f64::from(number))).expect("taken");
        let _ = try_edits(
            &mut store,
            &[("hosts/x/weight", "1")],
            &facts(f64::from(number)),
        );
    }
    assert!(
        store
            .history()
            .map(|record| record.changes.len())
            .sum::<usize>()
            <= 60
    );
    assert!(store.history().count() <= 7 && store.rejections().count() <= 4);
    let oldest = store
        .history()
        .next()
        .map(|record| record.number - 1)
        .expect("a record");
    store
        .tree_at(Revision(oldest))
        .expect("the oldest that is held");
}

fn listed(name: &str, port: u16, state: HostState) -> HostRecord {
    let endpoint = ([127, 0, 0, 1], port).into();
    let (zone, kind): (Arc<str>, Arc<str>) = ("east".into(), "std".into());
    let (name, size, build, started) = (name.into(), 1.0, BuildId(41), Some(NOW - 500.0));
    HostRecord {
        name,
        endpoint,
        zone,
        cell: 3,
        kind,
        size,
        build,
        started,
        state,
    }
}

/// Each field where both speak: what counts then.
#[rstest]
#[case::endpoint("hosts/d1/endpoint", "127.0.0.1:1", |host: &HostRecord| host.endpoint.port() == 8001)]
#[case::zone("hosts/d1/zone", "north", |host: &HostRecord| &*host.zone == "east")]
#[case::cell("hosts/d1/cell", "9", |host: &HostRecord| host.cell == 3)]
#[case::build("hosts/d1/build", "9", |host: &HostRecord| host.build == BuildId(41))]
#[case::size("hosts/d1/size", "9", |host: &HostRecord| host.size == 9.0)]
#[case::an_earlier_start("hosts/d1/started", "9", |host: &HostRecord| host.started == Some(NOW - 500.0))]
#[case::a_later_start("hosts/d1/started", "999990", |host: &HostRecord| host.started == Some(NOW - 10.0))]
#[case::state("hosts/d1/state", "draining", |host: &HostRecord| host.state == HostState::Stopping)]
#[case::state_of_one_that_is_gone("hosts/d2/state", "in-service", |host: &HostRecord| host.state == HostState::Gone)]
fn where_discovery_and_operators_disagree_a_table_says_who_wins(
    #[case] at: &str,
    #[case] text: &str,
    #[case] holds: fn(&HostRecord) -> bool,
) {
    let list = [
        listed("d1", 8001, HostState::Running),
        listed("d2", 8002, HostState::Gone),
    ];
    let facts = Facts {
        discovery: Some(list.into()),
        ..facts(0.0)
    };
    let mut tree = Tree::default();
    edit(&mut tree, &[(at, text)]);
    let all = merge::merge_all(&tree, &FirstListed::new(), facts.discovery.as_deref());
    let name = at.split('/').nth(1).expect("a host");
    assert!(holds(&all[name]), "{:?}", all[name]);
}

#[test]
fn what_waits_for_discovery_is_held_and_not_refused_for_good() {
    let mut store = Datastore::new(rules(), HistoryLimits::default());
    let facts = Facts {
        discovery: Some([].into()),
        discovery_received: false,
        ..facts(0.0)
    };
    let errors = try_edits(&mut store, &[("hosts/d1/weight", "2")], &facts).expect_err("not yet");
    assert!(errors.retry_at().is_some());
    let facts = Facts {
        discovery: Some([listed("d1", 8001, HostState::Running)].into()),
        discovery_received: true,
        ..facts
    };
    try_edits(&mut store, &[("hosts/d1/weight", "2")], &facts).expect("discovery lists it");
}

/// So much memory, where a host takes 100 + 150 bytes and a name in a route one byte.
fn bearing(most: usize) -> Maximums {
    let memory = MemorySettings {
        maximum: most,
        per_host: 100,
        per_configured_host: 150,
        per_route: 0,
        per_route_name: 1,
    };
    Maximums {
        memory,
        ..Maximums::default()
    }
}

/// What a router keeps, and one more of each.
#[rstest]
#[case::all(Maximums { hosts: 4, routes: 2, route_names: 3, ..Maximums::default() }, None)]
#[case::hosts(Maximums { hosts: 3, ..Maximums::default() }, Some("hosts: are more than a router keeps (given: 4; taken: 3 at most)"))]
#[case::routes(Maximums { routes: 1, ..Maximums::default() }, Some("routes: are more than a router keeps (given: 2; taken: 1 at most)"))]
#[case::memory_of_hosts(
    bearing(1000),
    Some(
        "hosts: take more memory than the router has for them (given: 1003 bytes for 4 hosts and 2 routes; taken: 1000 bytes at most)"
    )
)]
#[case::memory_of_routes(Maximums { memory: MemorySettings { per_route: 500, ..bearing(1000).memory }, ..Maximums::default() }, Some("routes: take more memory than the router has for them (given: 2003 bytes for 4 hosts and 2 routes; taken: 1000 bytes at most)"))]
#[case::memory_enough(bearing(1003), None)]
#[case::names(Maximums { route_names: 2, ..Maximums::default() }, Some("routes: name more than a router keeps (given: 3; taken: 2 at most)"))]
fn what_is_more_than_a_router_keeps_is_refused_by_its_name(
    #[case] most: Maximums,
    #[case] why: Option<&str>,
) {
    let mut store = Datastore::new(
        RuleSettings {
            maximums: most,
            ..rules()
        },
        HistoryLimits::default(),
    );
    let mut candidate = Candidate::new(store.in_force());
    (0..4).for_each(|number| {
        host(
            &mut candidate.tree,
            &format!("h{number}"),
            7000 + number,
            "north",
            41,
        )
    });
    let routes = [
        ("routes/r/operation", "read"),
        ("routes/s/operation", "set"),
        ("routes/s/zone", "north"),
    ];
    edit(&mut candidate.tree, &routes);
    let result = store.commit(&candidate, author("first"), &facts(0.0));
    match why {
        None => drop(result.expect("well")),
        Some(why) => assert_eq!(refused(result)[0].to_string(), why),
    }
}

#[rstest]
#[case("hosts/h/weight", "NaN", "is no finite number")]
#[case("hosts/h/weight", "inf", "is no finite number")]
#[case("hosts/h/weight", "-1", "is out of range")]
#[case("hosts/h/weight", "1e308", "is out of range")]
#[case("hosts/h/weight", "1e999", "is no finite number")]
#[case("hosts/h/weight", "heavy", "is no number")]
#[case("hosts/h/size", "0", "is out of range")]
#[case("hosts/h/build", "65536", "is out of range")]
#[case("hosts/h/build", "-1", "is no whole number in range")]
#[case("hosts/h/cell", "4294967296", "is no whole number in range")]
#[case("hosts/h/endpoint", "127.0.0.1:0", "can be connected to by nobody")]
#[case("hosts/h/endpoint", "localhost:80", "is no address and port")]
#[case("hosts/h/started", "2026-13-01T00:00:00Z", "is no time")]
#[case("hosts/h/state", "Draining", "is no administrative state")]
#[case("hosts/h/zone", "a/b", "has characters other than")]
#[case("guards/largest-removal", "1.01", "is out of range")]
fn a_value_beyond_sense_is_refused_with_its_leaf(
    #[case] at: &str,
    #[case] text: &str,
    #[case] why: &str,
) {
    let mut draft = TreeBuilder::default();
    draft.set("hosts.ini:3", path(at), text);
    let errors = draft.finish().expect_err("refused").first;
    assert!(
        errors[0].path.ends_with(at) && errors[0].problem.contains(why),
        "{}",
        errors[0]
    );
}

/// What is said of routes, and the first reason why not.
#[rstest]
#[case::well(&[("routes/r/operation", "read"), ("routes/r/zone", "north")], None)]
#[case::ordered(&[("routes/r/operation", "read"), ("routes/r/precedence", "1"), ("routes/s/key-prefix", "b"), ("routes/s/precedence", "2")], None)]
#[case::unordered(&[("routes/r/operation", "read"), ("routes/s/key-prefix", "b")], Some("routes/r/precedence: overlaps with route s"))]
#[case::operation(&[("routes/r/operation", "write")], Some("routes/r/operation: no such operation (given: write; taken: read, set)"))]
#[case::no_host(&[("routes/r/host", "h1 h9")], Some("routes/r/host: no such host is listed (given: h9"))]
#[case::empty_pool(&[("routes/r/zone", "west")], Some("routes/r: its pool would have no host of the released build"))]
#[case::empty_by_two(&[("routes/r/zone", "north"), ("routes/r/host", "h1")], Some("routes/r: its pool would have no host"))]
#[case::nothing(&[("routes/r/precedence", "1")], Some("says neither which invocations it is for"))]
fn routes_are_checked_with_what_there_is(
    #[case] edits: &[(&str, &str)],
    #[case] why: Option<&str>,
) {
    let result = try_edits(&mut fleet(4), edits, &facts(0.0));
    match why {
        None => drop(result.expect("well")),
        Some(why) => {
            assert!(refused(result)[0].to_string().starts_with(why) || why.starts_with("says"))
        }
    }
}

#[test]
fn a_host_that_a_route_needs_is_not_taken_away_under_it() {
    let mut store = fleet(4);
    try_edits(&mut store, &[("routes/r/host", "h1")], &facts(0.0)).expect("well");
    let errors = refused(try_edits(
        &mut store,
        &[("hosts/h1/state", "out")],
        &facts(0.0),
    ));
    assert!(
        errors[0]
            .to_string()
            .starts_with("routes/r: its pool would have no host"),
        "{}",
        errors[0]
    );
    let mut candidate = Candidate::new(store.in_force());
    candidate.tree.hosts.remove(&"h1".parse().expect("a name"));
    let errors = refused(store.commit(&candidate, author("test"), &facts(0.0)));
    assert!(
        errors[0]
            .problem
            .contains("refers to a host that would be listed no more"),
        "{errors:?}"
    );
}

#[rstest]
#[case::hold(&[("ring/build", "42"), ("ring/hold", "true")], None)]
#[case::lower(&[("ring/build", "42"), ("ring/cap", "0.05")], None)]
#[case::raise(&[("ring/build", "42"), ("ring/cap", "0.2")], Some("ring/cap: would be raised, and can only be lowered (given: 0.2; taken: 0.1 at most"))]
#[case::other(&[("ring/build", "41"), ("ring/back", "true")], Some("ring/build: is not the build that the platform tells of (given: 41"))]
#[case::none(&[("ring/back", "true")], Some("ring/build: does not say which build is meant"))]
fn what_is_asked_of_a_trial_only_narrows(
    #[case] edits: &[(&str, &str)],
    #[case] why: Option<&str>,
) {
    let (outcome, phase) = (AttemptOutcome::Succeeded, Phase::Canary);
    let news = RolloutStatus {
        outcome,
        build: BuildId(42),
        stage: 0,
        phase,
        cap: 0.1,
        age: 1.0,
        answers_vote: false,
    };
    let facts = Facts {
        rollout: Some(news),
        ..facts(0.0)
    };
    let mut store = fleet(4);
    match (try_edits(&mut store, edits, &facts), why) {
        (result, None) => drop(result.expect("well")),
        (result, Some(why)) => assert!(refused(result)[0].to_string().starts_with(why)),
    }
    // A wish of a build that has passed is in nobody's way.
    let later = Facts {
        rollout: Some(RolloutStatus {
            build: BuildId(43),
            ..news
        }),
        ..facts
    };
    try_edits(&mut store, &[("hosts/h1/weight", "2")], &later).expect("well");
}

#[test]
fn what_is_remembered_reads_back_as_it_was() {
    let mut store = fleet(6);
    try_edits(
        &mut store,
        &[("hosts/h1/state", "draining"), ("hosts/h2/weight", "0.3")],
        &facts(0.0),
    )
    .expect("2");
    let _ = try_edits(&mut store, &[("hosts/x/weight", "1")], &facts(1.0));
    let text = serde_json::to_string(&store.state()).expect("it has a form");
    let memory: DatastoreState = serde_json::from_str(&text).expect("it reads back");
    assert_eq!(memory, store.state());
    let again = Datastore::from_state(rules(), HistoryLimits::default(), memory);
    assert_eq!(*again.in_force().tree, *store.in_force().tree);
    assert_eq!(again.snapshot().hosts.len(), 6);
}

fn any_edit() -> impl Strategy<Value = (String, String)> {
    let leaf = prop_oneof![
        Just(("weight", vec!["0.01", "1", "3", "100", "-"])),
        Just(("state", vec!["in-service", "draining", "out", "-"])),
        Just(("size", vec!["1", "8", "-"])),
        Just(("endpoint", vec!["127.0.0.1:7001", "127.0.0.1:7300", "-"])),
        Just(("started", vec!["999990", "1000004", "-"])),
        Just(("zone", vec!["north", "west", "-"])),
    ];
    (0u32..8, leaf).prop_flat_map(|(host, (leaf, texts))| {
        let path = format!("hosts/h{host}/{leaf}");
        proptest::sample::select(texts).prop_map(move |text| (path.clone(), text.to_owned()))
    })
}

proptest! {
    /// Whatever is tried, by whom and on whatever base: a refusal changes nothing, every revision can be
    /// walked back to, what is in force is well by the checks that need no history, and differences are exact.
    #[test]
    fn long_histories_stay_whole(tries in prop::collection::vec((prop::collection::vec(any_edit(), 1..5), 0usize..3), 1..40)) {
        let mut store = fleet(6);
        let mut bases = vec![store.in_force().clone()];
        let mut trees = vec![(store.in_force().revision, store.in_force().tree.clone())];
        for (number, (edits, back)) in tries.iter().enumerate() {
            let base = &bases[bases.len().saturating_sub(1 + back)];
            let mut candidate = Candidate::new(base);
            for (at, text) in edits {
                edit(&mut candidate.tree, &[(at, text)]);
            }
            let before = (store.in_force().revision, store.in_force().tree.clone());
            match store.commit(&candidate, author("any"), &facts(number as f64)) {
                Ok(CommitOutcome::Applied(snapshot)) => {
                    prop_assert_eq!(snapshot.revision(), Revision(before.0.0 + 1));
                    let changes = &store.history().next_back().expect("a record").changes;
                    prop_assert_eq!(&before.1.with_changes(changes).expect("it applies"), &*store.in_force().tree);
                    prop_assert_eq!(&store.in_force().tree.without_changes(changes).expect("it applies"), &*before.1);
                    bases.push(store.in_force().clone());
                    trees.push((store.in_force().revision, store.in_force().tree.clone()));
                }
                Ok(CommitOutcome::Unchanged) | Err(_) => {
                    prop_assert_eq!(before, (store.in_force().revision, store.in_force().tree.clone()));
                }
            }
            let ports: Vec<_> = store.in_force().tree.hosts.values().filter_map(|set| set.endpoint).collect();
            prop_assert_eq!(ports.iter().collect::<BTreeSet<_>>().len(), ports.len());
        }
        for (revision, tree) in trees {
            prop_assert_eq!(&store.tree_at(revision).expect("history holds it"), &*tree);
        }
    }
}
