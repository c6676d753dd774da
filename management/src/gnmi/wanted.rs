//! One subscription of a stream: what it wants, how often, and what was sent for it last.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tonic::Status;

use super::errors::wrong;
use super::snapshot::{Leaves, Wish};
use crate::Limits;
use crate::proto::gnmi::SubscriptionMode;

/// One subscription of a stream.
pub(super) struct Wanted {
    pub(super) wish: Wish,
    pub(super) on_change: bool,
    /// Between samples, and between signs of life; none: never.
    pub(super) sample: Option<Duration>,
    pub(super) heartbeat: Option<Duration>,
    pub(super) suppress: bool,
    pub(super) due: Option<Instant>,
    pub(super) beat: Option<Instant>,
    /// What was sent last.
    pub(super) sent: Arc<Leaves>,
}

impl Wanted {
    pub(super) fn new(
        wish: Wish, of: &crate::proto::gnmi::Subscription, limits: &Limits,
    ) -> Result<Self, Status> {
        let mode = SubscriptionMode::try_from(of.mode).map_err(|_| {
            wrong("subscription/mode", "no such mode", &of.mode.to_string(), "ON_CHANGE or SAMPLE")
        })?;
        let on_change = mode != SubscriptionMode::Sample;
        let least = Duration::from_secs_f64(limits.sample);
        let interval = Duration::from_nanos(of.sample_interval);
        if !on_change && of.sample_interval > 0 && interval < least {
            let taken = format!("0, or at least {} ns", least.as_nanos());
            return Err(wrong(
                "subscription/sample_interval",
                "is too short",
                &of.sample_interval.to_string(),
                &taken,
            ));
        }
        let sample = (!on_change).then(|| interval.max(least));
        let heartbeat =
            (of.heartbeat_interval > 0).then(|| Duration::from_nanos(of.heartbeat_interval).max(least));
        let (now, sent) = (Instant::now(), Arc::default());
        let (due, beat) = (sample.map(|every| now + every), heartbeat.map(|every| now + every));
        Ok(Wanted { wish, on_change, sample, heartbeat, suppress: of.suppress_redundant, due, beat, sent })
    }
}
