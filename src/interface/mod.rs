//! The types between the decisions and the adapter that runs them: identifiers, the events that the decisions receive,
//! the effects that they return, and the settings that they start with.
//!
//! All times are `f64` in seconds, both durations and points in time. Points in time are counted from an origin that
//! the adapter chooses once. This module contains no decisions and depends on no wire protocol.

mod effects;
mod endpoints;
mod events;
mod ids;
mod operators;
mod rollout;
mod settings;

pub use effects::{ConnectionRequirements, Effect};
pub use endpoints::{HostEntry, HostPool, HostState, ListScope, LoadReport};
pub use events::{AttemptOutcome, Event, Request};
pub use ids::{
    AttemptNumber, BuildId, CellId, HostId, KeyId, MachineKindId, OperationId, RequestId, Revision,
    RouterId, TimerKey, ZoneId,
};
pub use operators::{OperatorOverrides, RolloutOverride};
pub use rollout::{Phase, RolloutStatus, SignalComparison, SignalEvidence, Vote, VoteEvidence};
pub use settings::{
    Idempotency, IdempotencyScope, OperationSettings, PromotionGate, ServiceSettings, SizeSource,
};
