//! The file of keys.

use kestreltide_datastore::tree_builder::printable;
use kestreltide_datastore::{Credential, Key, Keys, Rights, ValidationError, ValidationErrors};

use super::file::{END_SECTION, FileErrors, FileKind, Parsed, TextError, text_of};
use super::frame::{Generation, parse_framed};
use crate::ini::{self, Section, unknown_name_error};
use crate::read_file::Content;

/// Characters that the text of a public key has more of.
const MIN_PUBLIC_KEY_LENGTH: usize = 16;
/// Bytes of a SHA-256.
const HASH_LENGTH: usize = 32;
/// Hexadecimal digits of a byte.
const DIGITS_PER_BYTE: usize = 2;

/// Reads a file of keys; `place` is the file as it is shown.
pub fn parse_keys(place: &str, content: &Content) -> Parsed<Keys> {
    let text = match text_of(place, content) {
        Ok(text) => text,
        Err(TextError::Incomplete(error)) => return Parsed::Incomplete(error.into()),
        Err(TextError::Invalid(error)) => return Parsed::Invalid(error.into()),
    };
    let mut keys = vec![];
    let mut invalid = ValidationErrors::default();
    let mut errors = FileErrors {
        place,
        errors: &mut invalid,
    };
    let framed = parse_framed(FileKind::Keys, text, &mut errors, |body, errors| {
        parse_sections(body, &mut keys, errors);
        body.len()
    });
    match framed {
        Err(error) => Parsed::Incomplete(error.into()),
        Ok(_) if !invalid.is_empty() => Parsed::Invalid(invalid),
        Ok(Generation(generation)) => Parsed::Complete(Keys {
            generation: generation.unwrap_or_default(),
            keys,
        }),
    }
}

fn parse_sections(body: &[Section], keys: &mut Vec<Key>, errors: &mut FileErrors) {
    for section in body {
        let name = section.name.strip_prefix("key ").map(str::trim);
        match name.filter(|name| !name.is_empty()) {
            Some(name) => parse_key(section, name, keys, errors),
            None => errors.push(unknown_name_error(
                &errors.line(section.line),
                "section",
                &section.name,
                ["key NAME", END_SECTION],
            )),
        }
    }
}

/// Reads one section, which gives a key for each credential in it.
fn parse_key(section: &Section, name: &str, keys: &mut Vec<Key>, errors: &mut FileErrors) {
    let place = errors.line(section.line);
    ini::check_keys(
        errors.place,
        section,
        &["ssh", "certificate", "rights"],
        errors.errors,
    );
    let Some(rights) = parse_rights(section, name, errors) else {
        return;
    };
    let credentials = parse_credentials(section, name, errors);
    if credentials.is_empty() && errors.errors.is_empty() {
        errors.push(ValidationError::new(
            format!("{place}: [key {name}]"),
            "has neither of both",
            "nothing",
            "ssh or certificate",
        ));
    }
    for credential in credentials {
        if let Some(other) = keys.iter().find(|key| key.credential == credential) {
            errors.push(ValidationError::new(
                &place,
                format!("is the key of {} too", other.name),
                name,
                "a key of its own",
            ));
        }
        keys.push(Key {
            name: name.into(),
            credential,
            rights,
        });
    }
}

fn key_named<'a>(section: &'a Section, name: &str) -> Option<&'a ini::Key> {
    section.keys.iter().find(|key| key.name == name)
}

fn parse_rights(section: &Section, name: &str, errors: &mut FileErrors) -> Option<Rights> {
    let expected = "read, weights, routes, ring";
    let Some(key) = key_named(section, "rights") else {
        errors.push(ValidationError::new(
            format!("{}: [key {name}] rights", errors.line(section.line)),
            "is missing",
            "nothing",
            expected,
        ));
        return None;
    };
    match Rights::parse(&key.value) {
        Ok(rights) => Some(rights),
        Err(why) => {
            errors.push(ValidationError::new(
                format!("{}: [key {name}] rights", errors.line(key.line)),
                why,
                printable(&key.value),
                expected,
            ));
            None
        }
    }
}

/// By what the holder of a key is recognized: a public key of SSH, the hash of a certificate, or both.
fn parse_credentials(section: &Section, name: &str, errors: &mut FileErrors) -> Vec<Credential> {
    let mut credentials = vec![];
    if let Some(key) = key_named(section, "ssh") {
        match parse_public_key(&key.value) {
            Some(public_key) => credentials.push(Credential::Ssh(public_key)),
            None => errors.push(ValidationError::new(
                format!("{}: [key {name}] ssh", errors.line(key.line)),
                "is no public key",
                printable(&key.value),
                "a line as in id_ed25519.pub",
            )),
        }
    }
    if let Some(key) = key_named(section, "certificate") {
        match parse_hash(&key.value) {
            Some(hash) => credentials.push(Credential::Certificate(hash)),
            None => errors.push(ValidationError::new(
                format!("{}: [key {name}] certificate", errors.line(key.line)),
                "is no SHA-256",
                printable(&key.value),
                "64 hexadecimal digits",
            )),
        }
    }
    credentials
}

/// The type and the text of a public key, without its comment.
fn parse_public_key(line: &str) -> Option<String> {
    let mut words = line.split_whitespace();
    let key_type = words.next()?;
    let text = words.next()?;
    (text.len() > MIN_PUBLIC_KEY_LENGTH).then(|| format!("{key_type} {text}"))
}

/// Hexadecimal digits, with or without colons.
fn parse_hash(text: &str) -> Option<[u8; HASH_LENGTH]> {
    let digits: Vec<u8> = text.bytes().filter(|byte| *byte != b':').collect();
    if digits.len() != HASH_LENGTH * DIGITS_PER_BYTE {
        return None;
    }
    let mut hash = [0; HASH_LENGTH];
    for (byte, pair) in hash.iter_mut().zip(digits.chunks(DIGITS_PER_BYTE)) {
        *byte = u8::from_str_radix(str::from_utf8(pair).ok()?, 16).ok()?;
    }
    Some(hash)
}
