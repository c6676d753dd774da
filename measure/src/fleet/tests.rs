//! What only `fleet` itself can see.

use super::*;

const ONE: &str = "0.1 Dec 02 00:00:10.100 INFO starting, router: n0, version: 0.1.0\n\
    Dec 02 00:00:11.500 INFO vote cast, router: n0, build: 8, stage: 0, vote: Promote\n\
    no line of ours\n\
    Dec 02 00:00:13.900 INFO state, router: n0, open: 1, counts: taken 8 told 4 ends: succeeded 7 timed_out 4\n";
const TWO: &str = "Dec 02 00:00:10.000 INFO starting, router: n1\n\
    Dec 02 00:00:12.500 INFO vote cast, router: n1, build: 8, stage: 0, vote: RollBack\n\
    Dec 02 00:00:13.100 INFO vote cast, router: n1, build: 8, stage: 1, vote: Abstain\n\
    Dec 02 00:00:12.000 WARN discovery request failed, router: n1, why: no answer in time\n";

#[test]
fn counts_are_spread_over_their_time_and_votes_stand_until_the_next_stage() {
    let mut sum = Sum {
        from: 10.0,
        ..Sum::default()
    };
    sum.add(0, ONE);
    sum.add(1, TWO);
    sum.end();
    assert_eq!(sum.seconds[&0].starts, 2.0);
    assert!((0..4).all(|at| sum.seconds[&at].counts["taken"] == 2.0));
    assert!((0..4).all(|at| sum.seconds[&at].counts["timed_out"] == 1.0));
    assert_eq!(sum.seconds[&2].failed, 1.0);
    let standing = [0, 1, 2, 3].map(|at| sum.seconds[&at].standing);
    assert_eq!(standing, [[0, 0, 0], [1, 0, 0], [1, 1, 0], [0, 0, 1]]);
}

#[test]
fn a_folder_without_logs_is_named() {
    let folder = tempfile::tempdir().expect("a folder");
    assert!(read(folder.path()).expect_err("empty").contains("NAME.log"));
}
