//! Parses the keys file.

use kestreltide_datastore::tree_builder::printable;
use kestreltide_datastore::{Credential, Key, Keys, Rights, ValidationError, ValidationErrors};

use super::file::{END_SECTION, FileErrors, FileKind, Parsed, TextError, text_of};
use super::frame::{Generation, parse_framed};
use crate::ini::{self, Section, unknown_name_error};
use crate::read_file::Content;

/// The length in bytes up to which the base64 text of a public key is rejected as too short.
const MAX_REJECTED_KEY_BYTES: usize = 16;
/// The length of a SHA-256 hash in bytes.
const HASH_BYTES: usize = 32;
/// The number of hexadecimal digits of a byte.
const DIGITS_PER_BYTE: usize = 2;

/// Parses a keys file; `location` names the file in errors.
pub fn parse_keys(location: &str, content: &Content) -> Parsed<Keys> {
    let text = match text_of(location, content) {
        Ok(text) => text,
        Err(TextError::Incomplete(error)) => return Parsed::Incomplete(error.into()),
        Err(TextError::Invalid(error)) => return Parsed::Invalid(error.into()),
    };
    let mut keys = vec![];
    let mut invalid = ValidationErrors::default();
    let mut errors = FileErrors {
        location,
        errors: &mut invalid,
    };
    let framed = parse_framed(FileKind::Keys, text, &mut errors, |body, errors| {
        parse_key_sections(body, &mut keys, errors);
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

/// Parses the sections of all holders.
fn parse_key_sections(body: &[Section], keys: &mut Vec<Key>, errors: &mut FileErrors) {
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

/// Parses the section of one holder, and adds a key for each of its credentials.
fn parse_key(section: &Section, name: &str, keys: &mut Vec<Key>, errors: &mut FileErrors) {
    let location = errors.line(section.line);
    ini::check_keys(
        errors.location,
        section,
        &["ssh", "certificate", "rights"],
        errors.errors,
    );
    let Some(rights) = parse_rights(section, name, errors) else {
        return;
    };
    let credentials = parse_credentials(section, name, errors);
    // Reported only if there is no other error yet, since an invalid credential is reported as such.
    if credentials.is_empty() && errors.errors.is_empty() {
        errors.push(ValidationError::new(
            format!("{location}: [key {name}]"),
            "has neither of both",
            "nothing",
            "ssh or certificate",
        ));
    }
    for credential in credentials {
        if let Some(other) = keys.iter().find(|key| key.credential == credential) {
            errors.push(ValidationError::new(
                &location,
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

fn find_key<'a>(section: &'a Section, name: &str) -> Option<&'a ini::Key> {
    section.keys.iter().find(|key| key.name == name)
}

fn parse_rights(section: &Section, name: &str, errors: &mut FileErrors) -> Option<Rights> {
    // The file format names the right to override a rollout `ring`.
    let expected = "read, weights, routes, ring";
    let Some(key) = find_key(section, "rights") else {
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
        Err(reason) => {
            errors.push(ValidationError::new(
                format!("{}: [key {name}] rights", errors.line(key.line)),
                reason,
                printable(&key.value),
                expected,
            ));
            None
        }
    }
}

/// Returns the credentials in a section: an SSH public key, the hash of a certificate, or both.
fn parse_credentials(section: &Section, name: &str, errors: &mut FileErrors) -> Vec<Credential> {
    let mut credentials = vec![];
    if let Some(key) = find_key(section, "ssh") {
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
    if let Some(key) = find_key(section, "certificate") {
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

/// Returns the type and the base64 text of a public key, without its comment.
fn parse_public_key(line: &str) -> Option<String> {
    let mut words = line.split_whitespace();
    let key_type = words.next()?;
    let text = words.next()?;
    (text.len() > MAX_REJECTED_KEY_BYTES).then(|| format!("{key_type} {text}"))
}

/// Parses a SHA-256 hash in hexadecimal digits, with or without colons.
fn parse_hash(text: &str) -> Option<[u8; HASH_BYTES]> {
    let digits: Vec<u8> = text.bytes().filter(|byte| *byte != b':').collect();
    if digits.len() != HASH_BYTES * DIGITS_PER_BYTE {
        return None;
    }
    let mut hash = [0; HASH_BYTES];
    for (byte, pair) in hash.iter_mut().zip(digits.chunks(DIGITS_PER_BYTE)) {
        *byte = u8::from_str_radix(str::from_utf8(pair).ok()?, 16).ok()?;
    }
    Some(hash)
}
