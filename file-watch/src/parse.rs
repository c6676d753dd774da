//! What operators' files say. Every file names its generation at its head and again at its end, with the count
//! of what it holds: a file that was cut, or is being written over, is told by its ends. Files that belong
//! together are one version where they name one generation.

use std::str;

use kestreltide_datastore::tree_builder::printable;
use kestreltide_datastore::{
    Container, HostName, Key, Keys, Leaf, Path, Proof, Rights, Tree, TreeBuilder, ValidationError,
    ValidationErrors,
};

use crate::ini::{self, Section, unknown_name};
use crate::read_file::Content;

/// Which file it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FileKind {
    /// `[host NAME]` with the leaves of each, and `[guards]`.
    Hosts,
    /// `[weights]` and `[states]`, by hosts' names.
    Weights,
    /// `[key NAME]` of those who may come in, with their rights.
    Keys,
}

/// Characters of a generation's name.
const GENERATION_MOST: usize = 64;
const END: &str = "end";

/// What all files together say.
#[derive(Clone, Debug, PartialEq)]
pub struct Version {
    /// The generation that all files name.
    pub generation: String,
    /// The hosts and guards that they set.
    pub tree: Tree,
}

/// Why there is no version.
#[derive(Clone, Debug, PartialEq)]
pub enum Parsed<V> {
    /// The files are whole, belong together and pass all checks.
    Complete(V),
    /// Each file is whole, but they do not belong together: one may still be written.
    Mismatched(ValidationErrors),
    /// Some file may still be written.
    Incomplete(ValidationErrors),
    /// Whole, and wrong.
    Invalid(ValidationErrors),
}

struct Ends {
    generation: Option<String>,
}

/// What these files say together; `place` is how each is called in what is shown.
pub fn parse_version(files: &[(FileKind, &str, &Content)]) -> Parsed<Version> {
    let (mut candidate, mut incomplete, mut validation_errors) = (
        TreeBuilder::default(),
        ValidationErrors::default(),
        ValidationErrors::default(),
    );
    let mut generations: Vec<(&str, String)> = vec![];
    for (kind, place, content) in files {
        let text = match text_of(place, content) {
            Ok(text) => text,
            Err(why) => {
                if why.0 {
                    incomplete.push(why.1)
                } else {
                    validation_errors.push(why.1)
                }
                continue;
            }
        };
        match parse_file(*kind, place, text, &mut candidate, &mut validation_errors) {
            Ok(Ends { generation }) => {
                generations.extend(generation.map(|generation| (*place, generation)))
            }
            Err(error) => incomplete.push(error),
        }
    }
    if !incomplete.is_empty() {
        return Parsed::Incomplete(incomplete);
    }
    let tree = candidate.finish();
    if let Err(found) = &tree {
        validation_errors.extend(found.first.iter().cloned());
        validation_errors.more += found.more;
    }
    let Some((first, generation)) = generations.first().cloned() else {
        return Parsed::Invalid(validation_errors);
    };
    if let Some((place, other)) = generations.iter().find(|(_, other)| *other != generation) {
        let what = format!(
            "is of another generation than {first}, which names {}",
            printable(&generation)
        );
        return Parsed::Mismatched(
            ValidationError::new(
                format!("{place}: generation"),
                what,
                printable(other),
                "one generation for all files",
            )
            .into(),
        );
    }
    match tree {
        Ok(tree) if validation_errors.is_empty() => Parsed::Complete(Version { generation, tree }),
        _ => Parsed::Invalid(validation_errors),
    }
}

/// The text of a file; with an error, whether the file may only be torn.
fn text_of<'a>(place: &str, content: &'a Content) -> Result<&'a str, Box<(bool, ValidationError)>> {
    match content {
        Ok(bytes) => str::from_utf8(bytes).map_err(|e| {
            // A character cut in two at the end is a file cut in two.
            let what = format!("is not UTF-8 from byte {}", e.valid_up_to());
            Box::new((
                e.error_len().is_none(),
                ValidationError::new(place, what, "other bytes", "UTF-8"),
            ))
        }),
        Err(why) => Err(Box::new((
            true,
            ValidationError::new(place, "cannot be read", &why.0, "a file of text"),
        ))),
    }
}

