//! The wire's messages as events, terms and effects, and back. The wire's own names stay here.

use std::fmt::Write;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use kestreltide::interface::*;
use kestreltide_settings::{Fields, NameTable, TransportSettings, seconds};

use crate::fields::micros;

pub fn decode_entry(line: &Fields, names: &mut NameTable) -> Result<HostEntry, String> {
    let started: u64 = line.optional_integer("since")?.unwrap_or(0);
    let state = match line.text("lifecycle")? {
        "Running" => HostState::Running,
        "Stopping" => HostState::Stopping,
        "Deleted" => HostState::Gone,
        other => return Err(format!("lifecycle {other} is not known")),
    };
    Ok(HostEntry {
        host: HostId(line.integer("host")?),
        build: BuildId(line.number("runs")? as u16),
        zone: names.zone(line.text("locality")?),
        cell: CellId(line.integer("block")?),
        kind: names.kind(line.text("family_type")?),
        size: line.number("heft")?,
        started: (started > 0).then(|| seconds(started)),
        state,
    })
}

fn outcome(line: &Fields) -> Result<AttemptOutcome, String> {
    Ok(match line.integer::<u32>("verdict")? {
        0 => AttemptOutcome::Succeeded,
        1 => AttemptOutcome::Error,
        2 => AttemptOutcome::Rejected,
        3 => AttemptOutcome::TimedOut,
        4 => AttemptOutcome::NoConnection,
        5 => AttemptOutcome::Reset,
        6 => AttemptOutcome::Cancelled,
        7 => AttemptOutcome::Irrelevant,
        other => return Err(format!("verdict {other} in {} is not known", line.name)),
    })
}

fn payload(line: &Fields) -> Result<Vec<u8>, String> {
    match line.text("payload")? {
        "-" => Ok(Vec::new()),
        text => BASE64
            .decode(text)
            .map_err(|_| "payload in PEER is not base64".into()),
    }
}

pub fn decode_event(line: &Fields, wire: &TransportSettings) -> Result<Event, String> {
    let request = || line.text("req").map(|id| RequestId(id.into()));
    let host = || line.integer("host").map(HostId);
    let attempt = || line.integer("leg").map(AttemptNumber);
    let operation = || {
        let kind = line.text("kind")?;
        wire.operations
            .get(kind)
            .copied()
            .ok_or_else(|| format!("kind {kind} is not known"))
    };
    Ok(match line.name {
        "JOB_IN" => Event::RequestReceived(Request {
            id: request()?,
            operation: operation()?,
            key: line.get("affinity").map(|key| KeyId(key.into())),
            time_left: line.time("time_budget")?,
            work: line.optional_integer("cost")?.map(seconds),
            again: line.flag("retry")?,
            pool: None,
        }),
        "UNDER_WAY" => Event::ResponseStarted {
            request: request()?,
            attempt: attempt()?,
            host: host()?,
        },
        "ENDED" => Event::AttemptFinished {
            request: request()?,
            attempt: attempt()?,
            host: host()?,
            outcome: outcome(line)?,
            over: line.flag("done_flag")?,
            took: line.time("cost_time")?,
            load: wire.load_in_order(&line.numbers("telemetry")?),
            unused: None,
        },
        "HANGUP" => Event::ClientDisconnected {
            request: request()?,
        },
        "DUE" => Event::TimerExpired {
            key: TimerKey(line.integer("key_back")?),
        },
        "PING_RESULT" => Event::HealthCheckFinished {
            host: host()?,
            outcome: outcome(line)?,
            took: line.time("cost_time")?,
            load: wire.load_in_order(&line.numbers("telemetry")?),
        },
        "PEER" => Event::GossipReceived {
            from: RouterId(line.integer("src_peer")?),
            payload: payload(line)?,
        },
        "PHASE_TOLD" => Event::RolloutStatusReceived(RolloutStatus {
            outcome: outcome(line)?,
            build: BuildId(line.optional_integer("rel")?.unwrap_or(0)),
            stage: line.optional_integer("wave")?.unwrap_or(0),
            phase: match line.optional_integer::<u32>("course")?.unwrap_or(0) {
                0 => Phase::Canary,
                1 => Phase::RollingBack,
                2 => Phase::Released,
                3 => Phase::RolledBack,
                other => return Err(format!("course {other} is not known")),
            },
            cap: if line.get("cap").is_some() {
                line.number("cap")?
            } else {
                0.0
            },
            age: line.optional_integer("behind")?.map_or(0.0, seconds),
            answers_vote: line.flag("sense")?,
        }),
        "PERIOD_SUMS" => Event::BuildMetrics {
            build: BuildId(line.integer("rel")?),
            operation: operation()?,
            attempts: line.number("samples")?,
            failed: line.number("bad")?,
            mean_time: line.optional_integer("cost_time")?.map_or(0.0, seconds),
            age: line.time("behind")?,
        },
        "DISPUTED" => Event::AnswerDisputed {
            host: host()?,
            operation: operation()?,
            age: line.time("behind")?,
        },
        other => return Err(format!("message {other} is not known")),
    })
}

/// Adds one line to the reply.
pub fn encode(effect: &Effect, who: &str, out: &mut String) {
    let written = match effect {
        Effect::StartAttempt {
            request,
            host,
            time_out,
            ..
        } => {
            let patience = micros(*time_out).max(1);
            writeln!(
                out,
                "FORWARD who={who} req={} patience={patience} host={}",
                request.0, host.0
            )
        }
        Effect::CancelAttempt { request, attempt } => {
            writeln!(out, "RECALL who={who} req={} leg={}", request.0, attempt.0)
        }
        Effect::ShedRequest {
            request,
            retry_after: None,
        } => writeln!(out, "DECLINE who={who} req={}", request.0),
        Effect::ShedRequest {
            request,
            retry_after: Some(time),
        } => {
            writeln!(
                out,
                "DECLINE who={who} req={} stay_away={}",
                request.0,
                micros(*time)
            )
        }
        Effect::FailRequest { request } => {
            writeln!(out, "DROP_REQUEST who={who} req={}", request.0)
        }
        Effect::ScheduleTimer { at, key } => {
            writeln!(
                out,
                "DEFER who={who} instant={} key_back={}",
                micros(*at),
                key.0
            )
        }
        Effect::StartHealthCheck { host } => writeln!(out, "POLL who={who} host={}", host.0),
        Effect::CloseIdleConnections { host } => writeln!(out, "LET_GO who={who} host={}", host.0),
        Effect::SendGossip { to, payload } => {
            let whom = to.map_or(-1, |router| i64::from(router.0));
            let bytes = if payload.is_empty() {
                "-".into()
            } else {
                BASE64.encode(payload)
            };
            writeln!(out, "BROADCAST_TO who={who} whom={whom} payload={bytes}")
        }
        Effect::CastVote { build, stage, vote } => {
            let vote = match vote {
                Vote::Abstain => 0,
                Vote::Promote => 1,
                Vote::Hold => 2,
                Vote::RollBack => 3,
            };
            writeln!(
                out,
                "SAY_SO who={who} rel={} wave={stage} sense={vote}",
                build.0
            )
        }
        Effect::SubscribeEndpointList { on } => {
            writeln!(out, "TAIL who={who} enable={}", u8::from(*on))
        }
        Effect::FetchEndpointList => writeln!(out, "LOOKUP who={who}"),
        Effect::WriteLog { text } => {
            writeln!(
                out,
                "JOURNAL_LINE who={who} reason_text={}",
                text.replace(['\n', '\r'], " ")
            )
        }
    };
    debug_assert!(written.is_ok());
}

#[cfg(test)]
mod tests;
