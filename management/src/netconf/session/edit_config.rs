//! The operation `edit-config` (RFC 6241, section 7.2) on the candidate of the session or on the running datastore.

use kestreltide_datastore::commit_coordinator::Target;
use kestreltide_datastore::{Candidate, Rights, Tree};
use kestreltide_yang::data::InstancePath;
use kestreltide_yang::edit::{Operation, apply, edits_from_xml};
use kestreltide_yang::xml::Element;

use super::operations::{child_text, parse_target};
use super::rpc_error::{RpcError, edit_error, leaf_xpath};
use super::{DatastoreOperation, Session, SessionAction};
use crate::commit_service::CommitServiceHandle;

/// The optional parameters of `edit-config`.
struct EditOptions {
    /// The operation for elements without an `operation` attribute.
    default_operation: Operation,
    /// Whether the result is only validated and not applied (`test-only`).
    test_only: bool,
}

impl EditOptions {
    fn parse(operation: &Element) -> Result<Self, Vec<RpcError>> {
        let default_operation =
            child_text(operation, "default-operation").unwrap_or_else(|| "merge".into());
        let invalid = || {
            vec![RpcError::invalid_value(
                "default-operation",
                "no such operation",
                &default_operation,
                "merge, replace or none",
            )]
        };
        let default_operation =
            Operation::from_default_operation(&default_operation).ok_or_else(invalid)?;
        // The value is checked but has no effect: the edits of a request are always applied all or none.
        parse_option(
            operation,
            "error-option",
            ["stop-on-error", "continue-on-error", "rollback-on-error"],
        )?;
        let test_option = parse_option(
            operation,
            "test-option",
            ["test-then-set", "set", "test-only"],
        )?;
        Ok(EditOptions {
            default_operation,
            test_only: test_option == "test-only",
        })
    }
}

/// Parses a parameter that allows three values, of which the first is the default.
fn parse_option(
    operation: &Element,
    name: &str,
    expected: [&str; 3],
) -> Result<String, Vec<RpcError>> {
    let [first, second, third] = expected;
    let found = child_text(operation, name).unwrap_or_else(|| first.into());
    if expected.contains(&found.as_str()) {
        return Ok(found);
    }
    let expected = format!("{first}, {second} or {third}");
    Err(vec![RpcError::invalid_value(
        name,
        "no such option",
        &found,
        &expected,
    )])
}

impl Session {
    /// The candidate of the session; a new one is based on the revision in force.
    pub(super) fn candidate_mut(&mut self, commit_service: &CommitServiceHandle) -> &mut Candidate {
        self.candidate
            .get_or_insert_with(|| Candidate::new(&commit_service.status.load().in_force))
    }

    /// Applies the edits of a `config` element to a tree, all or none.
    pub(super) fn apply_config(
        &self,
        tree: &mut Tree,
        config: &Element,
        default_operation: Operation,
    ) -> Result<(), Vec<RpcError>> {
        let mut errors = vec![];
        let edits = edits_from_xml(
            self.schema,
            None,
            &InstancePath::default(),
            &config.children,
            &mut errors,
        );
        if errors.is_empty() {
            errors = apply(self.schema, &self.binding, tree, &edits, default_operation)
                .err()
                .unwrap_or_default();
        }
        if errors.is_empty() {
            Ok(())
        } else {
            Err(errors.iter().map(edit_error).collect())
        }
    }

    pub(super) fn edit_config(
        &mut self,
        operation: &Element,
        rights: Rights,
        commit_service: &CommitServiceHandle,
    ) -> Result<SessionAction, Vec<RpcError>> {
        let target = parse_target(operation, "target")?;
        let options = EditOptions::parse(operation)?;
        let config = operation
            .child("config")
            .ok_or_else(|| vec![RpcError::missing_element("config")])?;
        let mut candidate = match target {
            Target::Running => Candidate::new(&commit_service.status.load().in_force),
            Target::Candidate => self.candidate_mut(commit_service).clone(),
        };
        let tree_before = candidate.tree.clone();
        let default_operation = if options.default_operation == Operation::Replace {
            candidate.tree = Tree::default();
            Operation::Merge
        } else {
            options.default_operation
        };
        self.apply_config(&mut candidate.tree, config, default_operation)?;
        self.check_rights(&tree_before, &candidate.tree, rights, commit_service)?;
        if options.test_only {
            return Ok(SessionAction::Perform(DatastoreOperation::Validate(
                candidate,
            )));
        }
        match target {
            Target::Running => Ok(SessionAction::Perform(DatastoreOperation::Commit {
                candidate,
                confirmed_commit: None,
                persist_id: None,
            })),
            Target::Candidate => {
                self.candidate = Some(candidate);
                Ok(SessionAction::Reply(self.ok_reply()))
            }
        }
    }

    /// Rejects changes that the rights do not cover, and reports them to the commit service, which records them.
    pub(super) fn check_rights(
        &self,
        tree_before: &Tree,
        tree_after: &Tree,
        rights: Rights,
        commit_service: &CommitServiceHandle,
    ) -> Result<(), Vec<RpcError>> {
        rights
            .check(&tree_before.differences(tree_after))
            .map_err(|error| {
                let path = error.path.parse().ok().map(|path| leaf_xpath(&path));
                (commit_service.submit)(crate::CommitServiceRequest::RecordDeniedEdit {
                    author: self.author(),
                    error: error.clone(),
                });
                vec![RpcError {
                    path,
                    ..RpcError::new("application", "access-denied", error.to_string())
                }]
            })
    }
}
