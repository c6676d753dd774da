//! The small fleet run, as continuous integration has it.

use std::process::Command;

#[test]
fn a_small_fleet_bears_its_day_and_its_failures() {
    let done = Command::new(env!("CARGO_BIN_EXE_kestreltide-measure"))
        .args(["capacity", "--fleet", "--small"])
        .output();
    let done = done.expect("it runs");
    let said = String::from_utf8_lossy(&done.stdout);
    assert!(
        done.status.success(),
        "{said}{}",
        String::from_utf8_lossy(&done.stderr)
    );
    let last = said.lines().last().unwrap_or_default();
    assert!(
        last.starts_with("capacity-fleet:") && last.ends_with(" ok"),
        "{said}"
    );
}

#[test]
fn a_run_that_cannot_have_its_files_says_so_and_fails() {
    let run = format!(
        "ulimit -n 200; exec {} capacity --fleet --small",
        env!("CARGO_BIN_EXE_kestreltide-measure")
    );
    let done = Command::new("sh")
        .args(["-c", &run])
        .output()
        .expect("a shell");
    let said = String::from_utf8_lossy(&done.stdout);
    assert!(!done.status.success(), "{said}");
    assert!(
        said.lines()
            .last()
            .unwrap_or_default()
            .starts_with("capacity-fleet: short: open-files"),
        "{said}"
    );
}
