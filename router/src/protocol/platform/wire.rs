//! The JSON structure of the platform's messages.
//!
//! serde's error texts, which routers print and log, contain the Rust names of these types. The types therefore keep
//! their names, and the parent module exports them under other names.

use std::borrow::Cow;

use kestreltide::interface::{BuildId, Phase};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::RolloutState;

/// A line from the platform: the response to a call (`id` with `result` or `error`), or a notification (`method` with
/// `params`).
#[derive(Deserialize)]
pub(super) struct Line<'a> {
    /// The id of the call that the line responds to.
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

/// The error of a failed call.
#[derive(Deserialize)]
pub(super) struct CallError<'a> {
    #[serde(borrow)]
    pub(super) message: Cow<'a, str>,
}

/// The phase of a rollout as the platform names it.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Progress {
    /// The build is the canary.
    Testing,
    /// The build is being rolled back.
    Recalling,
    /// The build is released.
    Live,
    /// The build is rolled back.
    Recalled,
}

/// The JSON structure of a rollout's state.
#[derive(Deserialize)]
pub struct StateForm {
    /// The newest build.
    image: u16,
    /// The number of its stage.
    ring: u32,
    progress: Progress,
    /// The largest fraction of the requests that the newest build may get.
    ceiling: f64,
    /// The age of this state, in milliseconds.
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

/// The JSON structure of a client's complaint about a host.
#[derive(Deserialize)]
pub(super) struct ComplaintForm<'a> {
    #[serde(borrow)]
    pub(super) host: Cow<'a, str>,
    #[serde(borrow, rename = "type")]
    pub(super) operation: Cow<'a, str>,
    /// The age of the complaint, in milliseconds.
    pub(super) lag_ms: f64,
}

/// The age in seconds that a lag in milliseconds stands for; a negative lag counts as 0.
pub(super) fn age_seconds(lag_ms: f64) -> f64 {
    lag_ms.max(0.0) / 1e3
}
