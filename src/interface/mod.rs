//! Plain types between the decisions and whatever carries them: identifiers, the events that go in, the effects
//! that come out, and the settings read at start.
//!
//! All times are seconds as `f64`, durations and points in time alike; a point in time is counted from an origin
//! that the carrier chooses once. Nothing here decides, and nothing here knows a wire protocol.

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
