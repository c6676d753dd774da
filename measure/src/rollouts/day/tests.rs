use super::{Day, DayError};

const BENCH_OUTPUT: &str = "rules kept, no fault\n\
    prices: behind 0.1355, connection 0.0020\n\
    \u{20}   4.50 s  stage 0 of build 56 begins (8% of all places)\n\
    \u{20}   6.38 s  server list of control-api changed: 4 ready, 0 draining, 0 gone\n\
    \u{20}  10.50 s  stage 1 of build 56 begins (25% of all places)\n\
    \u{20}  14.75 s  stage 2 of build 56 begins (100% of all places)\n\
    \u{20}  19.25 s  build 56 is out\n\
    \u{20}  23.25 s  stage 0 of build 57 begins (8% of all places)\n\
    \u{20}  31.00 s  build 57 is being taken off\n\
    \u{20}  33.00 s  build 57 is gone\n";

#[test]
fn parses_stages_release_removal_and_votes_of_each_build() {
    let mut day = Day::parse(BENCH_OUTPUT).expect("a complete day");
    day.count_votes(
        "30.1 Dec 03 13:00:00.100 INFO vote cast, router: n0, build: 57, stage: 0, vote: RollBack\n\
         8.1 Dec 03 13:00:00.200 INFO vote cast, router: n0, build: 56, stage: 0, vote: Promote\n",
    );
    assert_eq!((day.behind_price, day.rules_kept), (0.1355, true));
    let [released_build, removed_build] = [&day.builds[&56], &day.builds[&57]];
    assert_eq!(released_build.stages[&2], 14.75);
    assert_eq!(
        (
            released_build.released,
            released_build.removal_began,
            released_build.roll_back_votes
        ),
        (Some(19.25), None, 0)
    );
    assert_eq!(
        (
            removed_build.released,
            removed_build.removal_began,
            removed_build.roll_back_votes
        ),
        (None, Some(31.0), 1)
    );
}

#[test]
fn detects_a_broken_rule() {
    let output = BENCH_OUTPUT.replace(
        "rules kept, no fault",
        "RULE BROKEN (the day counts as zero): drain",
    );
    assert!(!Day::parse(&output).expect("a complete day").rules_kept);
}

#[test]
fn output_without_prices_or_builds_is_an_error() {
    let without_prices = BENCH_OUTPUT.replace("prices: ", "");
    assert_eq!(
        Day::parse(&without_prices),
        Err("has no line of prices: the day did not end")
    );
    assert_eq!(Day::parse("prices: behind 0.1\n"), Err("names no build"));
}

#[test]
fn a_folder_without_bench_output_is_an_error() {
    let folder = tempfile::tempdir().expect("a folder");
    let error = Day::read(folder.path()).expect_err("empty");
    assert!(matches!(error, DayError::Unreadable { .. }));
    assert!(
        error.to_string().contains("day.txt: cannot be read"),
        "{error}"
    );
}