/// Who may come in, as a file of keys says.
pub fn parse_keys(place: &str, content: &Content) -> Parsed<Keys> {
    let text = match text_of(place, content) {
        Ok(text) => text,
        Err(why) if why.0 => return Parsed::Incomplete(why.1.into()),
        Err(why) => return Parsed::Invalid(why.1.into()),
    };
    let (mut found, mut validation_errors) = (vec![], ValidationErrors::default());
    let read = parse_framed(
        FileKind::Keys,
        place,
        text,
        &mut validation_errors,
        |body, validation_errors| parse_key_sections(place, body, &mut found, validation_errors),
    );
    match read {
        Err(error) => Parsed::Incomplete(error.into()),
        Ok(_) if !validation_errors.is_empty() => Parsed::Invalid(validation_errors),
        Ok(Ends { generation }) => Parsed::Complete(Keys {
            generation: generation.unwrap_or_default(),
            keys: found,
        }),
    }
}

fn parse_key_sections(
    place: &str,
    body: &[Section],
    found: &mut Vec<Key>,
    validation_errors: &mut ValidationErrors,
) -> usize {
    for section in body {
        let at = format!("{place}:{}", section.line);
        let Some(name) = section
            .name
            .strip_prefix("key ")
            .map(str::trim)
            .filter(|name| !name.is_empty())
        else {
            validation_errors.push(unknown_name(
                &at,
                "section",
                &section.name,
                ["key NAME", END],
            ));
            continue;
        };
        ini::check_keys(
            place,
            section,
            &["ssh", "certificate", "rights"],
            validation_errors,
        );
        let Some(rights) = parse_rights(place, section, name, validation_errors) else {
            continue;
        };
        let proofs = parse_proofs(place, section, name, validation_errors);
        if proofs.is_empty() && validation_errors.is_empty() {
            validation_errors.push(ValidationError::new(
                format!("{at}: [key {name}]"),
                "has neither of both",
                "nothing",
                "ssh or certificate",
            ));
        }
        for proof in proofs {
            if let Some(other) = found.iter().find(|key| key.proof == proof) {
                let what = format!("is the key of {} too", other.name);
                validation_errors.push(ValidationError::new(&at, what, name, "a key of its own"));
            }
            found.push(Key {
                name: name.into(),
                proof,
                rights,
            });
        }
    }
    body.len()
}

fn key_named<'a>(section: &'a Section, name: &str) -> Option<&'a ini::Key> {
    section.keys.iter().find(|key| key.name == name)
}

fn parse_rights(
    place: &str,
    section: &Section,
    name: &str,
    validation_errors: &mut ValidationErrors,
) -> Option<Rights> {
    let taken = "read, weights, routes, ring";
    let Some(key) = key_named(section, "rights") else {
        let path = format!("{place}:{}: [key {name}] rights", section.line);
        validation_errors.push(ValidationError::new(path, "is missing", "nothing", taken));
        return None;
    };
    match Rights::parse(&key.value) {
        Ok(rights) => Some(rights),
        Err(why) => {
            let path = format!("{place}:{}: [key {name}] rights", key.line);
            validation_errors.push(ValidationError::new(
                path,
                why,
                printable(&key.value),
                taken,
            ));
            None
        }
    }
}

/// By what the holder of a key proves who it is: a public key of SSH, the hash of a certificate, or both.
fn parse_proofs(
    place: &str,
    section: &Section,
    name: &str,
    validation_errors: &mut ValidationErrors,
) -> Vec<Proof> {
    let mut proofs = vec![];
    if let Some(key) = key_named(section, "ssh") {
        let words: Vec<_> = key.value.split_whitespace().collect();
        match words.as_slice() {
            [kind, text, ..] if text.len() > 16 => {
                proofs.push(Proof::Ssh(format!("{kind} {text}")))
            }
            _ => {
                let path = format!("{place}:{}: [key {name}] ssh", key.line);
                let taken = "a line as in id_ed25519.pub";
                validation_errors.push(ValidationError::new(
                    path,
                    "is no public key",
                    printable(&key.value),
                    taken,
                ));
            }
        }
    }
    if let Some(key) = key_named(section, "certificate") {
        match parse_hash(&key.value) {
            Some(hash) => proofs.push(Proof::Certificate(hash)),
            None => {
                let path = format!("{place}:{}: [key {name}] certificate", key.line);
                let taken = "64 hexadecimal digits";
                validation_errors.push(ValidationError::new(
                    path,
                    "is no SHA-256",
                    printable(&key.value),
                    taken,
                ));
            }
        }
    }
    proofs
}

