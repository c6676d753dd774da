//! The platform: one connection that follows it and carries this router's votes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use kestreltide::interface::*;
use slog::{debug, info, warn};

use super::metrics::Counter;
use super::{PLATFORM, ReadyReason, Routing, TimerEvent};
use crate::limits::Limits;
use crate::protocol::platform::{self, State, Told};
use crate::transport::{ReadStatus, SocketId, Stream};

/// A vote that has no answer yet.
struct PendingVote {
    written: bool,
    what: RolloutStatus,
}

pub(super) struct PlatformClient {
    at: SocketAddr,
    stream: Option<Stream>,
    votes: BTreeMap<u64, PendingVote>,
    call: u64,
    /// When the last byte came, and where a line has begun and not ended, when the last of it.
    last: f64,
    begun: Option<f64>,
    since: f64,
    wait: f64,
    heard: bool,
}

impl PlatformClient {
    pub(super) fn new(at: SocketAddr, limits: &Limits) -> Self {
        let (votes, wait) = (BTreeMap::new(), limits.reconnect_backoff.initial);
        PlatformClient {
            at,
            stream: None,
            votes,
            call: 0,
            last: 0.0,
            begun: None,
            since: 0.0,
            wait,
            heard: false,
        }
    }

    pub(super) fn heard(&self) -> bool {
        self.heard
    }

    pub(super) fn owns(&self, id: SocketId) -> bool {
        self.stream.as_ref().is_some_and(|stream| stream.id == id)
    }

    fn next_call(&mut self) -> u64 {
        self.call += 1;
        self.call
    }
}

impl Routing {
    /// What this router knew of the builds before it was started.
    pub fn restore_rollout_status(&mut self, news: RolloutStatus) {
        self.apply_rollout_status(news);
        self.process_pending();
    }

    pub(super) fn connect_platform(&mut self) {
        let now = self.event_loop.now();
        let Some(platform) = self
            .platform
            .as_mut()
            .filter(|platform| platform.stream.is_none())
        else {
            return;
        };
        match Stream::connect(&mut self.event_loop.reactor, platform.at, PLATFORM) {
            Ok(mut stream) => {
                let call = platform.next_call();
                platform::write_follow(stream.output(), call);
                platform.stream = Some(stream);
                (platform.last, platform.begun, platform.since) = (now, None, now);
                self.on_platform_readable();
            }
            Err(e) => self.on_platform_lost(&e.to_string()),
        }
    }

    /// What the old address has told by now is read; votes that were written there may have counted.
    pub(super) fn change_platform_address(&mut self, at: SocketAddr) {
        if self
            .platform
            .as_ref()
            .is_none_or(|platform| platform.at == at)
        {
            return;
        }
        self.on_platform_readable();
        self.close_platform();
        if let Some(platform) = &mut self.platform {
            (platform.at, platform.wait) = (at, self.event_loop.limits.reconnect_backoff.initial);
        }
        self.connect_platform();
    }

    pub(super) fn cast_vote(&mut self, build: BuildId, stage: u32, vote: Vote) {
        let now = self.event_loop.now();
        let what = RolloutStatus {
            outcome: AttemptOutcome::NoConnection,
            build,
            stage,
            phase: Phase::Canary,
            cap: 0.0,
            age: 0.0,
            answers_vote: true,
        };
        let most = self.event_loop.limits.platform.pending_votes;
        let open = |platform: &&mut PlatformClient| {
            platform.stream.is_some() && platform.votes.len() < most
        };
        let Some(platform) = self.platform.as_mut().filter(open) else {
            return self
                .event_loop
                .notify_decisions(Event::RolloutStatusReceived(what));
        };
        let call = platform.next_call();
        if let Some(stream) = &mut platform.stream {
            platform::write_vote(stream.output(), call, build, stage, vote);
        }
        platform.votes.insert(
            call,
            PendingVote {
                written: false,
                what,
            },
        );
        self.event_loop.metrics.increment(Counter::VotesCast);
        info!(self.event_loop.log, "vote cast"; "build" => build.0, "stage" => stage, "vote" => ?vote);
        self.event_loop.schedule(
            now + self.event_loop.limits.platform.vote_timeout,
            TimerEvent::VoteTimeout(call),
        );
        self.on_platform_readable();
    }

