//! Edits of the configuration by NETCONF `<edit-config>` (RFC 6241, section 7.2) and gNMI Set: schema nodes with
//! operations, which are applied to the datastore tree all or none.

mod apply;
mod error;
mod from_json;
mod from_xml;
mod operation;
mod reader;

pub use self::apply::apply;
pub use self::error::{EditError, ErrorTag};
pub use self::from_json::{edit_from_json, edits_from_json, edits_from_json_value};
pub use self::from_xml::edits_from_xml;
pub use self::operation::Operation;
use crate::data::{InstancePath, Step};
use crate::schema::{NodeId, Schema};

/// An edit of one data node.
#[derive(Clone, Debug, PartialEq)]
pub struct Edit {
    /// The schema node of the data node.
    pub node: NodeId,
    /// The operation; `None` inherits the operation of the parent edit.
    pub operation: Option<Operation>,
    /// The canonical value of a leaf, or one value of a leaf-list; `None` for other nodes, and for the removal of a leaf or
    /// of all values of a leaf-list.
    pub value: Option<String>,
    /// The step from the parent to the node.
    pub step: Step,
    /// The edits of the children of the node.
    pub children: Vec<Edit>,
}

/// Wraps an edit of a child of the instance at `path` in merge edits of all nodes of the path, so that it can be applied
/// from the top level. `None` if the schema has no node for a step of the path.
pub fn edit_below_path(schema: &Schema, path: &InstancePath, child_edit: Edit) -> Option<Edit> {
    let mut ancestors = Vec::new();
    let mut parent = None;
    for step in &path.0 {
        let node = schema
            .children_of(parent)
            .iter()
            .copied()
            .find(|id| schema.node_of(*id).name == step.name)?;
        ancestors.push((node, step.clone()));
        parent = Some(node);
    }
    let edit = ancestors
        .into_iter()
        .rev()
        .fold(child_edit, |child, (node, step)| Edit {
            node,
            operation: Some(Operation::Merge),
            value: None,
            step,
            children: vec![child],
        });
    Some(edit)
}
