//! The short form of the measurement of watched files: its counts that must be 0, without times.

use std::process::Command;

#[test]
fn two_thousand_rewrites_mix_and_lose_nothing() {
    let done = Command::new(env!("CARGO_BIN_EXE_kestreltide-measure"))
        .args(["watched-files", "--short"])
        .output();
    let done = done.expect("it runs");
    let said = String::from_utf8_lossy(&done.stdout);
    assert!(
        done.status.success(),
        "{said}{}",
        String::from_utf8_lossy(&done.stderr)
    );
    assert!(said.contains("rewrites=2000"), "{said}");
}
