//! The reasons why NETCONF sessions and gNMI streams end, as log lines show them.

use thiserror::Error;

use crate::netconf::session::AbortReason;

/// The reason why a NETCONF session or a gNMI stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(crate) enum EndReason {
    #[error("all data sent")]
    Completed,
    #[error("closed by client")]
    Closed,
    #[error("client disconnected")]
    Disconnected,
    #[error("client sent no more requests")]
    NoMoreRequests,
    #[error("unexpected request")]
    UnexpectedRequest,
    #[error("key revoked")]
    KeyRevoked,
    #[error("killed by another session")]
    Killed,
    #[error("no hello in time")]
    HelloTimeout,
    #[error("invalid framing")]
    InvalidFraming,
    #[error(transparent)]
    Aborted(AbortReason),
    #[error("router stopping")]
    RouterStopping,
}
