//! The state machine of the graceful shutdown.
//!
//! Clients still come for a while and are served; then connections are closed as they fall quiet, while whoever
//! crosses that may come again; then nobody comes any more, and the program ends once every admitted request is
//! answered, be it by giving it up.

/// How far the shutdown is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Running,
    /// The shutdown was requested, but clients do not know yet.
    Serving,
    /// Connections are closed as they fall idle; whoever still comes is served first.
    Draining,
    /// All connections are closed: a client that crossed the close of one comes again on a new one.
    AwaitingReconnects,
    /// The listener is closed, so that clients that are never quiet for long end too.
    Closing,
    /// Open requests have been given up and answered, and what still comes is rejected at once.
    GivenUp,
    Finished,
}

/// What moves the shutdown on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShutdownInput {
    Requested,
    /// The time is over in which the platform sends new connections.
    ServingOver,
    NoClients,
    ClientsConnected,
    /// No client has come again for a while.
    LastClientsOver,
    /// Half of the time left is over.
    DrainingOver,
    /// SIGKILL is near.
    KillNear,
    Deadline,
}

/// What is to be done after a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShutdownAction {
    None,
    Begin,
    CloseIdleClients,
    AwaitReconnects,
    CloseListener,
    GiveUpOpenRequests,
}

struct Transition {
    from: State,
    input: ShutdownInput,
    to: State,
    action: ShutdownAction,
}

/// An input that is not in the table changes nothing: a second SIGTERM, a timer of a state that has passed.
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
    /// How often all connections were closed: a timer of an earlier time is known by it.
    reconnect_wait_number: u64,
    /// The last time before SIGKILL, once the shutdown is requested.
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

    /// Moves on by an input; returns what is to be done then.
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

    /// Sets the time (Unix, seconds) at which open requests are given up.
    pub(super) fn set_gives_up_at(&mut self, time: f64) {
        self.gives_up_at = Some(time);
    }

    /// Begins to wait for clients that come again; returns the number of this wait.
    pub(super) fn begin_reconnect_wait(&mut self) -> u64 {
        self.reconnect_wait_number += 1;
        self.reconnect_wait_number
    }

    /// Whether this is the number of the current wait.
    pub(super) fn is_current_reconnect_wait(&self, number: u64) -> bool {
        number == self.reconnect_wait_number
    }

    /// Whether connections without use are closed, once nothing that came on them is left unread.
    pub(super) fn is_draining(&self) -> bool {
        matches!(
            self.state,
            State::Draining | State::AwaitingReconnects | State::Closing | State::GivenUp
        )
    }

    /// Whether there is no time left to serve what comes.
    pub(super) fn has_given_up(&self) -> bool {
        matches!(self.state, State::GivenUp | State::Finished)
    }

    pub(super) fn is_finished(&self) -> bool {
        self.state == State::Finished
    }

    /// The seconds that are left before open requests are given up; infinite while the router runs.
    pub(super) fn time_left(&self, now: f64) -> f64 {
        self.gives_up_at
            .map_or(f64::INFINITY, |time| (time - now).max(0.0))
    }
}
