//! Decodes the settings object by its names on the wire into the settings of the decisions and of the transport.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use kestreltide::interface::*;

use crate::fields::Fields;
use crate::transport::LoadField;
use crate::{LoadReporting, NameTable, SettingsError, SettingsProblem, TransportSettings};

// Accepted ranges of values. A value outside of its range most likely has a wrong unit or sign.

/// Any time, in seconds; at most a day.
const ANY_TIME: RangeInclusive<f64> = 0.0..=86_400.0;
/// A time of at least a microsecond, in seconds; at most a day.
const POSITIVE_TIME: RangeInclusive<f64> = 1e-6..=86_400.0;
/// A fraction from 0 to 1.
const FRACTION: RangeInclusive<f64> = 0.0..=1.0;
/// A fraction greater than 0.
const POSITIVE_FRACTION: RangeInclusive<f64> = 1e-9..=1.0;
/// A quantity of at least 0.
const ANY_QUANTITY: RangeInclusive<f64> = 0.0..=1e9;
/// A quantity greater than 0.
const POSITIVE_QUANTITY: RangeInclusive<f64> = 1e-9..=1e9;
const MAX_ROUTERS: u32 = 1_000_000;
const MAX_OPEN_CONNECTIONS: usize = 1_000_000_000;
const MAX_OPERATIONS: usize = 4096;
const MAX_TENANTS: usize = 64 * 1024;

/// The values of `weight_kind`.
const SIZE_SOURCES: [(&str, SizeSource); 4] = [
    ("off", SizeSource::Unspecified),
    ("nominal", SizeSource::Registered),
    ("rough", SizeSource::Rough),
    ("live", SizeSource::Live),
];
/// The values of `extra.gate_mode`.
const PROMOTION_GATES: [(&str, PromotionGate); 3] = [
    ("any", PromotionGate::VoteCount),
    ("share", PromotionGate::VoteShare),
    ("timer", PromotionGate::Timer),
];

/// The settings of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentSettings {
    /// The settings of the decisions.
    pub service: ServiceSettings,
    /// The settings of the adapter that runs the decisions.
    pub transport: TransportSettings,
}

/// Decodes the settings object. Unknown keys are ignored.
///
/// # Errors
///
/// Returns the error of the first value that is missing, malformed or out of range.
pub fn decode(fields: &Fields, names: &mut NameTable) -> Result<DeploymentSettings, SettingsError> {
    let count: usize = fields.integer_in("request_classes.count", 1..=MAX_OPERATIONS)?;
    let operation_names = unique_names(fields, "request_classes", count)?;
    let operations = (0..count)
        .map(|index| operation_settings(fields, index))
        .collect::<Result<Vec<_>, _>>()?;
    check_tenants(fields)?;
    let transport = transport_settings(fields, operation_names)?;
    let service = service_settings(fields, names, operations)?;
    Ok(DeploymentSettings { service, transport })
}

/// Returns the names of the objects of a list. No name may occur twice.
fn unique_names(fields: &Fields, list: &str, count: usize) -> Result<Vec<String>, SettingsError> {
    let mut names = Vec::new();
    let mut first_indices = BTreeMap::new();
    for index in 0..count {
        let key = format!("{list}.{index}.name");
        let name = fields.text(&key)?;
        if let Some(first) = first_indices.insert(name, index) {
            let first = format!("{list}.{first}.name");
            return Err(fields.error(&key, SettingsProblem::DuplicateName { first }));
        }
        names.push(name.into());
    }
    Ok(names)
}

/// The values of an operation's `effect`, which state whether the operation may be repeated.
#[derive(Clone, Copy)]
enum EffectValue {
    Repeatable,
    ByKey,
    Once,
}

