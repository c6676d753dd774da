//! Golden files of the command line: what `check-config`, `check-operator` and `show-operator`
//! print for valid files and for one invalid file of each kind, and the names of all sub-commands
//! and options.
//!
//! To regenerate the golden files, deliberately:
//! `KESTRELTIDE_REGENERATE_GOLDEN=1 cargo test -p kestreltide-router --test golden_checks`.

mod golden;

use std::fs;
use std::path::Path;

use golden::{Transcript, replace_one, router_command};
use tempfile::TempDir;

/// File names in the temporary folder of a case.
const CONFIG: &str = "config.json";
const OPERATOR: &str = "operator.ini";

/// One byte more than the router reads of a configuration or operator file (4 MiB).
const TOO_LONG_BYTES: usize = (4 << 20) + 1;

/// Reads one of the example files in the repository's `deploy` folder.
fn deploy_file(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../deploy")
        .join(name);
    fs::read_to_string(path).expect("the deploy file is readable")
}

fn temp_folder() -> TempDir {
    tempfile::tempdir().expect("a temporary folder")
}

fn write(folder: &Path, name: &str, text: impl AsRef<[u8]>) {
    fs::write(folder.join(name), text).expect("the folder is writable");
}

/// An invalid configuration: the example with one piece of text replaced.
struct ConfigCase {
    title: &'static str,
    from: &'static str,
    to: &'static str,
}

const fn config_case(title: &'static str, from: &'static str, to: &'static str) -> ConfigCase {
    ConfigCase { title, from, to }
}

