//! Data as JSON (RFC 7951).

use serde_json::{Map, Value};

use crate::data::{Content, DataNode};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::types::Type;

/// The members of an object for some nodes, the entries of a list together; a name carries its module if that
/// differs from its parent's.
pub fn encode_members(
    schema: &Schema,
    data: &[DataNode],
    parent: Option<NodeId>,
) -> Map<String, Value> {
    let mut out = Map::new();
    for one in data {
        let node = schema.node_of(one.node);
        let changes = parent.is_none_or(|parent| schema.node_of(parent).module != node.module);
        let name = if changes {
            format!("{}:{}", schema.module_of(one.node).name, node.name)
        } else {
            node.name.clone()
        };
        let value = encode_value(schema, one);
        match (&node.kind, out.get_mut(&name)) {
            (NodeKind::List { .. } | NodeKind::LeafList { .. }, Some(Value::Array(items))) => {
                items.push(value)
            }
            (NodeKind::List { .. } | NodeKind::LeafList { .. }, _) => {
                drop(out.insert(name, Value::Array(vec![value])))
            }
            _ => drop(out.insert(name, value)),
        }
    }
    out
}

/// The value of one node: an object, or the value of a leaf in the form of its type.
pub fn encode_value(schema: &Schema, data: &DataNode) -> Value {
    match (&data.content, &schema.node_of(data.node).kind) {
        (
            Content::Leaf(text),
            NodeKind::Leaf { leaf_type, .. } | NodeKind::LeafList { leaf_type },
        ) => leaf(leaf_type, text),
        (Content::Leaf(text), _) => Value::String(text.clone()),
        (Content::Inner(children), _) => {
            Value::Object(encode_members(schema, children, Some(data.node)))
        }
    }
}

fn leaf(leaf_type: &Type, text: &str) -> Value {
    match leaf_type {
        Type::Boolean => Value::Bool(text == "true"),
        Type::Empty => Value::Array(vec![Value::Null]),
        _ if leaf_type.is_json_string() => Value::String(text.into()),
        _ => text
            .parse::<i64>()
            .map_or_else(|_| Value::String(text.into()), Value::from),
    }
}
