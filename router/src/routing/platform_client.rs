//! The platform client: a connection on which the platform sends the rollout's state and this router casts its votes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use kestreltide::interface::*;
use slog::{debug, info, warn};

use super::event_loop::{EventLoop, SocketOwner, TimerEvent};
use super::metrics::Counter;
use crate::limits::Limits;
use crate::protocol::platform::{self, PlatformMessage, RolloutState};
use crate::transport::{ReadStatus, SocketId, Stream};

/// A vote that has no answer yet.
struct PendingVote {
    /// Whether it is written to the socket, so that the platform may count it.
    is_written: bool,
    /// The status that the decisions get if the vote is given up before it is written.
    status_if_unsent: RolloutStatus,
}

impl PendingVote {
    /// The status that the decisions get for a vote that is given up. A vote that was written may count and is reported
    /// as timed out.
    fn abandon(self) -> RolloutStatus {
        if self.is_written {
            timed_out(self.status_if_unsent)
        } else {
            self.status_if_unsent
        }
    }
}

/// The connection to the platform and the votes on it.
pub(super) struct PlatformClient {
    address: SocketAddr,
    /// The operations by their names in messages.
    operations: BTreeMap<String, OperationId>,
    stream: Option<Stream>,
    /// The pending votes by call number.
    votes: BTreeMap<u64, PendingVote>,
    last_call_number: u64,
    /// When bytes were received last, in Unix seconds.
    last_received: f64,
    /// When the last bytes of an incomplete line were received, in Unix seconds.
    incomplete_line_received_at: Option<f64>,
    /// When connecting began, in Unix seconds.
    connected_at: f64,
    /// The next pause before a reconnect, in seconds, without jitter.
    backoff: f64,
    has_received_state: bool,
    /// Rollout statuses that were received and not taken by [`PlatformClient::take_received`] yet.
    received: Vec<RolloutStatus>,
}

impl PlatformClient {
    pub(super) fn new(
        address: SocketAddr,
        operations: BTreeMap<String, OperationId>,
        limits: &Limits,
    ) -> Self {
        PlatformClient {
            address,
            operations,
            stream: None,
            votes: BTreeMap::new(),
            last_call_number: 0,
            last_received: 0.0,
            incomplete_line_received_at: None,
            connected_at: 0.0,
            backoff: limits.reconnect_backoff.initial,
            has_received_state: false,
            received: Vec::new(),
        }
    }

    /// Whether the platform has sent the rollout's state since the start.
    pub(super) fn has_received_state(&self) -> bool {
        self.has_received_state
    }

    /// Whether this is the socket of the current connection.
    pub(super) fn has_socket(&self, id: SocketId) -> bool {
        self.stream.as_ref().is_some_and(|stream| stream.id == id)
    }

    /// Removes and returns the rollout statuses received since the last call, in their order.
    pub(super) fn take_received(&mut self) -> Vec<RolloutStatus> {
        std::mem::take(&mut self.received)
    }

    /// Connects and subscribes to the rollout, unless there is a connection.
    pub(super) fn connect(&mut self, event_loop: &mut EventLoop) {
        let now = event_loop.now();
        if self.stream.is_some() {
            return;
        }
        match Stream::connect(
            &mut event_loop.reactor,
            self.address,
            SocketOwner::Platform.stream_role(),
        ) {
            Ok(mut stream) => {
                let call = self.next_call_number();
                // Subscribes to the rollout; `follow` is the method's name in the protocol.
                platform::write_follow(stream.output(), call);
                self.stream = Some(stream);
                self.last_received = now;
                self.incomplete_line_received_at = None;
                self.connected_at = now;
                self.write_and_read(event_loop);
            }
            Err(e) => self.on_lost(event_loop, &e.to_string()),
        }
    }

    /// Reads what the platform has already sent from the old address and connects to the new one. Pending votes are
    /// given up; those that were written may have counted.
    pub(super) fn change_address(&mut self, event_loop: &mut EventLoop, address: SocketAddr) {
        if self.address == address {
            return;
        }
        self.write_and_read(event_loop);
        self.close(event_loop);
        self.address = address;
        self.backoff = event_loop.limits.reconnect_backoff.initial;
        self.connect(event_loop);
    }

    /// Casts a vote on a build's stage. Where there is no connection or too many votes are pending, the decisions get
    /// the status of a vote that was not sent.
    pub(super) fn cast_vote(
        &mut self,
        event_loop: &mut EventLoop,
        build: BuildId,
        stage: u32,
        vote: Vote,
    ) {
        let now = event_loop.now();
        let status_if_unsent = unsent_vote_status(build, stage);
        let has_capacity = self.votes.len() < event_loop.limits.platform.pending_votes;
        if self.stream.is_none() || !has_capacity {
            return event_loop.notify_decisions(Event::RolloutStatusReceived(status_if_unsent));
        }
        let call = self.next_call_number();
        if let Some(stream) = &mut self.stream {
            platform::write_vote(stream.output(), call, build, stage, vote);
        }
        let pending = PendingVote {
            is_written: false,
            status_if_unsent,
        };
        self.votes.insert(call, pending);
        event_loop.metrics.increment(Counter::VotesCast);
        info!(event_loop.log, "vote cast"; "build" => build.0, "stage" => stage, "vote" => ?vote);
        let deadline = now + event_loop.limits.platform.vote_timeout;
        event_loop.schedule(deadline, TimerEvent::VoteTimeout(call));
        self.write_and_read(event_loop);
    }