/// Invalid configurations, each with the title of its case in the golden file.
const CONFIG_CASES: &[ConfigCase] = &[
    config_case("a field is missing", "\"name\": \"n0\",", ""),
    config_case(
        "a field is of the wrong type",
        "\"name\": \"n0\"",
        "\"name\": 5",
    ),
    config_case(
        "a field stands twice",
        "\"name\": \"n0\",",
        "\"name\": \"n0\", \"name\": \"n1\",",
    ),
    config_case(
        "a field is not known",
        "\"name\": \"n0\",",
        "\"name\": \"n0\", \"nmae\": \"n1\",",
    ),
    config_case(
        "a field's case differs",
        "\"name\": \"n0\"",
        "\"Name\": \"n0\"",
    ),
    config_case("listen is no address", "127.0.0.1:6379", "localhost:6379"),
    config_case("discovery is no address", "127.0.0.1:8500", "127.0.0.1"),
    config_case("the seed is not hexadecimal", "8c1f30d27a5be964", "seed"),
    config_case(
        "the seed begins with 0x",
        "8c1f30d27a5be964",
        "0x8c1f30d27a5be964",
    ),
    config_case("no sockets", "\"sockets\": 1024", "\"sockets\": 0"),
    config_case("no memory", "\"memory_mb\": 192", "\"memory_mb\": 0"),
    config_case(
        "memory_mb is negative",
        "\"memory_mb\": 192",
        "\"memory_mb\": -1",
    ),
    config_case("memory_mb is missing", "\"memory_mb\": 192,", ""),
    config_case(
        "peer_listen is no address",
        "\"peer_listen\": \"127.0.0.1:7946\"",
        "\"peer_listen\": 1",
    ),
    config_case("a peer is no address", "\"127.0.0.2:7946\"", "\"peer\""),
    config_case("a peer is a number", "\"127.0.0.2:7946\"", "7946"),
    config_case("peers_all is no address", "127.0.0.3:7946", "all"),
    config_case(
        "the platform has no address",
        "\"address\": \"127.0.0.1:6400\",",
        "",
    ),
    config_case("the platform's news lack a field", "\"ring\": 2,", ""),
    config_case(
        "the platform's news are of no known progress",
        "\"live\"",
        "\"alive\"",
    ),
    config_case("the known list lacks a field", "\"all\": true,", ""),
    config_case("a known host has no address", "127.0.0.1:7001", "here"),
    config_case("a known host lacks a field", "\"az\": \"north\",", ""),
    config_case(
        "a known host is in no known state",
        "\"Ready\"",
        "\"ready\"",
    ),
    config_case(
        "a known host's build is out of range",
        "\"build\": 41",
        "\"build\": 70000",
    ),
    config_case("a setting is missing", "\"my_zone\": \"north\",", ""),
    config_case(
        "a setting stands twice",
        "\"me\": 0,",
        "\"me\": 0, \"me\": 1,",
    ),
    config_case(
        "a setting is not known",
        "\"me\": 0,",
        "\"me\": 0, \"you\": 1,",
    ),
    config_case("a setting is null", "\"me\": 0,", "\"me\": null,"),
    config_case(
        "a count is no whole number",
        "\"group_size\": 2",
        "\"group_size\": 2.5",
    ),
    config_case(
        "a count is out of range",
        "\"group_size\": 2",
        "\"group_size\": 0",
    ),
    config_case(
        "this router is not of the group",
        "\"me\": 0,",
        "\"me\": 2,",
    ),
    config_case(
        "discovery is neither asked nor pushes",
        "\"push\"",
        "\"pull\"",
    ),
    config_case(
        "worth_by is no known word",
        "\"worth_by\": \"request\"",
        "\"worth_by\": \"value\"",
    ),
    config_case(
        "weight_kind is no known word",
        "\"weight_kind\": \"off\"",
        "\"weight_kind\": \"on\"",
    ),
    config_case(
        "telemetry.via is no known word",
        "\"via\": \"off\"",
        "\"via\": \"mail\"",
    ),
    config_case(
        "gate_mode is no known word",
        "\"gate_mode\": \"any\"",
        "\"gate_mode\": \"all\"",
    ),
    config_case(
        "counts is no known word",
        "\"counts\": \"all\"",
        "\"counts\": \"some\"",
    ),
    config_case(
        "replace_mode is no known word",
        "\"in_place\"",
        "\"inplace\"",
    ),
    config_case(
        "a flag is neither true nor false",
        "\"no_return\": false",
        "\"no_return\": \"no\"",
    ),
    config_case(
        "a time is no whole number",
        "\"tick\": 5000",
        "\"tick\": \"5ms\"",
    ),
    config_case("a time is out of range", "\"tick\": 5000", "\"tick\": 0"),
    config_case("a time is negative", "\"cold\": 2000000", "\"cold\": -1"),
    config_case(
        "a time is beyond a day",
        "\"bake\": 3000000",
        "\"bake\": 86400000001",
    ),
    config_case(
        "a number is no number",
        "\"spare_tries\": 3.0",
        "\"spare_tries\": \"three\"",
    ),
    config_case(
        "a number is out of range",
        "\"cold_share\": 0.5",
        "\"cold_share\": 1.5",
    ),
    config_case(
        "a list has no number",
        "0.1,\n        0.5,\n        1.0",
        "0.1, \"half\", 1.0",
    ),
    config_case(
        "a list's number is out of range",
        "0.1,\n        0.5,\n        1.0",
        "0.1, 0.5, 1.1",
    ),
    config_case("a list is empty", "0.1,\n        0.5,\n        1.0", ""),
    config_case(
        "two lists differ in length",
        "0.15,\n        0.7,\n",
        "0.15,\n",
    ),
    config_case("an operation has no name", "\"name\": \"read\",", ""),
    config_case(
        "two operations have one name",
        "\"name\": \"set\"",
        "\"name\": \"read\"",
    ),
    config_case(
        "an operation's effect is no known word",
        "\"repeatable\"",
        "\"idempotent\"",
    ),
    config_case(
        "an operation by key has no group",
        "\"group\": \"all\",",
        "",
    ),
    config_case(
        "an operation by key has no window",
        "\"window\": 2000000,",
        "",
    ),
    config_case(
        "an operation's group is no known word",
        "\"group\": \"all\"",
        "\"group\": \"rack\"",
    ),
    config_case(
        "an operation's share is out of range",
        "\"late_worth\": 0.2",
        "\"late_worth\": 2",
    ),
    config_case(
        "an operation's value is negative",
        "\"credit\": 3.0",
        "\"credit\": -3.0",
    ),
    config_case(
        "settings are a list",
        "\"settings\": {",
        "\"settings\": [], \"set\": {",
    ),
    config_case(
        "the text ends too soon",
        "\"group_size\": 2,",
        "\"group_size\" 2,",
    ),
];

