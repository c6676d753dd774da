//! The `settings` object of a deployment, by its wire names, as the terms of the decisions and the figures of
//! the transport. The simulator hands it over as pairs, a real deployment as nested JSON; both are read here.

mod fields;

use std::collections::BTreeMap;

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
pub struct TransportTerms {
    pub operations: BTreeMap<String, OperationId>,
    load_fields: Vec<LoadField>,
    pub reports: Reports,
    /// A connection that is not up after this time counts as none.
    pub connect_time: f64,
    /// Hosts close a connection without use after this time at the latest.
    pub idle_time: f64,
    pub most_open: usize,
}

impl TransportTerms {
    fn put(report: &mut LoadReport, field: LoadField, value: f64) {
        match field {
            LoadField::Held => report.held = Some(value),
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
        for (name, value) in text.split(',').filter_map(|part| part.trim().split_once('=')) {
            // Words such as "inf" are figures to the parser, though no load.
            if let Some(value) = value.parse().ok().filter(|value: &f64| value.is_finite() && *value >= 0.0) {
                Self::put(&mut report, load_field(name), value);
            }
        }
        report
    }
}

fn operation_terms(fields: &Fields, number: usize) -> Result<(String, OperationTerms), String> {
    let key = |field: &str| format!("request_classes.{number}.{field}");
    let repeats = match fields.text(&key("effect"))? {
        "repeatable" => Repeats::Idempotent,
        "by_key" => {
            let group = match fields.text(&key("group"))? {
                "all" => RepeatGroup::All,
                "zone" => RepeatGroup::Zone,
                "cell" => RepeatGroup::Cell,
                other => return Err(format!("group {other} is not known")),
            };
            Repeats::Fingerprinted { group, window: fields.time(&key("window"))? }
        }
        "once" => Repeats::SideEffecting,
        other => return Err(format!("effect {other} is not known")),
    };
    let stretch = key("aim_stretch");
    let terms = OperationTerms {
        slo_time: fields.time(&key("slo"))?,
        slo_stretch: if fields.maybe(&stretch).is_some() { fields.number(&stretch)? } else { 0.0 },
        time_limit: fields.time(&key("give_up"))?,
        repeats,
        billed_value: fields.number(&key("credit"))?,
        late_share: fields.number(&key("late_worth"))?,
        streamed: fields.flag(&key("stream"))?,
    };
    Ok((fields.text(&key("name"))?.into(), terms))
}

/// Where it is not told, or none, the platform takes any number.
fn vote_rate(fields: &Fields) -> Result<f64, String> {
    let told = fields.maybe("extra.api_rate").map(|_| fields.number("extra.api_rate")).transpose()?;
    match told {
        Some(rate) if rate < 0.0 => Err(format!("extra.api_rate={rate} in {} is below 0", fields.name)),
        told => Ok(told.filter(|rate| *rate > 0.0).unwrap_or(f64::INFINITY)),
    }
}

/// The settings object as the terms of the decisions and the figures of the transport.
pub fn decode(fields: &Fields, names: &mut Names) -> Result<(ServiceTerms, TransportTerms), String> {
    let count: usize = fields.whole("request_classes.count")?;
    let (mut operations, mut by_name) = (Vec::new(), BTreeMap::new());
    for number in 0..count {
        let (name, terms) = operation_terms(fields, number)?;
        operations.push(terms);
        by_name.insert(name, OperationId(number));
    }
    let sizes = match fields.text("weight_kind")? {
        "off" => Sizes::Untold,
        "nominal" => Sizes::Registered,
        "rough" => Sizes::Rough,
        "live" => Sizes::Live,
        other => return Err(format!("weight_kind {other} is not known")),
    };
    let gate = match fields.text("extra.gate_mode")? {
        "any" => Gate::Any,
        "share" => Gate::Share,
        "timer" => Gate::Clock,
        other => return Err(format!("extra.gate_mode {other} is not known")),
    };
    let list_asked = match fields.text("discovery")? {
        "ask" => true,
        "push" => false,
        other => return Err(format!("discovery {other} is not known")),
    };
    let load_fields = fields.maybe("telemetry.fields").unwrap_or_default().split(',');
    let load_fields = load_fields.filter(|name| !name.is_empty()).map(load_field);
    let reports = match fields.maybe("telemetry.via").unwrap_or("off") {
        "inline" => Reports::Inline,
        "on_probe" => Reports::OnProbe,
        "off" => Reports::Off,
        other => return Err(format!("telemetry.via {other} is not known")),
    };
    let transport = TransportTerms {
        operations: by_name,
        load_fields: load_fields.collect(),
        reports,
        connect_time: fields.time("permissions.connect_timeout")?,
        idle_time: fields.time("permissions.keepalive")?,
        most_open: fields.whole("permissions.max_open")?,
    };
    let terms = ServiceTerms {
        me: RouterId(fields.whole("me")?),
        routers: fields.whole("group_size")?,
        zone: fields.maybe("my_zone").map(|zone| names.zone(zone)),
        operations,
        billed_by_work: fields.text("worth_by")? == "work",
        list_asked,
        ask_every: fields.time("guarantees.ask_every")?,
        sizes,
        gate,
        votes_on: fields.whole("extra.votes_to_go")?,
        votes_back: fields.whole("extra.back_votes")?,
        votes_hold: fields.whole("extra.stoppers")?,
        bake: fields.time("extra.bake")?,
        ballot_life: fields.time("extra.ballot_ttl")?,
        vote_wait: fields.time("extra.vote_wait")?,
        vote_rate: vote_rate(fields)?,
        stage_shares: fields.numbers("extra.rings")?,
        stage_caps: fields.numbers("extra.most_shares")?,
        exposure_window: fields.time("extra.counted_over")?,
        exposure_spare: fields.number("extra.spare_tries")?,
        exposure_by_operation: fields.text("extra.counts")? == "class",
        guarded_stages: fields.whole("extra.guarded_stages")?,
        keys_bound: fields.flag("extra.no_return")?,
        keys_warm: fields.flag("extra.warm_keys")?,
        in_place: fields.text("extra.replace_mode")? == "in_place",
        dispute_share: fields.number("extra.flag_share")?,
        drain_grace: fields.time("guarantees.drain_grace")?,
        cold_share: fields.number("guarantees.cold_share")?,
        cold_time: fields.time("guarantees.cold")?,
        fall_multiple: fields.number("guarantees.fall_multiple")?,
        fall_time: fields.time("guarantees.fall")?,
        may_probe: fields.flag("permissions.may_probe")?,
        may_tell: fields.flag("permissions.peers")?,
        may_recall: fields.flag("permissions.cancel")?,
        may_copy: fields.flag("permissions.second_copies")?,
        may_advise: fields.flag("permissions.retry_after")?,
        longest_advice: fields.time("permissions.max_retry_after")?,
        most_dispatches: fields.whole("permissions.max_attempts")?,
        tick: fields.time("tick")?,
    };
    Ok((terms, transport))
}
