//! `edit-config` (RFC 6241, section 7.2): edits of the candidate of the session or of the running datastore.

use kestreltide_datastore::commit_coordinator::Target;
use kestreltide_datastore::{Candidate, Rights, Tree};
use kestreltide_yang::data::InstancePath;
use kestreltide_yang::edit::{Operation, apply, edits_from_xml};
use kestreltide_yang::xml::Element;

use super::operations::{target, text};
use super::rpc_error::{RpcError, edit_error, xpath};
use super::{DatastoreOperation, Session, Step};
use crate::commit_service::CommitServiceHandle;

/// The parameters of an edit-config.
struct EditOptions {
    /// The operation of elements without one.
    default: Operation,
    /// Whether the result is only checked.
    test_only: bool,
}

impl EditOptions {
    fn parse(operation: &Element) -> Result<Self, Vec<RpcError>> {
        let default = text(operation, "default-operation").unwrap_or_else(|| "merge".into());
        let invalid = || {
            vec![RpcError::invalid(
                "default-operation",
                "no such operation",
                &default,
                "merge, replace or none",
            )]
        };
        let default = Operation::from_default_operation(&default).ok_or_else(invalid)?;
        // Edits are applied all or none, whatever the option.
        option(
            operation,
            "error-option",
            ["stop-on-error", "continue-on-error", "rollback-on-error"],
        )?;
        let test = option(
            operation,
            "test-option",
            ["test-then-set", "set", "test-only"],
        )?;
        Ok(EditOptions {
            default,
            test_only: test == "test-only",
        })
    }
}

/// The value of a parameter that has three values, of which the first is the default.
fn option(operation: &Element, name: &str, expected: [&str; 3]) -> Result<String, Vec<RpcError>> {
    let [first, second, third] = expected;
    let found = text(operation, name).unwrap_or_else(|| first.into());
    if expected.contains(&found.as_str()) {
        return Ok(found);
    }
    let expected = format!("{first}, {second} or {third}");
    Err(vec![RpcError::invalid(
        name,
        "no such option",
        &found,
        &expected,
    )])
}

impl Session {
    pub(super) fn candidate(&mut self, commit_service: &CommitServiceHandle) -> &mut Candidate {
        self.candidate
            .get_or_insert_with(|| Candidate::new(&commit_service.status.load().in_force))
    }

    /// Edits a tree by a `config` element, all or none.
    pub(super) fn apply_config(
        &self,
        tree: &mut Tree,
        config: &Element,
        default: Operation,
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
            errors = apply(self.schema, &self.binding, tree, &edits, default)
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
    ) -> Result<Step, Vec<RpcError>> {
        let target = target(operation, "target")?;
        let options = EditOptions::parse(operation)?;
        let config = operation
            .child("config")
            .ok_or_else(|| vec![RpcError::missing("config")])?;
        let mut candidate = match target {
            Target::Running => Candidate::new(&commit_service.status.load().in_force),
            Target::Candidate => self.candidate(commit_service).clone(),
        };
        let before = candidate.tree.clone();
        let by_default = if options.default == Operation::Replace {
            candidate.tree = Tree::default();
            Operation::Merge
        } else {
            options.default
        };
        self.apply_config(&mut candidate.tree, config, by_default)?;
        self.check_rights(&before, &candidate.tree, rights, commit_service)?;
        if options.test_only {
            return Ok(Step::Perform(DatastoreOperation::Validate(candidate)));
        }
        match target {
            Target::Running => Ok(Step::Perform(DatastoreOperation::Commit {
                candidate,
                confirm: None,
                persist_id: None,
            })),
            Target::Candidate => {
                self.candidate = Some(candidate);
                Ok(Step::Reply(self.ok()))
            }
        }
    }

    /// Rejects changes that the rights do not cover; the commit service records them.
    pub(super) fn check_rights(
        &self,
        before: &Tree,
        after: &Tree,
        rights: Rights,
        commit_service: &CommitServiceHandle,
    ) -> Result<(), Vec<RpcError>> {
        rights.check(&before.differences(after)).map_err(|error| {
            let path = error.path.parse().ok().map(|path| xpath(&path));
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
