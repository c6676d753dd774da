//! Parses the frame of a file, its header and its end section, which show that the file is complete.

use kestreltide_datastore::ValidationError;
use kestreltide_datastore::tree_builder::printable;

use super::file::{END_SECTION, FileErrors, FileKind, GENERATION_KEY};
use crate::ini::{self, Section};

/// The maximum length of a generation's name, in bytes.
const MAX_GENERATION_BYTES: usize = 64;

/// The generation that a complete file names; `None` if the header names none, which is reported as an error.
pub(super) struct Generation(pub(super) Option<String>);

/// Parses a file with its header and end section. `parse_body` parses the sections between them and returns the number
/// of their entries.
///
/// # Errors
///
/// Returns an error if the file is not complete, whatever else is wrong with it.
pub(super) fn parse_framed(
    kind: FileKind,
    text: &str,
    errors: &mut FileErrors,
    parse_body: impl FnOnce(&[Section], &mut FileErrors) -> usize,
) -> Result<Generation, ValidationError> {
    check_last_line(errors.location, text)?;
    // A truncated file may no longer be valid INI, so a syntax error also means that the file is not complete.
    let sections = ini::parse_sections(errors.location, text)?;
    let (header, rest) = match sections.split_first() {
        Some((header, rest)) if header.name.is_empty() => (header, rest),
        _ => {
            return Err(ValidationError::new(
                errors.location,
                "names no generation before its first section",
                "nothing",
                "generation = NAME",
            ));
        }
    };
    let generation = parse_generation(header, errors);
    let (end, body) = split_end_section(errors.location, rest)?;
    let count = parse_body(body, errors);
    check_end(kind, end, count, generation.as_deref(), errors)?;
    Ok(Generation(generation))
}

/// Checks that the file is not empty and that its last line ends with a line feed, as otherwise it may be truncated.
fn check_last_line(location: &str, text: &str) -> Result<(), ValidationError> {
    if text.trim().is_empty() {
        return Err(ValidationError::new(
            location,
            "is empty",
            "nothing",
            "a generation, entries and an [end]",
        ));
    }
    if !text.ends_with('\n') {
        let last = text.lines().next_back().unwrap_or_default();
        return Err(ValidationError::new(
            location,
            "its last line has no end",
            printable(last),
            "a line feed behind [end]",
        ));
    }
    Ok(())
}

/// Returns the end section of a file, and the sections before it.
fn split_end_section<'a>(
    location: &str,
    sections: &'a [Section],
) -> Result<(&'a Section, &'a [Section]), ValidationError> {
    let is_end = |section: &&Section| section.name == END_SECTION;
    if let Some((end, body)) = sections.split_last().filter(|(last, _)| is_end(last)) {
        return Ok((end, body));
    }
    Err(match sections.iter().find(is_end) {
        Some(end) => ValidationError::new(
            format!("{location}:{}", end.line),
            "sections stand behind [end]",
            "more of them",
            "[end] last",
        ),
        None => ValidationError::new(
            location,
            "has no [end]",
            "nothing",
            "[end] with the count and the generation",
        ),
    })
}

/// Returns the generation that the header names, also if it is not a valid name, which is reported as an error.
fn parse_generation(header: &Section, errors: &mut FileErrors) -> Option<String> {
    ini::check_keys(errors.location, header, &[GENERATION_KEY], errors.errors);
    let Some(key) = header.keys.iter().find(|key| key.name == GENERATION_KEY) else {
        errors.push(ValidationError::new(
            errors.location,
            "names no generation",
            "nothing",
            "generation = NAME",
        ));
        return None;
    };
    let is_name = !key.value.is_empty()
        && key.value.len() <= MAX_GENERATION_BYTES
        && !key.value.contains(char::is_control);
    if !is_name {
        errors.push(ValidationError::new(
            format!("{}: generation", errors.line(key.line)),
            "is no name",
            printable(&key.value),
            format!("1 to {MAX_GENERATION_BYTES} bytes without control characters"),
        ));
    }
    Some(key.value.clone())
}

/// Checks that the end section names the generation of the header and the number of entries.
fn check_end(
    kind: FileKind,
    end: &Section,
    count: usize,
    generation: Option<&str>,
    errors: &mut FileErrors,
) -> Result<(), ValidationError> {
    let location = errors.location;
    let count_key = kind.count_key();
    ini::check_keys(location, end, &[count_key, GENERATION_KEY], errors.errors);
    let counted = required_end_key(location, end, count_key, &count.to_string())?;
    if counted.value.parse() != Ok(count) {
        return Err(ValidationError::new(
            format!("{location}:{}: [end] {count_key}", counted.line),
            format!("{count} stand in the file"),
            printable(&counted.value),
            count,
        ));
    }
    let expected = generation.unwrap_or("that of the head");
    let named = required_end_key(location, end, GENERATION_KEY, expected)?;
    if Some(named.value.as_str()) != generation {
        return Err(ValidationError::new(
            format!("{location}:{}: [end] generation", named.line),
            "is not that of the head",
            printable(&named.value),
            printable(generation.unwrap_or_default()),
        ));
    }
    Ok(())
}

/// Returns a key of the end section. `expected` is the value that the error suggests if the key is missing.
fn required_end_key<'a>(
    location: &str,
    end: &'a Section,
    name: &str,
    expected: &str,
) -> Result<&'a ini::Key, ValidationError> {
    end.keys.iter().find(|key| key.name == name).ok_or_else(|| {
        let path = format!("{location}:{}: [end] {name}", end.line);
        ValidationError::new(path, "is missing", "nothing", expected)
    })
}