    /// Gives up the vote with this call number, if it has no answer yet.
    pub(super) fn on_vote_timeout(&mut self, event_loop: &mut EventLoop, call: u64) {
        if let Some(vote) = self.votes.remove(&call) {
            event_loop.notify_decisions(Event::RolloutStatusReceived(vote.abandon()));
        }
    }

    /// Writes pending output, then reads and handles all available input. Called when the socket is ready, and after
    /// new output.
    pub(super) fn write_and_read(&mut self, event_loop: &mut EventLoop) {
        let now = event_loop.now();
        let bytes_per_turn = event_loop.limits.event_loop.read_bytes_per_turn;
        let buffer_bytes = event_loop.limits.platform.line_bytes + bytes_per_turn;
        loop {
            match self.flush() {
                Ok(true) => {}
                Ok(false) => return,
                Err(e) => return self.on_lost(event_loop, &e.to_string()),
            }
            let Some(stream) = &mut self.stream else {
                return;
            };
            let status = stream.read_available(buffer_bytes, bytes_per_turn);
            if !stream.input().is_empty() {
                self.last_received = now;
            }
            if !self.read_lines(event_loop) {
                return;
            }
            self.watch_incomplete_line(event_loop, now);
            match status {
                ReadStatus::Closed => return self.on_lost(event_loop, "the connection ended"),
                ReadStatus::Exhausted | ReadStatus::OutOfMemory => return,
                ReadStatus::More => {}
            }
        }
    }

    /// Writes the output. True once all is written; false where there is no established connection or the socket takes
    /// no more.
    fn flush(&mut self) -> std::io::Result<bool> {
        let Some(stream) = &mut self.stream else {
            return Ok(false);
        };
        let flushed = stream.is_connected()? && stream.flush()?;
        if flushed {
            self.votes
                .values_mut()
                .for_each(|vote| vote.is_written = true);
        }
        Ok(flushed)
    }

    /// Handles the complete lines in the input; false where one was malformed and the connection was closed.
    fn read_lines(&mut self, event_loop: &mut EventLoop) -> bool {
        // The stream is taken out of `self` because the messages borrow from its input buffer.
        let Some(mut stream) = self.stream.take() else {
            return false;
        };
        let malformed = loop {
            match platform::parse_line(stream.input(), event_loop.limits.platform.line_bytes) {
                Ok(None) => break None,
                Ok(Some((message, used))) => {
                    self.on_message(event_loop, message);
                    stream.consume(used);
                }
                Err(why) => break Some(why),
            }
        };
        self.stream = Some(stream);
        if let Some(why) = &malformed {
            event_loop.metrics.increment(Counter::MalformedMessages);
            self.on_lost(event_loop, &why.to_string());
        }
        malformed.is_none()
    }

    /// Schedules the stall timeout of an incomplete line: the time after which a line that has not grown
    /// closes the connection. It is shorter than the silence timeout of the connection.
    fn watch_incomplete_line(&mut self, event_loop: &mut EventLoop, now: f64) {
        let is_incomplete = self
            .stream
            .as_ref()
            .is_some_and(|stream| !stream.input().is_empty());
        let is_new = is_incomplete && self.incomplete_line_received_at.is_none();
        self.incomplete_line_received_at = is_incomplete.then_some(now);
        if is_new {
            let deadline = now + event_loop.limits.message_stall_timeout;
            event_loop.schedule(deadline, TimerEvent::PlatformLineTimeout);
        }
    }

    /// Closes the connection if an incomplete line has not grown for the stall timeout; otherwise waits again.
    pub(super) fn on_line_timeout(&mut self, event_loop: &mut EventLoop) {
        let Some(received_at) = self.incomplete_line_received_at else {
            return;
        };
        let deadline = received_at + event_loop.limits.message_stall_timeout;
        if event_loop.now() < deadline {
            return event_loop.schedule(deadline, TimerEvent::PlatformLineTimeout);
        }
        self.on_lost(event_loop, "a line does not end");
    }

    /// Handles one message of the platform.
    fn on_message(&mut self, event_loop: &mut EventLoop, message: PlatformMessage) {
        match message {
            PlatformMessage::Rollout(state) => {
                self.backoff = event_loop.limits.reconnect_backoff.initial;
                self.has_received_state = true;
                self.on_state(event_loop, &state, false);
            }
            PlatformMessage::Result { call, state } => {
                self.backoff = event_loop.limits.reconnect_backoff.initial;
                self.on_vote_result(event_loop, call, state);
            }
            PlatformMessage::Error { call, outcome } => {
                self.on_call_error(event_loop, call, outcome)
            }
            // The platform's word for a disputed response.
            PlatformMessage::Complaint {
                host,
                operation,
                age,
            } => {
                if let Some(&operation) = self.operations.get(operation.as_ref()) {
                    event_loop.notify_decisions(Event::AnswerDisputed {
                        host: HostId::from_name(&host),
                        operation,
                        age,
                    });
                }
            }
            PlatformMessage::Ping => {}
            PlatformMessage::Unknown => {
                debug!(event_loop.log, "unknown platform message")
            }
        }
    }

