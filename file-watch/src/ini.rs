//! INI as all operators' files have it: sections, keys, and the line of each for whoever has to correct it.
//!
//! The parser is rust-ini's; it gives no line numbers, which are found again in the text.

use ini::{Ini, ParseOption};
use kestreltide_datastore::tree_builder::printable;
use kestreltide_datastore::{ValidationError, ValidationErrors};

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// The line in the text, from 1; 0 where it was not found again.
    pub line: usize,
    /// The name without white space around it.
    pub name: String,
    /// The value without white space around it.
    pub value: String,
}

/// A section, the one without a name first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// The line of its head in the text, from 1; 0 where it was not found again.
    pub line: usize,
    /// What stands in brackets; empty for the keys before the first section.
    pub name: String,
    /// Its keys in the order of the text.
    pub keys: Vec<Key>,
}

/// The sections of a text in their order, those of one name apart; `place` is the text as it is shown.
///
/// # Errors
///
/// The first line that is no INI.
pub fn parse_sections(place: &str, text: &str) -> Result<Vec<Section>, ValidationError> {
    if let Some(at) = text.find('\0') {
        let line = text[..at].matches('\n').count() + 1;
        return Err(ValidationError::new(
            format!("{place}:{line}"),
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
            format!("{place}:{}", e.line),
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

/// Finds the lines of sections and keys, once from top to bottom, as rust-ini gives them in their order.
struct LineFinder<'a> {
    lines: Vec<&'a str>,
    /// Where the next search begins.
    next: usize,
}

impl<'a> LineFinder<'a> {
    fn new(text: &'a str) -> Self {
        LineFinder {
            lines: text.lines().map(str::trim).collect(),
            next: 0,
        }
    }

    /// The number of the next line that fulfils a condition, from 1; 0 where there is none.
    fn find(&mut self, condition: impl Fn(&str) -> bool) -> usize {
        // Where the order is not that of the text, the search begins anew.
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

/// The known name that is nearest to a mistyped one.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    known
        .into_iter()
        .min_by_key(|known| strsim::damerau_levenshtein(name, known))
}

/// The error of a name that is not known, with the one that may have been meant; `kind` is what it names.
pub fn unknown_name_error<'a>(
    path: &str,
    kind: &str,
    name: &str,
    known: impl IntoIterator<Item = &'a str> + Clone,
) -> ValidationError {
    let names: Vec<_> = known.clone().into_iter().collect();
    let expected = match nearest(name, known) {
        Some(nearest) => format!("{nearest}? All: {}", names.join(", ")),
        None => "nothing".into(),
    };
    ValidationError::new(path, format!("no such {kind}"), printable(name), expected)
}

/// Adds an error for each key that is there twice, or is not known.
pub fn check_keys(place: &str, section: &Section, known: &[&str], errors: &mut ValidationErrors) {
    for (number, key) in section.keys.iter().enumerate() {
        let path = format!(
            "{place}:{}: [{}] {}",
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
