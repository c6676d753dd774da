//! The head and the end of a file, by which it is known to be complete.

use kestreltide_datastore::ValidationError;
use kestreltide_datastore::tree_builder::printable;

use super::file::{END_SECTION, FileErrors, FileKind, GENERATION_KEY};
use crate::ini::{self, Section};

/// Characters of a generation's name, at most.
const MAX_GENERATION_LENGTH: usize = 64;

/// The generation that a complete file names; `None` where it names none, which is an error of its own.
pub(super) struct Generation(pub(super) Option<String>);

/// Reads a file with its head and its end; `parse_body` reads the sections between and counts their entries.
///
/// # Errors
///
/// The file is not complete, whatever else is wrong with it.
pub(super) fn parse_framed(
    kind: FileKind,
    text: &str,
    errors: &mut FileErrors,
    parse_body: impl FnOnce(&[Section], &mut FileErrors) -> usize,
) -> Result<Generation, ValidationError> {
    check_last_line(errors.place, text)?;
    // What is cut may be no INI any more; what is complete has its end.
    let sections = ini::parse_sections(errors.place, text)?;
    let (head, rest) = match sections.split_first() {
        Some((head, rest)) if head.name.is_empty() => (head, rest),
        _ => {
            return Err(ValidationError::new(
                errors.place,
                "names no generation before its first section",
                "nothing",
                "generation = NAME",
            ));
        }
    };
    let generation = parse_generation(head, errors);
    let (end, body) = split_end(errors.place, rest)?;
    let count = parse_body(body, errors);
    check_end(kind, end, count, generation.as_deref(), errors)?;
    Ok(Generation(generation))
}

fn check_last_line(place: &str, text: &str) -> Result<(), ValidationError> {
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
    Ok(())
}

/// The end of a file, and the sections before it.
fn split_end<'a>(
    place: &str,
    sections: &'a [Section],
) -> Result<(&'a Section, &'a [Section]), ValidationError> {
    let is_end = |section: &&Section| section.name == END_SECTION;
    if let Some((end, body)) = sections.split_last().filter(|(last, _)| is_end(last)) {
        return Ok((end, body));
    }
    Err(match sections.iter().find(is_end) {
        Some(end) => ValidationError::new(
            format!("{place}:{}", end.line),
            "sections stand behind [end]",
            "more of them",
            "[end] last",
        ),
        None => ValidationError::new(
            place,
            "has no [end]",
            "nothing",
            "[end] with the count and the generation",
        ),
    })
}

fn parse_generation(head: &Section, errors: &mut FileErrors) -> Option<String> {
    ini::check_keys(errors.place, head, &[GENERATION_KEY], errors.errors);
    let Some(key) = head.keys.iter().find(|key| key.name == GENERATION_KEY) else {
        errors.push(ValidationError::new(
            errors.place,
            "names no generation",
            "nothing",
            "generation = NAME",
        ));
        return None;
    };
    let is_name = !key.value.is_empty()
        && key.value.len() <= MAX_GENERATION_LENGTH
        && !key.value.contains(char::is_control);
    if !is_name {
        errors.push(ValidationError::new(
            format!("{}: generation", errors.line(key.line)),
            "is no name",
            printable(&key.value),
            format!("1 to {MAX_GENERATION_LENGTH} characters"),
        ));
    }
    Some(key.value.clone())
}

/// The end names the generation of the head, and counts what stands between.
fn check_end(
    kind: FileKind,
    end: &Section,
    count: usize,
    generation: Option<&str>,
    errors: &mut FileErrors,
) -> Result<(), ValidationError> {
    let place = errors.place;
    let count_key = kind.count_key();
    ini::check_keys(place, end, &[count_key, GENERATION_KEY], errors.errors);
    let counted = key_of_end(place, end, count_key, &count.to_string())?;
    if counted.value.parse() != Ok(count) {
        return Err(ValidationError::new(
            format!("{place}:{}: [end] {count_key}", counted.line),
            format!("{count} stand in the file"),
            printable(&counted.value),
            count,
        ));
    }
    let expected = generation.unwrap_or("that of the head");
    let named = key_of_end(place, end, GENERATION_KEY, expected)?;
    if Some(named.value.as_str()) != generation {
        return Err(ValidationError::new(
            format!("{place}:{}: [end] generation", named.line),
            "is not that of the head",
            printable(&named.value),
            printable(generation.unwrap_or_default()),
        ));
    }
    Ok(())
}

fn key_of_end<'a>(
    place: &str,
    end: &'a Section,
    name: &str,
    expected: &str,
) -> Result<&'a ini::Key, ValidationError> {
    end.keys.iter().find(|key| key.name == name).ok_or_else(|| {
        let path = format!("{place}:{}: [end] {name}", end.line);
        ValidationError::new(path, "is missing", "nothing", expected)
    })
}
