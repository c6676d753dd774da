//! The operator file, which configures the datastore, the watched files and the management interfaces. All of them are
//! off by default. All errors in the file are reported at once.

use std::fmt::Write;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

use kestreltide_datastore::tree_builder::printable;
use kestreltide_datastore::{HistoryLimits, ValidationError, ValidationErrors};
use kestreltide_file_watch::debounce::DebounceSettings;
use kestreltide_file_watch::ini::{self, Section};
use kestreltide_file_watch::parse::FileKind;
use kestreltide_file_watch::watch::WatchSettings;

use crate::limits::Limits;
use crate::management_threads::{
    FileWatchSettings, GnmiSettings, ManagementSettings, NetconfSettings, OperatorSettings,
};

/// The type of a key's value.
#[derive(Clone, Copy, Debug)]
enum ValueKind {
    /// A path; a relative one is resolved against the directory of the operator file.
    Path,
    /// `on` or `off`.
    Flag,
    /// A whole number in this range, bounds included.
    Integer { minimum: usize, maximum: usize },
    /// Seconds in this range, bounds included.
    Seconds { minimum: f64, maximum: f64 },
    /// An IP address and port.
    Address,
}

/// A key of the operator file.
struct KeyDefinition {
    section: &'static str,
    key: &'static str,
    kind: ValueKind,
    /// The default value as text; empty if there is none.
    default: &'static str,
    /// The description that `show-operator` prints.
    purpose: &'static str,
}

/// All keys, grouped by section. Operators match the output of `show-operator`, so that the texts stay as they are. A
/// purpose that begins with "without" or "between" belongs to a number of seconds; "notice" is a change notification of
/// the operating system, and "looking" is polling.
const KEYS: [KeyDefinition; 16] = [
    KeyDefinition {
        section: "datastore",
        key: "state-directory",
        kind: ValueKind::Path,
        default: "",
        purpose: "where the last good revision is remembered; none: nowhere",
    },
    KeyDefinition {
        section: "datastore",
        key: "history",
        kind: ValueKind::Integer {
            minimum: 1,
            maximum: 100_000,
        },
        default: "1000",
        purpose: "revisions that are kept",
    },
    KeyDefinition {
        section: "watch",
        key: "hosts",
        kind: ValueKind::Path,
        default: "",
        purpose: "the file of hosts and guards",
    },
    KeyDefinition {
        section: "watch",
        key: "weights",
        kind: ValueKind::Path,
        default: "",
        purpose: "the file of weights and states",
    },
    KeyDefinition {
        section: "watch",
        key: "discovery",
        kind: ValueKind::Flag,
        default: "on",
        purpose: "off: hosts are those of the files alone",
    },
    KeyDefinition {
        section: "watch",
        key: "notices",
        kind: ValueKind::Flag,
        default: "on",
        purpose: "off: changes are found by looking alone",
    },
    KeyDefinition {
        section: "watch",
        key: "settle",
        kind: ValueKind::Seconds {
            minimum: 0.001,
            maximum: 10.0,
        },
        default: "0.02",
        purpose: "without a change before a file is taken for written",
    },
    KeyDefinition {
        section: "watch",
        key: "poll",
        kind: ValueKind::Seconds {
            minimum: 0.01,
            maximum: 60.0,
        },
        default: "0.1",
        purpose: "between looks where no notice comes",
    },
    KeyDefinition {
        section: "watch",
        key: "compare",
        kind: ValueKind::Seconds {
            minimum: 0.1,
            maximum: 3600.0,
        },
        default: "1",
        purpose: "between readings though nothing seems changed",
    },
    KeyDefinition {
        section: "management",
        key: "netconf",
        kind: ValueKind::Address,
        default: "",
        purpose: "where NETCONF over SSH is listened for; none: not",
    },
    KeyDefinition {
        section: "management",
        key: "ssh-host-key",
        kind: ValueKind::Path,
        default: "",
        purpose: "the private key by which clients know this router",
    },
    KeyDefinition {
        section: "management",
        key: "gnmi",
        kind: ValueKind::Address,
        default: "",
        purpose: "where gNMI over TLS is listened for; none: not",
    },
    KeyDefinition {
        section: "management",
        key: "certificate",
        kind: ValueKind::Path,
        default: "",
        purpose: "this router's certificate, in PEM",
    },
    KeyDefinition {
        section: "management",
        key: "key",
        kind: ValueKind::Path,
        default: "",
        purpose: "its private key, in PEM",
    },
    KeyDefinition {
        section: "management",
        key: "client-ca",
        kind: ValueKind::Path,
        default: "",
        purpose: "who signs clients' certificates, in PEM",
    },
    KeyDefinition {
        section: "management",
        key: "keys",
        kind: ValueKind::Path,
        default: "",
        purpose: "the file of keys: who may come in, and what they may do",
    },
];