    pub(super) fn on_platform_readable(&mut self) {
        let now = self.event_loop.now();
        loop {
            let Some(platform) = &mut self.platform else {
                return;
            };
            let Some(stream) = &mut platform.stream else {
                return;
            };
            match stream
                .is_connected()
                .and_then(|up| if up { stream.flush() } else { Ok(false) })
            {
                Ok(true) => platform
                    .votes
                    .values_mut()
                    .for_each(|vote| vote.written = true),
                Ok(false) => return,
                Err(e) => return self.on_platform_lost(&e.to_string()),
            }
            let filled = stream.read_available(
                self.event_loop.limits.platform.line_bytes
                    + self.event_loop.limits.event_loop.read_bytes_per_turn,
                self.event_loop.limits.event_loop.read_bytes_per_turn,
            );
            if !stream.input().is_empty() {
                platform.last = now;
            }
            if !self.read_platform_lines() {
                return;
            }
            self.watch_incomplete_line(now);
            match filled {
                ReadStatus::Closed => return self.on_platform_lost("the connection ended"),
                ReadStatus::Drained => return,
                ReadStatus::More => {}
            }
        }
    }

    /// Takes the lines that are whole; false where the connection was given up.
    fn read_platform_lines(&mut self) -> bool {
        // Out of its place meanwhile: lines are read from the buffer.
        let Some(platform) = &mut self.platform else {
            return false;
        };
        let Some(mut stream) = platform.stream.take() else {
            return false;
        };
        let broken = loop {
            match platform::read(stream.input(), self.event_loop.limits.platform.line_bytes) {
                Ok(None) => break None,
                Ok(Some((told, used))) => {
                    self.on_platform_message(told);
                    stream.consume(used);
                }
                Err(why) => break Some(why),
            }
        };
        if let Some(platform) = &mut self.platform {
            platform.stream = Some(stream);
        }
        if let Some(why) = &broken {
            self.event_loop
                .metrics
                .increment(Counter::MalformedMessages);
            self.on_platform_lost(&why.to_string());
        }
        broken.is_none()
    }

    /// A line that stalls is given up sooner than a quiet connection.
    fn watch_incomplete_line(&mut self, now: f64) {
        let Some(platform) = &mut self.platform else {
            return;
        };
        let open = platform
            .stream
            .as_ref()
            .is_some_and(|stream| !stream.input().is_empty());
        let due = open && platform.begun.is_none();
        platform.begun = open.then_some(now);
        if due {
            self.event_loop.schedule(
                now + self.event_loop.limits.message_stall_timeout,
                TimerEvent::PlatformLineTimeout,
            );
        }
    }

    pub(super) fn on_line_timeout(&mut self) {
        let begun = self.platform.as_ref().and_then(|platform| platform.begun);
        let Some(until) = begun.map(|last| last + self.event_loop.limits.message_stall_timeout)
        else {
            return;
        };
        if self.event_loop.now() < until {
            return self
                .event_loop
                .schedule(until, TimerEvent::PlatformLineTimeout);
        }
        self.on_platform_lost("a line does not end");
    }

