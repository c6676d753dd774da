//! Golden files of the gossip between routers: the bytes of each form of message, and of the reply to each kind of
//! received message, are in `tests/golden/gossip_*.txt`.
//!
//! A message has a header of four bytes: byte 0 is 1 for a reply and 0 for a request; byte 1 is 1 if the sender is
//! fresh, that is, it started during a canary and has no evidence about it yet; bytes 2 and 3 are the build, as a
//! little-endian `u16`. Figures follow, each a little-endian bfloat16 (the upper 16 bits of an `f32`): the requests
//! that the sender received in its exposure window, the slowdown that it observes of the hosts relative to the time
//! before the canary (1.0 is none), and twelve counts for each slot. A slot holds the outcomes of one operation, or
//! of several operations if there are more than four. Its counts are, for each of the signals in time, no error and
//! quick, the good and the bad outcomes of the baseline, then the good and the bad outcomes of the canary.
//!
//! In the titles of the cases, figures that are `taken` are those by which the receiver changes its own counts. A
//! fresh router copies the counts of a router that is not fresh. If both are fresh or neither is, the receiver adds
//! half the difference between the counts received and those that it sent. A router that is not fresh takes nothing
//! from a fresh one.
//!
//! Routers of two releases gossip with each other while a release is rolled out, so these bytes must
//! not change by accident. After a deliberate change of the message format, regenerate the files with
//! `KESTRELTIDE_REGENERATE_GOLDEN=1 cargo test --test golden_gossip` and review the diff.

mod common;

use std::fmt::Write;
use std::path::PathBuf;
use std::{env, fs};

use common::{
    BASELINE_BUILD, CANARY_BUILD, attempted_host, rollout_status, running_host, service_settings,
};
use kestreltide::decisions::Router;
use kestreltide::interface::*;

const REGENERATE: &str = "KESTRELTIDE_REGENERATE_GOLDEN";
const SEED: u64 = 11;
/// The time at which the router starts, in seconds.
const START: f64 = 100.0;
/// The simulated time between two checks of the timers, and between two requests, in seconds.
const STEP: f64 = 0.02;
const HOSTS: u64 = 4;

/// The body of a message of one slot, that is, all that follows the header: 40.0 requests, a slowdown of 1.5, then the
/// twelve counts of the slot, 1.0 to 12.0.
const ONE_SLOT_BODY: &str = "2042 c03f 803f 0040 4040 8040 a040 c040 e040 0041 1041 2041 3041 4041";

/// One router, its clock, and the transcript of the gossip it sends and receives.
struct Conversation {
    router: Router,
    now: f64,
    timers: Vec<(f64, TimerKey)>,
    requests: usize,
    transcript: String,
}

impl Conversation {
    /// Starts a router of a service with this many routers and operations; its hosts run the baseline build.
    fn start(routers: u32, operations: usize) -> Self {
        let mut service = ServiceSettings {
            router_id: RouterId(1),
            routers,
            ..service_settings()
        };
        let operation = OperationSettings {
            priority_weight: 1.0,
            ..service.operations[0]
        };
        service.operations = vec![operation; operations];
        let mut conversation = Conversation {
            router: Router::start(service, SEED, START),
            now: START,
            timers: vec![],
            requests: 0,
            transcript: String::new(),
        };
        conversation.list_hosts(|_| BASELINE_BUILD);
        conversation
    }

    /// Starts a router that knows of the released baseline build and then of a canary on half of its hosts.
    fn with_canary(routers: u32, operations: usize) -> Self {
        let mut conversation = Self::start(routers, operations);
        conversation.handle(rollout_status(BASELINE_BUILD, 1, Phase::Released, 1.0));
        conversation.start_canary();
        conversation
    }

    /// Puts the canary build on every second host, and reports it as in its first stage.
    fn start_canary(&mut self) {
        self.list_hosts(|id| {
            if id % 2 == 0 {
                CANARY_BUILD
            } else {
                BASELINE_BUILD
            }
        });
        self.handle(rollout_status(CANARY_BUILD, 0, Phase::Canary, 1.0));
    }

    /// Sends an endpoint list in which hosts have the builds that `build` returns for their ids.
    fn list_hosts(&mut self, build: impl Fn(u64) -> BuildId) {
        let entries = (0..HOSTS)
            .map(|id| running_host(id, build(id), None))
            .collect();
        self.handle(Event::EndpointList {
            scope: ListScope::Full,
            entries,
        });
    }

