//! Applies edits to the tree of the datastore.

use kestreltide_datastore::{Path, Tree};

use super::{Edit, EditError, ErrorTag, Operation};
use crate::binding::{Binding, ConfigNode};
use crate::data::InstancePath;
use crate::schema::{NodeId, Schema};

/// Applies edits to a tree, all or none.
///
/// # Errors
///
/// With all errors of the edits; the tree is unchanged then.
pub fn apply(
    schema: &Schema,
    binding: &Binding,
    tree: &mut Tree,
    edits: &[Edit],
    default: Operation,
) -> Result<(), Vec<EditError>> {
    let mut editor = TreeEditor {
        schema,
        binding,
        tree: tree.clone(),
        errors: vec![],
    };
    for edit in edits {
        editor.edit(edit, default, &InstancePath::default(), &ConfigNode::Root);
    }
    if !editor.errors.is_empty() {
        return Err(editor.errors);
    }
    *tree = editor.tree;
    Ok(())
}

/// A copy of the tree that edits are applied to.
struct TreeEditor<'a> {
    schema: &'a Schema,
    binding: &'a Binding,
    tree: Tree,
    errors: Vec<EditError>,
}

impl TreeEditor<'_> {
    fn edit(
        &mut self,
        edit: &Edit,
        inherited: Operation,
        parent_path: &InstancePath,
        parent: &ConfigNode,
    ) {
        let operation = edit.operation.unwrap_or(inherited);
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
            (ConfigNode::Values(leaf), Operation::Delete | Operation::Remove) => {
                match &edit.value {
                    Some(value) => self.binding.remove_value(&mut self.tree, leaf, value),
                    None => target.clear(&mut self.tree),
                }
            }
            (_, Operation::Delete | Operation::Remove) => target.clear(&mut self.tree),
            (ConfigNode::Leaf(_) | ConfigNode::Values(_), Operation::None) => {}
            (ConfigNode::Leaf(leaf), _) => self.set_leaf(edit, &path, leaf),
            (ConfigNode::Values(leaf), _) => {
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
            .is_some_and(|parent| self.schema.keys(parent).contains(&node.name))
    }

    /// A key is set by the step to its entry and cannot be removed alone.
    fn check_key(&mut self, edit: &Edit, path: &InstancePath) {
        if matches!(edit.operation, Some(Operation::Delete | Operation::Remove)) {
            self.error(
                ErrorTag::OperationNotSupported,
                edit,
                path,
                "is a key, and goes only with its entry",
                "delete",
                "the entry deleted",
            );
        }
    }

    /// The node of the configuration that an edit is about.
    fn resolve(
        &mut self,
        edit: &Edit,
        path: &InstancePath,
        parent: &ConfigNode,
    ) -> Option<ConfigNode> {
        match self.binding.resolve(parent, edit.node, &edit.step) {
            Ok(Some(target)) => return Some(target),
            Ok(None) => self.error(
                ErrorTag::InvalidValue,
                edit,
                path,
                "is the router's own",
                "an edit",
                "only reading",
            ),
            Err(invalid_name) => self.error(
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

    /// Whether the target exists or is missing as the operation needs it.
    fn check_existence(
        &mut self,
        edit: &Edit,
        operation: Operation,
        path: &InstancePath,
        target: &ConfigNode,
    ) -> bool {
        let exists = match (target, &edit.value) {
            (ConfigNode::Values(leaf), Some(value)) => {
                self.binding.contains_value(&self.tree, leaf, value)
            }
            (target, _) => target.is_set(&self.tree),
        };
        let has_content = !edit.children.is_empty() || edit.value.is_some();
        match operation {
            Operation::Create if exists => {
                self.error(
                    ErrorTag::DataExists,
                    edit,
                    path,
                    "is there already",
                    "create",
                    "merge or replace",
                );
                false
            }
            Operation::Delete if !exists => self.data_missing(edit, path),
            Operation::None if !exists && has_content && !is_container(target) => {
                self.data_missing(edit, path)
            }
            _ => true,
        }
    }

    fn data_missing(&mut self, edit: &Edit, path: &InstancePath) -> bool {
        self.error(
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

    /// Edits what a container or an entry of a list holds.
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
        let inherited = match operation {
            Operation::Replace | Operation::Create => Operation::Merge,
            other => other,
        };
        for child in &edit.children {
            self.edit(child, inherited, path, target);
        }
        if inherited == Operation::Merge {
            self.check_entry_is_set(edit, path, target);
        }
    }

    /// The datastore has no entry of a list without a leaf beside its key.
    fn check_entry_is_set(&mut self, edit: &Edit, path: &InstancePath, target: &ConfigNode) {
        let is_entry = matches!(target, ConfigNode::Host(_) | ConfigNode::Route(_));
        if !is_entry || !self.errors.is_empty() || target.is_set(&self.tree) {
            return;
        }
        let keys = self.schema.keys(edit.node);
        let has_only_keys = edit
            .children
            .iter()
            .all(|child| keys.contains(&child.step.name));
        if has_only_keys {
            self.error(
                ErrorTag::MissingElement,
                edit,
                path,
                "an entry says nothing",
                "only its key",
                "a leaf",
            );
        }
    }

    fn error(
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

/// Whether a node is a container, which exists always.
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
