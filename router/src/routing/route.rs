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
        let left = if let Event::ClientLeft { inv } = &event {
            Some(inv.clone())
        } else {
            None
        };
        self.decisions.handle(self.clock.now(), event, &mut effects);
        left.map(|inv| self.release(&inv));
        effects.drain(..).for_each(|effect| self.carry_out(effect));
        self.effects = effects;
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Dispatch {
                inv,
                host,
                time_out,
                on,
            } => self.send(inv, host, time_out, on),
            Effect::Recall { inv, dispatch } => self.recall(&inv, dispatch),
            Effect::Throttle { inv, stay_away } => {
                self.tally.throttled += 1;
                let millis = stay_away.map(|time| (time * MILLIS).ceil().max(0.0) as u64);
                self.answer(&inv, |out| client::write_throttled(out, millis));
            }
            Effect::Terminate { inv } => {
                self.tally.terminated += 1;
                self.answer(&inv, |out| write_error(out, "ERR failed"));
            }
            Effect::SetAlarm { at, key } => self.set_due(at, Due::Decisions(key)),
            Effect::Probe { host } => self.probe(host),
            Effect::CloseIdle { host } => self.close_idle(host),
            Effect::Tell { to, payload } => self.tell(to, &payload),
            Effect::Vote {
                build,
                stage,
                sense,
            } => self.cast(build, stage, sense),
            Effect::Follow { on } => self.follow(on),
            Effect::FetchList => self.fetch_list(),
            Effect::Note { text } => info!(self.log, "decision"; "note" => text),
        }
    }
}
