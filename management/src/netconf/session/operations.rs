//! Dispatches the operations of RPCs, and handles those that have no module of their own.

use kestreltide_datastore::commit_coordinator::{SessionId, Target};
use kestreltide_datastore::{Candidate, Rights, Tree};
use kestreltide_yang::edit::Operation;
use kestreltide_yang::xml::{Element, escaped};

use super::capabilities::{BASE_NAMESPACE, MONITORING_NAMESPACE, NOTIFICATION_NAMESPACE};
use super::rpc_error::{RpcError, access_denied, operation_not_supported};
use super::{DatastoreOperation, Session, SessionAction};
use crate::commit_service::CommitServiceHandle;
use crate::state;

impl Session {
    /// Handles the operation of an RPC.
    pub(super) fn handle_operation(
        &mut self,
        operation: &Element,
        rights: Rights,
        commit_service: &CommitServiceHandle,
    ) -> Result<SessionAction, Vec<RpcError>> {
        let model_module = self
            .schema
            .modules
            .iter()
            .find(|module| module.namespace == operation.namespace);
        if let Some(module) = model_module {
            let name = format!("{}:{}", module.name, operation.name);
            return self.rollout_operation(operation, &name, rights, commit_service);
        }
        match (operation.namespace.as_str(), operation.name.as_str()) {
            (BASE_NAMESPACE, "get" | "get-config") => self.get(operation, rights, commit_service),
            (BASE_NAMESPACE, "edit-config") => self.edit_config(operation, rights, commit_service),
            (BASE_NAMESPACE, "copy-config") => Err(vec![operation_not_supported(
                "copy-config",
                "edit-config with replace",
            )]),
            (BASE_NAMESPACE, "delete-config") => Err(vec![operation_not_supported(
                "delete-config",
                "edit-config with delete",
            )]),
            (BASE_NAMESPACE, "lock") => Ok(SessionAction::Perform(DatastoreOperation::Lock(
                parse_target(operation, "target")?,
            ))),
            (BASE_NAMESPACE, "unlock") => Ok(SessionAction::Perform(DatastoreOperation::Unlock(
                parse_target(operation, "target")?,
            ))),
            (BASE_NAMESPACE, "validate") => self.validate(operation, commit_service),
            (BASE_NAMESPACE, "commit") => self.commit(operation, rights, commit_service),
            (BASE_NAMESPACE, "cancel-commit") => {
                Ok(SessionAction::Perform(DatastoreOperation::CancelCommit {
                    persist_id: child_text(operation, "persist-id"),
                }))
            }
            (BASE_NAMESPACE, "discard-changes") => {
                self.candidate = None;
                Ok(SessionAction::Reply(self.ok_reply()))
            }
            (BASE_NAMESPACE, "close-session") => Ok(SessionAction::Close(self.ok_reply())),
            (BASE_NAMESPACE, "kill-session") => self.kill_session(operation),
            (NOTIFICATION_NAMESPACE, "create-subscription") => {
                self.create_subscription(operation, rights)
            }
            (MONITORING_NAMESPACE, "get-schema") => self.get_schema(operation),
            (_, other) => {
                let error = RpcError::unknown_element(other);
                Err(vec![RpcError {
                    error_tag: "operation-not-supported".into(),
                    ..error
                }])
            }
        }
    }

    /// Handles `get`, which returns the configuration in force and the state of the router, and `get-config`, which
    /// returns the configuration of one datastore.
    fn get(
        &mut self,
        operation: &Element,
        rights: Rights,
        commit_service: &CommitServiceHandle,
    ) -> Result<SessionAction, Vec<RpcError>> {
        if !rights.read {
            return Err(vec![access_denied("reading", rights)]);
        }
        let filter = self.parse_filter(operation.child("filter"))?;
        let data = if operation.name == "get" {
            state::operational_data(
                self.schema,
                &self.binding,
                &commit_service.operational_state.load(),
                &commit_service.status.load(),
            )
        } else {
            let tree = match parse_target(operation, "source")? {
                Target::Running => commit_service.status.load().in_force.tree.clone(),
                Target::Candidate => {
                    std::sync::Arc::new(self.candidate_mut(commit_service).tree.clone())
                }
            };
            self.binding.configuration_data(self.schema, &tree)
        };
        Ok(SessionAction::Reply(
            self.data_reply(&filter.prune(self.schema, &[data])),
        ))
    }

