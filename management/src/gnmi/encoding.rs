//! Values in the supported encodings: JSON_IETF, JSON and PROTO.

use std::collections::BTreeMap;

use kestreltide_yang::data::{DataNode, InstancePath};
use kestreltide_yang::schema::NodeKind;
use kestreltide_yang::{Content, NodeId, Schema, json};
use serde_json::Value as Json;
use tonic::Status;

use super::Service;
use super::errors::invalid_argument;
use super::paths::path_of;
use crate::proto::gnmi::typed_value::Value;
use crate::proto::gnmi::{Encoding, ScalarArray, TypedValue, Update};

/// The encoding of a request, if it is supported.
pub(super) fn supported_encoding(encoding: i32) -> Result<Encoding, Status> {
    match Encoding::try_from(encoding) {
        Ok(encoding @ (Encoding::Json | Encoding::JsonIetf | Encoding::Proto)) => Ok(encoding),
        _ => Err(Status::unimplemented(
            "encoding: is not served here (given: another; taken: JSON_IETF, JSON or PROTO)",
        )),
    }
}

impl Service {
    pub(super) fn json_value(&self, data: &DataNode, encoding: Encoding) -> TypedValue {
        let bytes = json::encode_value(self.schema, data)
            .to_string()
            .into_bytes();
        let value = if encoding == Encoding::Json {
            Value::JsonVal(bytes)
        } else {
            Value::JsonIetfVal(bytes)
        };
        TypedValue { value: Some(value) }
    }

    /// A received value as JSON, whatever its encoding.
    pub(super) fn json_value_of(
        &self,
        at: &str,
        node: Option<NodeId>,
        value: &Value,
    ) -> Result<Json, Status> {
        let typed = |text: String| {
            let kind = node.map(|node| &self.schema.node_of(node).kind);
            match kind {
                Some(NodeKind::Leaf { leaf_type, .. } | NodeKind::LeafList { leaf_type })
                    if !leaf_type.is_json_string() =>
                {
                    serde_json::from_str(&text).unwrap_or(Json::String(text))
                }
                _ => Json::String(text),
            }
        };
        Ok(match value {
            Value::JsonIetfVal(bytes) | Value::JsonVal(bytes) => {
                let read = serde_json::from_slice(bytes);
                read.map_err(|e| {
                    invalid_argument(
                        at,
                        &format!("is no JSON: {e}"),
                        &String::from_utf8_lossy(bytes),
                        "JSON (RFC 7951)",
                    )
                })?
            }
            Value::StringVal(text) | Value::AsciiVal(text) => typed(text.clone()),
            Value::IntVal(number) => typed(number.to_string()),
            Value::UintVal(number) => typed(number.to_string()),
            Value::DoubleVal(number) => typed(format!("{number:.6}")),
            Value::BoolVal(flag) => Json::Bool(*flag),
            Value::LeaflistVal(all) => {
                let items = all.element.iter().filter_map(|item| item.value.as_ref());
                Json::Array(
                    items
                        .map(|item| self.json_value_of(at, node, item))
                        .collect::<Result<_, _>>()?,
                )
            }
            Value::BytesVal(_) | Value::AnyVal(_) | Value::ProtoBytes(_) => {
                return Err(invalid_argument(
                    at,
                    "is of a form that is not read",
                    "bytes",
                    "JSON_IETF, JSON or PROTO",
                ));
            }
        })
    }
}

/// The update of one leaf.
pub(super) fn update(at: &InstancePath, value: &TypedValue, duplicates: u32) -> Update {
    Update {
        path: Some(path_of(at)),
        val: Some(value.clone()),
        duplicates,
    }
}

/// Collects the leaves of a data node with their values; the values of a leaf-list are one array.
pub(super) fn collect_leaves(
    schema: &Schema,
    encoding: Encoding,
    at: &InstancePath,
    data: &DataNode,
    out: &mut BTreeMap<InstancePath, TypedValue>,
) {
    match &data.content {
        Content::Inner(children) => {
            children.iter().for_each(|child| {
                collect_leaves(schema, encoding, &at.child(child.step(schema)), child, out)
            });
        }
        Content::Leaf(text) => {
            let list = matches!(schema.node_of(data.node).kind, NodeKind::LeafList { .. });
            let value = json::encode_value(schema, data);
            let value = match (encoding, value) {
                (Encoding::Proto, Json::Bool(flag)) => Value::BoolVal(flag),
                (Encoding::Proto, Json::Number(number)) => match number.as_u64() {
                    Some(number) => Value::UintVal(number),
                    None => Value::IntVal(number.as_i64().unwrap_or_default()),
                },
                (Encoding::Proto, _) => proto_text(schema, data.node, text),
                (Encoding::Json, value) => Value::JsonVal(value.to_string().into_bytes()),
                (_, value) => Value::JsonIetfVal(value.to_string().into_bytes()),
            };
            match (list, out.get_mut(at)) {
                (
                    true,
                    Some(TypedValue {
                        value: Some(Value::LeaflistVal(all)),
                    }),
                ) => all.element.push(TypedValue { value: Some(value) }),
                (true, _) => {
                    let all = ScalarArray {
                        element: vec![TypedValue { value: Some(value) }],
                    };
                    out.insert(
                        at.clone(),
                        TypedValue {
                            value: Some(Value::LeaflistVal(all)),
                        },
                    );
                }
                _ => drop(out.insert(at.clone(), TypedValue { value: Some(value) })),
            }
        }
    }
}

/// The PROTO value of a leaf that is a string in JSON: integers of 64 bits and decimals are numbers in PROTO.
fn proto_text(schema: &Schema, node: NodeId, text: &str) -> Value {
    use kestreltide_yang::types::Type;
    match &schema.node_of(node).kind {
        NodeKind::Leaf {
            leaf_type: Type::Integer { signed: true, .. },
            ..
        } => Value::IntVal(text.parse().unwrap_or_default()),
        NodeKind::Leaf {
            leaf_type: Type::Integer { .. },
            ..
        } => Value::UintVal(text.parse().unwrap_or_default()),
        NodeKind::Leaf {
            leaf_type: Type::Decimal { .. },
            ..
        } => Value::DoubleVal(text.parse().unwrap_or_default()),
        _ => Value::StringVal(text.into()),
    }
}
