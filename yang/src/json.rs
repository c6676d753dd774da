//! Encodes data as JSON (RFC 7951).

use serde_json::{Map, Value};

use crate::data::{Content, DataNode};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::types::Type;

/// Encodes sibling nodes as the members of a JSON object; the entries of a list and the values of a leaf-list become an
/// array. A member name is qualified with the module name if the module differs from that of the parent, and at the top
/// level (RFC 7951, section 4).
pub fn encode_members(
    schema: &Schema,
    data: &[DataNode],
    parent: Option<NodeId>,
) -> Map<String, Value> {
    let mut object = Map::new();
    for data_node in data {
        let node = schema.node_of(data_node.node);
        let module_differs =
            parent.is_none_or(|parent| schema.node_of(parent).module != node.module);
        let name = if module_differs {
            format!("{}:{}", schema.module_of(data_node.node).name, node.name)
        } else {
            node.name.clone()
        };
        let encoded = encode_value(schema, data_node);
        match (&node.kind, object.get_mut(&name)) {
            (NodeKind::List { .. } | NodeKind::LeafList { .. }, Some(Value::Array(items))) => {
                items.push(encoded)
            }
            (NodeKind::List { .. } | NodeKind::LeafList { .. }, _) => {
                drop(object.insert(name, Value::Array(vec![encoded])))
            }
            _ => drop(object.insert(name, encoded)),
        }
    }
    object
}

/// Encodes one node: a container or list entry as an object, a leaf or leaf-list value in the JSON form of its type.
pub fn encode_value(schema: &Schema, data: &DataNode) -> Value {
    match (&data.content, &schema.node_of(data.node).kind) {
        (
            Content::Leaf(text),
            NodeKind::Leaf { leaf_type, .. } | NodeKind::LeafList { leaf_type },
        ) => encode_leaf(leaf_type, text),
        (Content::Leaf(text), _) => Value::String(text.clone()),
        (Content::Inner(children), _) => {
            Value::Object(encode_members(schema, children, Some(data.node)))
        }
    }
}

/// Encodes a canonical value in the JSON form of its type (RFC 7951, section 6). A number that does not fit into an `i64`
/// becomes a string.
fn encode_leaf(leaf_type: &Type, text: &str) -> Value {
    match leaf_type {
        Type::Boolean => Value::Bool(text == "true"),
        Type::Empty => Value::Array(vec![Value::Null]),
        _ if leaf_type.is_json_string() => Value::String(text.into()),
        _ => text
            .parse::<i64>()
            .map_or_else(|_| Value::String(text.into()), Value::from),
    }
}
