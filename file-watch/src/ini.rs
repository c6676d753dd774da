//! Parses the INI files of operators into sections and keys, with the line of each for error texts.
//!
//! The parser is that of rust-ini. It returns no line numbers, so the lines are searched for in the text.

use ini::{Ini, ParseOption};
use kestreltide_datastore::tree_builder::printable;
use kestreltide_datastore::{ValidationError, ValidationErrors};

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// The line in the text, from 1; 0 if it was not found.
    pub line: usize,
    /// The name, without surrounding white space.
    pub name: String,
    /// The value, without surrounding white space.
    pub value: String,
}

/// A section of an INI file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// The line of the section's header in the text, from 1; 0 if it was not found.
    pub line: usize,
    /// The name in the brackets; empty for the keys before the first header.
    pub name: String,
    /// The keys in the order of the text.
    pub keys: Vec<Key>,
}

/// Parses the sections of a text in their order. Keys before the first header make up a section without a name, which
/// comes first. Sections of the same name are not merged. `location` names the text in errors.
///
/// # Errors
///
/// Returns an error for the first line that is not INI.
pub fn parse_sections(location: &str, text: &str) -> Result<Vec<Section>, ValidationError> {
    if let Some(at) = text.find('\0') {
        let line = text[..at].matches('\n').count() + 1;
        return Err(ValidationError::new(
            format!("{location}:{line}"),
            "holds a NUL",
            "a NUL",
            "text",
        ));
    }
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let parsed = Ini::load_from_str_opt(text, options).map_err(|e| {
        let found = text
            .lines()
            .nth(e.line.saturating_sub(1))
            .unwrap_or_default();
        ValidationError::new(
            format!("{location}:{}", e.line),
            format!("is no INI: {}", e.msg),
            printable(found),
            "[section] or key = value",
        )
    })?;
    let mut lines = LineFinder::new(text);
    let mut sections: Vec<Section> = Vec::new();
    for (name, keys) in parsed.iter() {
        let name = name.unwrap_or_default().trim().to_owned();
        if name.is_empty() && keys.is_empty() && sections.is_empty() {
            continue;
        }
        let line = lines.line_of_section(&name);
        let keys = keys.iter().map(|(name, value)| {
            let name = name.trim().to_owned();
            Key {
                line: lines.line_of_key(&name),
                name,
                value: value.trim().to_owned(),
            }
        });
        let keys = keys.collect();
        sections.push(Section { line, name, keys });
    }
    Ok(sections)
}

/// Finds the lines of sections and keys. They are searched for in the order in which rust-ini returns them, each behind
/// the one found before.
struct LineFinder<'a> {
    lines: Vec<&'a str>,
    /// The index of the line at which the next search begins.
    next: usize,
}

impl<'a> LineFinder<'a> {
    fn new(text: &'a str) -> Self {
        LineFinder {
            lines: text.lines().map(str::trim).collect(),
            next: 0,
        }
    }

    /// Returns the number of the next line that fulfils a condition, from 1; 0 if there is none.
    fn find(&mut self, condition: impl Fn(&str) -> bool) -> usize {
        // The search wraps around, in case the order is not that of the text.
        let found = (self.next..self.lines.len())
            .chain(0..self.next)
            .find(|line| condition(self.lines[*line]));
        match found {
            Some(line) => {
                self.next = line + 1;
                line + 1
            }
            None => 0,
        }
    }

    fn line_of_section(&mut self, name: &str) -> usize {
        if name.is_empty() {
            return 1;
        }
        self.find(|line| {
            line.strip_prefix('[')
                .and_then(|rest| rest.split(']').next())
                .is_some_and(|found| found.trim() == name)
        })
    }

    fn line_of_key(&mut self, name: &str) -> usize {
        self.find(|line| {
            line.split(['=', ':'])
                .next()
                .is_some_and(|found| found.trim() == name)
        })
    }
}

/// Returns the known name that is closest to a mistyped one by edit distance.
pub fn nearest_name<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .min_by_key(|known| strsim::damerau_levenshtein(name, known))
}

/// Returns the error for an unknown name, which suggests the closest known one; `kind` is what it names, such as a key.
pub fn unknown_name_error<'a>(
    path: &str,
    kind: &str,
    name: &str,
    known: impl IntoIterator<Item = &'a str> + Clone,
) -> ValidationError {
    let names: Vec<_> = known.clone().into_iter().collect();
    let expected = match nearest_name(name, known) {
        Some(nearest) => format!("{nearest}? All: {}", names.join(", ")),
        None => "nothing".into(),
    };
    ValidationError::new(path, format!("no such {kind}"), printable(name), expected)
}

/// Adds an error for each key of a section that is not known or that is repeated.
pub fn check_keys(
    location: &str,
    section: &Section,
    known: &[&str],
    errors: &mut ValidationErrors,
) {
    for (number, key) in section.keys.iter().enumerate() {
        let path = format!(
            "{location}:{}: [{}] {}",
            key.line,
            section.name,
            printable(&key.name)
        );
        if !known.contains(&key.name.as_str()) {
            errors.push(unknown_name_error(
                &path,
                "key",
                &key.name,
                known.iter().copied(),
            ));
        } else if section.keys[..number]
            .iter()
            .any(|before| before.name == key.name)
        {
            errors.push(ValidationError::new(
                path,
                "stands twice",
                printable(&key.value),
                "each key once",
            ));
        }
    }
}
