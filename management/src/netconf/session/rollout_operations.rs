//! The RPCs of the published model. `hold-trial` and `take-trial-back` commit the request to hold or roll back the
//! canary build, and `let-trial-go` commits its removal.

use kestreltide_datastore::{Candidate, Path, Rights, Tree};
use kestreltide_yang::data::InstancePath;
use kestreltide_yang::edit::edits_from_xml;
use kestreltide_yang::xml::Element;

use super::rpc_error::{RpcError, edit_error, validation_error};
use super::{DatastoreOperation, Session, SessionAction};
use crate::commit_service::CommitServiceHandle;

impl Session {
    /// Handles an RPC of the published model; `name` is `module:operation`, for error messages.
    pub(super) fn rollout_operation(
        &mut self,
        operation: &Element,
        name: &str,
        rights: Rights,
        commit_service: &CommitServiceHandle,
    ) -> Result<SessionAction, Vec<RpcError>> {
        let build = self.parse_build(operation, name)?;
        let mut candidate = Candidate::new(&commit_service.status.load().in_force);
        let tree_before = candidate.tree.clone();
        if operation.name == "let-trial-go" {
            candidate.tree.rollout = Default::default();
        } else {
            let build = build.ok_or_else(|| vec![RpcError::missing_element("build")])?;
            let leaf = if operation.name == "hold-trial" {
                "ring/hold"
            } else {
                "ring/back"
            };
            self.set_leaf(&mut candidate.tree, "ring/build", &build)?;
            self.set_leaf(&mut candidate.tree, leaf, "true")?;
        }
        self.check_rights(&tree_before, &candidate.tree, rights, commit_service)?;
        Ok(SessionAction::Perform(DatastoreOperation::Commit {
            candidate,
            confirmed_commit: None,
            persist_id: None,
        }))
    }

    /// Parses the input of an RPC and returns its build, if it has one.
    fn parse_build(
        &self,
        operation: &Element,
        name: &str,
    ) -> Result<Option<String>, Vec<RpcError>> {
        let Some(input) = self.schema.rpcs.get(&operation.name).copied() else {
            return Err(vec![self.unknown_rpc(operation, name)]);
        };
        let mut errors = vec![];
        let edits = edits_from_xml(
            self.schema,
            Some(input),
            &InstancePath::default(),
            &operation.children,
            &mut errors,
        );
        if !errors.is_empty() {
            return Err(errors.iter().map(edit_error).collect());
        }
        let build = edits.into_iter().find(|edit| edit.step.name == "build");
        Ok(build.and_then(|edit| edit.value))
    }

    fn unknown_rpc(&self, operation: &Element, name: &str) -> RpcError {
        let known: Vec<_> = self.schema.rpcs.keys().map(String::as_str).collect();
        let known = known.join(", ");
        let error = RpcError::invalid_value(name, "no such operation", &operation.name, &known);
        RpcError {
            error_tag: "operation-not-supported".into(),
            ..error
        }
    }

    fn set_leaf(&self, tree: &mut Tree, path: &str, text: &str) -> Result<(), Vec<RpcError>> {
        let path: Path = path
            .parse()
            .map_err(|error| vec![validation_error(&error)])?;
        self.binding
            .set_leaf(tree, &path, text)
            .map_err(|error| vec![validation_error(&error)])
    }
}
