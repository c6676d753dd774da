//! The operations of rpcs, and those that need no module of their own.

use kestreltide_datastore::commit_coordinator::{SessionId, Target};
use kestreltide_datastore::{Candidate, Rights, Tree};
use kestreltide_yang::edit::Operation;
use kestreltide_yang::xml::{Element, escaped};

use super::capabilities::{BASE, MONITORING, NOTIFICATIONS};
use super::rpc_error::{RpcError, denied, unsupported};
use super::{DatastoreOperation, Session, Step};
use crate::commit_service::CommitServiceHandle;
use crate::state;

impl Session {
    /// Handles the operation of an rpc.
    pub(super) fn operation(
        &mut self,
        operation: &Element,
        rights: Rights,
        commit_service: &CommitServiceHandle,
    ) -> Result<Step, Vec<RpcError>> {
        let own = self
            .schema
            .modules
            .iter()
            .find(|module| module.namespace == operation.namespace);
        if let Some(module) = own {
            let name = format!("{}:{}", module.name, operation.name);
            return self.rollout_operation(operation, &name, rights, commit_service);
        }
        match (operation.namespace.as_str(), operation.name.as_str()) {
            (BASE, "get" | "get-config") => self.get(operation, rights, commit_service),
            (BASE, "edit-config") => self.edit_config(operation, rights, commit_service),
            (BASE, "copy-config") => {
                Err(vec![unsupported("copy-config", "edit-config with replace")])
            }
            (BASE, "delete-config") => Err(vec![unsupported(
                "delete-config",
                "edit-config with delete",
            )]),
            (BASE, "lock") => Ok(Step::Perform(DatastoreOperation::Lock(target(
                operation, "target",
            )?))),
            (BASE, "unlock") => Ok(Step::Perform(DatastoreOperation::Unlock(target(
                operation, "target",
            )?))),
            (BASE, "validate") => self.validate(operation, commit_service),
            (BASE, "commit") => self.commit(operation, rights, commit_service),
            (BASE, "cancel-commit") => Ok(Step::Perform(DatastoreOperation::Cancel {
                persist_id: text(operation, "persist-id"),
            })),
            (BASE, "discard-changes") => {
                self.candidate = None;
                Ok(Step::Reply(self.ok()))
            }
            (BASE, "close-session") => Ok(Step::Close(self.ok())),
            (BASE, "kill-session") => self.kill_session(operation),
            (NOTIFICATIONS, "create-subscription") => self.create_subscription(operation, rights),
            (MONITORING, "get-schema") => self.get_schema(operation),
            (_, other) => {
                let error = RpcError::unknown(other);
                Err(vec![RpcError {
                    tag: "operation-not-supported".into(),
                    ..error
                }])
            }
        }
    }

    /// `get`: the configuration in force and the state of the router. `get-config`: the configuration of one datastore.
    fn get(
        &mut self,
        operation: &Element,
        rights: Rights,
        commit_service: &CommitServiceHandle,
    ) -> Result<Step, Vec<RpcError>> {
        if !rights.read {
            return Err(vec![denied("reading", rights)]);
        }
        let filter = self.filter(operation.child("filter"))?;
        let data = if operation.name == "get" {
            state::operational_data(
                self.schema,
                &self.binding,
                &commit_service.operational_state.load(),
                &commit_service.status.load(),
            )
        } else {
            let tree = match target(operation, "source")? {
                Target::Running => commit_service.status.load().in_force.tree.clone(),
                Target::Candidate => {
                    std::sync::Arc::new(self.candidate(commit_service).tree.clone())
                }
            };
            self.binding.configuration_data(self.schema, &tree)
        };
        Ok(Step::Reply(self.data(&filter.prune(self.schema, &[data]))))
    }

    fn validate(
        &mut self,
        operation: &Element,
        commit_service: &CommitServiceHandle,
    ) -> Result<Step, Vec<RpcError>> {
        let source = operation
            .child("source")
            .ok_or_else(|| vec![RpcError::missing("source")])?;
        let candidate = match source.child("config") {
            Some(config) => {
                let mut candidate = Candidate::new(&commit_service.status.load().in_force);
                candidate.tree = Tree::default();
                self.apply_config(&mut candidate.tree, config, Operation::Merge)?;
                candidate
            }
            None => match target(operation, "source")? {
                Target::Running => Candidate::new(&commit_service.status.load().in_force),
                Target::Candidate => self.candidate(commit_service).clone(),
            },
        };
        Ok(Step::Perform(DatastoreOperation::Validate(candidate)))
    }

    fn kill_session(&self, operation: &Element) -> Result<Step, Vec<RpcError>> {
        let value =
            text(operation, "session-id").ok_or_else(|| vec![RpcError::missing("session-id")])?;
        let session = value
            .parse()
            .ok()
            .filter(|number| *number != self.id.0 && *number > 0);
        let invalid = || {
            vec![RpcError::invalid(
                "session-id",
                "is no other session",
                &value,
                "another session's id",
            )]
        };
        Ok(Step::Kill(
            SessionId(session.ok_or_else(invalid)?),
            self.ok(),
        ))
    }

    /// Subscribes to all notifications from now on (RFC 5277, section 2.1.1).
    fn create_subscription(
        &mut self,
        operation: &Element,
        rights: Rights,
    ) -> Result<Step, Vec<RpcError>> {
        if !rights.read {
            return Err(vec![denied("reading", rights)]);
        }
        if self.subscribed {
            return Err(vec![RpcError::new(
                "protocol",
                "in-use",
                "this session is subscribed already",
            )]);
        }
        let stream = text(operation, "stream").unwrap_or_else(|| "NETCONF".into());
        if stream != "NETCONF" {
            return Err(vec![RpcError::invalid(
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
            return Err(vec![unsupported(
                other,
                "a subscription from now on, to everything",
            )]);
        }
        self.subscribed = true;
        Ok(Step::Subscribe(self.ok()))
    }

    /// Replies with the text of a module (RFC 6022, section 3.1).
    fn get_schema(&self, operation: &Element) -> Result<Step, Vec<RpcError>> {
        let name =
            text(operation, "identifier").ok_or_else(|| vec![RpcError::missing("identifier")])?;
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
            vec![RpcError::invalid(
                "identifier",
                "no such module",
                &name,
                &known.join(", "),
            )]
        })?;
        let out = format!(
            "<rpc-reply xmlns=\"{BASE}\"{}><data xmlns=\"{MONITORING}\">",
            self.attributes
        );
        Ok(Step::Reply(format!(
            "{out}{}</data></rpc-reply>",
            escaped(&module.text)
        )))
    }
}

pub(super) fn text(operation: &Element, name: &str) -> Option<String> {
    operation
        .child(name)
        .map(|child| child.text.trim().to_owned())
}

/// The datastore that a parameter of an operation names.
pub(super) fn target(operation: &Element, name: &str) -> Result<Target, Vec<RpcError>> {
    let named = operation
        .child(name)
        .ok_or_else(|| vec![RpcError::missing(name)])?;
    match named.children.first().map(|child| child.name.as_str()) {
        Some("running") => Ok(Target::Running),
        Some("candidate") => Ok(Target::Candidate),
        Some(other) => Err(vec![RpcError::invalid(
            name,
            "no such datastore",
            other,
            "running or candidate",
        )]),
        None => Err(vec![RpcError::missing(name)]),
    }
}
