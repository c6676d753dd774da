//! The settings object by its wire names, as the settings of the decisions and of the transport.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

use kestreltide::interface::*;

use crate::fields::Fields;
use crate::transport::LoadField;
use crate::{LoadReporting, NameTable, SettingsError, SettingsProblem, TransportSettings};

// The range of a value; beyond it somebody has mistaken a unit or a sign.
/// Seconds.
const ANY_TIME: RangeInclusive<f64> = 0.0..=86_400.0;
/// Seconds, more than 0.
const POSITIVE_TIME: RangeInclusive<f64> = 1e-6..=86_400.0;
/// A fraction of a whole.
const FRACTION: RangeInclusive<f64> = 0.0..=1.0;
/// A fraction of a whole, more than 0.
const POSITIVE_FRACTION: RangeInclusive<f64> = 1e-9..=1.0;
/// Any quantity that is not negative.
const ANY_QUANTITY: RangeInclusive<f64> = 0.0..=1e9;
/// Any quantity, more than 0.
const POSITIVE_QUANTITY: RangeInclusive<f64> = 1e-9..=1e9;
const MAX_ROUTERS: u32 = 1_000_000;
const MAX_OPEN_CONNECTIONS: usize = 1_000_000_000;
const MAX_OPERATIONS: usize = 4096;
const MAX_TENANTS: usize = 64 * 1024;

/// The words for what is known of the sizes of hosts.
const SIZE_WORDS: [(&str, SizeSource); 4] = [
    ("off", SizeSource::Unspecified),
    ("nominal", SizeSource::Registered),
    ("rough", SizeSource::Rough),
    ("live", SizeSource::Live),
];
/// The words for what lets a rollout move on.
const GATE_WORDS: [(&str, PromotionGate); 3] = [
    ("any", PromotionGate::VoteCount),
    ("share", PromotionGate::VoteShare),
    ("timer", PromotionGate::Timer),
];

/// The settings of a deployment.
#[derive(Clone, Debug, PartialEq)]
pub struct DeploymentSettings {
    /// For the decisions.
    pub service: ServiceSettings,
    /// For the adapter.
    pub transport: TransportSettings,
}

/// Decodes the settings object. Unknown keys are ignored.
///
/// # Errors
///
/// The first value that is missing, of a wrong form or out of its range.
pub fn decode(fields: &Fields, names: &mut NameTable) -> Result<DeploymentSettings, SettingsError> {
    let count: usize = fields.integer_in("request_classes.count", 1..=MAX_OPERATIONS)?;
    let operation_names = unique_names(fields, "request_classes", count)?;
    let operations = (0..count)
        .map(|number| operation_settings(fields, number))
        .collect::<Result<Vec<_>, _>>()?;
    check_tenants(fields)?;
    let transport = transport_settings(fields, operation_names)?;
    let service = service_settings(fields, names, operations)?;
    Ok(DeploymentSettings { service, transport })
}

/// The names of a list of objects, none of them twice.
fn unique_names(fields: &Fields, list: &str, count: usize) -> Result<Vec<String>, SettingsError> {
    let mut names = Vec::new();
    let mut places = BTreeMap::new();
    for number in 0..count {
        let key = format!("{list}.{number}.name");
        let name = fields.text(&key)?;
        if let Some(first) = places.insert(name, number) {
            let first = format!("{list}.{first}.name");
            return Err(fields.error(&key, SettingsProblem::DuplicateName { first }));
        }
        names.push(name.into());
    }
    Ok(names)
}

/// The words for how an operation may be repeated.
#[derive(Clone, Copy)]
enum EffectWord {
    Repeatable,
    ByKey,
    Once,
}

fn idempotency(fields: &Fields, number: usize) -> Result<Idempotency, SettingsError> {
    let key = |field: &str| format!("request_classes.{number}.{field}");
    let effects = [
        ("repeatable", EffectWord::Repeatable),
        ("by_key", EffectWord::ByKey),
        ("once", EffectWord::Once),
    ];
    let scopes = [
        ("all", IdempotencyScope::All),
        ("zone", IdempotencyScope::Zone),
        ("cell", IdempotencyScope::Cell),
    ];
    Ok(match fields.one_of(&key("effect"), &effects)? {
        EffectWord::Repeatable => Idempotency::Idempotent,
        EffectWord::ByKey => Idempotency::IdempotencyKey {
            scope: fields.one_of(&key("group"), &scopes)?,
            window: fields.time_in(&key("window"), POSITIVE_TIME)?,
        },
        EffectWord::Once => Idempotency::NonIdempotent,
    })
}

fn operation_settings(fields: &Fields, number: usize) -> Result<OperationSettings, SettingsError> {
    let key = |field: &str| format!("request_classes.{number}.{field}");
    let idempotency = idempotency(fields, number)?;
    let stretch = key("aim_stretch");
    Ok(OperationSettings {
        latency_objective: fields.time_in(&key("slo"), POSITIVE_TIME)?,
        latency_objective_work_factor: if fields.get(&stretch).is_some() {
            fields.number_in(&stretch, ANY_QUANTITY)?
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

/// Tenants change nothing that a router does; a list of them that is malformed is refused all the same.
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
        load_fields: LoadField::list(fields.get("telemetry.fields").unwrap_or_default()),
        load_reporting: fields.one_of("telemetry.via", &reporting)?,
        connect_timeout: fields.time_in("permissions.connect_timeout", POSITIVE_TIME)?,
        idle_timeout: fields.time_in("permissions.keepalive", POSITIVE_TIME)?,
        max_open_connections: fields
            .integer_in("permissions.max_open", 1..=MAX_OPEN_CONNECTIONS)?,
    })
}

/// The stages of a rollout.
struct Stages {
    /// The fraction of the routers that each stage reaches.
    shares: Vec<f64>,
    /// The greatest fraction of the requests that a router sends to the canary in each stage.
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
        size_source: fields.one_of("weight_kind", &SIZE_WORDS)?,
        promotion_gate: fields.one_of("extra.gate_mode", &GATE_WORDS)?,
        promote_votes: fields.integer_in("extra.votes_to_go", 0..=MAX_ROUTERS)?,
        roll_back_votes: fields.integer_in("extra.back_votes", 0..=MAX_ROUTERS)?,
        hold_votes: fields.integer_in("extra.stoppers", 0..=MAX_ROUTERS)?,
        bake_time: fields.time_in("extra.bake", ANY_TIME)?,
        vote_lifetime: fields.time_in("extra.ballot_ttl", POSITIVE_TIME)?,
        vote_timeout: fields.time_in("extra.vote_wait", POSITIVE_TIME)?,
        // 0: the platform limits nothing.
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
        // The one key of these that may be absent.
        key_affinity: fields.flag("extra.warm_keys")?,
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