#[test]
fn check_config_output_matches_the_golden_file() {
    let example = deploy_file("example.json");
    let mut transcript = Transcript::default();
    let arguments = ["check-config", "--config", CONFIG];

    let mut check = |title: &str, text: &[u8]| {
        let folder = temp_folder();
        write(folder.path(), CONFIG, text);
        transcript.begin_case(title);
        transcript.record_command(&arguments, folder.path());
    };
    check("the example as it is", example.as_bytes());
    for case in CONFIG_CASES {
        check(
            case.title,
            replace_one(&example, case.from, case.to).as_bytes(),
        );
    }
    check("an empty file", b"");
    check("a file that is no JSON", b"name = n0\n");
    check("a file that is no object", b"[]\n");
    check("a file that is not UTF-8", b"{\"name\": \"\xff\"}\n");
    check("a file that is too long", &vec![b' '; TOO_LONG_BYTES]);
    let peers = vec!["\"127.0.0.2:7946\""; 200_000].join(",");
    let peers = replace_one(&example, "\"127.0.0.2:7946\"", &peers);
    check("more peers than memory bears", peers.as_bytes());
    let shares = vec!["1.0"; 200_000].join(",");
    let shares = replace_one(&example, "0.1,\n        0.5,\n        1.0", &shares);
    check("more settings than memory bears", shares.as_bytes());

    let folder = temp_folder();
    transcript.begin_case("no file is named");
    transcript.record_command(&["check-config"], folder.path());
    transcript.begin_case("a file that is not there");
    transcript.record_command(&arguments, folder.path());
    transcript.begin_case("a folder in place of a file");
    transcript.record_command(&["check-config", "--config", "."], folder.path());

    write(folder.path(), CONFIG, &example);
    transcript.begin_case("the environment names the file and the router");
    let variables = [("PROXY_CONFIG", CONFIG), ("PROXY_NAME", "n1")];
    transcript.record_command_with(&["check-config"], folder.path(), &variables);
    transcript.begin_case("the environment's listen is no address");
    transcript.record_command_with(&arguments, folder.path(), &[("PROXY_LISTEN", "here")]);
    transcript.begin_case("the environment's discovery is no address");
    transcript.record_command_with(&arguments, folder.path(), &[("PROXY_DISCOVERY", "there")]);

    transcript.assert_golden("check_config.txt");
}

/// An operator file with every section and key.
const ALL_OPERATOR_KEYS: &str = "\
[datastore]
state-directory = state
history = 17

[watch]
hosts = hosts.ini
weights = weights.ini
discovery = off
notices = off
settle = 0.05
poll = 0.5
compare = 2

[management]
netconf = 127.0.0.1:830
ssh-host-key = ssh_host_ed25519_key
gnmi = 127.0.0.1:9339
certificate = router.pem
key = router.key
client-ca = clients.pem
keys = keys.ini
";

/// A valid watched file of hosts.
const HOSTS: &str = "\
generation = 7
[guards]
largest-removal = 0.3
[host h-1]
endpoint = 10.1.0.18:6379
zone = north
kind = std
build = 41
started = 2026-12-01T03:00:00Z
[host h-2]
endpoint = 10.1.0.19:6379
zone = north
kind = std
build = 41
[end]
hosts = 2
generation = 7
";

/// A valid watched file of weights and states.
const WEIGHTS: &str = "\
generation = 7
[weights]
h-1 = 0.5
[states]
h-2 = in-service
[end]
entries = 2
generation = 7
";

