//! The operator file: what a router has beside the platform's, section by section. All of it is off by default,
//! and all that is wrong in it is told at once.

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

/// What the value of a key is.
#[derive(Clone, Copy, Debug)]
enum ValueKind {
    /// A path, from the operator file's own folder where it is not absolute.
    Path,
    Flag,
    Integer {
        minimum: usize,
        maximum: usize,
    },
    Seconds {
        minimum: f64,
        maximum: f64,
    },
    Address,
}

/// A key of the operator file.
struct KeyDefinition {
    section: &'static str,
    key: &'static str,
    kind: ValueKind,
    /// Its default as text; empty: it has none.
    default: &'static str,
    /// What it is for, in words.
    purpose: &'static str,
}

/// All keys, section by section.
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

/// Bytes of a watched file.
const MAX_FILE_BYTES: usize = 8 << 20;
/// How long a file that never rests is waited for, as a multiple of the settling time.
const MAX_DELAY_PER_SETTLE: f64 = 7.5;
/// The least time between two versions, as a multiple of the settling time.
const MIN_INTERVAL_PER_SETTLE: f64 = 1.0;

fn sections() -> Vec<&'static str> {
    let mut names: Vec<_> = KEYS.iter().map(|definition| definition.section).collect();
    names.dedup();
    names
}

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

