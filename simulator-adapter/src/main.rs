//! Hosts kestreltide routers on the bench's line protocol: batches in on standard input, one reply each on
//! standard output. It only translates; every decision is in the `kestreltide` library.

mod codec;
mod fields;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;
use std::sync::Arc;

use codec::{decode_entry, decode_event, encode};
use kestreltide::decisions::Router;
use kestreltide::interface::{Effect, Event, HostEntry, ListScope};
use kestreltide_settings::{Fields, NameTable, TransportSettings, decode, seconds};

struct Instance {
    router: Router,
    wire: TransportSettings,
}

/// What stays from one line to the next.
#[derive(Default)]
struct Link {
    instances: BTreeMap<String, Instance>,
    lists: BTreeMap<u64, Arc<[HostEntry]>>,
    names: NameTable,
    moment: Option<u64>,
    /// A list that is being read: its number, the entries still to come, and those read.
    filling: Option<(u64, u64, Vec<HostEntry>)>,
    effects: Vec<Effect>,
    reply: String,
}

impl Link {
    /// Takes one line; true at the end of a batch.
    fn take(&mut self, text: &str) -> Result<bool, String> {
        let line = fields::parse(text)?;
        if let Some((slot, left, mut read)) = self.filling.take() {
            if line.name != "ENTRY" {
                return Err(format!("expected {left} more ENTRY lines of list {slot}"));
            }
            read.push(decode_entry(&line, &mut self.names)?);
            self.fill(slot, left - 1, read);
            return Ok(false);
        }
        if line.name == "SYNC" {
            let moment = line.integer("moment")?;
            if self.moment.is_some() {
                return Err("SYNC before the batch has ended".into());
            }
            self.moment = Some(moment);
            return Ok(false);
        }
        let Some(moment) = self.moment else {
            return Err("the batch has not begun with SYNC".into());
        };
        let now = seconds(moment);
        match line.name {
            "EOF_BATCH" => {
                self.moment = None;
                self.reply.push_str("READY\n");
                return Ok(true);
            }
            "DEFINE_LIST" => {
                let (slot, entries) = (line.integer("slot")?, line.integer("members")?);
                self.fill(slot, entries, Vec::new());
            }
            "ATTACH" => {
                let (who, seed) = (line.text("who")?, line.integer("init_seed")?);
                let settings = decode(&line, &mut self.names)?;
                let wire = settings.transport;
                let start = catch_unwind(AssertUnwindSafe(|| {
                    Router::start(settings.service, seed, now)
                }));
                match start {
                    Ok(router) => {
                        drop(self.instances.insert(who.into(), Instance { router, wire }))
                    }
                    Err(_) => self.broken(who, "the decisions failed at start"),
                }
            }
            "RETIRE" => {
                let who = line.text("who")?;
                self.instances
                    .remove(who)
                    .ok_or_else(|| format!("no instance {who} to retire"))?;
            }
            _ => {
                let who = line.text("who")?;
                if !self.instances.contains_key(who) {
                    return Err(format!("no instance {who} has been attached"));
                }
                let event = self.event(&line, who)?;
                self.decide(who, now, event);
            }
        }
        Ok(false)
    }

    fn fill(&mut self, slot: u64, left: u64, read: Vec<HostEntry>) {
        if left == 0 {
            self.lists.insert(slot, read.into());
        } else {
            self.filling = Some((slot, left, read));
        }
    }

    fn event(&self, line: &Fields, who: &str) -> Result<Event, String> {
        if line.name == "MEMBERS" {
            let scope = match line.text("scope")? {
                "diff" => ListScope::Delta,
                "snapshot" => ListScope::Full,
                "disk" => ListScope::Cached,
                "error" => return Ok(Event::EndpointListFailed),
                other => return Err(format!("scope {other} is not known")),
            };
            let slot = line.integer("slot")?;
            let entries = self
                .lists
                .get(&slot)
                .ok_or_else(|| format!("list {slot} is not defined"))?
                .clone();
            return Ok(Event::EndpointList { scope, entries });
        }
        let instance = self.instances.get(who).ok_or("unknown instance")?;
        decode_event(line, &instance.wire)
    }

    fn decide(&mut self, who: &str, now: f64, event: Event) {
        let Some(instance) = self.instances.get_mut(who) else {
            return;
        };
        self.effects.clear();
        let effects = &mut self.effects;
        let done = catch_unwind(AssertUnwindSafe(|| {
            instance.router.handle(now, event, effects)
        }));
        match done {
            Ok(()) => self
                .effects
                .drain(..)
                .for_each(|effect| encode(&effect, who, &mut self.reply)),
            Err(_) => self.broken(who, "the decisions failed on an event"),
        }
    }

    fn broken(&mut self, who: &str, why: &str) {
        self.reply
            .push_str(&format!("BROKEN who={who} reason_text={why}\n"));
    }
}

fn run() -> Result<(), String> {
    let (stdin, stdout) = (io::stdin(), io::stdout());
    let (mut input, mut output) = (stdin.lock(), stdout.lock());
    let (mut link, mut text, mut number) = (Link::default(), String::new(), 0u64);
    loop {
        text.clear();
        number += 1;
        let read = input
            .read_line(&mut text)
            .map_err(|e| format!("line {number}: cannot be read: {e}"))?;
        if read == 0 {
            let within = link.moment.is_some() || link.filling.is_some();
            return if within {
                Err("the input ended within a batch".into())
            } else {
                Ok(())
            };
        }
        let line = text.trim_end_matches(['\n', '\r']);
        if line.is_empty() {
            continue;
        }
        if link.take(line).map_err(|e| format!("line {number}: {e}"))? {
            let sent = output
                .write_all(link.reply.as_bytes())
                .and_then(|()| output.flush());
            sent.map_err(|e| format!("the reply cannot be written: {e}"))?;
            link.reply.clear();
        }
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("kestreltide-simulator-adapter: {why}");
            ExitCode::FAILURE
        }
    }
}
