//! Invalid settings are rejected with the path of the value, and a missing value is never replaced by a default.

use kestreltide_settings::{Fields, NameTable, decode};
use rstest::rstest;
use serde_json::{Value, json};

fn settings() -> Value {
    json!({
        "accounts": [{"name": "north", "quota_per_s": 10.0, "fraction": 0.5}],
        "discovery": "push", "group_size": 3, "me": 2, "my_zone": "a", "tick": 5000,
        "worth_by": "request", "weight_kind": "off", "telemetry": {"via": "off", "fields": []},
        "extra": {"gate_mode": "any", "votes_to_go": 1, "back_votes": 1, "stoppers": 0, "bake": 0, "rings": [0.5, 1.0],
            "ballot_ttl": 1, "vote_wait": 1, "most_shares": [0.5, 1.0], "counted_over": 1, "spare_tries": 0.0,
            "counts": "all", "guarded_stages": 0, "no_return": false, "replace_mode": "in_place", "flag_share": 0.0,
            "api_rate": 0.0},
        "guarantees": {"ask_every": 1, "drain_grace": 0, "cold_share": 0.5, "cold": 0, "fall_multiple": 3.0, "fall": 0},
        "permissions": {"may_probe": false, "peers": false, "cancel": true, "second_copies": false,
            "retry_after": false, "max_retry_after": 0, "max_attempts": 1, "connect_timeout": 1, "keepalive": 1,
            "max_open": 1},
        "request_classes": [
            {"name": "read", "effect": "repeatable", "slo": 1, "give_up": 1, "credit": 0.0, "late_worth": 0.0,
                "stream": false},
            {"name": "change", "effect": "by_key", "group": "all", "window": 1, "slo": 1, "give_up": 1, "credit": 1.0,
                "late_worth": 1.0, "stream": false}]
    })
}

fn error_text(settings: &Value) -> Option<String> {
    decode(
        &Fields::from_json("settings", settings),
        &mut NameTable::Hashed,
    )
    .err()
    .map(|error| error.to_string())
}

/// Returns the value at a path of the object.
fn value_at<'a>(settings: &'a mut Value, path: &str) -> &'a mut Value {
    settings
        .pointer_mut(&format!("/{}", path.replace('.', "/")))
        .expect("the path exists")
}

#[test]
fn minimal_settings_are_accepted() {
    assert_eq!(error_text(&settings()), None);
}

#[test]
fn a_missing_value_is_rejected_with_its_path() {
    // The load fields and the tenants' quotas and shares.
    let optional = [
        "telemetry.fields",
        "accounts.0.quota_per_s",
        "accounts.0.fraction",
    ];
    fn leaves(path: String, value: &Value, found: &mut Vec<String>) {
        let child_path = |key: &str| {
            if path.is_empty() {
                key.to_owned()
            } else {
                format!("{path}.{key}")
            }
        };
        match value {
            Value::Object(map) => map
                .iter()
                .for_each(|(key, value)| leaves(child_path(key), value, found)),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                items
                    .iter()
                    .enumerate()
                    .for_each(|(n, item)| leaves(child_path(&n.to_string()), item, found));
            }
            _ => found.push(path),
        }
    }
    let mut paths = vec![];
    leaves(String::new(), &settings(), &mut paths);
    assert!(paths.len() > 50, "{paths:?}");
    for path in paths
        .iter()
        .filter(|path| !optional.contains(&path.as_str()))
    {
        let mut settings = settings();
        *value_at(&mut settings, path) = Value::Null;
        assert_eq!(
            error_text(&settings),
            Some(format!("settings.{path}: is missing"))
        );
    }
}