/// Maximum size of a watched file in bytes.
const MAX_FILE_BYTES: usize = 8 << 20;
/// Longest wait for a file that keeps changing, as a multiple of the value of the key `settle`.
const MAX_DELAY_SETTLE_MULTIPLE: f64 = 7.5;
/// Shortest interval between two versions, as a multiple of the value of the key `settle`.
const MIN_INTERVAL_SETTLE_MULTIPLE: f64 = 1.0;

/// The names of the sections, in the order of [`KEYS`].
fn sections() -> Vec<&'static str> {
    let mut names: Vec<_> = KEYS.iter().map(|definition| definition.section).collect();
    names.dedup();
    names
}

/// Checks the value of a key.
///
/// # Errors
///
/// What is wrong with the value, and what is allowed.
fn check_value(kind: ValueKind, text: &str) -> Result<(), (&'static str, String)> {
    match kind {
        ValueKind::Path if text.is_empty() => Err(("is empty", "a path".into())),
        ValueKind::Path => Ok(()),
        ValueKind::Address => match text.parse::<SocketAddr>() {
            Ok(_) => Ok(()),
            Err(_) => Err((
                "is no address and port",
                "an address such as 127.0.0.1:830".into(),
            )),
        },
        ValueKind::Flag if ["on", "off"].contains(&text) => Ok(()),
        ValueKind::Flag => Err(("is neither", "on or off".into())),
        ValueKind::Integer { minimum, maximum } => match text.parse::<usize>() {
            Ok(number) if (minimum..=maximum).contains(&number) => Ok(()),
            Ok(_) => Err(("is out of range", format!("{minimum} to {maximum}"))),
            Err(_) => Err(("is no whole number", format!("{minimum} to {maximum}"))),
        },
        ValueKind::Seconds { minimum, maximum } => match text.parse::<f64>() {
            Ok(seconds) if (minimum..=maximum).contains(&seconds) => Ok(()),
            Ok(_) => Err(("is out of range", format!("{minimum} to {maximum} seconds"))),
            Err(_) => Err(("is no number", format!("{minimum} to {maximum} seconds"))),
        },
    }
}

