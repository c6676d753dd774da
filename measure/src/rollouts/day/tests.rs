use super::{Day, DayError};

const PRINTED: &str = "rules kept, no fault\n\
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
fn a_printed_day_tells_what_became_of_each_build() {
    let mut day = Day::parse(PRINTED).expect("a whole day");
    day.count_votes(
        "30.1 Dec 03 13:00:00.100 INFO vote cast, router: n0, build: 57, stage: 0, vote: RollBack\n\
         8.1 Dec 03 13:00:00.200 INFO vote cast, router: n0, build: 56, stage: 0, vote: Promote\n",
    );
    assert_eq!((day.behind, day.rules_kept), (0.1355, true));
    let [first, second] = [&day.builds[&56], &day.builds[&57]];
    assert_eq!(first.stages[&2], 14.75);
    assert_eq!(
        (first.released, first.taken_off, first.roll_back_votes),
        (Some(19.25), None, 0)
    );
    assert_eq!(
        (second.released, second.taken_off, second.roll_back_votes),
        (None, Some(31.0), 1)
    );
}

#[test]
fn a_broken_rule_is_seen() {
    let printed = PRINTED.replace(
        "rules kept, no fault",
        "RULE BROKEN (the day counts as zero): drain",
    );
    assert!(!Day::parse(&printed).expect("a whole day").rules_kept);
}

#[test]
fn a_day_without_an_end_or_without_builds_is_named() {
    let cut = PRINTED.replace("prices: ", "");
    assert_eq!(
        Day::parse(&cut),
        Err("tells no prices: the day did not end")
    );
    assert_eq!(Day::parse("prices: behind 0.1\n"), Err("tells of no build"));
}

#[test]
fn a_folder_without_a_printed_day_is_named() {
    let folder = tempfile::tempdir().expect("a folder");
    let error = Day::read(folder.path()).expect_err("empty");
    assert!(matches!(error, DayError::Unreadable { .. }));
    assert!(
        error.to_string().contains("day.txt: cannot be read"),
        "{error}"
    );
}
