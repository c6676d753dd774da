//! The interface to the decisions: passes events to them and carries out the effects that they return. Nothing is
//! decided here.

use kestreltide::interface::*;
use slog::info;

use super::metrics::Counter;
use super::upstream_connection::UseDeadlines;
use super::{Routing, TimerEvent};
use crate::protocol::client;
use crate::protocol::resp::write_error;

const MILLIS_PER_SECOND: f64 = 1e3;

impl Routing {
    /// Passes an event to the decisions and carries out its effects. A request whose client has disconnected is
    /// removed after the decisions have processed that.
    pub(super) fn dispatch_event(&mut self, event: Event) {
        let mut effects = std::mem::take(&mut self.effects);
        let disconnected = if let Event::ClientDisconnected { request } = &event {
            Some(request.clone())
        } else {
            None
        };
        let decided_at = self.event_loop.now();
        self.decisions.handle(decided_at, event, &mut effects);
        disconnected.map(|request| self.requests.release(&request));
        self.carry_out_all(effects, decided_at);
    }

    /// Starts the timers of the decisions without waiting for the first event: those of gossip rounds and, where the
    /// endpoint list is polled, of polls.
    pub(super) fn start_decision_timers(&mut self) {
        let mut effects = std::mem::take(&mut self.effects);
        let decided_at = self.event_loop.now();
        self.decisions.start_timers(decided_at, &mut effects);
        self.carry_out_all(effects, decided_at);
    }

    /// Carries out effects, and keeps the emptied buffer for the next event.
    fn carry_out_all(&mut self, mut effects: Vec<Effect>, decided_at: f64) {
        effects
            .drain(..)
            .for_each(|effect| self.carry_out(effect, decided_at));
        self.effects = effects;
    }

    /// Carries out one effect of a decision of `decided_at` (Unix seconds).
    fn carry_out(&mut self, effect: Effect, decided_at: f64) {
        match effect {
            Effect::StartAttempt {
                request,
                host,
                timeout,
                connection,
            } => {
                let client_deadline = self.requests.deadline(&request);
                let deadlines = UseDeadlines::of_attempt(
                    decided_at,
                    (timeout, connection.write_timeout),
                    client_deadline.unwrap_or(f64::INFINITY),
                );
                self.start_attempt(request, host, deadlines, connection);
            }
            Effect::CancelAttempt { request, attempt } => self.cancel_attempt(&request, attempt),
            Effect::ShedRequest {
                request,
                retry_after,
            } => {
                self.event_loop.metrics.increment(Counter::RequestsShed);
                let millis =
                    retry_after.map(|time| (time * MILLIS_PER_SECOND).ceil().max(0.0) as u64);
                self.respond_briefly(&request, |out| client::write_busy(out, millis));
            }
            Effect::FailRequest { request } => {
                self.event_loop.metrics.increment(Counter::RequestsFailed);
                self.respond_briefly(&request, |out| write_error(out, "ERR failed"));
            }
            Effect::ScheduleTimer { at, key } => {
                self.event_loop.schedule(at, TimerEvent::Decisions(key))
            }
            Effect::StartHealthCheck { host } => self.start_health_check(host),
            Effect::CloseIdleConnections { host } => {
                self.upstreams.close_idle(&self.event_loop, host)
            }
            Effect::SendGossip { to, payload } => {
                if let Some(peers) = &self.peers {
                    peers.send(&mut self.event_loop, to, &payload);
                }
            }
            Effect::CastVote { build, stage, vote } => self.cast_vote(build, stage, vote),
            Effect::SubscribeEndpointList { on } => self.subscribe_endpoint_list(on),
            Effect::FetchEndpointList => self.fetch_endpoint_list(),
            Effect::LogVoteEvidence(evidence) => info!(self.event_loop.log, "vote evidence";
                "build" => evidence.build.0,
                "stage" => evidence.stage,
                "vote" => ?evidence.vote,
                "in_time" => %evidence.in_time,
                "no_error" => %evidence.no_error,
                "quick" => %evidence.quick,
                "relative_slowdown" => format!("{:.2}", evidence.relative_slowdown)),
        }
    }
}
