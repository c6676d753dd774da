use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::*;

fn table() -> (HostTable, ChaCha8Rng) {
    (HostTable::new(4, 4, 41), ChaCha8Rng::seed_from_u64(1))
}

fn mean(table: &HostTable, chance: &mut ChaCha8Rng, now: f64) -> f64 {
    let times = (0..400).map(|_| {
        let drawn = table.begin(0, now, Whose::Real, true, chance);
        table.end(0, &drawn);
        drawn.after
    });
    times.sum::<f64>() / 400.0
}

#[test]
fn a_cold_host_takes_twice_as_long_at_first() {
    let (table, mut chance) = table();
    let warm = mean(&table, &mut chance, 100.0);
    table.start(0, 41, 100.0);
    let cold = mean(&table, &mut chance, 100.0);
    let later = mean(&table, &mut chance, 100.0 + COLD_TIME);
    assert!((1.9..2.1).contains(&(cold / warm)), "{cold} {warm}");
    assert!((0.9..1.1).contains(&(later / warm)), "{later} {warm}");
}

#[test]
fn what_ends_or_vanishes_meanwhile_is_reset_or_silent() {
    let (table, mut chance) = table();
    let drawn = table.begin(0, 1.0, Whose::Real, true, &mut chance);
    table.start(0, 41, 1.0);
    assert_eq!(table.end(0, &drawn), Outcome::Reset);
    let drawn = table.begin(0, 1.0, Whose::Real, true, &mut chance);
    table.change(0, |it| it.life = Life::Vanished);
    assert_eq!(table.end(0, &drawn), Outcome::Silent);
    assert_eq!(
        table.begin(0, 1.0, Whose::Real, true, &mut chance).outcome,
        Outcome::Silent
    );
    table.change(0, |it| it.life = Life::Down);
    assert_eq!(
        table.begin(0, 1.0, Whose::Real, true, &mut chance).outcome,
        Outcome::Reset
    );
    assert_eq!(
        table.begin(1, 1.0, Whose::Real, false, &mut chance).outcome,
        Outcome::Silent
    );
}

#[test]
fn a_bad_build_fails_for_its_share() {
    let (table, mut chance) = table();
    table.set_quality(42, BAD);
    table.change(0, |it| it.build = 42);
    let errors = (0..1000).filter(|_| {
        let drawn = table.begin(0, 1.0, Whose::Real, true, &mut chance);
        table.end(0, &drawn) == Outcome::Error
    });
    assert!((200..300).contains(&errors.count()));
}

#[test]
fn a_cold_host_that_gets_all_is_told_apart_from_one_that_gets_its_share() {
    let (table, mut chance) = table();
    table.start(0, 41, 0.0);
    table.start(1, 41, 0.0);
    for number in 0..400 {
        let host = if number % 10 == 0 { 1 } else { 0 };
        let drawn = table.begin(host, 0.5, Whose::Real, true, &mut chance);
        table.end(host, &drawn);
    }
    assert!(table.cold_shares(1.0).is_empty());
    let shares = table.cold_shares(COLD_TIME);
    assert_eq!(
        (shares[0].host, shares[0].got, shares[0].fair),
        (0, 360, 100.0)
    );
    assert_eq!(shares[1].got, 40);
    assert_eq!(shares[0].allowed, allowed(100.0));
    assert!((shares[0].got as f64) < allowed(100.0) + 4.0 && allowed(100.0) < 374.0);
    let few = allowed(1.0);
    assert!((shares[1].got as f64) > few && few < 15.0);
}