    fn on_platform_message(&mut self, told: Told) {
        let Some(platform) = &mut self.platform else {
            return;
        };
        match told {
            Told::State(state) => {
                platform.wait = self.event_loop.limits.reconnect_backoff.initial;
                platform.heard = true;
                self.on_rollout_state(&state, false);
                self.mark_ready(ReadyReason::Observed);
            }
            Told::Result { call, state } => {
                platform.wait = self.event_loop.limits.reconnect_backoff.initial;
                if let Some(vote) = platform.votes.remove(&call) {
                    match state {
                        Some(state) => self.on_rollout_state(&state, true),
                        // An answer that cannot be read leaves open whether the vote counts.
                        None => self
                            .event_loop
                            .notify_decisions(Event::RolloutStatusReceived(unread(vote.what))),
                    }
                }
            }
            Told::Error { call, outcome } => {
                if let Some(vote) = platform.votes.remove(&call) {
                    self.event_loop.metrics.increment(Counter::VotesNotCounted);
                    debug!(self.event_loop.log, "a vote does not count"; "verdict" => ?outcome);
                    self.event_loop
                        .notify_decisions(Event::RolloutStatusReceived(RolloutStatus {
                            outcome,
                            ..vote.what
                        }));
                } else {
                    warn!(self.event_loop.log, "the platform refuses to be followed"; "verdict" => ?outcome);
                }
            }
            Told::Complaint {
                host,
                operation,
                age,
            } => {
                let operation = self.transport.operations.get(operation.as_ref());
                if let Some(operation) = operation.copied() {
                    let host = HostId::named(&host);
                    self.event_loop.notify_decisions(Event::AnswerDisputed {
                        host,
                        operation,
                        age,
                    });
                }
            }
            Told::SignOfLife => {}
            Told::Unknown => debug!(self.event_loop.log, "the platform told something unknown"),
        }
    }

    fn on_rollout_state(&mut self, state: &State, answers_vote: bool) {
        let State {
            build,
            stage,
            phase,
            cap,
            age,
        } = *state;
        info!(self.event_loop.log, "platform"; "build" => build.0, "stage" => stage, "phase" => ?phase, "cap" => cap,
            "age" => age, "answers_vote" => answers_vote);
        self.apply_rollout_status(state.news(answers_vote));
    }

    fn apply_rollout_status(&mut self, news: RolloutStatus) {
        self.rollout_status = self
            .rollout_status
            .filter(|newest| newest.build > news.build)
            .or(Some(news));
        self.event_loop
            .notify_decisions(Event::RolloutStatusReceived(news));
        self.mark_view_stale();
    }

    /// The connection is lost: what was asked on it may have been done once it was written.
    fn on_platform_lost(&mut self, why: &str) {
        warn!(self.event_loop.log, "the platform's connection is lost"; "why" => why.to_owned());
        let (now, spread) = (self.event_loop.now(), self.event_loop.backoff_jitter());
        let Some(platform) = &mut self.platform else {
            return;
        };
        // At once where the connection had stood for long; else later each time, never in step with others.
        let stood = platform.stream.is_some()
            && now - platform.since >= self.event_loop.limits.reconnect_backoff.maximum;
        let again = now + if stood { 0.0 } else { spread * platform.wait };
        platform.wait = (2.0 * platform.wait).min(self.event_loop.limits.reconnect_backoff.maximum);
        self.close_platform();
        self.event_loop
            .schedule(again, TimerEvent::PlatformReconnect);
    }

    /// The connection and the votes that it carried are given up.
    fn close_platform(&mut self) {
        let Some(platform) = &mut self.platform else {
            return;
        };
        platform.begun = None;
        if let Some(stream) = platform.stream.take() {
            stream.close(&self.event_loop.reactor);
        }
        for vote in std::mem::take(&mut platform.votes).into_values() {
            let what = if vote.written {
                unread(vote.what)
            } else {
                vote.what
            };
            self.event_loop
                .notify_decisions(Event::RolloutStatusReceived(what));
        }
    }

    pub(super) fn check_platform_silence(&mut self, now: f64) {
        let silence = self.event_loop.limits.platform.silence_timeout;
        if self
            .platform
            .as_ref()
            .is_some_and(|p| p.stream.is_some() && now - p.last > silence)
        {
            self.on_platform_lost("no sign of life");
        }
    }

    pub(super) fn on_vote_timeout(&mut self, call: u64) {
        let Some(platform) = &mut self.platform else {
            return;
        };
        if let Some(vote) = platform.votes.remove(&call) {
            let what = if vote.written {
                unread(vote.what)
            } else {
                vote.what
            };
            self.event_loop
                .notify_decisions(Event::RolloutStatusReceived(what));
        }
    }
}

fn unread(what: RolloutStatus) -> RolloutStatus {
    RolloutStatus {
        outcome: AttemptOutcome::TimedOut,
        ..what
    }
}
