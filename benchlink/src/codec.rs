//! The wire's messages as events, terms and effects, and back. The wire's own names stay here.

use std::collections::BTreeMap;
use std::fmt::Write;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use kestreltide::interface::*;

use crate::fields::{Line, micros, seconds};

/// Zones and kinds by name, numbered as they are met.
#[derive(Default)]
pub struct Names(BTreeMap<String, u32>);

impl Names {
    fn number(&mut self, name: &str) -> u32 {
        let next = self.0.len() as u32;
        *self.0.entry(name.into()).or_insert(next)
    }
}

#[derive(Clone, Copy)]
enum LoadField {
    Held,
    Queued,
    Busy,
    ServiceMillis,
    Other,
}

/// What the messages of one instance need to be understood.
pub struct Wire {
    operations: BTreeMap<String, OperationId>,
    load_fields: Vec<LoadField>,
}

pub fn decode_entry(line: &Line, names: &mut Names) -> Result<HostEntry, String> {
    let started: u64 = line.maybe_whole("since")?.unwrap_or(0);
    let state = match line.text("lifecycle")? {
        "Running" => HostState::Running,
        "Stopping" => HostState::Stopping,
        "Deleted" => HostState::Gone,
        other => return Err(format!("lifecycle {other} is not known")),
    };
    Ok(HostEntry {
        host: HostId(line.whole("host")?),
        build: BuildId(line.number("runs")? as u16),
        zone: ZoneId(names.number(line.text("locality")?)),
        cell: CellId(line.whole("block")?),
        kind: KindId(names.number(line.text("family_type")?)),
        size: line.number("heft")?,
        started: (started > 0).then(|| seconds(started)),
        state,
    })
}

fn operation_terms(line: &Line, number: usize) -> Result<(String, OperationTerms), String> {
    let key = |field: &str| format!("request_classes.{number}.{field}");
    let repeats = match line.text(&key("effect"))? {
        "repeatable" => Repeats::Idempotent,
        "by_key" => {
            let group = match line.text(&key("group"))? {
                "all" => RepeatGroup::All,
                "zone" => RepeatGroup::Zone,
                "cell" => RepeatGroup::Cell,
                other => return Err(format!("group {other} is not known")),
            };
            Repeats::Fingerprinted { group, window: line.time(&key("window"))? }
        }
        "once" => Repeats::SideEffecting,
        other => return Err(format!("effect {other} is not known")),
    };
    let stretch = key("aim_stretch");
    let terms = OperationTerms {
        slo_time: line.time(&key("slo"))?,
        slo_stretch: if line.maybe(&stretch).is_some() { line.number(&stretch)? } else { 0.0 },
        time_limit: line.time(&key("give_up"))?,
        repeats,
        billed_value: line.number(&key("credit"))?,
        late_share: line.number(&key("late_worth"))?,
        streamed: line.flag(&key("stream"))?,
    };
    Ok((line.text(&key("name"))?.into(), terms))
}

