//! The platform's messages by their names on the wire.
//!
//! serde's error texts hold the Rust names of these types, which routers print and log: they are kept as they have
//! been, and exported by the names that the rest of the program uses.

use std::borrow::Cow;

use kestreltide::interface::{BuildId, Phase};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::RolloutState;

#[derive(Deserialize)]
pub(super) struct Line<'a> {
    pub(super) id: Option<u64>,
    #[serde(borrow)]
    pub(super) method: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub(super) params: Option<&'a RawValue>,
    #[serde(borrow)]
    pub(super) result: Option<&'a RawValue>,
    #[serde(borrow)]
    pub(super) error: Option<CallError<'a>>,
}

#[derive(Deserialize)]
pub(super) struct CallError<'a> {
    #[serde(borrow)]
    pub(super) message: Cow<'a, str>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Progress {
    Testing,
    Recalling,
    Live,
    Recalled,
}

/// The state of a rollout by its names on the wire.
#[derive(Deserialize)]
pub struct StateForm {
    image: u16,
    ring: u32,
    progress: Progress,
    ceiling: f64,
    lag_ms: f64,
}

impl StateForm {
    /// The state in the terms of the decisions.
    pub fn state(&self) -> RolloutState {
        let phase = match self.progress {
            Progress::Testing => Phase::Canary,
            Progress::Recalling => Phase::RollingBack,
            Progress::Live => Phase::Released,
            Progress::Recalled => Phase::RolledBack,
        };
        RolloutState {
            build: BuildId(self.image),
            stage: self.ring,
            phase,
            cap: self.ceiling.clamp(0.0, 1.0),
            age: age_seconds(self.lag_ms),
        }
    }
}

#[derive(Deserialize)]
pub(super) struct ComplaintForm<'a> {
    #[serde(borrow)]
    pub(super) host: Cow<'a, str>,
    #[serde(borrow, rename = "type")]
    pub(super) operation: Cow<'a, str>,
    pub(super) lag_ms: f64,
}

pub(super) fn age_seconds(lag_ms: f64) -> f64 {
    lag_ms.max(0.0) / 1e3
}