fn idempotency(fields: &Fields, index: usize) -> Result<Idempotency, SettingsError> {
    let key = |field: &str| format!("request_classes.{index}.{field}");
    let effects = [
        ("repeatable", EffectValue::Repeatable),
        ("by_key", EffectValue::ByKey),
        ("once", EffectValue::Once),
    ];
    let scopes = [
        ("all", IdempotencyScope::All),
        ("zone", IdempotencyScope::Zone),
        ("cell", IdempotencyScope::Cell),
    ];
    Ok(match fields.one_of(&key("effect"), &effects)? {
        EffectValue::Repeatable => Idempotency::Idempotent,
        EffectValue::ByKey => Idempotency::IdempotencyKey {
            scope: fields.one_of(&key("group"), &scopes)?,
            window: fields.time_in(&key("window"), POSITIVE_TIME)?,
        },
        EffectValue::Once => Idempotency::NonIdempotent,
    })
}

fn operation_settings(fields: &Fields, index: usize) -> Result<OperationSettings, SettingsError> {
    let key = |field: &str| format!("request_classes.{index}.{field}");
    let idempotency = idempotency(fields, index)?;
    let work_factor = key("aim_stretch");
    Ok(OperationSettings {
        latency_objective: fields.time_in(&key("slo"), POSITIVE_TIME)?,
        latency_objective_work_factor: if fields.get(&work_factor).is_some() {
            fields.number_in(&work_factor, ANY_QUANTITY)?
        } else {
            0.0
        },
        time_limit: fields.time_in(&key("give_up"), POSITIVE_TIME)?,
        idempotency,
        priority_weight: fields.number_in(&key("credit"), ANY_QUANTITY)?,
        late_value_fraction: fields.number_in(&key("late_worth"), FRACTION)?,
        streamed: fields.boolean(&key("stream"))?,
    })
}

/// Checks the list of tenants. It doesn't affect a router, but a malformed list is rejected all the same.
fn check_tenants(fields: &Fields) -> Result<(), SettingsError> {
    let count = if fields.get("accounts.count").is_some() {
        fields.integer_in("accounts.count", 0..=MAX_TENANTS)?
    } else {
        0
    };
    unique_names(fields, "accounts", count)?;
    for number in 0..count {
        for (field, range) in [("quota_per_s", ANY_QUANTITY), ("fraction", FRACTION)] {
            let key = format!("accounts.{number}.{field}");
            if fields.get(&key).is_some() {
                fields.number_in(&key, range)?;
            }
        }
    }
    Ok(())
}

fn transport_settings(
    fields: &Fields,
    operation_names: Vec<String>,
) -> Result<TransportSettings, SettingsError> {
    let reporting = [
        ("inline", LoadReporting::Inline),
        ("on_probe", LoadReporting::OnProbe),
        ("off", LoadReporting::Off),
    ];
    let operations = operation_names.into_iter().zip((0..).map(OperationId));
    Ok(TransportSettings {
        operations: operations.collect(),
        load_fields: LoadField::parse_list(fields.get("telemetry.fields").unwrap_or_default()),
        load_reporting: fields.one_of("telemetry.via", &reporting)?,
        connect_timeout: fields.time_in("permissions.connect_timeout", POSITIVE_TIME)?,
        idle_timeout: fields.time_in("permissions.keepalive", POSITIVE_TIME)?,
        max_open_connections: fields
            .integer_in("permissions.max_open", 1..=MAX_OPEN_CONNECTIONS)?,
    })
}

/// The stages of a rollout.
struct Stages {
    /// The share of the machines that run the canary, by stage.
    shares: Vec<f64>,
    /// The largest share of the requests that the canary may get, by stage.
    caps: Vec<f64>,
}

fn stages(fields: &Fields) -> Result<Stages, SettingsError> {
    let shares = fields.numbers_in("extra.rings", FRACTION)?;
    let caps = fields.numbers_in("extra.most_shares", FRACTION)?;
    if caps.len() != shares.len() {
        let problem = SettingsProblem::StageCountMismatch {
            caps: caps.len(),
            shares: shares.len(),
        };
        return Err(fields.error("extra.most_shares", problem));
    }
    Ok(Stages { shares, caps })
}

