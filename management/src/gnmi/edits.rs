//! Converts one delete, replace or update of a Set request to edits of the datastore.

use kestreltide_yang::NodeId;
use kestreltide_yang::data::{InstancePath, Step};
use kestreltide_yang::edit::{
    Edit, Operation, edit_below_path, edit_from_json, edits_from_json, edits_from_json_value,
};
use kestreltide_yang::path::Pattern;
use kestreltide_yang::schema::NodeKind;
use serde_json::Value as Json;
use tonic::Status;

use super::GnmiService;
use super::errors::{edit_errors_status, invalid_argument};
use super::paths::{format_path, parse_pattern};
use crate::proto::gnmi::typed_value::Value;
use crate::proto::gnmi::{Path, TypedValue};

/// The target of a path of a Set request.
struct EditTarget {
    parent: InstancePath,
    /// The schema node; none for the root of the model.
    node: Option<NodeId>,
    /// The last step of the path; its name is empty for the root.
    step: Step,
    /// The same node if the path names a list or leaf-list without keys, which means all its entries.
    list: Option<NodeId>,
}

impl GnmiService {
    /// The edits of one delete, replace or update.
    pub(super) fn edits_of_operation(
        &self,
        prefix: Option<&Path>,
        path: &Path,
        value: Option<&TypedValue>,
        operation: Operation,
    ) -> Result<Vec<Edit>, Status> {
        let path_string = format_path(path);
        let pattern = parse_pattern(prefix, path)?;
        let target = self.edit_target(&pattern, &path_string)?;
        let mut edits = vec![];
        if operation == Operation::Remove || operation == Operation::Replace {
            edits.extend(self.removal_edits(&target, &path_string)?);
        }
        if operation == Operation::Remove {
            return Ok(edits);
        }
        let value = value
            .and_then(|value| value.value.as_ref())
            .ok_or_else(|| invalid_argument(&path_string, "has no value", "nothing", "a value"))?;
        edits.extend(self.merge_edits(&target, &path_string, value)?);
        Ok(edits)
    }

    /// Resolves the target of a path: one instance, or all entries of a list or leaf-list without keys.
    fn edit_target(&self, pattern: &Pattern, path_string: &str) -> Result<EditTarget, Status> {
        if let Some((parent, node)) = self.list_without_keys(pattern) {
            let name = self.schema.node_of(node).name.clone();
            return Ok(EditTarget {
                parent,
                node: Some(node),
                step: Step { name, keys: vec![] },
                list: Some(node),
            });
        }
        let (mut parent, node) = pattern
            .single_instance(self.schema)
            .map_err(|error| no_instance_status(path_string, &error.to_string()))?;
        let step = parent.0.pop().unwrap_or(Step {
            name: String::new(),
            keys: vec![],
        });
        let list = node.filter(|node| step.keys.is_empty() && self.is_list(*node));
        Ok(EditTarget {
            parent,
            node,
            step,
            list,
        })
    }

    /// The parent and the node of a list or leaf-list that a pattern names without keys.
    fn list_without_keys(&self, pattern: &Pattern) -> Option<(InstancePath, NodeId)> {
        let (last, ancestors) = pattern.0.split_last()?;
        if !last.keys.is_empty() || last.any_depth {
            return None;
        }
        let (parent, parent_node) = Pattern(ancestors.to_vec())
            .single_instance(self.schema)
            .ok()?;
        let has_name = |id: &NodeId| Some(&self.schema.node_of(*id).name) == last.name.as_ref();
        let node = self
            .schema
            .children_of(parent_node)
            .iter()
            .copied()
            .find(has_name)?;
        self.is_list(node).then_some((parent, node))
    }

    fn is_list(&self, node: NodeId) -> bool {
        matches!(
            self.schema.node_of(node).kind,
            NodeKind::List { .. } | NodeKind::LeafList { .. }
        )
    }

