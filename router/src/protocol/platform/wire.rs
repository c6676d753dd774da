//! The JSON structure of the platform's messages.
//!
//! serde's error texts, which routers print and log, contain the Rust names of these types. The types therefore keep
//! their names, and the parent module exports them under other names.

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

/// The JSON structure of a rollout's state.
#[derive(Deserialize)]
pub struct StateForm {
    image: u16,
    ring: u32,
    progress: Progress,
    ceiling: f64,
    lag_ms: f64,
}

impl StateForm {
    /// Converts the fields to a [`RolloutState`].
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

/// The age in seconds that a lag in milliseconds stands for; a negative lag counts as 0.
pub(super) fn age_seconds(lag_ms: f64) -> f64 {
    lag_ms.max(0.0) / 1e3
}