fn service_settings(
    fields: &Fields,
    names: &mut NameTable,
    operations: Vec<OperationSettings>,
) -> Result<ServiceSettings, SettingsError> {
    let routers = fields.integer_in("group_size", 1..=MAX_ROUTERS)?;
    let stages = stages(fields)?;
    let vote_rate = fields.number_in("extra.api_rate", ANY_QUANTITY)?;
    Ok(ServiceSettings {
        router_id: RouterId(fields.integer_in("me", 0..=routers - 1)?),
        routers,
        zone: Some(names.zone(fields.text("my_zone")?)),
        operations,
        weighted_by_work: fields.one_of("worth_by", &[("work", true), ("request", false)])?,
        polls_endpoint_list: fields.one_of("discovery", &[("ask", true), ("push", false)])?,
        endpoint_poll_interval: fields.time_in("guarantees.ask_every", POSITIVE_TIME)?,
        size_source: fields.one_of("weight_kind", &SIZE_SOURCES)?,
        promotion_gate: fields.one_of("extra.gate_mode", &PROMOTION_GATES)?,
        promote_votes: fields.integer_in("extra.votes_to_go", 0..=MAX_ROUTERS)?,
        roll_back_votes: fields.integer_in("extra.back_votes", 0..=MAX_ROUTERS)?,
        hold_votes: fields.integer_in("extra.stoppers", 0..=MAX_ROUTERS)?,
        bake_time: fields.time_in("extra.bake", ANY_TIME)?,
        vote_lifetime: fields.time_in("extra.ballot_ttl", POSITIVE_TIME)?,
        vote_timeout: fields.time_in("extra.vote_wait", POSITIVE_TIME)?,
        // 0 means that the platform sets no limit.
        vote_rate: if vote_rate > 0.0 {
            vote_rate
        } else {
            f64::INFINITY
        },
        stage_shares: stages.shares,
        stage_caps: stages.caps,
        exposure_window: fields.time_in("extra.counted_over", POSITIVE_TIME)?,
        exposure_allowance: fields.number_in("extra.spare_tries", ANY_QUANTITY)?,
        exposure_by_operation: fields.one_of("extra.counts", &[("class", true), ("all", false)])?,
        idempotent_only_stages: fields.integer("extra.guarded_stages")?,
        sticky_keys: fields.boolean("extra.no_return")?,
        // The only optional key here.
        key_affinity: fields.optional_boolean("extra.warm_keys")?,
        replaces_in_place: fields.one_of(
            "extra.replace_mode",
            &[("in_place", true), ("beside", false)],
        )?,
        disputed_fraction: fields.number_in("extra.flag_share", FRACTION)?,
        drain_grace: fields.time_in("guarantees.drain_grace", ANY_TIME)?,
        slow_start_initial_fraction: fields
            .number_in("guarantees.cold_share", POSITIVE_FRACTION)?,
        slow_start_duration: fields.time_in("guarantees.cold", ANY_TIME)?,
        overload_multiple: fields.number_in("guarantees.fall_multiple", POSITIVE_QUANTITY)?,
        overload_duration: fields.time_in("guarantees.fall", ANY_TIME)?,
        may_health_check: fields.boolean("permissions.may_probe")?,
        may_gossip: fields.boolean("permissions.peers")?,
        may_cancel_attempts: fields.boolean("permissions.cancel")?,
        may_hedge: fields.boolean("permissions.second_copies")?,
        may_send_retry_after: fields.boolean("permissions.retry_after")?,
        max_retry_after: fields.time_in("permissions.max_retry_after", ANY_TIME)?,
        max_attempts: fields.integer_in("permissions.max_attempts", 1..=MAX_ROUTERS)?,
        tick: fields.time_in("tick", POSITIVE_TIME)?,
    })
}
