//! One NETCONF session, without I/O: a message leads to a step, and some steps come back with the result of the commit
//! service.
//!
//! Each session has a candidate of its own, based on the revision that was in force when the candidate began. If two
//! sessions change the same leaf, the second commit fails and names the leaf (as draft-ietf-netconf-privcand has it).
//! Edits are applied all or none, whatever their error-option.

mod capabilities;
mod commit;
mod edit_config;
mod filter;
mod operations;
mod reply;
mod rollout_operations;
mod rpc_error;

use std::fmt::Write;

use kestreltide_datastore::commit_coordinator::{CommitError, ConfirmedCommit, SessionId, Target};
use kestreltide_datastore::{Author, Candidate, Rights, Source};
use kestreltide_yang::Schema;
use kestreltide_yang::binding::Binding;
use kestreltide_yang::xml::{self, Attribute, Element, XmlLimits, escaped};
use thiserror::Error;

pub use self::capabilities::BASE_NAMESPACE;
use self::capabilities::{BASE_1_0_CAPABILITY, BASE_1_1_CAPABILITY};
use self::rpc_error::{RpcError, commit_errors};
use crate::commit_service::CommitServiceHandle;

/// An operation of the commit service that a message leads to.
#[derive(Clone, Debug)]
pub enum DatastoreOperation {
    /// Lock a datastore.
    Lock(Target),
    /// Release the lock of a datastore.
    Unlock(Target),
    /// Check a candidate without committing it.
    Validate(Candidate),
    /// Commit the candidate of the session, or one edit of the running datastore.
    Commit {
        /// The candidate to commit.
        candidate: Candidate,
        /// The time in which it has to be confirmed; none if it is final.
        confirmed_commit: Option<ConfirmedCommit>,
        /// The persist-id of the pending commit, if it has one.
        persist_id: Option<String>,
    },
    /// Confirm the pending commit.
    ConfirmCommit {
        /// The persist-id of the pending commit, if it has one.
        persist_id: Option<String>,
    },
    /// Roll back the pending commit.
    CancelCommit {
        /// The persist-id of the pending commit, if it has one.
        persist_id: Option<String>,
    },
}

/// Why a session ends without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AbortReason {
    /// The first message is not a hello.
    #[error("first message is not a hello")]
    NoHello,
    /// Client and server have no version of the base protocol in common.
    #[error("no common base version")]
    NoCommonVersion,
}

/// What to do after a message.
#[derive(Debug)]
pub enum SessionAction {
    /// Send the reply; an empty one is not sent.
    Reply(String),
    /// Perform the operation, and pass its result to [`Session::complete_operation`].
    Perform(DatastoreOperation),
    /// Send the reply and end the session.
    Close(String),
    /// End another session and send the reply.
    Kill(SessionId, String),
    /// Send the reply, and notifications from then on.
    Subscribe(String),
    /// End the session without a reply.
    Abort(AbortReason),
}

/// The state of one session.
pub struct Session {
    /// The id that hello gave the session.
    pub id: SessionId,
    key_name: String,
    schema: &'static Schema,
    binding: std::sync::Arc<Binding>,
    hello_received: bool,
    client_supports_chunked_framing: bool,
    candidate: Option<Candidate>,
    subscribed: bool,
    /// The attributes of the current rpc, which its reply repeats.
    rpc_attributes: String,
}

impl Session {
    /// A session that has not received a hello; `name` is that of the key of the client.
    pub fn new(
        id: SessionId,
        key_name: &str,
        schema: &'static Schema,
        binding: std::sync::Arc<Binding>,
    ) -> Self {
        Session {
            id,
            key_name: key_name.into(),
            schema,
            binding,
            hello_received: false,
            client_supports_chunked_framing: false,
            candidate: None,
            subscribed: false,
            rpc_attributes: String::new(),
        }
    }

    /// Whether the hello of the client has been received.
    pub fn hello_received(&self) -> bool {
        self.hello_received
    }

