//! The soak as continuous integration has it: a fixed handful of seeds, with and without a crowd, with an end within
//! the first second.

use std::process::Command;

use rstest::rstest;

fn soak(arguments: &[&str]) -> (Option<i32>, String) {
    let done = Command::new(env!("CARGO_BIN_EXE_kestreltide-measure"))
        .arg("soak")
        .args(arguments)
        .output()
        .expect("it runs");
    let printed = [done.stdout, done.stderr].concat();
    let printed = String::from_utf8_lossy(&printed).into_owned();
    (done.status.code(), printed)
}

#[test]
fn no_rule_is_broken_while_clients_hosts_and_signals_cross() {
    let (code, printed) = soak(&["--seed", "1", "--seeds", "8", "--at-once", "2"]);
    assert_eq!(code, Some(0), "{printed}");
    let last = printed.lines().last().unwrap_or_default();
    assert!(
        last.starts_with("soak: seeds=8 ") && last.ends_with(" ok"),
        "{printed}"
    );
}

#[rstest]
#[case::no_seeds(&["--seeds", "0"], "--seeds: no seed is to be played")]
#[case::none_at_once(&["--at-once", "0"], "--at-once: no seed may be played at a time")]
#[case::beyond_all_numbers(&["--seed", "18446744073709551615"], "--seed: the last seed is beyond")]
fn a_range_without_seeds_is_an_error_of_the_input(#[case] arguments: &[&str], #[case] why: &str) {
    let (code, printed) = soak(arguments);
    assert_eq!(code, Some(2), "{printed}");
    assert!(printed.contains(why), "{printed}");
}
