//! The small fleet run, as continuous integration has it.

use std::process::Command;

#[test]
fn a_small_fleet_bears_its_day_and_its_failures() {
    let done = Command::new(env!("CARGO_BIN_EXE_kestreltide-measure"))
        .args(["capacity", "--fleet", "--small"])
        .output();
    let done = done.expect("it runs");
    let said = String::from_utf8_lossy(&done.stdout);
    assert!(done.status.success(), "{said}{}", String::from_utf8_lossy(&done.stderr));
    let last = said.lines().last().unwrap_or_default();
    assert!(last.starts_with("capacity-fleet:") && last.ends_with(" ok"), "{said}");
}
