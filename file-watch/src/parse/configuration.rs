//! Files of hosts, and files of weights and states.

use kestreltide_datastore::tree_builder::printable;
use kestreltide_datastore::{Container, HostName, Leaf, Path, TreeBuilder, ValidationError};

use super::file::{END_SECTION, FileErrors, FileKind};
use super::frame::{Generation, parse_framed};
use crate::ini::{self, Section, unknown_name_error};

/// Reads one file into the tree.
///
/// # Errors
///
/// The file is not complete, whatever else is wrong with it.
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

/// Reads the sections of hosts and guards, and counts the hosts.
fn parse_hosts(body: &[Section], tree: &mut TreeBuilder, errors: &mut FileErrors) -> usize {
    let mut count = 0;
    for section in body {
        let place = errors.line(section.line);
        if section.name == "guards" {
            parse_leaves(section, Container::Guards, errors, |key, leaf, place| {
                tree.set(place, Path::Guards(leaf), &key.value);
            });
        } else if let Some(name) = section.name.strip_prefix("host ") {
            count += 1;
            let Some(host) = tree.begin_host(&place, name.trim()) else {
                continue;
            };
            parse_leaves(section, Container::Host, errors, |key, leaf, place| {
                tree.set_host(place, &host, leaf, &key.value);
            });
        } else {
            errors.push(unknown_name_error(
                &place,
                "section",
                &section.name,
                ["host NAME", "guards", END_SECTION],
            ));
        }
    }
    count
}

fn parse_leaves(
    section: &Section,
    container: Container,
    errors: &mut FileErrors,
    mut set: impl FnMut(&ini::Key, Leaf, &str),
) {
    for key in &section.keys {
        let place = errors.line(key.line);
        match Leaf::by_name(container, &key.name) {
            Some(leaf) => set(key, leaf, &place),
            None => {
                let known: Vec<_> = Leaf::all_of(container).map(Leaf::name).collect();
                let path = format!("{place}: [{}] {}", section.name, printable(&key.name));
                errors.push(unknown_name_error(&path, "key", &key.name, known));
            }
        }
    }
}

/// Reads the sections of weights and states, and counts their entries.
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
            let place = errors.line(key.line);
            match key.name.parse::<HostName>() {
                Ok(host) => tree.set_host(&place, &host, leaf, &key.value),
                Err(why) => errors.push(ValidationError::new(
                    place,
                    format!("the host's name {why}"),
                    printable(&key.name),
                    "letters, digits and . _ : -",
                )),
            }
        }
    }
    count
}