fn parse_hash(text: &str) -> Option<[u8; 32]> {
    let digits: Vec<u8> = text.bytes().filter(|byte| *byte != b':').collect();
    let mut hash = [0; 32];
    if digits.len() != 64 {
        return None;
    }
    for (byte, pair) in hash.iter_mut().zip(digits.chunks(2)) {
        *byte = u8::from_str_radix(str::from_utf8(pair).ok()?, 16).ok()?;
    }
    Some(hash)
}

/// Reads one file into the candidate. An error means that it is not whole, whatever else is wrong with it.
fn parse_file(
    kind: FileKind,
    place: &str,
    text: &str,
    candidate: &mut TreeBuilder,
    validation_errors: &mut ValidationErrors,
) -> Result<Ends, ValidationError> {
    parse_framed(
        kind,
        place,
        text,
        validation_errors,
        |body, validation_errors| match kind {
            FileKind::Weights => parse_weights(place, body, candidate, validation_errors),
            FileKind::Hosts | FileKind::Keys => {
                parse_hosts(place, body, candidate, validation_errors)
            }
        },
    )
}

/// The head and the end that every file has; what stands between is read by its kind, and counted.
fn parse_framed(
    kind: FileKind,
    place: &str,
    text: &str,
    validation_errors: &mut ValidationErrors,
    between: impl FnOnce(&[Section], &mut ValidationErrors) -> usize,
) -> Result<Ends, ValidationError> {
    if text.trim().is_empty() {
        return Err(ValidationError::new(
            place,
            "is empty",
            "nothing",
            "a generation, entries and an [end]",
        ));
    }
    if !text.ends_with('\n') {
        let last = text.lines().next_back().unwrap_or_default();
        return Err(ValidationError::new(
            place,
            "its last line has no end",
            printable(last),
            "a line feed behind [end]",
        ));
    }
    // What is cut need not be INI any more; what is whole has its end.
    let sections = ini::sections(place, text)?;
    let (head, rest) = match sections.split_first() {
        Some((head, rest)) if head.name.is_empty() => (head, rest),
        _ => {
            return Err(ValidationError::new(
                place,
                "names no generation before its first section",
                "nothing",
                "generation = NAME",
            ));
        }
    };
    let generation = parse_generation(place, head, validation_errors);
    let Some((end, body)) = rest.split_last().filter(|(end, _)| end.name == END) else {
        if let Some(end) = rest.iter().find(|section| section.name == END) {
            let at = format!("{place}:{}", end.line);
            return Err(ValidationError::new(
                at,
                "sections stand behind [end]",
                "more of them",
                "[end] last",
            ));
        }
        return Err(ValidationError::new(
            place,
            "has no [end]",
            "nothing",
            "[end] with the count and the generation",
        ));
    };
    let count = between(body, validation_errors);
    check_end(
        kind,
        place,
        end,
        count,
        generation.as_deref(),
        validation_errors,
    )?;
    Ok(Ends { generation })
}

fn parse_generation(
    place: &str,
    head: &Section,
    validation_errors: &mut ValidationErrors,
) -> Option<String> {
    ini::check_keys(place, head, &["generation"], validation_errors);
    let Some(key) = head.keys.iter().find(|key| key.name == "generation") else {
        validation_errors.push(ValidationError::new(
            place,
            "names no generation",
            "nothing",
            "generation = NAME",
        ));
        return None;
    };
    let plain = !key.value.is_empty()
        && key.value.len() <= GENERATION_MOST
        && !key.value.contains(char::is_control);
    if !plain {
        let taken = format!("1 to {GENERATION_MOST} characters");
        validation_errors.push(ValidationError::new(
            format!("{place}:{}: generation", key.line),
            "is no name",
            printable(&key.value),
            taken,
        ));
    }
    Some(key.value.clone())
}