pub fn decode_terms(line: &Line, names: &mut Names) -> Result<(ServiceTerms, Wire), String> {
    let count: usize = line.whole("request_classes.count")?;
    let (mut operations, mut by_name) = (Vec::new(), BTreeMap::new());
    for number in 0..count {
        let (name, terms) = operation_terms(line, number)?;
        operations.push(terms);
        by_name.insert(name, OperationId(number));
    }
    let sizes = match line.text("weight_kind")? {
        "off" => Sizes::Untold,
        "nominal" => Sizes::Registered,
        "rough" => Sizes::Rough,
        "live" => Sizes::Live,
        other => return Err(format!("weight_kind {other} is not known")),
    };
    let gate = match line.text("extra.gate_mode")? {
        "any" => Gate::Any,
        "share" => Gate::Share,
        "timer" => Gate::Clock,
        other => return Err(format!("extra.gate_mode {other} is not known")),
    };
    let list_asked = match line.text("discovery")? {
        "ask" => true,
        "push" => false,
        other => return Err(format!("discovery {other} is not known")),
    };
    let load_fields = line.maybe("telemetry.fields").unwrap_or_default().split(',');
    let wire = Wire {
        operations: by_name,
        load_fields: load_fields
            .map(|field| match field {
                "rif" => LoadField::Held,
                "q" => LoadField::Queued,
                "busy" => LoadField::Busy,
                "lat_ms" => LoadField::ServiceMillis,
                _ => LoadField::Other,
            })
            .collect(),
    };
    let terms = ServiceTerms {
        me: RouterId(line.whole("me")?),
        routers: line.whole("group_size")?,
        zone: line.maybe("my_zone").map(|zone| ZoneId(names.number(zone))),
        operations,
        billed_by_work: line.text("worth_by")? == "work",
        list_asked,
        ask_every: line.time("guarantees.ask_every")?,
        sizes,
        gate,
        votes_on: line.whole("extra.votes_to_go")?,
        votes_back: line.whole("extra.back_votes")?,
        votes_hold: line.whole("extra.stoppers")?,
        bake: line.time("extra.bake")?,
        ballot_life: line.time("extra.ballot_ttl")?,
        vote_wait: line.time("extra.vote_wait")?,
        stage_shares: line.numbers("extra.rings")?,
        stage_caps: line.numbers("extra.most_shares")?,
        exposure_window: line.time("extra.counted_over")?,
        exposure_spare: line.number("extra.spare_tries")?,
        exposure_by_operation: line.text("extra.counts")? == "class",
        guarded_stages: line.whole("extra.guarded_stages")?,
        keys_bound: line.flag("extra.no_return")?,
        keys_warm: line.flag("extra.warm_keys")?,
        in_place: line.text("extra.replace_mode")? == "in_place",
        dispute_share: line.number("extra.flag_share")?,
        drain_grace: line.time("guarantees.drain_grace")?,
        cold_share: line.number("guarantees.cold_share")?,
        cold_time: line.time("guarantees.cold")?,
        fall_multiple: line.number("guarantees.fall_multiple")?,
        fall_time: line.time("guarantees.fall")?,
        may_probe: line.flag("permissions.may_probe")?,
        may_tell: line.flag("permissions.peers")?,
        may_recall: line.flag("permissions.cancel")?,
        may_copy: line.flag("permissions.second_copies")?,
        may_advise: line.flag("permissions.retry_after")?,
        longest_advice: line.time("permissions.max_retry_after")?,
        most_dispatches: line.whole("permissions.max_attempts")?,
        tick: line.time("tick")?,
    };
    Ok((terms, wire))
}

fn verdict(line: &Line) -> Result<Verdict, String> {
    Ok(match line.whole::<u32>("verdict")? {
        0 => Verdict::Succeeded,
        1 => Verdict::Error,
        2 => Verdict::Full,
        3 => Verdict::TimedOut,
        4 => Verdict::NoConnection,
        5 => Verdict::Reset,
        6 => Verdict::Recalled,
        7 => Verdict::Moot,
        other => return Err(format!("verdict {other} in {} is not known", line.name)),
    })
}

fn load(line: &Line, fields: &[LoadField]) -> Result<LoadReport, String> {
    let mut report = LoadReport::default();
    for (field, value) in fields.iter().zip(line.numbers("telemetry")?) {
        match field {
            LoadField::Held => report.held = Some(value),
            LoadField::Queued => report.queued = Some(value),
            LoadField::Busy => report.busy = Some(value),
            LoadField::ServiceMillis => report.service_time = Some(value / 1e3),
            LoadField::Other => {}
        }
    }
    Ok(report)
}

fn payload(line: &Line) -> Result<Vec<u8>, String> {
    match line.text("payload")? {
        "-" => Ok(Vec::new()),
        text => BASE64.decode(text).map_err(|_| "payload in PEER is not base64".into()),
    }
}

