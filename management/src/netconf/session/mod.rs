//! One NETCONF session, without I/O: each message leads to an action. The result of an action that performs an
//! operation of the commit service is passed back to the session, which turns it into the reply.
//!
//! Each session has a private candidate, based on the revision that was in force when the candidate was created. If two
//! sessions change the same leaf, the second commit fails and its error names the leaf (as in
//! draft-ietf-netconf-privcand). The edits of a request are applied all or none, whatever its error-option.

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

/// An operation that the commit service performs for a message.
#[derive(Clone, Debug)]
pub enum DatastoreOperation {
    /// Lock a datastore.
    Lock(Target),
    /// Release the lock of a datastore.
    Unlock(Target),
    /// Validate a candidate without committing it.
    Validate(Candidate),
    /// Commit the candidate of the session, or an edit of the running datastore.
    Commit {
        /// The candidate to commit.
        candidate: Candidate,
        /// The parameters of a confirmed commit; none if the commit is final at once.
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

/// The reason why a session ends without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AbortReason {
    /// The first message is not a hello.
    #[error("first message is not a hello")]
    NoHello,
    /// The client supports no version of the base protocol that the server supports.
    #[error("no common base version")]
    NoCommonVersion,
}

/// What the task of the session has to do after a message.
#[derive(Debug)]
pub enum SessionAction {
    /// Send the reply, unless it is empty.
    Reply(String),
    /// Perform the operation, and pass its result to [`Session::complete_operation`].
    Perform(DatastoreOperation),
    /// Send the reply and end the session.
    Close(String),
    /// Kill another session and send the reply.
    Kill(SessionId, String),
    /// Start to receive notifications and send the reply.
    Subscribe(String),
    /// End the session without a reply.
    Abort(AbortReason),
}

/// The state of one session.
pub struct Session {
    /// The session-id that the server's hello contains.
    pub id: SessionId,
    key_name: String,
    schema: &'static Schema,
    binding: std::sync::Arc<Binding>,
    hello_received: bool,
    client_supports_chunked_framing: bool,
    candidate: Option<Candidate>,
    subscribed: bool,
    /// The attributes of the current rpc as XML, which its reply repeats (RFC 6241, section 4.1).
    rpc_attributes: String,
}

impl Session {
    /// Creates a session that has not received a hello; `key_name` is the name of the client's key.
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

    /// Whether the session uses chunked framing from now on: the client's hello contains base version 1.1.
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
            Err(error) => return self.reject_malformed(&error.to_string()),
        };
        if !self.hello_received {
            return self.handle_client_hello(&element);
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

    /// Handles the first message of the client, which has to be a hello.
    fn handle_client_hello(&mut self, element: &Element) -> SessionAction {
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

    /// Replies with `malformed-message`, or ends a session that has not received a hello.
    fn reject_malformed(&self, problem: &str) -> SessionAction {
        if !self.hello_received {
            return SessionAction::Abort(AbortReason::NoHello);
        }
        // The message has no known message-id, so the reply has none either. The session continues.
        let error = RpcError::new(
            "rpc",
            "malformed-message",
            format!("message: {problem} (given: bytes; taken: an rpc)"),
        );
        let mut out = format!("<rpc-reply xmlns=\"{BASE_NAMESPACE}\">");
        error.write(&mut out);
        SessionAction::Reply(out + "</rpc-reply>")
    }

    /// Creates the reply for an operation that the commit service has performed. A commit or a cancelled commit
    /// discards the candidate of the session.
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
