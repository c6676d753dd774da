//! One update, replacement or deletion of a Set request as edits of the datastore.

use kestreltide_yang::NodeId;
use kestreltide_yang::data::{InstancePath, Step};
use kestreltide_yang::edit::{
    Edit, Operation, edit_below_path, edit_from_json, edits_from_json, edits_from_json_value,
};
use kestreltide_yang::path::Pattern;
use kestreltide_yang::schema::NodeKind;
use serde_json::Value as Json;
use tonic::Status;

use super::Service;
use super::errors::{edit_errors_status, invalid_argument};
use super::paths::{path_text, pattern};
use crate::proto::gnmi::typed_value::Value;
use crate::proto::gnmi::{Path, TypedValue};

/// The target of a path of a Set request.
struct EditTarget {
    parent: InstancePath,
    /// The schema node; none at the top of the model.
    node: Option<NodeId>,
    /// The last step of the path, whose name is empty at the top.
    step: Step,
    /// The node again if it is a list or leaf-list without keys, that is with all its entries.
    list: Option<NodeId>,
}

impl Service {
    /// The edits of one update, replacement or deletion.
    pub(super) fn edit(
        &self,
        prefix: Option<&Path>,
        path: &Path,
        value: Option<&TypedValue>,
        operation: Operation,
    ) -> Result<Vec<Edit>, Status> {
        let shown = path_text(path);
        let pattern = pattern(prefix, path)?;
        let target = self.edit_target(&pattern, &shown)?;
        let mut edits = vec![];
        if operation == Operation::Remove || operation == Operation::Replace {
            edits.extend(self.removal_edits(&target, &shown)?);
        }
        if operation == Operation::Remove {
            return Ok(edits);
        }
        let value = value
            .and_then(|value| value.value.as_ref())
            .ok_or_else(|| invalid_argument(&shown, "has no value", "nothing", "a value"))?;
        edits.extend(self.edits_of_value(&target, &shown, value)?);
        Ok(edits)
    }

    /// The target of a path: one instance, or all entries of a list or leaf-list without keys.
    fn edit_target(&self, pattern: &Pattern, shown: &str) -> Result<EditTarget, Status> {
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
            .map_err(|error| no_instance(shown, &error.to_string()))?;
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
        let (last, above) = pattern.0.split_last()?;
        if !last.keys.is_empty() || last.any_depth {
            return None;
        }
        let (parent, parent_node) = Pattern(above.to_vec()).single_instance(self.schema).ok()?;
        let named = |id: &NodeId| Some(&self.schema.node_of(*id).name) == last.name.as_ref();
        let node = self
            .schema
            .children_of(parent_node)
            .iter()
            .copied()
            .find(named)?;
        self.is_list(node).then_some((parent, node))
    }

    fn is_list(&self, node: NodeId) -> bool {
        matches!(
            self.schema.node_of(node).kind,
            NodeKind::List { .. } | NodeKind::LeafList { .. }
        )
    }

    /// Edits that remove the target, or all its entries.
    fn removal_edits(&self, target: &EditTarget, shown: &str) -> Result<Vec<Edit>, Status> {
        let removal_edits = self.entries_to_remove(target.node, &target.step, target.list);
        let removal = |(node, step)| Edit {
            node,
            operation: Some(Operation::Remove),
            value: None,
            step,
            children: vec![],
        };
        removal_edits
            .into_iter()
            .map(|found| self.place(&target.parent, removal(found), shown))
            .collect()
    }

    /// Edits that merge a value into the target.
    fn edits_of_value(
        &self,
        target: &EditTarget,
        shown: &str,
        value: &Value,
    ) -> Result<Vec<Edit>, Status> {
        let EditTarget {
            parent,
            node,
            step,
            list,
        } = target;
        let json = self.json_value_of(shown, *node, value)?;
        let mut errors = vec![];
        let edits = match (*node, *list) {
            (Some(node), Some(_)) => {
                edits_from_json_value(self.schema, node, parent, &json, &mut errors)
            }
            (Some(node), None) => {
                let json = with_keys(json, step);
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
            .map(|edit| self.place(parent, merge(edit), shown))
            .collect()
    }

    /// An edit below its parent, from the top of the model.
    fn place(&self, parent: &InstancePath, edit: Edit, shown: &str) -> Result<Edit, Status> {
        edit_below_path(self.schema, parent, edit)
            .ok_or_else(|| no_instance(shown, "leads nowhere"))
    }

    /// The instances that a removal of the target has to remove.
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
                let config = |id: &&NodeId| self.schema.node_of(**id).config;
                let step = |id: NodeId| Step {
                    name: self.schema.node_of(id).name.clone(),
                    keys: vec![],
                };
                self.schema
                    .top_level
                    .iter()
                    .filter(config)
                    .map(|id| (*id, step(*id)))
                    .collect()
            }
        }
    }
}

fn no_instance(shown: &str, why: &str) -> Status {
    invalid_argument(shown, why, shown, "one instance, with its keys")
}

/// Adds the keys of the path to a value that does not repeat them.
fn with_keys(json: Json, step: &Step) -> Json {
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