    /// The edits that remove the target, or all its entries.
    fn removal_edits(&self, target: &EditTarget, path_string: &str) -> Result<Vec<Edit>, Status> {
        let removed_entries = self.entries_to_remove(target.node, &target.step, target.list);
        let removal = |(node, step)| Edit {
            node,
            operation: Some(Operation::Remove),
            value: None,
            step,
            children: vec![],
        };
        removed_entries
            .into_iter()
            .map(|entry| self.edit_from_root(&target.parent, removal(entry), path_string))
            .collect()
    }

    /// The edits that merge a value into the target.
    fn merge_edits(
        &self,
        target: &EditTarget,
        path_string: &str,
        value: &Value,
    ) -> Result<Vec<Edit>, Status> {
        let EditTarget {
            parent,
            node,
            step,
            list,
        } = target;
        let json = self.typed_value_to_json(path_string, *node, value)?;
        let mut errors = vec![];
        let edits = match (*node, *list) {
            (Some(node), Some(_)) => {
                edits_from_json_value(self.schema, node, parent, &json, &mut errors)
            }
            (Some(node), None) => {
                let json = with_path_keys(json, step);
                edit_from_json(self.schema, node, parent, &json, &mut errors)
                    .into_iter()
                    .collect()
            }
            (None, _) => {
                let path = if step.name.is_empty() {
                    parent.clone()
                } else {
                    parent.child(step.clone())
                };
                edits_from_json(self.schema, None, &path, &json, &mut errors)
            }
        };
        if !errors.is_empty() {
            return Err(edit_errors_status(&errors));
        }
        if node.is_none() {
            return Ok(edits);
        }
        let merge = |edit| Edit {
            operation: Some(Operation::Merge),
            ..edit
        };
        edits
            .into_iter()
            .map(|edit| self.edit_from_root(parent, merge(edit), path_string))
            .collect()
    }

    /// Wraps an edit of a child of `parent` in edits that lead from the root of the model to it.
    fn edit_from_root(
        &self,
        parent: &InstancePath,
        edit: Edit,
        path_string: &str,
    ) -> Result<Edit, Status> {
        edit_below_path(self.schema, parent, edit)
            .ok_or_else(|| no_instance_status(path_string, "leads nowhere"))
    }

    /// The nodes that have to be removed to remove the target: each entry of a list, or each top-level configuration
    /// node for the root.
    fn entries_to_remove(
        &self,
        node: Option<NodeId>,
        step: &Step,
        list: Option<NodeId>,
    ) -> Vec<(NodeId, Step)> {
        let tree = &self.commit_service.status.load().in_force.tree;
        match (node, list) {
            (Some(_), Some(list))
                if matches!(self.schema.node_of(list).kind, NodeKind::List { .. }) =>
            {
                let names: Vec<String> = match self.schema.node_of(list).name.as_str() {
                    "host" => tree.hosts.keys().map(ToString::to_string).collect(),
                    "route" => tree.routes.keys().map(ToString::to_string).collect(),
                    _ => vec![],
                };
                let step = |name: String| Step {
                    name: step.name.clone(),
                    keys: vec![("name".into(), name)],
                };
                names.into_iter().map(|name| (list, step(name))).collect()
            }
            (Some(node), _) => vec![(node, step.clone())],
            (None, _) => {
                let is_config = |id: &&NodeId| self.schema.node_of(**id).config;
                let step = |id: NodeId| Step {
                    name: self.schema.node_of(id).name.clone(),
                    keys: vec![],
                };
                self.schema
                    .top_level
                    .iter()
                    .filter(is_config)
                    .map(|id| (*id, step(*id)))
                    .collect()
            }
        }
    }
}

fn no_instance_status(path_string: &str, problem: &str) -> Status {
    invalid_argument(
        path_string,
        problem,
        path_string,
        "one instance, with its keys",
    )
}

/// Adds the keys of the path to a JSON object that does not contain them.
fn with_path_keys(json: Json, step: &Step) -> Json {
    match json {
        Json::Object(mut members) => {
            for (key, value) in &step.keys {
                members
                    .entry(key.clone())
                    .or_insert_with(|| Json::String(value.clone()));
            }
            Json::Object(members)
        }
        other => other,
    }
}
