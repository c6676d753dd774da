//! The settings that all routers and the platform are started with: those of the example configuration, with the
//! votes of half of all routers and a platform that takes a fifth of them a second.

use kestreltide::interface::{Idempotency, OperationSettings, ServiceSettings, ZoneId};
use kestreltide_testkit::decisions::{idempotency_key, operation_settings, service_settings};

use super::platform::PlatformTerms;

/// Share of all machines, stage by stage, and of all invocations at most.
const SHARES: [f64; 3] = [0.1, 0.5, 1.0];
const CAPS: [f64; 3] = [0.15, 0.7, 1.0];
/// Seconds that a vote counts, and that a stage lasts at least.
const BALLOT_LIFE: f64 = 10.0;
const BAKE: f64 = 3.0;
/// Of all routers, so many votes a second does the platform take.
const VOTE_RATE: f64 = 0.2;
pub const SLO_TIME: f64 = 0.5;
pub const EXPOSURE_WINDOW: f64 = 2.0;
pub const EXPOSURE_SPARE: f64 = 3.0;
pub const COLD_SHARE: f64 = 0.5;
pub const COLD_TIME: f64 = 2.0;
pub const FALL_MULTIPLE: f64 = 3.0;
pub const FALL_TIME: f64 = 2.0;
pub const DRAIN_GRACE: f64 = 0.5;

/// The cap of a build that a router was not told of.
pub fn first_cap() -> f64 {
    CAPS[0]
}

/// Votes that move a build: of half of all routers.
pub fn half(routers: usize) -> usize {
    routers.div_ceil(2)
}

pub fn platform_terms(routers: usize) -> PlatformTerms {
    PlatformTerms {
        needed: half(routers),
        rate: VOTE_RATE * routers as f64,
        vote_lifetime: BALLOT_LIFE,
        bake: BAKE,
        shares: SHARES.to_vec(),
        caps: CAPS.to_vec(),
    }
}

/// The settings of one of so many routers, which is in this zone.
pub fn service_terms(routers: usize, zone: usize) -> ServiceSettings {
    let votes = half(routers) as u32;
    ServiceSettings {
        routers: routers as u32,
        zone: Some(ZoneId(zone as u64)),
        operations: vec![
            OperationSettings {
                late_value_fraction: 0.2,
                ..operation_settings(Idempotency::Idempotent, SLO_TIME)
            },
            OperationSettings {
                time_limit: 1.0,
                ..operation_settings(idempotency_key(2.0), SLO_TIME)
            },
        ],
        polls_endpoint_list: true,
        promote_votes: votes,
        roll_back_votes: votes,
        bake_time: BAKE,
        vote_lifetime: BALLOT_LIFE,
        vote_rate: VOTE_RATE * routers as f64,
        stage_shares: SHARES.to_vec(),
        stage_caps: CAPS.to_vec(),
        exposure_window: EXPOSURE_WINDOW,
        exposure_allowance: EXPOSURE_SPARE,
        drain_grace: DRAIN_GRACE,
        slow_start_initial_fraction: COLD_SHARE,
        slow_start_duration: COLD_TIME,
        overload_multiple: FALL_MULTIPLE,
        overload_duration: FALL_TIME,
        ..service_settings()
    }
}