/// Titles and texts of operator files that are invalid by themselves.
const OPERATOR_CASES: &[(&str, &str)] = &[
    ("an empty file", ""),
    ("a section is not known", "[wach]\nhosts = hosts.ini\n"),
    ("a section is like no known one", "[x]\n"),
    ("a section stands twice", "[datastore]\n[datastore]\n"),
    (
        "a key is not known",
        "[watch]\nhots = hosts.ini\nhosts = hosts.ini\n",
    ),
    ("a key is like no known one", "[datastore]\nzzz = 1\n"),
    (
        "a key stands twice",
        "[watch]\nhosts = hosts.ini\nhosts = hosts.ini\n",
    ),
    (
        "a key stands before the first section",
        "hosts = hosts.ini\n",
    ),
    ("a line is no INI", "[watch\nhosts = hosts.ini\n"),
    ("a key has no value", "[watch]\nhosts\n"),
    ("a NUL", "[watch]\nhosts = h\0\n"),
    ("a path is empty", "[watch]\nhosts =\n"),
    (
        "a flag is neither",
        "[watch]\nhosts = hosts.ini\ndiscovery = maybe\n",
    ),
    ("a whole number is none", "[datastore]\nhistory = many\n"),
    (
        "a whole number is out of range",
        "[datastore]\nhistory = 0\n",
    ),
    (
        "seconds are no number",
        "[watch]\nhosts = hosts.ini\npoll = soon\n",
    ),
    (
        "seconds are out of range",
        "[watch]\nhosts = hosts.ini\nsettle = 11\n",
    ),
    (
        "settle is out of range below",
        "[watch]\nhosts = hosts.ini\nsettle = 0\n",
    ),
    (
        "compare is out of range",
        "[watch]\nhosts = hosts.ini\ncompare = 0.01\n",
    ),
    ("an address is none", "[management]\nnetconf = here\n"),
    ("nothing is watched", "[watch]\npoll = 1\n"),
    (
        "nobody would list hosts",
        "[watch]\nweights = weights.ini\ndiscovery = off\n",
    ),
    (
        "NETCONF without what it needs",
        "[management]\nnetconf = 127.0.0.1:830\n",
    ),
    (
        "gNMI without what it needs",
        "[management]\ngnmi = 127.0.0.1:9339\n",
    ),
    (
        "several at once",
        "[watch]\nhots = h\npoll = x\n[datastore]\nhistory = 0\n[x]\n",
    ),
];

/// Invalid watched files of hosts: a title, the text of `HOSTS` that is replaced, and its replacement.
const HOSTS_CASES: &[(&str, &str, &str)] = &[
    (
        "a generation is missing",
        "generation = 7\n[guards]",
        "[guards]",
    ),
    (
        "a generation's key is not known",
        "generation = 7\n[guards]",
        "generatoin = 7\n[guards]",
    ),
    (
        "a generation has no name",
        "generation = 7\n[guards]",
        "generation =\n[guards]",
    ),
    (
        "the end names another generation",
        "hosts = 2\ngeneration = 7",
        "hosts = 2\ngeneration = 8",
    ),
    ("the end counts another number", "hosts = 2", "hosts = 3"),
    ("the end has no count", "hosts = 2\n", ""),
    (
        "the end has no generation",
        "hosts = 2\ngeneration = 7\n",
        "hosts = 2\n",
    ),
    ("no end", "[end]\nhosts = 2\ngeneration = 7\n", ""),
    (
        "a section behind the end",
        "hosts = 2\ngeneration = 7\n",
        "hosts = 2\n[guards]\n",
    ),
    (
        "the last line has no end",
        "hosts = 2\ngeneration = 7\n",
        "hosts = 2\ngeneration = 7",
    ),
    (
        "a section of hosts is not known",
        "[host h-2]",
        "[hots h-2]",
    ),
    ("a host's name is none", "[host h-2]", "[host h 2]"),
    ("a host stands twice", "[host h-2]", "[host h-1]"),
    (
        "a host's key is not known",
        "endpoint = 10.1.0.19:6379",
        "endpiont = 10.1.0.19:6379",
    ),
    (
        "a host's key stands twice",
        "zone = north\nkind = std\nbuild = 41\n[end]",
        "zone = north\nzone = north\nkind = std\nbuild = 41\n[end]",
    ),
    ("a host's key is missing", "endpoint = 10.1.0.19:6379\n", ""),
    ("a host's endpoint is none", "10.1.0.19:6379", "10.1.0.19"),
    (
        "two hosts have one endpoint",
        "10.1.0.19:6379",
        "10.1.0.18:6379",
    ),
    (
        "a host's build is no number",
        "build = 41\n[end]",
        "build = new\n[end]",
    ),
    (
        "a host's build is out of range",
        "build = 41\n[end]",
        "build = 70000\n[end]",
    ),
    (
        "a host's start is no time",
        "2026-12-01T03:00:00Z",
        "yesterday",
    ),
    (
        "a host's weight is out of range",
        "build = 41\n[end]",
        "build = 41\nweight = -1\n[end]",
    ),
    (
        "a host's state is no known word",
        "build = 41\n[end]",
        "build = 41\nstate = gone\n[end]",
    ),
    ("a guard is not known", "largest-removal", "larger-removal"),
    (
        "a guard is out of range",
        "largest-removal = 0.3",
        "largest-removal = 3",
    ),
    (
        "a guard is no number",
        "largest-removal = 0.3",
        "largest-removal = some",
    ),
];

