//! All decisions of a router: which build and host serve a request, what follows a failed attempt, and how the router
//! votes on a canary.
//!
//! This module does no I/O and reads no clock. [`Router::start`] takes the settings; [`Router::handle`] takes the
//! events in order of time and appends the effects to carry out. The types of events, effects and settings are in
//! [`crate::interface`]; `docs/design.md` describes the algorithms and the reasons for them. Each submodule covers
//! one concern and holds its constants.

mod admission;
mod attempt_outcome;
mod canary_assessment;
mod connections;
mod endpoint_list;
mod endpoint_selection;
mod evidence;
mod exposure;
mod gossip;
mod gossip_message;
mod host_table;
mod latency_baselines;
mod least_loaded;
mod outlier_detection;
mod request_table;
mod requirements;
mod retry;
mod rollout;
mod service_slowdown;
mod settings;
mod sliding_count;
mod slow_start;
mod sticky_builds;
mod thompson_sampling;
mod timers;
mod traffic_rates;
mod vote_tables;
mod voting;

use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::interface::{
    Effect, Event, HostId, ListScope, OperationId, OperatorOverrides, ServiceSettings, TimerKey,
};
use admission::InFlightLimit;
use attempt_outcome::AttemptReport;
use connections::ConnectionLosses;
use endpoint_list::PollBackoff;
use evidence::EvidenceStore;
use exposure::ExposureWindow;
use gossip::GossipPeers;
use host_table::HostTable;
use latency_baselines::LatencyBaselines;
use request_table::RequestTable;
use retry::RetryBudget;
use rollout::RolloutState;
use service_slowdown::ServiceSlowdown;
use settings::DecisionSettings;
pub use sticky_builds::STICKY_BUILDS_BYTES;
use sticky_builds::StickyBuilds;
use timers::{TimerEvent, Timers};
use traffic_rates::TrafficRates;
use voting::VotingState;

/// Lower bound, in seconds, of the clock tick and of computed windows and waits, which allows for the granularity of
/// clocks.
const MIN_DURATION: f64 = 0.01;

/// Lower bound of a divisor that can be zero, such as the sum over an empty set of hosts.
const MIN_DIVISOR: f64 = 0.01;

/// The decisions of one router, with all state that is kept between events.
pub struct Router {
    settings: DecisionSettings,
    overrides: Arc<OperatorOverrides>,
    hosts: HostTable,
    requests: RequestTable,
    sticky_builds: StickyBuilds,
    timers: Timers,
    poll_backoff: PollBackoff,
    rates: TrafficRates,
    in_flight: InFlightLimit,
    exposure: ExposureWindow,
    retry_budget: RetryBudget,
    connection_losses: ConnectionLosses,
    latency: LatencyBaselines,
    evidence: EvidenceStore,
    peers: GossipPeers,
    rollout: RolloutState,
    service_slowdown: ServiceSlowdown,
    voting: VotingState,
    rng: ChaCha8Rng,
}

impl Router {
    /// Creates a router for a service's settings at time `now`, in seconds. The same settings, seed and events yield
    /// the same effects.
    pub fn start(settings: ServiceSettings, seed: u64, now: f64) -> Self {
        let settings = DecisionSettings::new(&settings);
        Router {
            overrides: Arc::default(),
            hosts: HostTable::default(),
            requests: RequestTable::default(),
            sticky_builds: StickyBuilds::default(),
            timers: Timers::default(),
            poll_backoff: PollBackoff::new(),
            rates: TrafficRates::new(now),
            in_flight: InFlightLimit::default(),
            exposure: ExposureWindow::default(),
            retry_budget: RetryBudget::new(),
            connection_losses: ConnectionLosses::default(),
            latency: LatencyBaselines::default(),
            evidence: EvidenceStore::new(settings.signal_slots),
            peers: GossipPeers::new(settings.routers),
            rollout: RolloutState::new(now),
            service_slowdown: ServiceSlowdown::default(),
            voting: VotingState::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            settings,
        }
    }

    /// Starts the gossip rounds and, where the endpoint list is polled, the first poll. [`Router::handle`] does so on
    /// the first event if this was not called; a router without hosts can wait long for that event.
    pub fn start_timers(&mut self, now: f64, effects: &mut Vec<Effect>) {
        if self.timers.is_unused() {
            self.schedule_first_gossip(now, effects);
            self.poll_first_list(now, effects);
        }
    }

    /// Processes an event and appends the resulting effects. `now` is in seconds and never decreases between calls.
    pub fn handle(&mut self, now: f64, event: Event, effects: &mut Vec<Effect>) {
        self.start_timers(now, effects);
        match event {
            Event::EndpointList { scope, entries } => {
                self.apply_endpoint_list(now, scope, &entries);
            }
            Event::EndpointsStaged { entries, from, to } => {
                self.hosts.stage(entries.get(from..to).unwrap_or_default());
            }
            Event::OperatorOverridesApplied { overrides, entries } => {
                self.overrides = overrides;
                self.apply_endpoint_list(now, ListScope::Delta, &entries);
            }
            Event::EndpointListFailed => self.on_endpoint_list_failed(now, effects),
            Event::RequestReceived(request) => self.on_request(now, request, effects),
            Event::AttemptFinished {
                request,
                attempt,
                outcome,
                took,
                request_finished,
                connection_idle,
                ..
            } => {
                let report = AttemptReport {
                    outcome,
                    duration: took,
                    is_final: request_finished,
                    idle: connection_idle,
                };
                self.on_attempt_finished(now, &request, attempt.0, &report, effects);
            }
            Event::ClientDisconnected { request } | Event::ResponseStarted { request, .. } => {
                self.requests.close(&request);
            }
            Event::TimerExpired { key } => self.on_timer(now, key, effects),
            Event::GossipReceived { from, payload } => {
                self.on_gossip(now, from, &payload, effects);
            }
            Event::RolloutStatusReceived(status) => self.on_rollout_status(now, status, effects),
            Event::AnswerDisputed {
                host, operation, ..
            } => self.on_dispute(host, operation),
            Event::BuildMetrics { .. } | Event::HealthCheckFinished { .. } => {}
        }
    }

    fn on_timer(&mut self, now: f64, key: TimerKey, effects: &mut Vec<Effect>) {
        match self.timers.take(key) {
            Some(TimerEvent::Gossip) => self.gossip_round(now, effects),
            Some(TimerEvent::Subscribe) => {
                effects.push(Effect::SubscribeEndpointList { on: true });
            }
            Some(TimerEvent::Hedge(id)) => self.dispatch_or_finish(now, &id, true, effects),
            None => {}
        }
    }

    fn on_dispute(&mut self, host: HostId, operation: OperationId) {
        if let Some(host) = self.hosts.get(host) {
            let build = host.entry.build;
            self.record_dispute(build, operation);
        }
    }
}