pub fn decode_event(line: &Line, wire: &Wire) -> Result<Event, String> {
    let inv = || line.text("req").map(|id| InvId(id.into()));
    let host = || line.whole("host").map(HostId);
    let dispatch = || line.whole("leg").map(DispatchNo);
    let operation = || {
        let kind = line.text("kind")?;
        wire.operations.get(kind).copied().ok_or_else(|| format!("kind {kind} is not known"))
    };
    Ok(match line.name {
        "JOB_IN" => Event::Arrived(Invocation {
            id: inv()?,
            operation: operation()?,
            key: line.maybe("affinity").map(|key| KeyId(key.into())),
            time_left: line.time("time_budget")?,
            work: line.maybe_whole("cost")?.map(seconds),
            again: line.flag("retry")?,
        }),
        "UNDER_WAY" => Event::Streaming { inv: inv()?, dispatch: dispatch()?, host: host()? },
        "ENDED" => Event::Ended {
            inv: inv()?,
            dispatch: dispatch()?,
            host: host()?,
            verdict: verdict(line)?,
            over: line.flag("done_flag")?,
            took: line.time("cost_time")?,
            load: load(line, &wire.load_fields)?,
        },
        "HANGUP" => Event::ClientLeft { inv: inv()? },
        "DUE" => Event::Alarm { key: AlarmKey(line.whole("key_back")?) },
        "PING_RESULT" => Event::Probed {
            host: host()?,
            verdict: verdict(line)?,
            took: line.time("cost_time")?,
            load: load(line, &wire.load_fields)?,
        },
        "PEER" => Event::Told { from: RouterId(line.whole("src_peer")?), payload: payload(line)? },
        "PHASE_TOLD" => Event::Stage(StageNews {
            verdict: verdict(line)?,
            build: BuildId(line.maybe_whole("rel")?.unwrap_or(0)),
            stage: line.maybe_whole("wave")?.unwrap_or(0),
            phase: match line.maybe_whole::<u32>("course")?.unwrap_or(0) {
                0 => Phase::OnTrial,
                1 => Phase::GoingBack,
                2 => Phase::Released,
                3 => Phase::Withdrawn,
                other => return Err(format!("course {other} is not known")),
            },
            cap: if line.maybe("cap").is_some() { line.number("cap")? } else { 0.0 },
            age: line.maybe_whole("behind")?.map_or(0.0, seconds),
            answers_vote: line.flag("sense")?,
        }),
        "PERIOD_SUMS" => Event::Tally {
            build: BuildId(line.whole("rel")?),
            operation: operation()?,
            dispatches: line.number("samples")?,
            failed: line.number("bad")?,
            mean_time: line.maybe_whole("cost_time")?.map_or(0.0, seconds),
            age: line.time("behind")?,
        },
        "DISPUTED" => Event::Disputed { host: host()?, operation: operation()?, age: line.time("behind")? },
        other => return Err(format!("message {other} is not known")),
    })
}

/// Adds one line to the reply.
pub fn encode(effect: &Effect, who: &str, out: &mut String) {
    let written = match effect {
        Effect::Dispatch { inv, host, time_out } => {
            let patience = micros(*time_out).max(1);
            writeln!(out, "FORWARD who={who} req={} patience={patience} host={}", inv.0, host.0)
        }
        Effect::Recall { inv, dispatch } => {
            writeln!(out, "RECALL who={who} req={} leg={}", inv.0, dispatch.0)
        }
        Effect::Throttle { inv, stay_away: None } => writeln!(out, "DECLINE who={who} req={}", inv.0),
        Effect::Throttle { inv, stay_away: Some(time) } => {
            writeln!(out, "DECLINE who={who} req={} stay_away={}", inv.0, micros(*time))
        }
        Effect::Terminate { inv } => writeln!(out, "DROP_REQUEST who={who} req={}", inv.0),
        Effect::SetAlarm { at, key } => {
            writeln!(out, "DEFER who={who} instant={} key_back={}", micros(*at), key.0)
        }
        Effect::Probe { host } => writeln!(out, "POLL who={who} host={}", host.0),
        Effect::CloseIdle { host } => writeln!(out, "LET_GO who={who} host={}", host.0),
        Effect::Tell { to, payload } => {
            let whom = to.map_or(-1, |router| i64::from(router.0));
            let bytes = if payload.is_empty() { "-".into() } else { BASE64.encode(payload) };
            writeln!(out, "BROADCAST_TO who={who} whom={whom} payload={bytes}")
        }
        Effect::Vote { build, stage, sense } => {
            let sense = match sense {
                Sense::None => 0,
                Sense::On => 1,
                Sense::Hold => 2,
                Sense::Back => 3,
            };
            writeln!(out, "SAY_SO who={who} rel={} wave={stage} sense={sense}", build.0)
        }
        Effect::Follow { on } => writeln!(out, "TAIL who={who} enable={}", u8::from(*on)),
        Effect::FetchList => writeln!(out, "LOOKUP who={who}"),
        Effect::Note { text } => {
            writeln!(out, "JOURNAL_LINE who={who} reason_text={}", text.replace(['\n', '\r'], " "))
        }
    };
    debug_assert!(written.is_ok());
}
