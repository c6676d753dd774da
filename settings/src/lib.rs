//! The `settings` object of a deployment, by its wire names, as the terms of the decisions and the figures of
//! the transport. The simulator hands it over as pairs, a real deployment as nested JSON; both are read here.

mod fields;

use std::collections::BTreeMap;
use std::ops::RangeInclusive;

pub use fields::{Fields, seconds};
use kestreltide::interface::*;

/// Zones and kinds by name.
pub enum Names {
    /// Numbered as they are met: small numbers for a party that tells few of them.
    Met(BTreeMap<String, u64>),
    /// By what the names themselves say, so that every thread comes to the same and nothing is kept.
    Named,
}

impl Names {
    pub fn zone(&mut self, name: &str) -> ZoneId {
        match self {
            Names::Met(met) => ZoneId(Self::number(met, name)),
            Names::Named => ZoneId::named(name),
        }
    }

    pub fn kind(&mut self, name: &str) -> KindId {
        match self {
            Names::Met(met) => KindId(Self::number(met, name)),
            Names::Named => KindId::named(name),
        }
    }

    fn number(met: &mut BTreeMap<String, u64>, name: &str) -> u64 {
        let next = met.len() as u64;
        *met.entry(name.into()).or_insert(next)
    }
}

impl Default for Names {
    fn default() -> Self {
        Names::Met(BTreeMap::new())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadField {
    Held,
    Queued,
    Busy,
    ServiceMillis,
    Other,
}

fn load_field(name: &str) -> LoadField {
    match name {
        "rif" | "inflight" => LoadField::Held,
        "q" | "queue" => LoadField::Queued,
        "busy" | "util" => LoadField::Busy,
        "lat_ms" | "latency_ms" => LoadField::ServiceMillis,
        _ => LoadField::Other,
    }
}

/// Where hosts tell their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reports {
    Off,
    OnProbe,
    /// In answers, and in answers to probes.
    Inline,
}

/// What an adapter itself needs of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct TransportSettings {
    pub operations: BTreeMap<String, OperationId>,
    load_fields: Vec<LoadField>,
    pub reports: Reports,
    /// A connection that is not up after this time counts as none.
    pub connect_time: f64,
    /// Hosts close a connection without use after this time at the latest.
    pub idle_time: f64,
    pub most_open: usize,
}

impl TransportSettings {
    fn put(report: &mut LoadReport, field: LoadField, value: f64) {
        match field {
            LoadField::Held => report.in_flight = Some(value),
            LoadField::Queued => report.queued = Some(value),
            LoadField::Busy => report.busy = Some(value),
            LoadField::ServiceMillis => report.service_time = Some(value / 1e3),
            LoadField::Other => {}
        }
    }

    /// A report whose values come in the order of the settings.
    pub fn load_in_order(&self, values: &[f64]) -> LoadReport {
        let mut report = LoadReport::default();
        let fields = self.load_fields.iter().zip(values);
        fields.for_each(|(field, value)| Self::put(&mut report, *field, *value));
        report
    }

    /// A report whose values carry the names of the settings; what cannot be read is left out.
    pub fn load_by_name(text: &str) -> LoadReport {
        let mut report = LoadReport::default();
        for (name, value) in text
            .split(',')
            .filter_map(|part| part.trim().split_once('='))
        {
            // Words such as "inf" are figures to the parser, though no load.
            if let Some(value) = value
                .parse()
                .ok()
                .filter(|value: &f64| value.is_finite() && *value >= 0.0)
            {
                Self::put(&mut report, load_field(name), value);
            }
        }
        report
    }
}

// What a value may be at all; beyond it somebody has mistaken a unit or a sign. Times in seconds.
const ANY_TIME: RangeInclusive<f64> = 0.0..=86_400.0;
const SOME_TIME: RangeInclusive<f64> = 1e-6..=86_400.0;
const SHARE: RangeInclusive<f64> = 0.0..=1.0;
const SOME_SHARE: RangeInclusive<f64> = 1e-9..=1.0;
const ANY: RangeInclusive<f64> = 0.0..=1e9;
const SOME: RangeInclusive<f64> = 1e-9..=1e9;
const ROUTERS: u32 = 1_000_000;
const MANY: usize = 1_000_000_000;
const OPERATIONS: usize = 4096;
const TENANTS: usize = 64 * 1024;