    fn validate(
        &mut self,
        operation: &Element,
        commit_service: &CommitServiceHandle,
    ) -> Result<SessionAction, Vec<RpcError>> {
        let source = operation
            .child("source")
            .ok_or_else(|| vec![RpcError::missing_element("source")])?;
        let candidate = match source.child("config") {
            Some(config) => {
                let mut candidate = Candidate::new(&commit_service.status.load().in_force);
                candidate.tree = Tree::default();
                self.apply_config(&mut candidate.tree, config, Operation::Merge)?;
                candidate
            }
            None => match parse_target(operation, "source")? {
                Target::Running => Candidate::new(&commit_service.status.load().in_force),
                Target::Candidate => self.candidate_mut(commit_service).clone(),
            },
        };
        Ok(SessionAction::Perform(DatastoreOperation::Validate(
            candidate,
        )))
    }

    fn kill_session(&self, operation: &Element) -> Result<SessionAction, Vec<RpcError>> {
        let value = child_text(operation, "session-id")
            .ok_or_else(|| vec![RpcError::missing_element("session-id")])?;
        let session = value
            .parse()
            .ok()
            .filter(|number| *number != self.id.0 && *number > 0);
        let invalid = || {
            vec![RpcError::invalid_value(
                "session-id",
                "is no other session",
                &value,
                "another session's id",
            )]
        };
        Ok(SessionAction::Kill(
            SessionId(session.ok_or_else(invalid)?),
            self.ok_reply(),
        ))
    }

    /// Handles `create-subscription` (RFC 5277, section 2.1.1), without replay and without filters.
    fn create_subscription(
        &mut self,
        operation: &Element,
        rights: Rights,
    ) -> Result<SessionAction, Vec<RpcError>> {
        if !rights.read {
            return Err(vec![access_denied("reading", rights)]);
        }
        if self.subscribed {
            return Err(vec![RpcError::new(
                "protocol",
                "in-use",
                "this session is subscribed already",
            )]);
        }
        let stream = child_text(operation, "stream").unwrap_or_else(|| "NETCONF".into());
        if stream != "NETCONF" {
            return Err(vec![RpcError::invalid_value(
                "stream",
                "no such stream",
                &stream,
                "NETCONF",
            )]);
        }
        if let Some(other) = ["startTime", "stopTime", "filter"]
            .into_iter()
            .find(|name| operation.child(name).is_some())
        {
            return Err(vec![operation_not_supported(
                other,
                "a subscription from now on, to everything",
            )]);
        }
        self.subscribed = true;
        Ok(SessionAction::Subscribe(self.ok_reply()))
    }

    /// Handles `get-schema` (RFC 6022, section 3.1): returns the text of a YANG module.
    fn get_schema(&self, operation: &Element) -> Result<SessionAction, Vec<RpcError>> {
        let name = child_text(operation, "identifier")
            .ok_or_else(|| vec![RpcError::missing_element("identifier")])?;
        let module = self
            .schema
            .modules
            .iter()
            .find(|module| module.name == name);
        let known: Vec<_> = self
            .schema
            .modules
            .iter()
            .map(|module| module.name.as_str())
            .collect();
        let module = module.ok_or_else(|| {
            vec![RpcError::invalid_value(
                "identifier",
                "no such module",
                &name,
                &known.join(", "),
            )]
        })?;
        let out = format!(
            "<rpc-reply xmlns=\"{BASE_NAMESPACE}\"{}><data xmlns=\"{MONITORING_NAMESPACE}\">",
            self.rpc_attributes
        );
        Ok(SessionAction::Reply(format!(
            "{out}{}</data></rpc-reply>",
            escaped(&module.text)
        )))
    }
}

/// The trimmed text of a child element; none if there is no such child.
pub(super) fn child_text(operation: &Element, name: &str) -> Option<String> {
    operation
        .child(name)
        .map(|child| child.text.trim().to_owned())
}

/// Parses the datastore that a parameter of an operation names.
pub(super) fn parse_target(operation: &Element, name: &str) -> Result<Target, Vec<RpcError>> {
    let parameter = operation
        .child(name)
        .ok_or_else(|| vec![RpcError::missing_element(name)])?;
    match parameter.children.first().map(|child| child.name.as_str()) {
        Some("running") => Ok(Target::Running),
        Some("candidate") => Ok(Target::Candidate),
        Some(other) => Err(vec![RpcError::invalid_value(
            name,
            "no such datastore",
            other,
            "running or candidate",
        )]),
        None => Err(vec![RpcError::missing_element(name)]),
    }
}
