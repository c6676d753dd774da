//! Applies edits to the datastore tree.

use kestreltide_datastore::{Path, Tree};

use super::{Edit, EditError, ErrorTag, Operation};
use crate::binding::{Binding, ConfigNode};
use crate::data::InstancePath;
use crate::schema::{NodeId, Schema};

/// Applies edits to a tree, all or none.
///
/// # Errors
///
/// All errors of the edits; the tree is then unchanged.
pub fn apply(
    schema: &Schema,
    binding: &Binding,
    tree: &mut Tree,
    edits: &[Edit],
    default_operation: Operation,
) -> Result<(), Vec<EditError>> {
    let mut editor = TreeEditor {
        schema,
        binding,
        tree: tree.clone(),
        errors: vec![],
    };
    for edit in edits {
        editor.apply_edit(
            edit,
            default_operation,
            &InstancePath::default(),
            &ConfigNode::Root,
        );
    }
    if !editor.errors.is_empty() {
        return Err(editor.errors);
    }
    *tree = editor.tree;
    Ok(())
}

/// Applies edits to a copy of the tree and collects their errors.
struct TreeEditor<'a> {
    schema: &'a Schema,
    binding: &'a Binding,
    tree: Tree,
    errors: Vec<EditError>,
}

impl TreeEditor<'_> {
    fn apply_edit(
        &mut self,
        edit: &Edit,
        inherited_operation: Operation,
        parent_path: &InstancePath,
        parent: &ConfigNode,
    ) {
        let operation = edit.operation.unwrap_or(inherited_operation);
        let path = parent_path.child(edit.step.clone());
        if self.is_key(edit.node) {
            self.check_key(edit, &path);
            return;
        }
        let Some(target) = self.resolve(edit, &path, parent) else {
            return;
        };
        if !self.check_existence(edit, operation, &path, &target) {
            return;
        }
        match (&target, operation) {
            (ConfigNode::LeafList(leaf), Operation::Delete | Operation::Remove) => {
                match &edit.value {
                    Some(value) => self.binding.remove_value(&mut self.tree, leaf, value),
                    None => target.clear(&mut self.tree),
                }
            }
            (_, Operation::Delete | Operation::Remove) => target.clear(&mut self.tree),
            (ConfigNode::Leaf(_) | ConfigNode::LeafList(_), Operation::None) => {}
            (ConfigNode::Leaf(leaf), _) => self.set_leaf(edit, &path, leaf),
            (ConfigNode::LeafList(leaf), _) => {
                if let Some(value) = &edit.value {
                    self.binding.add_value(&mut self.tree, leaf, value);
                }
            }
            _ => self.edit_children(edit, operation, &path, &target),
        }
    }

    fn is_key(&self, node: NodeId) -> bool {
        let node = self.schema.node_of(node);
        node.parent
            .is_some_and(|parent| self.schema.key_names(parent).contains(&node.name))
    }

    /// Checks the edit of a key leaf, which is set by the step to its list entry and cannot be removed without the entry.
    fn check_key(&mut self, edit: &Edit, path: &InstancePath) {
        if matches!(edit.operation, Some(Operation::Delete | Operation::Remove)) {
            self.add_error(
                ErrorTag::OperationNotSupported,
                edit,
                path,
                "is a key, and goes only with its entry",
                "delete",
                "the entry deleted",
            );
        }
    }

    /// Returns the configuration node that an edit targets; adds an error if there is none.
    fn resolve(
        &mut self,
        edit: &Edit,
        path: &InstancePath,
        parent: &ConfigNode,
    ) -> Option<ConfigNode> {
        match self.binding.resolve(parent, edit.node, &edit.step) {
            Ok(Some(target)) => return Some(target),
            // The node is bound to no configuration: it is state of the router, which is read-only.
            Ok(None) => self.add_error(
                ErrorTag::InvalidValue,
                edit,
                path,
                "is the router's own",
                "an edit",
                "only reading",
            ),
            Err(invalid_name) => self.add_error(
                ErrorTag::InvalidValue,
                edit,
                path,
                &invalid_name.to_string(),
                "this name",
                "a name",
            ),
        }
        None
    }

    /// Checks that the target exists, or does not exist, as the operation requires (RFC 6241, section 7.2). Operation
    /// `none` requires an existing target unless it is a container or the edit has neither value nor children.
    fn check_existence(
        &mut self,
        edit: &Edit,
        operation: Operation,
        path: &InstancePath,
        target: &ConfigNode,
    ) -> bool {
        let exists = match (target, &edit.value) {
            (ConfigNode::LeafList(leaf), Some(value)) => {
                self.binding.contains_value(&self.tree, leaf, value)
            }
            (target, _) => target.is_set(&self.tree),
        };
        let has_content = !edit.children.is_empty() || edit.value.is_some();
        match operation {
            Operation::Create if exists => {
                self.add_error(
                    ErrorTag::DataExists,
                    edit,
                    path,
                    "is there already",
                    "create",
                    "merge or replace",
                );
                false
            }
            Operation::Delete if !exists => self.add_data_missing_error(edit, path),
            Operation::None if !exists && has_content && !is_container(target) => {
                self.add_data_missing_error(edit, path)
            }
            _ => true,
        }
    }

    /// Adds the error that the target of an edit does not exist; returns `false`, the result of the failed check.
    fn add_data_missing_error(&mut self, edit: &Edit, path: &InstancePath) -> bool {
        self.add_error(
            ErrorTag::DataMissing,
            edit,
            path,
            "is not there",
            "nothing",
            "what is there",
        );
        false
    }

    fn set_leaf(&mut self, edit: &Edit, path: &InstancePath, leaf: &Path) {
        let text = edit.value.as_deref().unwrap_or_default();
        if let Err(validation) = self.binding.set_leaf(&mut self.tree, leaf, text) {
            self.errors.push(EditError {
                tag: ErrorTag::InvalidValue,
                subject: self.schema.node_of(edit.node).name.clone(),
                path: path.clone(),
                validation,
            });
        }
    }

    /// Applies an edit to a container or list entry and its children. Children of a replaced or created node are merged.
    fn edit_children(
        &mut self,
        edit: &Edit,
        operation: Operation,
        path: &InstancePath,
        target: &ConfigNode,
    ) {
        if operation == Operation::Replace {
            target.clear(&mut self.tree);
        }
        let inherited_operation = match operation {
            Operation::Replace | Operation::Create => Operation::Merge,
            other => other,
        };
        for child in &edit.children {
            self.apply_edit(child, inherited_operation, path, target);
        }
        if inherited_operation == Operation::Merge {
            self.check_entry_has_leaves(edit, path, target);
        }
    }

    /// Checks that a merged list entry has a leaf other than its keys: the datastore cannot hold an entry without one.
    fn check_entry_has_leaves(&mut self, edit: &Edit, path: &InstancePath, target: &ConfigNode) {
        let is_entry = matches!(target, ConfigNode::Host(_) | ConfigNode::Route(_));
        // An entry that is set has other leaves already. After an error the edit is rejected in any case.
        if !is_entry || !self.errors.is_empty() || target.is_set(&self.tree) {
            return;
        }
        let keys = self.schema.key_names(edit.node);
        let has_only_keys = edit
            .children
            .iter()
            .all(|child| keys.contains(&child.step.name));
        if has_only_keys {
            self.add_error(
                ErrorTag::MissingElement,
                edit,
                path,
                "an entry says nothing",
                "only its key",
                "a leaf",
            );
        }
    }

    fn add_error(
        &mut self,
        tag: ErrorTag,
        edit: &Edit,
        path: &InstancePath,
        problem: &str,
        found: &str,
        expected: &str,
    ) {
        let subject = &self.schema.node_of(edit.node).name;
        let error = EditError::new(tag, subject, path, problem, found, expected);
        self.errors.push(error);
    }
}

/// Whether a node is a container, which counts as existing even if it is empty.
fn is_container(node: &ConfigNode) -> bool {
    matches!(
        node,
        ConfigNode::Router
            | ConfigNode::Hosts
            | ConfigNode::Routes
            | ConfigNode::Guards
            | ConfigNode::Rollout
    )
}