    /// Passes an event to the router, and adds the messages that it sends to the transcript.
    fn handle(&mut self, event: Event) -> Vec<Effect> {
        let mut effects = vec![];
        self.router.handle(self.now, event, &mut effects);
        for effect in &effects {
            match effect {
                Effect::ScheduleTimer { at, key } => self.timers.push((*at, *key)),
                Effect::SendGossip {
                    to: Some(to),
                    payload,
                } => {
                    writeln!(self.transcript, "sent to {}: {}", to.0, to_hex(payload)).unwrap();
                }
                Effect::SendGossip { to: None, payload } => {
                    writeln!(self.transcript, "sent to all: {}", to_hex(payload)).unwrap();
                }
                _ => {}
            }
        }
        effects
    }

    /// Receives a message from a peer, given in hexadecimal, and adds it and the reply to the transcript.
    fn receive(&mut self, from: u32, about: &str, message: &str) {
        let payload = from_hex(message);
        writeln!(self.transcript, "# {about}").unwrap();
        writeln!(
            self.transcript,
            "received from {from}: {}",
            to_hex(&payload)
        )
        .unwrap();
        let before = self.transcript.len();
        self.handle(Event::GossipReceived {
            from: RouterId(from),
            payload,
        });
        if self.transcript.len() == before {
            self.transcript.push_str("no answer\n");
        }
    }

    /// Advances the time without requests.
    fn wait(&mut self, seconds: f64) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += STEP;
            self.fire_timers();
        }
    }

    /// Serves one request in each step, of each operation in turn. Of five attempts, one ends in an error, one takes
    /// 1.2 s and one times out.
    fn serve(&mut self, seconds: f64, operations: usize) {
        let until = self.now + seconds;
        while self.now < until {
            self.now += STEP;
            self.requests += 1;
            let (outcome, took) = match self.requests % 5 {
                0 => (AttemptOutcome::Error, 0.05),
                1 => (AttemptOutcome::Succeeded, 1.2),
                2 => (AttemptOutcome::TimedOut, 0.9),
                _ => (
                    AttemptOutcome::Succeeded,
                    0.01 * (1 + self.requests % 7) as f64,
                ),
            };
            self.serve_one(OperationId(self.requests % operations), outcome, took);
            self.fire_timers();
        }
    }

    /// Receives a request and finishes its first attempt.
    fn serve_one(&mut self, operation: OperationId, outcome: AttemptOutcome, took: f64) {
        let request = RequestId(format!("request-{}", self.requests).into());
        let arrived = Event::RequestReceived(Request {
            id: request.clone(),
            operation,
            key: None,
            time_left: 2.0,
            work: None,
            is_retry: false,
            pool: None,
        });
        if let Some(host) = attempted_host(&self.handle(arrived)) {
            self.handle(Event::AttemptFinished {
                request,
                attempt: AttemptNumber(0),
                host,
                outcome,
                request_finished: true,
                took,
                load: LoadReport::default(),
                connection_idle: None,
            });
        }
    }

    /// Fires all timers that are due.
    fn fire_timers(&mut self) {
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = self.timers.iter().partition(|(at, _)| *at <= now);
        self.timers = later;
        for (_, key) in due {
            self.handle(Event::TimerExpired { key });
        }
    }

    /// Compares the transcript with its golden file, after writing the file if the variable `REGENERATE` is 1.
    fn check(self, name: &str) {
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
            .join("tests/golden")
            .join(format!("gossip_{name}.txt"));
        if env::var(REGENERATE).as_deref() == Ok("1") {
            fs::write(&path, &self.transcript).expect("the golden file can be written");
        }
        let golden = fs::read_to_string(&path).expect("the golden file can be read");
        assert_eq!(
            self.transcript,
            golden,
            "the transcript differs from {}",
            path.display()
        );
    }
}

fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Converts hexadecimal digits to bytes; spaces between the digits are ignored.
fn from_hex(text: &str) -> Vec<u8> {
    let digits: Vec<u32> = text
        .chars()
        .filter_map(|digit| digit.to_digit(16))
        .collect();
    digits
        .chunks(2)
        .map(|pair| (pair[0] << 4 | pair[1]) as u8)
        .collect()
}

#[test]
fn request_of_one_slot_without_outcomes() {
    let mut conversation = Conversation::with_canary(4, 1);
    conversation.wait(0.5);
    conversation.check("request_one_slot_empty");
}

#[test]
fn request_of_three_slots_with_small_figures() {
    let mut conversation = Conversation::start(4, 3);
    conversation.handle(rollout_status(BASELINE_BUILD, 1, Phase::Released, 1.0));
    conversation.serve(1.0, 3);
    conversation.start_canary();
    conversation.serve(1.0, 3);
    conversation.check("request_three_slots_small");
}