#[rstest]
#[case::negative_time("request_classes.0.slo", json!(-1))]
#[case::time_not_a_number("guarantees.drain_grace", json!("soon"))]
#[case::fractional_microseconds("request_classes.0.give_up", json!(1.5))]
#[case::zero_time("request_classes.1.window", json!(0))]
#[case::time_above_one_day("request_classes.0.give_up", json!(2_500_000_000_000_u64))]
#[case::time_out_of_range("permissions.keepalive", json!(1e30))]
#[case::share_over_1("guarantees.cold_share", json!(1.5))]
#[case::negative_share("extra.flag_share", json!(-0.1))]
#[case::one_invalid_share_of_a_list("extra.rings", json!([0.5, 7.0]))]
#[case::empty_list_of_shares("extra.rings", json!([]))]
#[case::fewer_caps_than_stages("extra.most_shares", json!([1.0]))]
#[case::not_a_number("extra.spare_tries", json!("NaN"))]
#[case::infinite("guarantees.fall_multiple", json!("inf"))]
#[case::negative_priority_weight("request_classes.1.credit", json!(-3.0))]
#[case::late_value_fraction_over_1("request_classes.1.late_worth", json!(2))]
#[case::zero_attempts("permissions.max_attempts", json!(0))]
#[case::zero_open_connections("permissions.max_open", json!(0))]
#[case::zero_routers("group_size", json!(0))]
#[case::router_id_not_below_the_number_of_routers("me", json!(3))]
#[case::unknown_replace_mode("extra.replace_mode", json!("sideways"))]
#[case::unknown_exposure_count("extra.counts", json!("none"))]
#[case::unknown_weighting("worth_by", json!("weight"))]
#[case::not_a_boolean("permissions.cancel", json!("perhaps"))]
#[case::negative_tenant_share("accounts.0.fraction", json!(-1))]
#[case::tenant_quota_not_a_number("accounts.0.quota_per_s", json!("many"))]
fn an_invalid_value_is_rejected_with_its_path(#[case] path: &str, #[case] value: Value) {
    let mut settings = settings();
    *value_at(&mut settings, path) = value;
    let message = error_text(&settings).expect("the settings are rejected");
    assert!(
        message.starts_with(&format!("settings.{path}: ")),
        "{message}"
    );
}

#[rstest]
#[case::operation("request_classes", "request_classes.2.name")]
#[case::tenant("accounts", "accounts.1.name")]
fn a_duplicate_name_is_rejected(#[case] list: &str, #[case] path: &str) {
    let mut settings = settings();
    let first = settings[list][0].clone();
    settings[list].as_array_mut().expect("a list").push(first);
    let message = error_text(&settings).expect("the settings are rejected");
    assert!(
        message.starts_with(&format!("settings.{path}: stands at {list}.0.name already")),
        "{message}"
    );
}

fn with_tenants(count: usize) -> Value {
    let mut settings = settings();
    settings["accounts"] = (0..count)
        .map(|n| json!({"name": format!("tenant-{n}")}))
        .collect();
    settings
}

/// Returns the CPU time of this thread in nanoseconds, which doesn't depend on other load on the machine. The kernel
/// updates it when the thread goes to sleep.
fn thread_cpu_nanos() -> u64 {
    std::thread::sleep(std::time::Duration::from_micros(50));
    let schedstat = std::fs::read_to_string("/proc/thread-self/schedstat")
        .expect("the kernel reports schedstat");
    schedstat
        .split(' ')
        .next()
        .and_then(|text| text.parse().ok())
        .expect("a number")
}

/// With 16 times the tenants, a linear algorithm costs about 16 times as much, a quadratic one 256 times. The bound of
/// 64 lies between the two.
#[test]
fn duplicate_names_are_found_in_linear_time() {
    let cost = |count: usize| {
        let settings = with_tenants(count);
        let run_once = || {
            let start = thread_cpu_nanos();
            assert_eq!(error_text(&settings), None);
            thread_cpu_nanos() - start
        };
        (0..3).map(|_| run_once()).min().expect("three")
    };
    let (few, many) = (cost(2_000), cost(32_000));
    assert!(many < 64 * few, "{few} ns, {many} ns");
}

#[rstest]
#[case::maximum(65_536, None)]
#[case::one_more(
    65_537,
    Some("settings.accounts.count: is not within 0 and 65536 (65537 was given)")
)]
fn the_number_of_tenants_is_limited(#[case] count: usize, #[case] error: Option<&str>) {
    assert_eq!(error_text(&with_tenants(count)).as_deref(), error);
}

/// Every value below a long path would repeat the path, so that a text of some megabytes could take all memory.
#[test]
fn values_below_a_long_path_are_ignored() {
    let mut settings = settings();
    let long = "k".repeat(257);
    settings[&long] = json!({"a": 1, "b": [{"c": 2}]});
    let fields = Fields::from_json("settings", &settings);
    assert_eq!(fields.get(&format!("{long}.a")), None);
    assert_eq!(fields.get(&format!("{long}.b.0.c")), None);
    assert_eq!(error_text(&settings), None);
}
