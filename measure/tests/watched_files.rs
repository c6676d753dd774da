//! Runs the short form of the watched-files measurement, which checks only the counts that must be 0.

use std::process::Command;

#[test]
fn two_thousand_rewrites_pass_every_check() {
    let output = Command::new(env!("CARGO_BIN_EXE_kestreltide-measure"))
        .args(["watched-files", "--short"])
        .output();
    let output = output.expect("the program starts");
    let printed = String::from_utf8_lossy(&output.stdout);
    assert!(
        output.status.success(),
        "{printed}{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert!(printed.contains("rewrites=2000"), "{printed}");
}
