//! The model's own operations on the build on trial, each a commit of one edit.

use kestreltide_datastore::{Candidate, Path, Rights};
use kestreltide_yang::data::InstancePath;
use kestreltide_yang::edit::edits_from_xml;
use kestreltide_yang::xml::Element;

use super::rpc_error::{RpcError, edit_error, validation_error};
use super::{DatastoreOperation, Session, Step};
use crate::commit_service::CommitServiceHandle;

impl Session {
    /// The model's own operations: what is asked of the build on trial.
    pub(super) fn rollout_operation(
        &mut self,
        operation: &Element,
        name: &str,
        rights: Rights,
        commit_service: &CommitServiceHandle,
    ) -> Result<Step, Vec<RpcError>> {
        let Some(input) = self.schema.rpcs.get(&operation.name).copied() else {
            let known: Vec<_> = self.schema.rpcs.keys().map(String::as_str).collect();
            let error = RpcError::invalid(
                name,
                "no such operation",
                &operation.name,
                &known.join(", "),
            );
            return Err(vec![RpcError {
                tag: "operation-not-supported".into(),
                ..error
            }]);
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
        let build = edits
            .iter()
            .find(|edit| edit.step.name == "build")
            .and_then(|edit| edit.value.clone());
        let mut candidate = Candidate::new(&commit_service.published.load().in_force);
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
            for (at, text) in [("ring/build", build.as_str()), (leaf, "true")] {
                let path: Path = at.parse().map_err(|error| vec![validation_error(&error)])?;
                self.binding
                    .set_leaf(&mut candidate.tree, &path, text)
                    .map_err(|error| vec![validation_error(&error)])?;
            }
        }
        self.check_rights(&before, &candidate.tree, rights, commit_service)?;
        Ok(Step::Perform(DatastoreOperation::Commit {
            candidate,
            confirm: None,
            persist_id: None,
        }))
    }
}