/// Parses the text of an operator file. `path` is used to resolve relative paths and in error messages.
///
/// # Errors
///
/// All errors of the file.
pub fn parse(path: &Path, text: &str) -> Result<OperatorSettings, ValidationErrors> {
    let (file_name, directory) = (
        path.display().to_string(),
        path.parent().unwrap_or(Path::new("")),
    );
    let file_sections = ini::parse_sections(&file_name, text)?;
    let mut errors = ValidationErrors::default();
    for (number, section) in file_sections.iter().enumerate() {
        check_section(&file_name, section, &mut errors);
        if let Some(first) = file_sections[..number]
            .iter()
            .find(|first| first.name == section.name)
        {
            let location = format!("{file_name}:{}: [{}]", section.line, section.name);
            errors.push(ValidationError::new(
                location,
                format!("stands at line {} too", first.line),
                &section.name,
                "each section once",
            ));
        }
    }
    errors.into_result()?;
    let file_value = |section: &str, key: &str| {
        let section = file_sections.iter().find(|found| found.name == section)?;
        section
            .keys
            .iter()
            .find(|found| found.name == key)
            .map(|key| key.value.as_str())
    };
    let value_or_default = |section: &str, key: &str| {
        file_value(section, key).unwrap_or_else(|| {
            KEYS.iter()
                .find(|definition| definition.section == section && definition.key == key)
                .map_or("", |definition| definition.default)
        })
    };
    let path = |section, key| file_value(section, key).map(|path| directory.join(path));
    let seconds = |section, key| value_or_default(section, key).parse().unwrap_or(0.0);
    let files = [
        (FileKind::Hosts, path("watch", "hosts")),
        (FileKind::Weights, path("watch", "weights")),
    ];
    let files: Vec<_> = files
        .into_iter()
        .filter_map(|(kind, path)| Some((kind, path?)))
        .collect();
    let (discovery, watch) = (
        value_or_default("watch", "discovery") == "on",
        file_sections.iter().find(|section| section.name == "watch"),
    );
    let management = file_sections
        .iter()
        .find(|section| section.name == "management");
    let mut errors = ValidationErrors::default();
    if let Some(section) = management {
        // An interface needs the keys of its clients, and a key or certificate of its own.
        let (netconf, gnmi) = (
            file_value("management", "netconf").is_some(),
            file_value("management", "gnmi").is_some(),
        );
        let required_keys = [
            ("keys", netconf || gnmi),
            ("ssh-host-key", netconf),
            ("certificate", gnmi),
            ("key", gnmi),
            ("client-ca", gnmi),
        ];
        for (key, _) in required_keys
            .into_iter()
            .filter(|(key, is_required)| *is_required && file_value("management", key).is_none())
        {
            let location = format!("{file_name}:{}: [management] {key}", section.line);
            errors.push(ValidationError::new(
                location,
                "is missing",
                "nothing",
                "a path",
            ));
        }
    }
    if let Some(section) = watch {
        let location = format!("{file_name}:{}: [watch]", section.line);
        if files.is_empty() {
            errors.push(ValidationError::new(
                &location,
                "names no file to watch",
                "nothing",
                "hosts, weights or both",
            ));
        } else if !discovery && file_value("watch", "hosts").is_none() {
            errors.push(ValidationError::new(
                location,
                "nobody would list hosts",
                "discovery = off",
                "a file of hosts with it",
            ));
        }
    }
    // From here on every value is valid, so that the defaults below for values that cannot be parsed are never used.
    errors.into_result()?;
    let settle = seconds("watch", "settle");
    let debounce = DebounceSettings {
        quiet_period: settle,
        max_delay: MAX_DELAY_SETTLE_MULTIPLE * settle,
        poll_interval: seconds("watch", "poll"),
        min_interval: MIN_INTERVAL_SETTLE_MULTIPLE * settle,
    };
    let (compare_interval, use_notifier) = (
        seconds("watch", "compare"),
        value_or_default("watch", "notices") == "on",
    );
    let paths = files.iter().map(|(_, path)| path.clone()).collect();
    let watched = WatchSettings {
        files: paths,
        max_file_size: MAX_FILE_BYTES,
        debounce,
        compare_interval,
        use_notifier,
    };
    let address =
        |key| file_value("management", key).and_then(|text| text.parse::<SocketAddr>().ok());
    let file = |key| path("management", key).unwrap_or_default();
    let netconf = address("netconf").map(|listen| NetconfSettings {
        listen,
        host_key: file("ssh-host-key"),
    });
    let gnmi = address("gnmi").map(|listen| GnmiSettings {
        listen,
        certificate: file("certificate"),
        key: file("key"),
        client_ca: file("client-ca"),
    });
    let keys = WatchSettings {
        files: vec![file("keys")],
        ..watched.clone()
    };
    let management = (netconf.is_some() || gnmi.is_some()).then_some(ManagementSettings {
        netconf,
        gnmi,
        keys,
    });
    let revisions = value_or_default("datastore", "history")
        .parse()
        .unwrap_or(HistoryLimits::default().revisions);
    Ok(OperatorSettings {
        state_directory: path("datastore", "state-directory"),
        history: HistoryLimits {
            revisions,
            ..HistoryLimits::default()
        },
        management,
        file_watch: watch.map(|_| FileWatchSettings {
            files,
            watched,
            discovery,
        }),
    })
}

