//! The state that is kept between the lines of the simulator: routers, lists of hosts and the current batch.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;

use kestreltide::decisions::Router;
use kestreltide::interface::{Effect, Event, HostEntry, ListScope};
use kestreltide_settings::{Fields, NameTable, TransportSettings, decode, seconds};

use crate::codec::{decode_entry, decode_event, encode};
use crate::error::LineError;
use crate::line;

/// One router of the simulation.
struct Instance {
    router: Router,
    transport: TransportSettings,
}

/// A list of hosts whose entries are being read.
struct PartialList {
    number: u64,
    /// The number of entries that are still to be read.
    remaining: u64,
    entries: Vec<HostEntry>,
}

/// Whether a line completes its batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BatchProgress {
    /// More lines of the batch follow.
    Continues,
    /// The batch has ended, and its reply is complete.
    Complete,
}

/// The routers of a simulation and the reply to the current batch.
#[derive(Default)]
pub(crate) struct Session {
    instances: BTreeMap<String, Instance>,
    lists: BTreeMap<u64, Arc<[HostEntry]>>,
    names: NameTable,
    /// The time of the current batch, in microseconds; `None` between batches.
    batch_time: Option<u64>,
    partial_list: Option<PartialList>,
    effects: Vec<Effect>,
    reply: String,
}

impl Session {
    /// Whether a batch or a list has begun and not ended.
    pub(crate) fn is_within_batch(&self) -> bool {
        self.batch_time.is_some() || self.partial_list.is_some()
    }

    /// Returns the lines of the reply to the current batch.
    pub(crate) fn reply(&self) -> &str {
        &self.reply
    }

    /// Clears the reply before the next batch.
    pub(crate) fn clear_reply(&mut self) {
        self.reply.clear();
    }

    /// Handles one line of the simulator.
    ///
    /// # Errors
    ///
    /// Returns an error if the line violates the protocol or is not allowed at this point of the batch.
    pub(crate) fn handle_line(&mut self, text: &str) -> Result<BatchProgress, LineError> {
        let line = line::parse(text)?;
        if let Some(list) = self.partial_list.take() {
            self.add_entry(list, &line)?;
            return Ok(BatchProgress::Continues);
        }
        if line.name == "SYNC" {
            self.begin_batch(&line)?;
            return Ok(BatchProgress::Continues);
        }
        let now = seconds(self.batch_time.ok_or(LineError::BatchNotBegun)?);
        match line.name {
            "EOF_BATCH" => {
                self.batch_time = None;
                self.reply.push_str("READY\n");
                return Ok(BatchProgress::Complete);
            }
            "DEFINE_LIST" => self.begin_list(&line)?,
            "ATTACH" => self.attach(&line, now)?,
            "RETIRE" => self.retire(&line)?,
            _ => self.handle_event(&line, now)?,
        }
        Ok(BatchProgress::Continues)
    }

    fn begin_batch(&mut self, line: &Fields) -> Result<(), LineError> {
        let time = line.integer("moment")?;
        if self.batch_time.is_some() {
            return Err(LineError::BatchNotEnded);
        }
        self.batch_time = Some(time);
        Ok(())
    }

    fn begin_list(&mut self, line: &Fields) -> Result<(), LineError> {
        let list = PartialList {
            number: line.integer("slot")?,
            remaining: line.integer("members")?,
            entries: Vec::new(),
        };
        self.store_list(list);
        Ok(())
    }

    fn add_entry(&mut self, mut list: PartialList, line: &Fields) -> Result<(), LineError> {
        if line.name != "ENTRY" {
            return Err(LineError::ListIncomplete {
                remaining: list.remaining,
                list: list.number,
            });
        }
        list.entries.push(decode_entry(line, &mut self.names)?);
        list.remaining -= 1;
        self.store_list(list);
        Ok(())
    }

    fn store_list(&mut self, list: PartialList) {
        if list.remaining == 0 {
            self.lists.insert(list.number, list.entries.into());
        } else {
            self.partial_list = Some(list);
        }
    }

    fn attach(&mut self, line: &Fields, now: f64) -> Result<(), LineError> {
        let who = line.text("who")?;
        let seed = line.integer("init_seed")?;
        let settings = decode(line, &mut self.names)?;
        let transport = settings.transport;
        let started = catch_unwind(AssertUnwindSafe(|| {
            Router::start(settings.service, seed, now)
        }));
        match started {
            Ok(router) => {
                let instance = Instance { router, transport };
                self.instances.insert(who.into(), instance);
            }
            Err(_) => self.report_broken(who, "the decisions failed at start"),
        }
        Ok(())
    }

    fn retire(&mut self, line: &Fields) -> Result<(), LineError> {
        let who = line.text("who")?;
        match self.instances.remove(who) {
            Some(_) => Ok(()),
            None => Err(LineError::RetiredNotAttached(who.into())),
        }
    }

    fn handle_event(&mut self, line: &Fields, now: f64) -> Result<(), LineError> {
        let who = line.text("who")?;
        let Some(instance) = self.instances.get_mut(who) else {
            return Err(LineError::NotAttached(who.into()));
        };
        let event = match line.name {
            "MEMBERS" => endpoint_list(line, &self.lists)?,
            _ => decode_event(line, &instance.transport)?,
        };
        self.effects.clear();
        let effects = &mut self.effects;
        let handled = catch_unwind(AssertUnwindSafe(|| {
            instance.router.handle(now, event, effects);
        }));
        match handled {
            Ok(()) => {
                for effect in self.effects.drain(..) {
                    encode(&effect, who, &mut self.reply);
                }
            }
            Err(_) => self.report_broken(who, "the decisions failed on an event"),
        }
        Ok(())
    }

    fn report_broken(&mut self, who: &str, reason: &str) {
        let line = format!("BROKEN who={who} reason_text={reason}\n");
        self.reply.push_str(&line);
    }
}

/// Decodes a `MEMBERS` line, which refers to a list that was defined earlier.
fn endpoint_list(
    line: &Fields,
    lists: &BTreeMap<u64, Arc<[HostEntry]>>,
) -> Result<Event, LineError> {
    let scope = match line.text("scope")? {
        "diff" => ListScope::Delta,
        "snapshot" => ListScope::Full,
        "disk" => ListScope::Cached,
        "error" => return Ok(Event::EndpointListFailed),
        other => {
            return Err(LineError::UnknownValue {
                field: "scope",
                value: other.into(),
            });
        }
    };
    let number = line.integer("slot")?;
    let entries = lists
        .get(&number)
        .ok_or(LineError::UndefinedList(number))?
        .clone();
    Ok(Event::EndpointList { scope, entries })
}
