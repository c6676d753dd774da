use super::*;

// The text before the time of day, `0.1`, stands for a prefix added by the program that collects the logs.
const FIRST_LOG: &str = "0.1 Dec 02 00:00:10.100 INFO starting, router: n0, version: 0.1.0\n\
    Dec 02 00:00:11.500 INFO vote cast, router: n0, build: 8, stage: 0, vote: Promote\n\
    no line of ours\n\
    Dec 02 00:00:13.900 INFO state, router: n0, open: 1, counts: taken 8 told 4 ends: succeeded 7 timed_out 4\n";
const SECOND_LOG: &str = "Dec 02 00:00:10.000 INFO starting, router: n1\n\
    Dec 02 00:00:12.500 INFO vote cast, router: n1, build: 8, stage: 0, vote: RollBack\n\
    Dec 02 00:00:13.100 INFO vote cast, router: n1, build: 8, stage: 1, vote: Abstain\n\
    Dec 02 00:00:12.000 WARN discovery request failed, router: n1, why: no answer in time\n";

/// A `state` line counts what happened since the router's previous one, here since its start: 8 and 4 over 4 seconds.
/// A vote counts until its router casts another or any router votes on a later stage.
#[test]
fn counters_are_spread_over_their_seconds_and_votes_count_until_the_next_stage() {
    let mut totals = FleetTotals {
        start: 10.0,
        ..FleetTotals::default()
    };
    totals.add_log(0, FIRST_LOG);
    totals.add_log(1, SECOND_LOG);
    totals.finish();
    assert_eq!(totals.seconds[&0].starts, 2.0);
    assert!((0..4).all(|second| totals.seconds[&second].counters["taken"] == 2.0));
    assert!((0..4).all(|second| totals.seconds[&second].counters["timed_out"] == 1.0));
    assert_eq!(totals.seconds[&2].failed, 1.0);
    // The columns are the routers whose latest vote is to promote, to roll back and to abstain.
    let latest_votes = [0, 1, 2, 3].map(|second| totals.seconds[&second].latest_votes);
    assert_eq!(latest_votes, [[0, 0, 0], [1, 0, 0], [1, 1, 0], [0, 0, 1]]);
}

#[test]
fn a_folder_without_logs_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    assert!(
        read_logs(folder.path())
            .expect_err("empty")
            .contains("NAME.log")
    );
}
