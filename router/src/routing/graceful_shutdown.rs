//! The state machine of the graceful shutdown.
//!
//! New clients are served until the platform sends no more. Then idle connections are closed, while a client whose
//! command crossed the close may reconnect. Then the listener is closed, and the program ends once every admitted
//! request has a response. Requests that are still open shortly before SIGKILL are failed.

/// The stage of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    /// The shutdown was requested; the platform still sends new clients, and all are served.
    Serving,
    /// Connections are closed once they are idle; new clients are still served.
    Draining,
    /// All connections are closed. A client whose command crossed the close may reconnect.
    AwaitingReconnects,
    /// The listener is closed, and connections are closed after a shorter idle time, so that clients that are never
    /// idle for long finish too.
    Closing,
    /// Open requests were failed, and new ones are rejected at once.
    GivenUp,
    Finished,
}

/// What causes transitions of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShutdownInput {
    /// SIGTERM or SIGINT was received.
    Requested,
    /// The time in which the platform still sends new clients has passed.
    ServingOver,
    /// No client is connected after an iteration of the event loop.
    NoClients,
    /// Clients are connected after an iteration of the event loop.
    ClientsConnected,
    /// No client has reconnected during the wait for that.
    LastClientsOver,
    /// Half of the time between [`ShutdownInput::ServingOver`] and [`ShutdownInput::KillNear`] has passed.
    DrainingOver,
    /// SIGKILL comes soon.
    KillNear,
    /// The program must end before SIGKILL.
    Deadline,
}

/// What the caller does after a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShutdownAction {
    None,
    /// Schedule the timers of the shutdown.
    Begin,
    CloseIdleClients,
    AwaitReconnects,
    CloseListener,
    GiveUpOpenRequests,
}

/// An entry of the transition table: `input` in the state `from` leads to the state `to` and requires `action`.
struct Transition {
    from: State,
    input: ShutdownInput,
    to: State,
    action: ShutdownAction,
}

/// The transition table. An input that has no entry for the current state changes nothing, such as a second SIGTERM or
/// a timer of an earlier state.
const TRANSITIONS: [Transition; 13] = [
    Transition {
        from: State::Running,
        input: ShutdownInput::Requested,
        to: State::Serving,
        action: ShutdownAction::Begin,
    },
    Transition {
        from: State::Serving,
        input: ShutdownInput::ServingOver,
        to: State::Draining,
        action: ShutdownAction::CloseIdleClients,
    },
    Transition {
        from: State::Serving,
        input: ShutdownInput::KillNear,
        to: State::GivenUp,
        action: ShutdownAction::GiveUpOpenRequests,
    },
    Transition {
        from: State::Draining,
        input: ShutdownInput::NoClients,
        to: State::AwaitingReconnects,
        action: ShutdownAction::AwaitReconnects,
    },
    Transition {
        from: State::Draining,
        input: ShutdownInput::KillNear,
        to: State::GivenUp,
        action: ShutdownAction::GiveUpOpenRequests,
    },
    Transition {
        from: State::Draining,
        input: ShutdownInput::DrainingOver,
        to: State::Closing,
        action: ShutdownAction::CloseListener,
    },
    Transition {
        from: State::AwaitingReconnects,
        input: ShutdownInput::ClientsConnected,
        to: State::Draining,
        action: ShutdownAction::None,
    },
    Transition {
        from: State::AwaitingReconnects,
        input: ShutdownInput::DrainingOver,
        to: State::Closing,
        action: ShutdownAction::CloseListener,
    },
    Transition {
        from: State::AwaitingReconnects,
        input: ShutdownInput::LastClientsOver,
        to: State::Finished,
        action: ShutdownAction::None,
    },
    Transition {
        from: State::Closing,
        input: ShutdownInput::NoClients,
        to: State::Finished,
        action: ShutdownAction::None,
    },
    Transition {
        from: State::Closing,
        input: ShutdownInput::KillNear,
        to: State::GivenUp,
        action: ShutdownAction::GiveUpOpenRequests,
    },
    Transition {
        from: State::GivenUp,
        input: ShutdownInput::NoClients,
        to: State::Finished,
        action: ShutdownAction::None,
    },
    Transition {
        from: State::GivenUp,
        input: ShutdownInput::Deadline,
        to: State::Finished,
        action: ShutdownAction::None,
    },
];

/// The shutdown of this process.
pub(super) struct GracefulShutdown {
    state: State,
    /// Counts the waits for reconnecting clients, so that a timer of an earlier wait is ignored.
    reconnect_wait_number: u64,
    /// When open requests are given up, in Unix seconds; set once the shutdown is requested.
    gives_up_at: Option<f64>,
}

impl GracefulShutdown {
    pub(super) fn new() -> Self {
        GracefulShutdown {
            state: State::Running,
            reconnect_wait_number: 0,
            gives_up_at: None,
        }
    }

    /// Makes the transition for an input; returns what the caller has to do.
    pub(super) fn advance(&mut self, input: ShutdownInput) -> ShutdownAction {
        let transition = TRANSITIONS
            .iter()
            .find(|transition| transition.from == self.state && transition.input == input);
        let Some(transition) = transition else {
            return ShutdownAction::None;
        };
        self.state = transition.to;
        transition.action
    }

    /// Sets the time at which open requests are given up, in Unix seconds.
    pub(super) fn set_gives_up_at(&mut self, time: f64) {
        self.gives_up_at = Some(time);
    }

    /// Begins a wait for reconnecting clients; returns its number.
    pub(super) fn begin_reconnect_wait(&mut self) -> u64 {
        self.reconnect_wait_number += 1;
        self.reconnect_wait_number
    }

    /// Whether this is the number of the current wait for reconnecting clients.
    pub(super) fn is_current_reconnect_wait(&self, number: u64) -> bool {
        number == self.reconnect_wait_number
    }

    /// Whether idle connections are closed, once all their input is read.
    pub(super) fn is_draining(&self) -> bool {
        matches!(
            self.state,
            State::Draining | State::AwaitingReconnects | State::Closing | State::GivenUp
        )
    }

    /// Whether open requests were given up, so that new ones are rejected.
    pub(super) fn has_given_up(&self) -> bool {
        matches!(self.state, State::GivenUp | State::Finished)
    }

    pub(super) fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// Seconds until open requests are given up; infinite before the shutdown is requested.
    pub(super) fn time_left(&self, now: f64) -> f64 {
        self.gives_up_at
            .map_or(f64::INFINITY, |time| (time - now).max(0.0))
    }
}
