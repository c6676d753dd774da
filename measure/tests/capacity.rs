//! The small form of the capacity measurement: that every part is measured and has its line, whatever the figures are.

use std::process::{Command, Output};

const BINARY: &str = env!("CARGO_BIN_EXE_kestreltide-measure");
const PARTS: [&str; 8] = [
    "module", "hosts", "peers", "clients", "routes", "tenants", "files", "routers",
];

fn said(done: &Output) -> String {
    format!(
        "{}{}",
        String::from_utf8_lossy(&done.stdout),
        String::from_utf8_lossy(&done.stderr)
    )
}

fn last_line(done: &Output) -> String {
    String::from_utf8_lossy(&done.stdout)
        .lines()
        .last()
        .unwrap_or_default()
        .to_owned()
}

#[test]
fn every_part_is_measured_and_has_its_line() {
    let done = Command::new(BINARY)
        .args(["capacity", "--small"])
        .output()
        .expect("it runs");
    assert!(done.status.success(), "{}", said(&done));
    let last = last_line(&done);
    assert!(
        last.starts_with("capacity: ") && last.ends_with(" ok"),
        "{last}"
    );
    let rows = String::from_utf8_lossy(&done.stdout);
    for by in [
        "hosts",
        "peers",
        "routers",
        "routes",
        "client connections",
        "open requests",
        "revisions kept",
    ] {
        assert!(
            rows.lines()
                .any(|row| row.contains(&format!(" {by} ")) && row.contains('x')),
            "{by}: {rows}"
        );
    }
    assert!(!rows.contains("no line"), "{rows}");
}

#[test]
fn a_part_that_cannot_have_its_files_is_named() {
    // Few descriptors for this run alone: none of the parts with sockets can be had whole.
    let limited = format!("ulimit -n 48 && exec {BINARY} capacity --small");
    let done = Command::new("sh")
        .args(["-c", &limited])
        .output()
        .expect("it runs");
    assert!(!done.status.success(), "{}", said(&done));
    let last = last_line(&done);
    let short = last
        .split(" short: ")
        .nth(1)
        .unwrap_or_else(|| panic!("{}", said(&done)));
    assert!(short.split(',').any(|part| part == "hosts"), "{last}");
    assert!(
        short.split(',').all(|part| PARTS.contains(&part)) && !short.contains("module"),
        "{last}"
    );
    assert!(
        said(&done).contains("Too many open files"),
        "{}",
        said(&done)
    );
}