/// The names of a list of objects, none of them twice.
fn names(fields: &Fields, list: &str, count: usize) -> Result<Vec<String>, String> {
    let (mut names, mut places) = (Vec::new(), BTreeMap::new());
    for number in 0..count {
        let key = format!("{list}.{number}.name");
        let name = fields.text(&key)?;
        if let Some(first) = places.insert(name, number) {
            return Err(fields.wrong(&key, format_args!("stands at {list}.{first}.name already")));
        }
        names.push(name.into());
    }
    Ok(names)
}

fn operation_terms(fields: &Fields, number: usize) -> Result<OperationSettings, String> {
    let key = |field: &str| format!("request_classes.{number}.{field}");
    #[derive(Clone, Copy)]
    enum Effect {
        Repeatable,
        ByKey,
        Once,
    }
    let effects = [
        ("repeatable", Effect::Repeatable),
        ("by_key", Effect::ByKey),
        ("once", Effect::Once),
    ];
    let groups = [
        ("all", IdempotencyScope::All),
        ("zone", IdempotencyScope::Zone),
        ("cell", IdempotencyScope::Cell),
    ];
    let idempotency = match fields.one_of(&key("effect"), &effects)? {
        Effect::Repeatable => Idempotency::Idempotent,
        Effect::ByKey => Idempotency::IdempotencyKey {
            scope: fields.one_of(&key("group"), &groups)?,
            window: fields.time_in(&key("window"), SOME_TIME)?,
        },
        Effect::Once => Idempotency::NonIdempotent,
    };
    let stretch = key("aim_stretch");
    Ok(OperationSettings {
        latency_objective: fields.time_in(&key("slo"), SOME_TIME)?,
        latency_objective_stretch: if fields.maybe(&stretch).is_some() {
            fields.number_in(&stretch, ANY)?
        } else {
            0.0
        },
        time_limit: fields.time_in(&key("give_up"), SOME_TIME)?,
        idempotency,
        priority_weight: fields.number_in(&key("credit"), ANY)?,
        late_value_fraction: fields.number_in(&key("late_worth"), SHARE)?,
        streamed: fields.yes_or_no(&key("stream"))?,
    })
}

/// Tenants have no part in what a router does; a list of them that cannot be one is refused all the same.
fn check_tenants(fields: &Fields) -> Result<(), String> {
    let count = if fields.maybe("accounts.count").is_some() {
        fields.count("accounts.count", 0..=TENANTS)?
    } else {
        0
    };
    names(fields, "accounts", count)?;
    for number in 0..count {
        for (field, sense) in [("quota_per_s", ANY), ("fraction", SHARE)] {
            let key = format!("accounts.{number}.{field}");
            if fields.maybe(&key).is_some() {
                fields.number_in(&key, sense)?;
            }
        }
    }
    Ok(())
}

