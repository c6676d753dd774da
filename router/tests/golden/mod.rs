//! Recorded output that must stay the same byte for byte, and the program run to compare with it.
//!
//! A golden file is only written by a deliberate command, never as a side effect of a test run:
//!
//! ```text
//! KESTRELTIDE_REGENERATE_GOLDEN=1 cargo test -p kestreltide-router --test golden_checks
//! ```
//!
//! Read the difference (`git diff router/tests/golden`) before committing it: every changed byte is
//! one that operators, clients, hosts, the platform or discovery see.

use std::env;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The router as it was built for this test run.
pub const ROUTER_BINARY: &str = env!("CARGO_BIN_EXE_kestreltide");

/// Set to `1`, it makes the tests write their golden files in place of comparing with them.
const REGENERATE: &str = "KESTRELTIDE_REGENERATE_GOLDEN";

/// What the router reads from the environment; a test starts it without these.
const ROUTER_VARIABLES: [&str; 5] = [
    "PROXY_CONFIG",
    "PROXY_NAME",
    "PROXY_LISTEN",
    "PROXY_DISCOVERY",
    "KESTRELTIDE_OPERATOR",
];

/// Replaces the one place where `from` stands. Panics where it stands never or more than once, so
/// that no case silently tests the unchanged text.
pub fn replace_one(text: &str, from: &str, to: &str) -> String {
    assert_eq!(
        text.matches(from).count(),
        1,
        "{from:?} must stand exactly once"
    );
    text.replacen(from, to, 1)
}

/// The router's command line, without what the surrounding environment would tell it.
pub fn router_command(arguments: &[&str], folder: &Path) -> Command {
    let mut command = Command::new(ROUTER_BINARY);
    command.args(arguments).current_dir(folder);
    for variable in ROUTER_VARIABLES {
        command.env_remove(variable);
    }
    command
}

/// Titled sections of recorded output, in the order in which they were recorded.
#[derive(Default)]
pub struct Transcript {
    text: String,
}

impl Transcript {
    /// Begins the section of a case.
    pub fn begin_case(&mut self, title: &str) {
        let separator = if self.text.is_empty() { "" } else { "\n" };
        self.text.push_str(&format!("{separator}== {title}\n"));
    }

    /// Records lines under a label.
    pub fn record(&mut self, label: &str, lines: &str) {
        let end = if lines.is_empty() || lines.ends_with('\n') {
            ""
        } else {
            "\n(no line end)\n"
        };
        self.text.push_str(&format!("-- {label}\n{lines}{end}"));
    }

    /// Records bytes: everything but printable ASCII is escaped, and each line feed ends a line.
    #[allow(dead_code)] // Not every test file that uses this module records bytes.
    pub fn record_bytes(&mut self, label: &str, bytes: &[u8]) {
        let lines: String = bytes
            .split_inclusive(|byte| *byte == b'\n')
            .map(|line| format!("{}\n", line.escape_ascii()))
            .collect();
        self.record(label, &lines);
    }

    /// Runs the router with these arguments and records what it printed and how it ended.
    #[allow(dead_code)] // Not every test file that uses this module runs sub-commands.
    pub fn record_command(&mut self, arguments: &[&str], folder: &Path) {
        self.record_command_with(arguments, folder, &[]);
    }

    /// The same with variables of the environment.
    #[allow(dead_code)]
    pub fn record_command_with(
        &mut self,
        arguments: &[&str],
        folder: &Path,
        variables: &[(&str, &str)],
    ) {
        let output = router_command(arguments, folder)
            .envs(variables.iter().copied())
            .output()
            .expect("the router runs");
        for (name, value) in variables {
            self.text.push_str(&format!("{name}={value}\n"));
        }
        self.text
            .push_str(&format!("$ kestreltide {}\n", arguments.join(" ")));
        self.text.push_str(&format!("{}\n", output.status));
        self.record(
            "stdout",
            &String::from_utf8(output.stdout).expect("standard output is UTF-8"),
        );
        self.record(
            "stderr",
            &String::from_utf8(output.stderr).expect("standard error is UTF-8"),
        );
    }

    /// Compares all that was recorded with the golden file of this name, byte for byte.
    pub fn assert_golden(&self, name: &str) {
        let path = golden_path(name);
        if env::var(REGENERATE).is_ok_and(|value| value == "1") {
            fs::write(&path, &self.text).expect("the golden file is writable");
            return;
        }
        let golden = fs::read_to_string(&path)
            .unwrap_or_else(|error| panic!("{name} cannot be read: {error}"));
        assert!(
            golden == self.text,
            "{}",
            first_difference(name, &golden, &self.text)
        );
    }
}

fn golden_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// The first line that differs, with the case it belongs to.
fn first_difference(name: &str, golden: &str, actual: &str) -> String {
    let golden_lines: Vec<&str> = golden.split('\n').collect();
    let actual_lines: Vec<&str> = actual.split('\n').collect();
    let same = golden_lines
        .iter()
        .zip(&actual_lines)
        .take_while(|(golden, actual)| golden == actual)
        .count();
    let case = golden_lines[..same]
        .iter()
        .rev()
        .find(|line| line.starts_with("== "));
    format!(
        "{name} differs from line {} on, in case {:?}\n golden: {:?}\n actual: {:?}",
        same + 1,
        case.unwrap_or(&"(the first)"),
        golden_lines.get(same),
        actual_lines.get(same),
    )
}
