//! INI as all operators' files have it: sections, keys, and the line of each for whoever has to mend it. The
//! reading itself is rust-ini's; it does not tell lines, which are found again in the text.

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

/// The sections of a text in their order, those of one name apart.
pub fn sections(place: &str, text: &str) -> Result<Vec<Section>, ValidationError> {
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
    let read = Ini::load_from_str_opt(text, options).map_err(|e| {
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
    let mut lines = Lines::of(text);
    let mut all: Vec<Section> = Vec::new();
    for (name, keys) in read.iter() {
        let name = name.unwrap_or_default().trim().to_owned();
        if name.is_empty() && keys.is_empty() && all.is_empty() {
            continue;
        }
        let line = lines.section(&name);
        let keys = keys.iter().map(|(key, value)| {
            let (name, value) = (key.trim().to_owned(), value.trim().to_owned());
            Key {
                line: lines.key(&name),
                name,
                value,
            }
        });
        all.push(Section {
            line,
            name,
            keys: keys.collect(),
        });
    }
    Ok(all)
}

/// Lines of the text, walked once from top to bottom as rust-ini gives sections and keys in their order.
struct Lines<'a> {
    text: Vec<&'a str>,
    at: usize,
}

impl<'a> Lines<'a> {
    fn of(text: &'a str) -> Self {
        Lines {
            text: text.lines().map(str::trim).collect(),
            at: 0,
        }
    }

    fn find(&mut self, is: impl Fn(&str) -> bool) -> usize {
        // Where the order is not that of the text, the search begins anew.
        let found = (self.at..self.text.len())
            .chain(0..self.at)
            .find(|line| is(self.text[*line]));
        self.at = found.map_or(self.at, |line| line + 1);
        found.map_or(0, |line| line + 1)
    }

    fn section(&mut self, name: &str) -> usize {
        if name.is_empty() {
            return 1;
        }
        self.find(|line| {
            line.strip_prefix('[')
                .and_then(|rest| rest.split(']').next())
                .is_some_and(|is| is.trim() == name)
        })
    }

    fn key(&mut self, name: &str) -> usize {
        self.find(|line| {
            line.split(['=', ':'])
                .next()
                .is_some_and(|is| is.trim() == name)
        })
    }
}

/// The known name that is nearest, for who mistyped one.
pub fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    let near = known
        .into_iter()
        .map(|known| (strsim::damerau_levenshtein(name, known), known));
    near.min_by_key(|(distance, _)| *distance)
        .map(|(_, known)| known)
}

/// That a name is not known, and which may have been meant.
pub fn unknown_name<'a>(
    path: &str,
    what: &str,
    name: &str,
    known: impl IntoIterator<Item = &'a str> + Clone,
) -> ValidationError {
    let names: Vec<_> = known.clone().into_iter().collect();
    let taken = match nearest(name, known) {
        Some(near) => format!("{near}? All: {}", names.join(", ")),
        None => "nothing".into(),
    };
    ValidationError::new(path, format!("no such {what}"), printable(name), taken)
}

/// Pushes a fault for each key that stands twice, or is not among these.
pub fn check_keys(
    place: &str,
    section: &Section,
    known: &[&str],
    validation_errors: &mut ValidationErrors,
) {
    for (number, key) in section.keys.iter().enumerate() {
        let path = format!(
            "{place}:{}: [{}] {}",
            key.line,
            section.name,
            printable(&key.name)
        );
        if !known.contains(&key.name.as_str()) {
            validation_errors.push(unknown_name(&path, "key", &key.name, known.iter().copied()));
        } else if section.keys[..number]
            .iter()
            .any(|before| before.name == key.name)
        {
            validation_errors.push(ValidationError::new(
                path,
                "stands twice",
                printable(&key.value),
                "each key once",
            ));
        }
    }
}