/// Invalid watched files of weights and states: a title, the text of `WEIGHTS` that is replaced, and its
/// replacement.
const WEIGHTS_CASES: &[(&str, &str, &str)] = &[
    ("a section of weights is not known", "[states]", "[state]"),
    ("a weight is no number", "h-1 = 0.5", "h-1 = half"),
    ("a weight is out of range", "h-1 = 0.5", "h-1 = 1e9"),
    ("a weight's host has no name", "h-1 = 0.5", "h 1 = 0.5"),
    ("a weight's host is not listed", "h-1 = 0.5", "h-3 = 0.5"),
    ("a state is no known word", "in-service", "serving"),
    (
        "the entries are counted wrongly",
        "entries = 2",
        "entries = 1",
    ),
    (
        "the files are of two generations",
        WEIGHTS,
        "generation = 8\n[end]\nentries = 0\ngeneration = 8\n",
    ),
];

/// An operator file that watches both the hosts and the weights file.
const WATCH_BOTH: &str = "[watch]\nhosts = hosts.ini\nweights = weights.ini\ndiscovery = off\n";

#[test]
fn check_operator_output_matches_the_golden_file() {
    let mut transcript = Transcript::default();
    let arguments = ["check-operator", OPERATOR];

    let mut check = |title: &str, operator: &[u8], hosts: &str, weights: &str| {
        let folder = temp_folder();
        write(folder.path(), OPERATOR, operator);
        write(folder.path(), "hosts.ini", hosts);
        write(folder.path(), "weights.ini", weights);
        transcript.begin_case(title);
        transcript.record_command(&arguments, folder.path());
    };
    check(
        "the example as it is",
        deploy_file("operator.ini").as_bytes(),
        HOSTS,
        WEIGHTS,
    );
    check(
        "every key switched on",
        ALL_OPERATOR_KEYS.as_bytes(),
        HOSTS,
        WEIGHTS,
    );
    for (title, operator) in OPERATOR_CASES {
        check(title, operator.as_bytes(), HOSTS, WEIGHTS);
    }
    check(
        "a file that is not UTF-8",
        b"[watch]\nhosts = \xff\n",
        HOSTS,
        WEIGHTS,
    );
    check(
        "a file that is too long",
        &vec![b'\n'; TOO_LONG_BYTES],
        HOSTS,
        WEIGHTS,
    );
    check(
        "the watched files are well",
        WATCH_BOTH.as_bytes(),
        HOSTS,
        WEIGHTS,
    );
    for (title, from, to) in HOSTS_CASES {
        check(
            title,
            WATCH_BOTH.as_bytes(),
            &replace_one(HOSTS, from, to),
            WEIGHTS,
        );
    }
    for (title, from, to) in WEIGHTS_CASES {
        check(
            title,
            WATCH_BOTH.as_bytes(),
            HOSTS,
            &replace_one(WEIGHTS, from, to),
        );
    }
    check(
        "a watched file is empty",
        WATCH_BOTH.as_bytes(),
        "",
        WEIGHTS,
    );

    let empty = temp_folder();
    transcript.begin_case("no file is named");
    transcript.record_command(&["check-operator"], empty.path());
    transcript.begin_case("a file that is not there");
    transcript.record_command(&arguments, empty.path());
    transcript.begin_case("a folder in place of a file");
    transcript.record_command(&["check-operator", "."], empty.path());
    write(empty.path(), OPERATOR, WATCH_BOTH);
    transcript.begin_case("watched files that are not there");
    transcript.record_command(&arguments, empty.path());

    let folder = temp_folder();
    write(folder.path(), OPERATOR, WATCH_BOTH);
    write(folder.path(), "hosts.ini", HOSTS);
    write(folder.path(), "weights.ini", WEIGHTS);
    write(folder.path(), CONFIG, deploy_file("example.json"));
    transcript.begin_case("together with a configuration");
    let with_config = ["check-operator", OPERATOR, "--config", CONFIG];
    transcript.record_command(&with_config, folder.path());
    transcript.begin_case("together with a configuration that is not there");
    let without_config = ["check-operator", OPERATOR, "--config", "none.json"];
    transcript.record_command(&without_config, folder.path());

    transcript.assert_golden("check_operator.txt");
}

