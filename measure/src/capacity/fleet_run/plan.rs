//! The sizes of a run and the figures that all its parties are told.

use serde_json::{Value, json};

use super::layout::Layout;
use crate::capacity::numbers;

/// The operators' numbers.
pub const FLEET_ROUTERS: u32 = numbers::ROUTERS;
pub const FLEET_HOSTS: u32 = numbers::HOSTS;
pub const RESTARTS_A_DAY: u32 = numbers::RESTARTS_PER_DAY;
pub const CHANGES_A_DAY: u32 = numbers::CHANGES_PER_DAY;
/// Seconds until a change of configuration is in force at the last router.
pub const IN_FORCE_WITHIN: f64 = numbers::IN_FORCE_SECONDS;
pub const SECONDS_A_DAY: f64 = numbers::SECONDS_PER_DAY;

/// Terms of the service, seconds.
pub const DRAIN_GRACE: f64 = 0.5;
pub const COLD_SHARE: f64 = 0.5;
pub const COLD_TIME: f64 = 2.0;
pub const FALL_MULTIPLE: f64 = 3.0;
pub const EXPOSURE_WINDOW: f64 = 2.0;
pub const EXPOSURE_SPARE: f64 = 3.0;
pub const TIME_LIMIT: f64 = 2.0;
pub const SLO_TIME: f64 = 0.5;
pub const BALLOT_LIFE: f64 = 10.0;
pub const ROLLOUT_SHARES: [f64; 3] = [0.1, 0.5, 1.0];
pub const ROLLOUT_CAPS: [f64; 3] = [0.15, 0.7, 1.0];

/// The share of a real router's memory that may be more after all failures than at rest before them, and a floor.
pub const MEMORY_RETURNS: f64 = 1.25;
pub const MEMORY_FLOOR_KIB: u64 = 4 * 1024;
/// Hollow parts and real ones differ by at most this share.
pub const ALIKE: f64 = 0.1;

/// What one stand-in bears, a second; calls above it are turned away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    pub discovery_calls: f64,
    pub discovery_bytes: f64,
    pub votes: f64,
}

/// How long each part of a run takes at most, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lengths {
    /// Into which a day's restarts and changes are pressed.
    pub day: f64,
    pub rest: f64,
    pub peak: f64,
    pub canary: f64,
    pub outage: f64,
    pub recovery: f64,
    pub split: f64,
}

/// One fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub seed: u64,
    pub layout: Layout,
    /// Hosts in the list of a hollow router, spread over all zones and racks; real routers have all.
    pub hollow_list: u32,
    /// Requests a second at a real router, at rest and at the peak, and drawn ones at a hollow one.
    pub rest_rate: f64,
    pub peak_rate: f64,
    pub drawn_rate: f64,
    pub lengths: Lengths,
    pub capacity: Capacity,
    /// Discovery publishes what changed this often, in seconds.
    pub publish_every: f64,
    pub bake: f64,
    /// Over so many seconds the hosts of a rollout stage restart.
    pub stage_spread: f64,
    /// Whether operators' files are watched by the real routers.
    pub files: bool,
}

impl Plan {
    /// The whole fleet.
    pub fn full() -> Self {
        Plan {
            seed: 31,
            layout: Layout {
                routers: FLEET_ROUTERS,
                real: 16,
                hosts: FLEET_HOSTS,
                zones: 10,
                racks: 40,
            },
            hollow_list: 740,
            rest_rate: 2.0,
            peak_rate: 10.0,
            drawn_rate: 1.0,
            lengths: Lengths {
                day: 180.0,
                rest: 15.0,
                peak: 40.0,
                canary: 75.0,
                outage: 15.0,
                recovery: 10.0,
                split: 15.0,
            },
            capacity: Capacity {
                discovery_calls: 4_000.0,
                discovery_bytes: 16e6,
                votes: 250.0,
            },
            publish_every: 1.0,
            bake: 3.0,
            stage_spread: 4.0,
            files: true,
        }
    }

    /// A small fleet with the same events, for continuous integration.
    pub fn small() -> Self {
        Plan {
            layout: Layout {
                routers: 12,
                real: 4,
                hosts: 24,
                zones: 4,
                racks: 8,
            },
            hollow_list: 24,
            rest_rate: 10.0,
            peak_rate: 40.0,
            drawn_rate: 40.0,
            lengths: Lengths {
                day: 20.0,
                rest: 2.0,
                peak: 6.0,
                canary: 20.0,
                outage: 3.0,
                recovery: 3.0,
                split: 4.0,
            },
            capacity: Capacity {
                discovery_calls: 1_000.0,
                discovery_bytes: 4e6,
                votes: 250.0,
            },
            publish_every: 0.05,
            bake: 1.0,
            stage_spread: 0.5,
            ..Plan::full()
        }
    }

    /// Twelve routers, all real or all hollow, before 24 hosts.
    pub fn held_against(real: bool) -> Self {
        let layout = Layout {
            routers: 12,
            real: if real { 12 } else { 0 },
            hosts: 24,
            zones: 4,
            racks: 8,
        };
        Plan {
            layout,
            rest_rate: 40.0,
            files: false,
            ..Plan::small()
        }
    }

    /// Half of all routers move a build on, or back.
    pub fn votes_needed(&self) -> u32 {
        self.layout.routers.div_ceil(2)
    }

    /// The `settings` object that a router reads.
    pub fn settings(&self, router: u32) -> Value {
        let zone = format!("z{}", self.layout.router_place(router).zone);
        let micros = |seconds: f64| (seconds * 1e6) as u64;
        json!({
            "accounts": [], "discovery": "ask", "group_size": self.layout.routers, "me": router,
            "my_zone": zone, "tick": 5000, "worth_by": "request", "weight_kind": "off",
            "telemetry": {"via": "off", "fields": []},
            "extra": {
                "gate_mode": "any", "votes_to_go": self.votes_needed(), "back_votes": self.votes_needed(),
                "stoppers": 0, "bake": micros(self.bake), "rings": ROLLOUT_SHARES,
                "ballot_ttl": micros(BALLOT_LIFE), "vote_wait": 1_000_000,
                "api_rate": self.capacity.votes, "most_shares": ROLLOUT_CAPS,
                "counted_over": micros(EXPOSURE_WINDOW), "spare_tries": EXPOSURE_SPARE, "counts": "all",
                "guarded_stages": 0, "no_return": false, "replace_mode": "in_place", "flag_share": 0.0
            },
            "guarantees": {
                "ask_every": 10_000_000, "drain_grace": micros(DRAIN_GRACE), "cold_share": COLD_SHARE,
                "cold": micros(COLD_TIME), "fall_multiple": FALL_MULTIPLE, "fall": 2_000_000
            },
            "permissions": {
                "may_probe": false, "peers": true, "cancel": true, "second_copies": false,
                "retry_after": false, "max_retry_after": 0, "max_attempts": 4, "connect_timeout": 250_000,
                "keepalive": 30_000_000, "max_open": 1000
            },
            "request_classes": [
                {"name": "read", "effect": "repeatable", "slo": micros(SLO_TIME),
                 "give_up": micros(TIME_LIMIT), "credit": 1.0, "late_worth": 0.1, "stream": false},
                {"name": "switch", "effect": "once", "slo": micros(SLO_TIME),
                 "give_up": micros(TIME_LIMIT), "credit": 1.0, "late_worth": 0.1, "stream": false}
            ]
        })
    }
}

#[cfg(test)]
mod tests;
