use super::{BuildOutcome, Day, Table};

fn day(events: &str, rolled_back_builds: &[u64]) -> Day {
    let mut day =
        Day::parse(&format!("prices: behind 0.2, waste 0.1\n{events}")).expect("a complete day");
    for build in rolled_back_builds {
        let line = format!(
            "Dec 03 13:00:00.100 INFO vote cast, router: n0, build: {build}, stage: 2, vote: RollBack\n"
        );
        day.count_votes(&line);
    }
    day
}

#[test]
fn classifies_builds_and_times_their_stay_at_the_last_stage() {
    let first_stages = "1.00 s  stage 0 of build 8 begins (8% of all places)\n\
        5.00 s  stage 1 of build 8 begins (25% of all places)\n";
    let last_stage = "9.00 s  stage 2 of build 8 begins (100% of all places)\n";
    let days = [
        day(
            &format!("{first_stages}{last_stage}12.00 s  build 8 is out\n"),
            &[],
        ),
        day(
            &format!("{first_stages}{last_stage}15.50 s  build 8 is being taken off\n"),
            &[8],
        ),
        day(
            &format!("{first_stages}8.00 s  build 8 is being taken off\n"),
            &[8],
        ),
        day(
            &format!("{first_stages}{last_stage}20.00 s  build 8 is being taken off\n"),
            &[],
        ),
        day(first_stages, &[8]),
    ];
    let table = Table::new(&days);
    let outcomes: Vec<_> = table.rows.iter().map(|row| row.outcome).collect();
    let undecided = BuildOutcome::Undecided;
    assert_eq!(
        outcomes,
        [
            BuildOutcome::Released,
            BuildOutcome::RolledBack,
            BuildOutcome::RolledBack,
            undecided,
            undecided
        ]
    );
    let seconds_at_all: Vec<_> = table
        .rows
        .iter()
        .map(|row| row.seconds_at_all_machines)
        .collect();
    assert_eq!(seconds_at_all, [None, Some(6.5), None, Some(11.0), None]);
    assert_eq!(table.rows[0].seconds_until_release, Some(11.0));
    assert!((table.mean_behind_price - 0.2).abs() < 1e-9);
}