/// Checks the name of a section, and its keys and their values.
fn check_section(file_name: &str, section: &Section, errors: &mut ValidationErrors) {
    let keys: Vec<_> = KEYS
        .iter()
        .filter(|definition| definition.section == section.name)
        .map(|definition| definition.key)
        .collect();
    let location = format!("{file_name}:{}", section.line);
    if section.name.is_empty() {
        let first = section
            .keys
            .first()
            .map(|key| printable(&key.name))
            .unwrap_or_default();
        return errors.push(ValidationError::new(
            location,
            "a key stands before the first section",
            first,
            "[section] first",
        ));
    }
    if keys.is_empty() {
        return errors.push(ini::unknown_name_error(
            &location,
            "section",
            &section.name,
            sections(),
        ));
    }
    ini::check_keys(file_name, section, &keys, errors);
    for key in &section.keys {
        let definition = KEYS
            .iter()
            .find(|definition| definition.section == section.name && definition.key == key.name);
        if let Some(Err((problem, allowed))) =
            definition.map(|definition| check_value(definition.kind, &key.value))
        {
            let location = format!("{file_name}:{}: [{}] {}", key.line, section.name, key.name);
            errors.push(ValidationError::new(
                location,
                problem,
                printable(&key.value),
                allowed,
            ));
        }
    }
}

/// Reads and parses an operator file.
///
/// # Errors
///
/// If the file cannot be read, or all errors in it with their lines.
pub fn load(path: &Path) -> Result<OperatorSettings, String> {
    let unreadable =
        |reason: &dyn std::fmt::Display| format!("{}: cannot be read: {reason}", path.display());
    let bytes = kestreltide_file_watch::read_file::read_bounded(path, Limits::CONFIG_FILE_BYTES)
        .map_err(|error| unreadable(&error))?;
    let text = String::from_utf8(bytes).map_err(|error| unreadable(&error))?;
    parse(path, &text).map_err(|errors| errors.to_string())
}

/// All keys with their effective values, in the format of the operator file. Without a file, all are at their defaults.
///
/// # Errors
///
/// If the file cannot be read or is invalid.
pub fn show(path: Option<&Path>) -> Result<String, String> {
    let mut file_sections = vec![];
    if let Some(path) = path {
        load(path)?;
        let text = fs::read_to_string(path).map_err(|e| e.to_string())?;
        file_sections = ini::parse_sections(&path.display().to_string(), &text)
            .map_err(|error| error.to_string())?;
    }
    let mut out = String::new();
    for section in sections() {
        let in_file = file_sections.iter().find(|found| found.name == section);
        let _ = writeln!(
            out,
            "[{section}]{}",
            if in_file.is_some() {
                ""
            } else {
                " ; not in the file"
            }
        );
        for KeyDefinition {
            key,
            default,
            purpose,
            ..
        } in KEYS
            .iter()
            .filter(|definition| definition.section == section)
        {
            let value =
                in_file.and_then(|found| found.keys.iter().find(|found| found.name == *key));
            let _ = match value {
                Some(value) => writeln!(out, "{key} = {}", value.value),
                None if default.is_empty() => writeln!(out, "; {key} =   ({purpose})"),
                None => writeln!(out, "{key} = {default}   ; default: {purpose}"),
            };
        }
    }
    Ok(out)
}

#[cfg(test)]
mod tests;