/// More operations than slots: they share the four slots of a message. Each outcome is weighted by the number of
/// routers, so that 5000 routers result in large counts.
#[test]
fn request_of_four_slots_with_large_figures() {
    let mut conversation = Conversation::start(5000, 6);
    conversation.handle(rollout_status(BASELINE_BUILD, 1, Phase::Released, 1.0));
    conversation.serve(4.0, 6);
    conversation.start_canary();
    conversation.serve(4.0, 6);
    conversation.check("request_four_slots_large");
}

/// A router that starts during a canary marks its gossip requests as fresh until it has adopted the evidence of a peer.
#[test]
fn fresh_request_until_the_evidence_of_a_peer() {
    let mut conversation = Conversation::start(4, 1);
    conversation.list_hosts(|id| {
        if id % 2 == 0 {
            CANARY_BUILD
        } else {
            BASELINE_BUILD
        }
    });
    conversation.handle(Event::RolloutStatusReceived(RolloutStatus {
        outcome: AttemptOutcome::Succeeded,
        build: CANARY_BUILD,
        stage: 0,
        phase: Phase::Canary,
        cap: 1.0,
        age: 30.0,
        answers_vote: false,
    }));
    conversation.wait(0.3);
    // Requests about build 8, the canary.
    let fresh_request = format!("00 01 0800 {ONE_SLOT_BODY}");
    conversation.receive(0, "a fresh request: answered as fresh", &fresh_request);
    let request = format!("00 00 0800 {ONE_SLOT_BODY}");
    conversation.receive(
        2,
        "a request: answered as fresh, then taken whole",
        &request,
    );
    conversation.receive(3, "a second one: no longer fresh", &request);
    conversation.wait(0.3);
    conversation.check("request_fresh");
}

#[test]
fn replies_and_merged_figures() {
    let mut conversation = Conversation::with_canary(4, 1);
    conversation.serve(0.5, 1);
    let request = format!("00 00 0800 {ONE_SLOT_BODY}");
    conversation.receive(
        2,
        "a request: answered, and half the difference taken",
        &request,
    );
    conversation.wait(0.3);
    let fresh_request = format!("00 01 0800 {ONE_SLOT_BODY}");
    conversation.receive(
        3,
        "a fresh request: answered, and nothing taken",
        &fresh_request,
    );
    conversation.wait(0.3);
    for peer in [0, 2, 3] {
        let reply = format!("01 00 0800 {ONE_SLOT_BODY}");
        conversation.receive(peer, "a reply: taken where a request was sent", &reply);
    }
    conversation.wait(0.5);
    conversation.check("replies");
}

#[test]
fn messages_that_are_not_answered() {
    let body = ONE_SLOT_BODY;
    let mut conversation = Conversation::start(4, 1);
    conversation.receive(
        2,
        "before any build is known",
        &format!("00 00 0800 {body}"),
    );
    conversation.handle(rollout_status(BASELINE_BUILD, 1, Phase::Released, 1.0));
    conversation.start_canary();
    conversation.receive(2, "of an earlier build", &format!("00 00 0700 {body}"));
    conversation.receive(2, "of a later build", &format!("00 00 0900 {body}"));
    conversation.receive(
        2,
        "of build 8 with its bytes exchanged",
        &format!("00 00 0008 {body}"),
    );
    // The router has one operation and thus one slot. The first two figures, 10 characters, are not repeated.
    conversation.receive(
        2,
        "of two slots",
        &format!("00 00 0800 {body} {}", &body[10..]),
    );
    conversation.receive(
        2,
        "half a figure too long",
        &format!("00 00 0800 {body} 00"),
    );
    // Here and in the next three messages the first figure, 5 characters, is left out; the next three messages have
    // an invalid figure at the end instead, so that their length is right.
    conversation.receive(
        2,
        "one figure too short",
        &format!("00 00 0800 {}", &body[5..]),
    );
    conversation.receive(
        2,
        "a negative figure",
        &format!("00 00 0800 {} 80bf", &body[5..]),
    );
    conversation.receive(
        2,
        "an infinite figure",
        &format!("00 00 0800 {} 807f", &body[5..]),
    );
    conversation.receive(
        2,
        "not a number",
        &format!("00 00 0800 {} c07f", &body[5..]),
    );
    conversation.receive(2, "only a header", "00 00 0800");
    conversation.receive(2, "nothing", "");
    conversation.receive(1, "from itself", &format!("00 00 0800 {body}"));
    // This message is answered: a value other than 1 in byte 0 or 1 counts as 0, so it is a request that is not fresh.
    conversation.receive(
        2,
        "other flags than 1 count as none",
        &format!("02 02 0800 {body}"),
    );
    conversation.check("not_answered");
}