    /// Whether messages are chunked from now on, since both sides support version 1.1.
    pub fn uses_chunked_framing(&self) -> bool {
        self.hello_received && self.client_supports_chunked_framing
    }

    /// Handles a message of the client.
    pub fn handle_message(
        &mut self,
        bytes: &[u8],
        rights: Rights,
        commit_service: &CommitServiceHandle,
    ) -> SessionAction {
        let Ok(text) = std::str::from_utf8(bytes) else {
            return self.reject_malformed("is not UTF-8");
        };
        let element = match xml::parse(text, &XmlLimits::default()) {
            Ok(element) => element,
            Err(why) => return self.reject_malformed(&why.to_string()),
        };
        if !self.hello_received {
            return self.client_hello(&element);
        }
        if element.name != "rpc" || element.namespace != BASE_NAMESPACE {
            return self.reject_malformed("is no rpc");
        }
        self.rpc_attributes.clear();
        let unqualified = element
            .attributes
            .iter()
            .filter(|attribute| attribute.namespace.is_empty());
        for Attribute { name, value, .. } in unqualified {
            let _ = write!(self.rpc_attributes, " {name}=\"{}\"", escaped(value));
        }
        if element.attribute("", "message-id").is_none() {
            let error = RpcError::new(
                "rpc",
                "missing-attribute",
                "rpc: has no message-id (given: nothing; taken: message-id)",
            );
            return SessionAction::Reply(
                self.error_reply(&[error.with_bad_attribute("message-id", "rpc")]),
            );
        }
        let [operation] = element.children.as_slice() else {
            return SessionAction::Reply(
                self.error_reply(&[RpcError::missing_element("operation")]),
            );
        };
        self.handle_operation(operation, rights, commit_service)
            .unwrap_or_else(|errors| SessionAction::Reply(self.error_reply(&errors)))
    }

    /// The first message of the client.
    fn client_hello(&mut self, element: &Element) -> SessionAction {
        let capabilities = element
            .child("capabilities")
            .filter(|_| element.name == "hello" && element.namespace == BASE_NAMESPACE);
        let Some(capabilities) = capabilities else {
            return SessionAction::Abort(AbortReason::NoHello);
        };
        let supports = |base: &str| {
            capabilities
                .children
                .iter()
                .any(|child| child.text.trim() == base)
        };
        if !supports(BASE_1_0_CAPABILITY) && !supports(BASE_1_1_CAPABILITY) {
            return SessionAction::Abort(AbortReason::NoCommonVersion);
        }
        self.hello_received = true;
        self.client_supports_chunked_framing = supports(BASE_1_1_CAPABILITY);
        SessionAction::Reply(String::new())
    }

    fn reject_malformed(&self, why: &str) -> SessionAction {
        // There is no message-id to answer with (RFC 6241, section 4.1); the session goes on.
        if !self.hello_received {
            return SessionAction::Abort(AbortReason::NoHello);
        }
        let error = RpcError::new(
            "rpc",
            "malformed-message",
            format!("message: {why} (given: bytes; taken: an rpc)"),
        );
        let mut out = format!("<rpc-reply xmlns=\"{BASE_NAMESPACE}\">");
        error.write(&mut out);
        SessionAction::Reply(out + "</rpc-reply>")
    }

    /// The reply to a message whose operation the commit service has performed.
    pub fn complete_operation(
        &mut self,
        operation: &DatastoreOperation,
        result: Result<(), CommitError>,
    ) -> String {
        match result {
            Ok(()) => {
                if matches!(
                    operation,
                    DatastoreOperation::Commit { .. } | DatastoreOperation::CancelCommit { .. }
                ) {
                    self.candidate = None;
                }
                self.ok_reply()
            }
            Err(error) => self.error_reply(&commit_errors(&error)),
        }
    }

    /// The author of the revisions that the session commits.
    pub fn author(&self) -> Author {
        Author {
            source: Source::Management,
            name: self.key_name.clone(),
            version: format!("netconf session {}", self.id),
        }
    }
}
