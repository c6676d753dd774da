//! Parses files of hosts, and files of weights and states.

use kestreltide_datastore::tree_builder::printable;
use kestreltide_datastore::{Container, HostName, Leaf, Path, TreeBuilder, ValidationError};

use super::file::{END_SECTION, FileErrors, FileKind};
use super::frame::{Generation, parse_framed};
use crate::ini::{self, Section, unknown_name_error};

/// Parses one file into the tree. Invalid entries are added to `errors`.
///
/// # Errors
///
/// Returns an error if the file is not complete, whatever else is wrong with it.
pub(super) fn parse_file(
    kind: FileKind,
    text: &str,
    tree: &mut TreeBuilder,
    errors: &mut FileErrors,
) -> Result<Generation, ValidationError> {
    parse_framed(kind, text, errors, |body, errors| match kind {
        FileKind::Weights => parse_weights(body, tree, errors),
        FileKind::Hosts | FileKind::Keys => parse_hosts(body, tree, errors),
    })
}

/// Parses the sections of hosts and guards, and returns the number of hosts.
fn parse_hosts(body: &[Section], tree: &mut TreeBuilder, errors: &mut FileErrors) -> usize {
    let mut count = 0;
    for section in body {
        let location = errors.line(section.line);
        if section.name == "guards" {
            parse_leaves(section, Container::Guards, errors, |key, leaf, location| {
                tree.set(location, Path::Guards(leaf), &key.value);
            });
        } else if let Some(name) = section.name.strip_prefix("host ") {
            count += 1;
            let Some(host) = tree.begin_host(&location, name.trim()) else {
                continue;
            };
            parse_leaves(section, Container::Host, errors, |key, leaf, location| {
                tree.set_host(location, &host, leaf, &key.value);
            });
        } else {
            errors.push(unknown_name_error(
                &location,
                "section",
                &section.name,
                ["host NAME", "guards", END_SECTION],
            ));
        }
    }
    count
}

/// Parses the keys of a section as leaves of a container, and passes each to `set` with its file and line.
fn parse_leaves(
    section: &Section,
    container: Container,
    errors: &mut FileErrors,
    mut set: impl FnMut(&ini::Key, Leaf, &str),
) {
    for key in &section.keys {
        let location = errors.line(key.line);
        match Leaf::by_name(container, &key.name) {
            Some(leaf) => set(key, leaf, &location),
            None => {
                let known: Vec<_> = Leaf::all_of(container).map(Leaf::name).collect();
                let path = format!("{location}: [{}] {}", section.name, printable(&key.name));
                errors.push(unknown_name_error(&path, "key", &key.name, known));
            }
        }
    }
}

/// Parses the sections of weights and states, and returns the number of entries.
fn parse_weights(body: &[Section], tree: &mut TreeBuilder, errors: &mut FileErrors) -> usize {
    let mut count = 0;
    for section in body {
        let leaf = match section.name.as_str() {
            "weights" => Leaf::Weight,
            "states" => Leaf::State,
            other => {
                errors.push(unknown_name_error(
                    &errors.line(section.line),
                    "section",
                    other,
                    ["weights", "states", END_SECTION],
                ));
                continue;
            }
        };
        for key in &section.keys {
            count += 1;
            let location = errors.line(key.line);
            match key.name.parse::<HostName>() {
                Ok(host) => tree.set_host(&location, &host, leaf, &key.value),
                Err(reason) => errors.push(ValidationError::new(
                    location,
                    format!("the host's name {reason}"),
                    printable(&key.name),
                    "letters, digits and . _ : -",
                )),
            }
        }
    }
    count
}
