//! The wire's messages as events, terms and effects, and back. The wire's own names stay here.

use std::fmt::Write;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use kestreltide::interface::*;
use kestreltide_terms::{Fields, Names, TransportTerms, seconds};

use crate::fields::micros;

pub fn decode_entry(line: &Fields, names: &mut Names) -> Result<HostEntry, String> {
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
        zone: names.zone(line.text("locality")?),
        cell: CellId(line.whole("block")?),
        kind: names.kind(line.text("family_type")?),
        size: line.number("heft")?,
        started: (started > 0).then(|| seconds(started)),
        state,
    })
}

fn verdict(line: &Fields) -> Result<Verdict, String> {
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

fn payload(line: &Fields) -> Result<Vec<u8>, String> {
    match line.text("payload")? {
        "-" => Ok(Vec::new()),
        text => BASE64.decode(text).map_err(|_| "payload in PEER is not base64".into()),
    }
}

pub fn decode_event(line: &Fields, wire: &TransportTerms) -> Result<Event, String> {
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
            pool: None,
        }),
        "UNDER_WAY" => Event::Streaming { inv: inv()?, dispatch: dispatch()?, host: host()? },
        "ENDED" => Event::Ended {
            inv: inv()?,
            dispatch: dispatch()?,
            host: host()?,
            verdict: verdict(line)?,
            over: line.flag("done_flag")?,
            took: line.time("cost_time")?,
            load: wire.load_in_order(&line.numbers("telemetry")?),
            unused: None,
        },
        "HANGUP" => Event::ClientLeft { inv: inv()? },
        "DUE" => Event::Alarm { key: AlarmKey(line.whole("key_back")?) },
        "PING_RESULT" => Event::Probed {
            host: host()?,
            verdict: verdict(line)?,
            took: line.time("cost_time")?,
            load: wire.load_in_order(&line.numbers("telemetry")?),
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
        Effect::Dispatch { inv, host, time_out, .. } => {
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

#[cfg(test)]
mod tests;
