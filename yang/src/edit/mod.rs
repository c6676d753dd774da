//! Edits of the configuration, as edit-config of NETCONF (RFC 6241, section 7.2) and Set of gNMI have them: schema
//! nodes with operations, applied to the tree of the datastore all or none.

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
    /// The schema node.
    pub node: NodeId,
    /// What to do; none: the operation of the edit that holds this one.
    pub operation: Option<Operation>,
    /// The canonical value of a leaf or of one value of a leaf-list; none if it is only removed.
    pub value: Option<String>,
    /// The step from the parent to the node.
    pub step: Step,
    /// The edits of its children.
    pub children: Vec<Edit>,
}

/// An edit of the instance at a path, from the top: `last` is the edit of the last node of the path. None if the path
/// leads nowhere in the schema.
pub fn edit_below_path(schema: &Schema, path: &InstancePath, last: Edit) -> Option<Edit> {
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
        .fold(last, |child, (node, step)| Edit {
            node,
            operation: Some(Operation::Merge),
            value: None,
            step,
            children: vec![child],
        });
    Some(edit)
}