/// What a whole operator file says, or everything that is wrong with it.
pub fn parse(place: &Path, text: &str) -> Result<OperatorSettings, ValidationErrors> {
    let (name, folder) = (
        place.display().to_string(),
        place.parent().unwrap_or(Path::new("")),
    );
    let read = ini::parse_sections(&name, text)?;
    let mut errors = ValidationErrors::default();
    for (number, section) in read.iter().enumerate() {
        check_section(&name, section, &mut errors);
        if let Some(first) = read[..number]
            .iter()
            .find(|first| first.name == section.name)
        {
            let path = format!("{name}:{}: [{}]", section.line, section.name);
            errors.push(ValidationError::new(
                path,
                format!("stands at line {} too", first.line),
                &section.name,
                "each section once",
            ));
        }
    }
    errors.into_result()?;
    let said = |section: &str, key: &str| {
        let section = read.iter().find(|read| read.name == section)?;
        section
            .keys
            .iter()
            .find(|read| read.name == key)
            .map(|key| key.value.as_str())
    };
    let text = |section: &str, key: &str| {
        said(section, key).unwrap_or_else(|| {
            KEYS.iter()
                .find(|definition| definition.section == section && definition.key == key)
                .map_or("", |definition| definition.default)
        })
    };
    let path = |section, key| said(section, key).map(|path| folder.join(path));
    let seconds = |section, key| text(section, key).parse().unwrap_or(0.0);
    let files = [
        (FileKind::Hosts, path("watch", "hosts")),
        (FileKind::Weights, path("watch", "weights")),
    ];
    let files: Vec<_> = files
        .into_iter()
        .filter_map(|(kind, path)| Some((kind, path?)))
        .collect();
    let (discovery, watch) = (
        text("watch", "discovery") == "on",
        read.iter().find(|section| section.name == "watch"),
    );
    let management = read.iter().find(|section| section.name == "management");
    let mut errors = ValidationErrors::default();
    if let Some(section) = management {
        // A front that cannot prove itself, or let anybody in, is a mistake.
        let (netconf, gnmi) = (
            said("management", "netconf").is_some(),
            said("management", "gnmi").is_some(),
        );
        let needs = [
            ("keys", netconf || gnmi),
            ("ssh-host-key", netconf),
            ("certificate", gnmi),
            ("key", gnmi),
            ("client-ca", gnmi),
        ];
        for (key, _) in needs
            .into_iter()
            .filter(|(key, needed)| *needed && said("management", key).is_none())
        {
            let at = format!("{name}:{}: [management] {key}", section.line);
            errors.push(ValidationError::new(at, "is missing", "nothing", "a path"));
        }
    }
    if let Some(section) = watch {
        let at = format!("{name}:{}: [watch]", section.line);
        if files.is_empty() {
            errors.push(ValidationError::new(
                &at,
                "names no file to watch",
                "nothing",
                "hosts, weights or both",
            ));
        } else if !discovery && said("watch", "hosts").is_none() {
            errors.push(ValidationError::new(
                at,
                "nobody would list hosts",
                "discovery = off",
                "a file of hosts with it",
            ));
        }
    }
    errors.into_result()?;
    let settle = seconds("watch", "settle");
    let patience = DebounceSettings {
        quiet_period: settle,
        max_delay: MAX_DELAY_PER_SETTLE * settle,
        poll_interval: seconds("watch", "poll"),
        min_interval: MIN_INTERVAL_PER_SETTLE * settle,
    };
    let (compare, notices) = (
        seconds("watch", "compare"),
        text("watch", "notices") == "on",
    );
    let paths = files.iter().map(|(_, path)| path.clone()).collect();
    let watched = WatchSettings {
        files: paths,
        max_file_size: MAX_FILE_BYTES,
        debounce: patience,
        compare_interval: compare,
        use_notifier: notices,
    };
    let address = |key| said("management", key).and_then(|text| text.parse::<SocketAddr>().ok());
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
    let revisions = text("datastore", "history")
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

fn check_section(name: &str, section: &Section, errors: &mut ValidationErrors) {
    let keys: Vec<_> = KEYS
        .iter()
        .filter(|definition| definition.section == section.name)
        .map(|definition| definition.key)
        .collect();
    let at = format!("{name}:{}", section.line);
    if section.name.is_empty() {
        let first = section
            .keys
            .first()
            .map(|key| printable(&key.name))
            .unwrap_or_default();
        return errors.push(ValidationError::new(
            at,
            "a key stands before the first section",
            first,
            "[section] first",
        ));
    }
    if keys.is_empty() {
        return errors.push(ini::unknown_name_error(
            &at,
            "section",
            &section.name,
            sections(),
        ));
    }
    ini::check_keys(name, section, &keys, errors);
    for key in &section.keys {
        let definition = KEYS
            .iter()
            .find(|definition| definition.section == section.name && definition.key == key.name);
        if let Some(Err((what, taken))) =
            definition.map(|definition| check_value(definition.kind, &key.value))
        {
            let path = format!("{name}:{}: [{}] {}", key.line, section.name, key.name);
            errors.push(ValidationError::new(
                path,
                what,
                printable(&key.value),
                taken,
            ));
        }
    }
}

/// Reads the file, and says of everything that is wrong what and where.
pub fn load(path: &Path) -> Result<OperatorSettings, String> {
    let unread = |why: &dyn std::fmt::Display| format!("{}: cannot be read: {why}", path.display());
    let bytes = kestreltide_file_watch::read_file::read_bounded(path, Limits::CONFIG_FILE_BYTES)
        .map_err(|why| unread(&why))?;
    let text = String::from_utf8(bytes).map_err(|e| unread(&e))?;
    parse(path, &text).map_err(|errors| errors.to_string())
}

/// All keys with their values in force, as a file that says the same.
pub fn show(path: Option<&Path>) -> Result<String, String> {
    let mut said = vec![];
    if let Some(path) = path {
        load(path)?;
        let text = fs::read_to_string(path).map_err(|e| e.to_string())?;
        said = ini::parse_sections(&path.display().to_string(), &text)
            .map_err(|error| error.to_string())?;
    }
    let mut out = String::new();
    for section in sections() {
        let on = said.iter().find(|said| said.name == section);
        let _ = writeln!(
            out,
            "[{section}]{}",
            if on.is_some() {
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
            let value = on.and_then(|on| on.keys.iter().find(|said| said.name == *key));
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