fn parse_hosts(
    place: &str,
    body: &[Section],
    candidate: &mut TreeBuilder,
    validation_errors: &mut ValidationErrors,
) -> usize {
    let mut count = 0;
    for section in body {
        let at = format!("{place}:{}", section.line);
        if section.name == "guards" {
            parse_leaves(
                place,
                section,
                validation_errors,
                Container::Guards,
                |key, leaf, at| {
                    candidate.set(at, Path::Guards(leaf), &key.value);
                },
            );
        } else if let Some(name) = section.name.strip_prefix("host ") {
            count += 1;
            let Some(host) = candidate.begin_host(&at, name.trim()) else {
                continue;
            };
            parse_leaves(
                place,
                section,
                validation_errors,
                Container::Host,
                |key, leaf, at| {
                    candidate.set_host(at, &host, leaf, &key.value);
                },
            );
        } else {
            validation_errors.push(unknown_name(
                &at,
                "section",
                &section.name,
                ["host NAME", "guards", END],
            ));
        }
    }
    count
}

fn parse_leaves(
    place: &str,
    section: &Section,
    validation_errors: &mut ValidationErrors,
    of: Container,
    mut set: impl FnMut(&ini::Key, Leaf, &str),
) {
    for key in &section.keys {
        let at = format!("{place}:{}", key.line);
        match Leaf::by_name(of, &key.name) {
            Some(leaf) => set(key, leaf, &at),
            None => {
                let known: Vec<_> = Leaf::all_of(of).map(Leaf::name).collect();
                let path = format!("{at}: [{}] {}", section.name, printable(&key.name));
                validation_errors.push(unknown_name(&path, "key", &key.name, known));
            }
        }
    }
}

fn parse_weights(
    place: &str,
    body: &[Section],
    candidate: &mut TreeBuilder,
    validation_errors: &mut ValidationErrors,
) -> usize {
    let mut count = 0;
    for section in body {
        let at = format!("{place}:{}", section.line);
        let leaf = match section.name.as_str() {
            "weights" => Leaf::Weight,
            "states" => Leaf::State,
            other => {
                validation_errors.push(unknown_name(
                    &at,
                    "section",
                    other,
                    ["weights", "states", END],
                ));
                continue;
            }
        };
        for key in &section.keys {
            count += 1;
            let at = format!("{place}:{}", key.line);
            match key.name.parse::<HostName>() {
                Ok(host) => candidate.set_host(&at, &host, leaf, &key.value),
                Err(why) => {
                    let what = format!("the host's name {why}");
                    validation_errors.push(ValidationError::new(
                        at,
                        what,
                        printable(&key.name),
                        "letters, digits and . _ : -",
                    ));
                }
            }
        }
    }
    count
}

/// The end says again what the head said, and how much stands between.
fn check_end(
    kind: FileKind,
    place: &str,
    end: &Section,
    count: usize,
    generation: Option<&str>,
    validation_errors: &mut ValidationErrors,
) -> Result<(), ValidationError> {
    let counted = match kind {
        FileKind::Hosts => "hosts",
        FileKind::Weights => "entries",
        FileKind::Keys => "keys",
    };
    ini::check_keys(place, end, &[counted, "generation"], validation_errors);
    let key = |name: &str, taken: &dyn std::fmt::Display| {
        let path = format!("{place}:{}: [end] {name}", end.line);
        let found = end.keys.iter().find(|key| key.name == name);
        found.ok_or_else(|| ValidationError::new(path, "is missing", "nothing", taken))
    };
    let said = key(counted, &count)?;
    if said.value.parse() != Ok(count) {
        let path = format!("{place}:{}: [end] {counted}", said.line);
        return Err(ValidationError::new(
            path,
            format!("{count} stand in the file"),
            printable(&said.value),
            count,
        ));
    }
    let named = key("generation", &generation.unwrap_or("that of the head"))?;
    if Some(named.value.as_str()) != generation {
        let path = format!("{place}:{}: [end] generation", named.line);
        let head = generation.unwrap_or_default();
        return Err(ValidationError::new(
            path,
            "is not that of the head",
            printable(&named.value),
            printable(head),
        ));
    }
    Ok(())
}
