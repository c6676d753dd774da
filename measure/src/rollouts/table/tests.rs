use super::{Day, Fate, Table};

fn day(events: &str, back_votes_on: &[u64]) -> Day {
    let mut day =
        Day::parse(&format!("prices: behind 0.2, waste 0.1\n{events}")).expect("a whole day");
    for build in back_votes_on {
        let line = format!(
            "Dec 03 13:00:00.100 INFO vote cast, router: n0, build: {build}, stage: 2, vote: RollBack\n"
        );
        day.count_votes(&line);
    }
    day
}

#[test]
fn a_build_is_let_on_where_votes_roll_it_back_from_the_last_stage() {
    let stages = "1.00 s  stage 0 of build 8 begins (8% of all places)\n\
        5.00 s  stage 1 of build 8 begins (25% of all places)\n";
    let last = "9.00 s  stage 2 of build 8 begins (100% of all places)\n";
    let days = [
        day(&format!("{stages}{last}12.00 s  build 8 is out\n"), &[]),
        day(
            &format!("{stages}{last}15.50 s  build 8 is being taken off\n"),
            &[8],
        ),
        day(
            &format!("{stages}8.00 s  build 8 is being taken off\n"),
            &[8],
        ),
        day(
            &format!("{stages}{last}20.00 s  build 8 is being taken off\n"),
            &[],
        ),
        day(stages, &[8]),
    ];
    let table = Table::new(&days);
    let fates: Vec<_> = table.rows.iter().map(|row| row.fate).collect();
    let undecided = Fate::Undecided;
    assert_eq!(
        fates,
        [
            Fate::Released,
            Fate::RolledBack,
            Fate::RolledBack,
            undecided,
            undecided
        ]
    );
    let at_all: Vec<_> = table.rows.iter().map(|row| row.at_all_machines).collect();
    assert_eq!(at_all, [None, Some(6.5), None, Some(11.0), None]);
    assert_eq!(table.rows[0].until_released, Some(11.0));
    assert!((table.behind - 0.2).abs() < 1e-9);
}
