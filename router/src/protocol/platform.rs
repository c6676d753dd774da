//! JSON-RPC 2.0, one object a line, as the platform speaks it.

use std::borrow::Cow;

use kestreltide::interface::{AttemptOutcome, BuildId, Phase, RolloutStatus, Vote};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::{Malformed, Read};

/// What a line says.
#[derive(Debug, PartialEq)]
pub enum Told<'a> {
    State(State),
    Complaint {
        host: Cow<'a, str>,
        operation: Cow<'a, str>,
        age: f64,
    },
    SignOfLife,
    Result {
        call: u64,
        state: Option<State>,
    },
    Error {
        call: u64,
        outcome: AttemptOutcome,
    },
    Unknown,
}

/// Where the newest build stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    pub build: BuildId,
    pub stage: u32,
    pub phase: Phase,
    pub cap: f64,
    pub age: f64,
}

impl State {
    pub fn news(&self, answers_vote: bool) -> RolloutStatus {
        let State {
            build,
            stage,
            phase,
            cap,
            age,
        } = *self;
        RolloutStatus {
            outcome: AttemptOutcome::Succeeded,
            build,
            stage,
            phase,
            cap,
            age,
            answers_vote,
        }
    }
}

#[derive(Deserialize)]
struct Line<'a> {
    id: Option<u64>,
    #[serde(borrow)]
    method: Option<Cow<'a, str>>,
    #[serde(borrow)]
    params: Option<&'a RawValue>,
    #[serde(borrow)]
    result: Option<&'a RawValue>,
    #[serde(borrow)]
    error: Option<CallError<'a>>,
}

#[derive(Deserialize)]
struct CallError<'a> {
    #[serde(borrow)]
    message: Cow<'a, str>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Progress {
    Testing,
    Recalling,
    Live,
    Recalled,
}

#[derive(Deserialize)]
pub struct StateForm {
    image: u16,
    ring: u32,
    progress: Progress,
    ceiling: f64,
    lag_ms: f64,
}

impl StateForm {
    pub fn state(&self) -> State {
        let phase = match self.progress {
            Progress::Testing => Phase::Canary,
            Progress::Recalling => Phase::RollingBack,
            Progress::Live => Phase::Released,
            Progress::Recalled => Phase::RolledBack,
        };
        let (build, stage, cap) = (BuildId(self.image), self.ring, self.ceiling.clamp(0.0, 1.0));
        State {
            build,
            stage,
            phase,
            cap,
            age: self.lag_ms.max(0.0) / 1e3,
        }
    }
}

#[derive(Deserialize)]
struct ComplaintForm<'a> {
    #[serde(borrow)]
    host: Cow<'a, str>,
    #[serde(borrow, rename = "type")]
    operation: Cow<'a, str>,
    lag_ms: f64,
}

fn parse<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, Malformed> {
    serde_json::from_str(text).map_err(|e| Malformed::new(e.to_string()))
}

/// One line, if its end has come.
pub fn read(bytes: &[u8], most: usize) -> Read<Told<'_>> {
    let Some(end) = bytes.iter().take(most).position(|byte| *byte == b'\n') else {
        let long = bytes.len() >= most;
        let why = || Malformed::new(format!("a line is too long ({most} bytes at most)"));
        return if long { Err(why()) } else { Ok(None) };
    };
    let text =
        std::str::from_utf8(&bytes[..end]).map_err(|_| Malformed::new("a line is not UTF-8"))?;
    Ok(Some((told(text.trim_end())?, end + 1)))
}

fn told(text: &str) -> Result<Told<'_>, Malformed> {
    let line: Line = parse(text)?;
    if let (Some(call), Some(error)) = (line.id, &line.error) {
        let outcome = match error.message.as_ref() {
            "too_many_calls" => AttemptOutcome::Rejected,
            "out_of_date" => AttemptOutcome::Irrelevant,
            _ => AttemptOutcome::Error,
        };
        return Ok(Told::Error { call, outcome });
    }
    if let (Some(call), Some(result)) = (line.id, line.result) {
        let state = result
            .get()
            .starts_with('{')
            .then(|| parse::<StateForm>(result.get()))
            .transpose()?;
        return Ok(Told::Result {
            call,
            state: state.map(|form| form.state()),
        });
    }
    let params = || {
        line.params
            .map(RawValue::get)
            .ok_or_else(|| Malformed::new("params is missing"))
    };
    Ok(match line.method.as_deref() {
        Some("progress") => Told::State(parse::<StateForm>(params()?)?.state()),
        Some("complaint") => {
            let form: ComplaintForm = parse(params()?)?;
            Told::Complaint {
                host: form.host,
                operation: form.operation,
                age: form.lag_ms.max(0.0) / 1e3,
            }
        }
        Some("ping") => Told::SignOfLife,
        Some(_) => Told::Unknown,
        None => return Err(Malformed::new("neither an answer nor a notification")),
    })
}

pub fn write_follow(out: &mut Vec<u8>, call: u64) {
    out.extend_from_slice(
        format!("{{\"jsonrpc\":\"2.0\",\"id\":{call},\"method\":\"follow\"}}\n").as_bytes(),
    );
}

pub fn write_vote(out: &mut Vec<u8>, call: u64, build: BuildId, stage: u32, vote: Vote) {
    let opinion = match vote {
        Vote::Abstain => "none",
        Vote::Promote => "on",
        Vote::Hold => "hold",
        Vote::RollBack => "back",
    };
    let params = format!(
        "{{\"image\":{},\"ring\":{stage},\"opinion\":\"{opinion}\"}}",
        build.0
    );
    let line = format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{call},\"method\":\"castBallot\",\"params\":{params}}}\n"
    );
    out.extend_from_slice(line.as_bytes());
}
