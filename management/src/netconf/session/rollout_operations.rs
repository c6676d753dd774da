//! The RPCs of the published model: they hold, roll back and release the canary build, each by a commit.

use kestreltide_datastore::{Candidate, Path, Rights, Tree};
use kestreltide_yang::data::InstancePath;
use kestreltide_yang::edit::edits_from_xml;
use kestreltide_yang::xml::Element;

use super::rpc_error::{RpcError, edit_error, validation_error};
use super::{DatastoreOperation, Session, Step};
use crate::commit_service::CommitServiceHandle;

impl Session {
    /// An RPC of the published model; `name` carries its module.
    pub(super) fn rollout_operation(
        &mut self,
        operation: &Element,
        name: &str,
        rights: Rights,
        commit_service: &CommitServiceHandle,
    ) -> Result<Step, Vec<RpcError>> {
        let build = self.build_of(operation, name)?;
        let mut candidate = Candidate::new(&commit_service.status.load().in_force);
        let before = candidate.tree.clone();
        if operation.name == "let-trial-go" {
            candidate.tree.rollout = Default::default();
        } else {
            let build = build.ok_or_else(|| vec![RpcError::missing("build")])?;
            let leaf = if operation.name == "hold-trial" {
                "ring/hold"
            } else {
                "ring/back"
            };
            self.set_leaf(&mut candidate.tree, "ring/build", &build)?;
            self.set_leaf(&mut candidate.tree, leaf, "true")?;
        }
        self.check_rights(&before, &candidate.tree, rights, commit_service)?;
        Ok(Step::Perform(DatastoreOperation::Commit {
            candidate,
            confirm: None,
            persist_id: None,
        }))
    }

    /// The build that the input of an RPC names, if any.
    fn build_of(&self, operation: &Element, name: &str) -> Result<Option<String>, Vec<RpcError>> {
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
        let error = RpcError::invalid(name, "no such operation", &operation.name, &known);
        RpcError {
            tag: "operation-not-supported".into(),
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