#[test]
fn show_operator_output_matches_the_golden_file() {
    let mut transcript = Transcript::default();

    let mut show = |title: &str, operator: &str| {
        let folder = temp_folder();
        write(folder.path(), OPERATOR, operator);
        transcript.begin_case(title);
        transcript.record_command(&["show-operator", OPERATOR], folder.path());
    };
    show("the example as it is", &deploy_file("operator.ini"));
    show("every key switched on", ALL_OPERATOR_KEYS);
    show("one section with one key", "[watch]\nhosts = hosts.ini\n");
    for (title, operator) in OPERATOR_CASES {
        show(title, operator);
    }

    let folder = temp_folder();
    transcript.begin_case("no file is named");
    transcript.record_command(&["show-operator"], folder.path());
    transcript.begin_case("a file that is not there");
    transcript.record_command(&["show-operator", OPERATOR], folder.path());

    transcript.assert_golden("show_operator.txt");
}

/// Compares the names and forms of sub-commands and options; their descriptions may change.
#[test]
fn command_line_names_match_the_golden_file() {
    let sub_commands = [
        "serve",
        "check-config",
        "show-limits",
        "models",
        "check-operator",
        "show-operator",
        "revisions",
        "version",
    ];
    let mut transcript = Transcript::default();
    transcript.begin_case("all sub-commands");
    transcript.record("names", &names_in_help(&["--help"]));
    for sub_command in sub_commands {
        transcript.begin_case(sub_command);
        transcript.record("names", &names_in_help(&[sub_command, "--help"]));
    }
    transcript.assert_golden("command_line.txt");
}

/// The usage line and the first column of the tables of options and sub-commands.
fn names_in_help(arguments: &[&str]) -> String {
    /// The column at which descriptions begin, in characters.
    const DESCRIPTION_COLUMN: usize = 20;
    let folder = temp_folder();
    let output = router_command(arguments, folder.path())
        .output()
        .expect("the router runs");
    let help = String::from_utf8(output.stdout).expect("the help is UTF-8");
    help.lines()
        .filter_map(|line| match line.strip_prefix("  ") {
            Some(row) if !row.starts_with(' ') => {
                Some(line.split_at(DESCRIPTION_COLUMN.min(line.len())).0)
            }
            Some(_) => None,
            None => Some(line).filter(|line| line.starts_with("Usage:")),
        })
        .map(|line| format!("{}\n", line.trim_end()))
        .collect()
}