    /// Handles the platform's result of the vote with this call number.
    fn on_vote_result(
        &mut self,
        event_loop: &mut EventLoop,
        call: u64,
        state: Option<RolloutState>,
    ) {
        let Some(vote) = self.votes.remove(&call) else {
            return;
        };
        match state {
            Some(state) => self.on_state(event_loop, &state, true),
            // A result without a rollout state does not show whether the vote counts.
            None => {
                let status = timed_out(vote.status_if_unsent);
                event_loop.notify_decisions(Event::RolloutStatusReceived(status));
            }
        }
    }

    /// Handles an error of a call: a vote that does not count, or else the rejected subscription to the rollout. The
    /// log key `verdict` holds the outcome.
    fn on_call_error(&mut self, event_loop: &mut EventLoop, call: u64, outcome: AttemptOutcome) {
        let Some(vote) = self.votes.remove(&call) else {
            return warn!(event_loop.log, "platform subscription rejected"; "verdict" => ?outcome);
        };
        event_loop.metrics.increment(Counter::VotesNotCounted);
        debug!(event_loop.log, "vote not counted"; "verdict" => ?outcome);
        event_loop.notify_decisions(Event::RolloutStatusReceived(RolloutStatus {
            outcome,
            ..vote.status_if_unsent
        }));
    }

    /// Passes a rollout state to the decisions and keeps it for [`PlatformClient::take_received`].
    fn on_state(&mut self, event_loop: &mut EventLoop, state: &RolloutState, answers_vote: bool) {
        let RolloutState {
            build,
            stage,
            phase,
            cap,
            age,
        } = *state;
        info!(event_loop.log, "rollout status"; "build" => build.0, "stage" => stage, "phase" => ?phase, "cap" => cap,
            "age" => age, "answers_vote" => answers_vote);
        let status = state.to_status(answers_vote);
        event_loop.notify_decisions(Event::RolloutStatusReceived(status));
        self.received.push(status);
    }

    /// Handles the loss of the connection, or that it could not be opened, which is logged by the same line: gives up the
    /// pending votes and schedules a reconnect.
    fn on_lost(&mut self, event_loop: &mut EventLoop, why: &str) {
        warn!(event_loop.log, "platform connection lost"; "why" => why.to_owned());
        let now = event_loop.now();
        let jitter = event_loop.backoff_jitter();
        let max_backoff = event_loop.limits.reconnect_backoff.maximum;
        // Reconnects at once where the connection had lasted for the maximum backoff; otherwise with exponential backoff
        // and jitter.
        let was_stable = self.stream.is_some() && now - self.connected_at >= max_backoff;
        let wait = if was_stable {
            0.0
        } else {
            jitter * self.backoff
        };
        self.backoff = (2.0 * self.backoff).min(max_backoff);
        self.close(event_loop);
        event_loop.schedule(now + wait, TimerEvent::PlatformReconnect);
    }

    /// Closes the connection and gives up the votes cast on it.
    fn close(&mut self, event_loop: &mut EventLoop) {
        self.incomplete_line_received_at = None;
        if let Some(stream) = self.stream.take() {
            stream.close(&event_loop.reactor);
        }
        for vote in std::mem::take(&mut self.votes).into_values() {
            event_loop.notify_decisions(Event::RolloutStatusReceived(vote.abandon()));
        }
    }

    /// Closes the connection if nothing was received for the silence timeout.
    pub(super) fn check_silence(&mut self, event_loop: &mut EventLoop, now: f64) {
        let silence = now - self.last_received;
        if self.stream.is_some() && silence > event_loop.limits.platform.silence_timeout {
            self.on_lost(event_loop, "nothing was received for too long");
        }
    }

    fn next_call_number(&mut self) -> u64 {
        self.last_call_number += 1;
        self.last_call_number
    }
}

/// The status that the decisions get for a vote that was not sent. Its phase, cap and age are placeholders: the
/// decisions ignore the status where the outcome is not `Succeeded`.
pub(super) fn unsent_vote_status(build: BuildId, stage: u32) -> RolloutStatus {
    RolloutStatus {
        outcome: AttemptOutcome::NoConnection,
        build,
        stage,
        phase: Phase::Canary,
        cap: 0.0,
        age: 0.0,
        answers_vote: true,
    }
}

/// The status that the decisions get for a vote that was sent and may count.
fn timed_out(status: RolloutStatus) -> RolloutStatus {
    RolloutStatus {
        outcome: AttemptOutcome::TimedOut,
        ..status
    }
}