/// The settings object as the terms of the decisions and the figures of the transport. What is missing, no such
/// value or beyond all sense is refused by its path; keys that are not known are passed over.
pub fn decode(
    fields: &Fields,
    zones: &mut Names,
) -> Result<(ServiceSettings, TransportSettings), String> {
    let count: usize = fields.count("request_classes.count", 1..=OPERATIONS)?;
    let by_name = names(fields, "request_classes", count)?;
    let by_name = by_name.into_iter().zip((0..).map(OperationId)).collect();
    let operations = (0..count)
        .map(|number| operation_terms(fields, number))
        .collect::<Result<Vec<_>, _>>()?;
    check_tenants(fields)?;
    let sizes = [
        ("off", Sizes::Unspecified),
        ("nominal", Sizes::Registered),
        ("rough", Sizes::Rough),
        ("live", Sizes::Live),
    ];
    let gates = [
        ("any", Gate::Any),
        ("share", Gate::Share),
        ("timer", Gate::Clock),
    ];
    let reports = [
        ("inline", Reports::Inline),
        ("on_probe", Reports::OnProbe),
        ("off", Reports::Off),
    ];
    let load_fields = fields
        .maybe("telemetry.fields")
        .unwrap_or_default()
        .split(',');
    let load_fields = load_fields.filter(|name| !name.is_empty()).map(load_field);
    let transport = TransportSettings {
        operations: by_name,
        load_fields: load_fields.collect(),
        reports: fields.one_of("telemetry.via", &reports)?,
        connect_time: fields.time_in("permissions.connect_timeout", SOME_TIME)?,
        idle_time: fields.time_in("permissions.keepalive", SOME_TIME)?,
        most_open: fields.count("permissions.max_open", 1..=MANY)?,
    };
    let routers = fields.count("group_size", 1..=ROUTERS)?;
    let stage_shares = fields.numbers_in("extra.rings", SHARE)?;
    let stage_caps = fields.numbers_in("extra.most_shares", SHARE)?;
    if stage_caps.len() != stage_shares.len() {
        let why = format!(
            "has {} stages, extra.rings {}",
            stage_caps.len(),
            stage_shares.len()
        );
        return Err(fields.wrong("extra.most_shares", why));
    }
    let rate = fields.number_in("extra.api_rate", ANY)?;
    let terms = ServiceSettings {
        me: RouterId(fields.count("me", 0..=routers - 1)?),
        routers,
        zone: Some(zones.zone(fields.text("my_zone")?)),
        operations,
        weighted_by_work: fields.one_of("worth_by", &[("work", true), ("request", false)])?,
        polls_endpoint_list: fields.one_of("discovery", &[("ask", true), ("push", false)])?,
        endpoint_poll_interval: fields.time_in("guarantees.ask_every", SOME_TIME)?,
        sizes: fields.one_of("weight_kind", &sizes)?,
        gate: fields.one_of("extra.gate_mode", &gates)?,
        votes_on: fields.count("extra.votes_to_go", 0..=ROUTERS)?,
        votes_back: fields.count("extra.back_votes", 0..=ROUTERS)?,
        votes_hold: fields.count("extra.stoppers", 0..=ROUTERS)?,
        bake: fields.time_in("extra.bake", ANY_TIME)?,
        vote_lifetime: fields.time_in("extra.ballot_ttl", SOME_TIME)?,
        vote_wait: fields.time_in("extra.vote_wait", SOME_TIME)?,
        // 0: the platform takes any number.
        vote_rate: if rate > 0.0 { rate } else { f64::INFINITY },
        stage_shares,
        stage_caps,
        exposure_window: fields.time_in("extra.counted_over", SOME_TIME)?,
        exposure_spare: fields.number_in("extra.spare_tries", ANY)?,
        exposure_by_operation: fields.one_of("extra.counts", &[("class", true), ("all", false)])?,
        idempotent_only_stages: fields.whole("extra.guarded_stages")?,
        sticky_keys: fields.yes_or_no("extra.no_return")?,
        // The one key of these that may be absent, by the pages.
        key_affinity: fields.maybe("extra.warm_keys").is_some()
            && fields.yes_or_no("extra.warm_keys")?,
        in_place: fields.one_of(
            "extra.replace_mode",
            &[("in_place", true), ("beside", false)],
        )?,
        dispute_share: fields.number_in("extra.flag_share", SHARE)?,
        drain_grace: fields.time_in("guarantees.drain_grace", ANY_TIME)?,
        slow_start_initial_fraction: fields.number_in("guarantees.cold_share", SOME_SHARE)?,
        slow_start_duration: fields.time_in("guarantees.cold", ANY_TIME)?,
        overload_multiple: fields.number_in("guarantees.fall_multiple", SOME)?,
        overload_duration: fields.time_in("guarantees.fall", ANY_TIME)?,
        may_probe: fields.yes_or_no("permissions.may_probe")?,
        may_gossip: fields.yes_or_no("permissions.peers")?,
        may_cancel_attempts: fields.yes_or_no("permissions.cancel")?,
        may_hedge: fields.yes_or_no("permissions.second_copies")?,
        may_send_retry_after: fields.yes_or_no("permissions.retry_after")?,
        max_retry_after: fields.time_in("permissions.max_retry_after", ANY_TIME)?,
        max_attempts: fields.count("permissions.max_attempts", 1..=ROUTERS)?,
        tick: fields.time_in("tick", SOME_TIME)?,
    };
    Ok((terms, transport))
}
