//! Route: an event goes to the decisions, and their effects are carried out. Nothing is decided here.

use kestreltide::interface::*;
use slog::info;

use super::{Due, Routing};
use crate::protocol::client;
use crate::protocol::resp::write_error;

const MILLIS: f64 = 1e3;

impl Routing {
    pub(super) fn route(&mut self, event: Event) {
        let mut effects = std::mem::take(&mut self.effects);
        let left = if let Event::ClientDisconnected { request } = &event {
            Some(request.clone())
        } else {
            None
        };
        self.decisions.handle(self.clock.now(), event, &mut effects);
        left.map(|request| self.release(&request));
        effects.drain(..).for_each(|effect| self.carry_out(effect));
        self.effects = effects;
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::StartAttempt {
                request,
                host,
                time_out,
                connection,
            } => self.send(request, host, time_out, connection),
            Effect::CancelAttempt { request, attempt } => self.recall(&request, attempt),
            Effect::ShedRequest {
                request,
                retry_after,
            } => {
                self.tally.throttled += 1;
                let millis = retry_after.map(|time| (time * MILLIS).ceil().max(0.0) as u64);
                self.answer(&request, |out| client::write_busy(out, millis));
            }
            Effect::FailRequest { request } => {
                self.tally.terminated += 1;
                self.answer(&request, |out| write_error(out, "ERR failed"));
            }
            Effect::ScheduleTimer { at, key } => self.set_due(at, Due::Decisions(key)),
            Effect::StartHealthCheck { host } => self.probe(host),
            Effect::CloseIdleConnections { host } => self.close_idle(host),
            Effect::SendGossip { to, payload } => self.tell(to, &payload),
            Effect::CastVote { build, stage, vote } => self.cast(build, stage, vote),
            Effect::SubscribeEndpointList { on } => self.follow(on),
            Effect::FetchEndpointList => self.fetch_list(),
            Effect::WriteLog { text } => info!(self.log, "decision"; "note" => text),
        }
    }
}
