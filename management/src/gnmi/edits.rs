//! One update, replacement or deletion of a Set request as edits of the datastore.

use kestreltide_model::NodeId;
use kestreltide_model::data::Step;
use kestreltide_model::edit::{Edit, Op, at_path, of_json, one_of_json, values_of_json};
use kestreltide_model::path::Pattern;
use kestreltide_model::schema::NodeKind;
use serde_json::Value as Json;
use tonic::Status;

use super::Service;
use super::errors::{of_edits, wrong};
use super::paths::{pattern, text};
use crate::proto::gnmi::{Path, TypedValue};

impl Service {
    /// Edits of one update, replacement or deletion.
    pub(super) fn edit(
        &self, prefix: Option<&Path>, path: &Path, value: Option<&TypedValue>, op: Op,
    ) -> Result<Vec<Edit>, Status> {
        let shown = text(path);
        let pattern = pattern(prefix, path)?;
        let open = |why: String| wrong(&shown, &why, &shown, "one instance, with its keys");
        // A list or leaf-list is meant as a whole where its keys are left away.
        let whole_list =
            pattern.0.last().filter(|last| last.keys.is_empty() && !last.deep).and_then(|last| {
                let parent = Pattern(pattern.0[..pattern.0.len() - 1].to_vec()).instance(self.schema).ok()?;
                let below = self.schema.below(parent.1);
                let found = below
                    .iter()
                    .copied()
                    .find(|id| Some(&self.schema.node_of(*id).name) == last.name.as_ref())?;
                let list = matches!(
                    self.schema.node_of(found).kind,
                    NodeKind::List { .. } | NodeKind::LeafList { .. }
                );
                list.then_some((parent.0, found))
            });
        let (parent, node, step) = match whole_list {
            Some((parent, node)) => {
                let name = self.schema.node_of(node).name.clone();
                (parent, Some(node), Step { name, keys: vec![] })
            }
            None => {
                let (mut at, node) = pattern.instance(self.schema).map_err(open)?;
                match at.0.pop() {
                    Some(step) => (at, node, step),
                    None => (at, None, Step { name: String::new(), keys: vec![] }),
                }
            }
        };
        let mut faults = vec![];
        let here = if step.name.is_empty() { parent.clone() } else { parent.below(step.clone()) };
        let list = node.filter(|node| {
            step.keys.is_empty()
                && matches!(
                    self.schema.node_of(*node).kind,
                    NodeKind::List { .. } | NodeKind::LeafList { .. }
                )
        });
        let place =
            |edit: Edit| at_path(self.schema, &parent, edit).ok_or_else(|| open("leads nowhere".into()));
        let mut edits = vec![];
        if op == Op::Remove || op == Op::Replace {
            // What stands there goes first, all entries of a list as well.
            for (node, step) in self.there(node, &step, list) {
                let edit = Edit { node, op: Some(Op::Remove), value: None, step, children: vec![] };
                edits.push(place(edit)?);
            }
        }
        if op == Op::Remove {
            return Ok(edits);
        }
        let value = value
            .and_then(|value| value.value.as_ref())
            .ok_or_else(|| wrong(&shown, "has no value", "nothing", "a value"))?;
        let json = self.json_of(&shown, node, value)?;
        let read = match (node, list) {
            (Some(node), Some(_)) => values_of_json(self.schema, node, &parent, &json, &mut faults),
            (Some(node), None) => {
                let json = with_keys(json, &step);
                one_of_json(self.schema, node, &parent, &json, &mut faults).into_iter().collect()
            }
            (None, _) => of_json(self.schema, None, &here, &json, &mut faults),
        };
        if !faults.is_empty() {
            return Err(of_edits(&faults));
        }
        for edit in read {
            edits.push(if node.is_some() { place(Edit { op: Some(Op::Merge), ..edit })? } else { edit });
        }
        Ok(edits)
    }

    /// What a removal at this place has to take away.
    fn there(&self, node: Option<NodeId>, step: &Step, list: Option<NodeId>) -> Vec<(NodeId, Step)> {
        let tree = &self.desk.published.load().in_force.tree;
        match (node, list) {
            (Some(_), Some(list)) if matches!(self.schema.node_of(list).kind, NodeKind::List { .. }) => {
                let names: Vec<String> = match self.schema.node_of(list).name.as_str() {
                    "host" => tree.hosts.keys().map(ToString::to_string).collect(),
                    "route" => tree.routes.keys().map(ToString::to_string).collect(),
                    _ => vec![],
                };
                let step = |name: String| Step { name: step.name.clone(), keys: vec![("name".into(), name)] };
                names.into_iter().map(|name| (list, step(name))).collect()
            }
            (Some(node), _) => vec![(node, step.clone())],
            (None, _) => {
                let config = |id: &&NodeId| self.schema.node_of(**id).config;
                let step = |id: NodeId| Step { name: self.schema.node_of(id).name.clone(), keys: vec![] };
                self.schema.top.iter().filter(config).map(|id| (*id, step(*id))).collect()
            }
        }
    }
}

/// The keys that a path has already said need not stand in the value again.
fn with_keys(json: Json, step: &Step) -> Json {
    match json {
        Json::Object(mut members) => {
            for (key, value) in &step.keys {
                members.entry(key.clone()).or_insert_with(|| Json::String(value.clone()));
            }
            Json::Object(members)
        }
        other => other,
    }
}
