//! Encoding and decoding of values: JSON_IETF, JSON and PROTO.

use std::collections::BTreeMap;

use kestreltide_yang::data::{DataNode, InstancePath};
use kestreltide_yang::schema::NodeKind;
use kestreltide_yang::{Content, NodeId, Schema, json};
use serde_json::Value as Json;
use tonic::Status;

use super::GnmiService;
use super::errors::invalid_argument;
use super::paths::to_gnmi_path;
use crate::proto::gnmi::typed_value::Value;
use crate::proto::gnmi::{Encoding, ScalarArray, TypedValue, Update};

/// Checks that the encoding of a request is supported.
pub(super) fn supported_encoding(encoding: i32) -> Result<Encoding, Status> {
    match Encoding::try_from(encoding) {
        Ok(encoding @ (Encoding::Json | Encoding::JsonIetf | Encoding::Proto)) => Ok(encoding),
        _ => Err(Status::unimplemented(
            "encoding: is not served here (given: another; taken: JSON_IETF, JSON or PROTO)",
        )),
    }
}

impl GnmiService {
    /// Encodes a data node as JSON or JSON_IETF.
    pub(super) fn encode_json(&self, data: &DataNode, encoding: Encoding) -> TypedValue {
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

    /// Converts a received value of any supported encoding to JSON; `node` is its schema node.
    pub(super) fn typed_value_to_json(
        &self,
        path_string: &str,
        node: Option<NodeId>,
        value: &Value,
    ) -> Result<Json, Status> {
        let scalar_to_json = |text: String| {
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
                let parsed = serde_json::from_slice(bytes);
                parsed.map_err(|e| {
                    invalid_argument(
                        path_string,
                        &format!("is no JSON: {e}"),
                        &String::from_utf8_lossy(bytes),
                        "JSON (RFC 7951)",
                    )
                })?
            }
            Value::StringVal(text) | Value::AsciiVal(text) => scalar_to_json(text.clone()),
            Value::IntVal(number) => scalar_to_json(number.to_string()),
            Value::UintVal(number) => scalar_to_json(number.to_string()),
            Value::DoubleVal(number) => scalar_to_json(format!("{number:.6}")),
            Value::BoolVal(flag) => Json::Bool(*flag),
            Value::LeaflistVal(array) => {
                let items = array.element.iter().filter_map(|item| item.value.as_ref());
                Json::Array(
                    items
                        .map(|item| self.typed_value_to_json(path_string, node, item))
                        .collect::<Result<_, _>>()?,
                )
            }
            Value::BytesVal(_) | Value::AnyVal(_) | Value::ProtoBytes(_) => {
                return Err(invalid_argument(
                    path_string,
                    "is of a form that is not read",
                    "bytes",
                    "JSON_IETF, JSON or PROTO",
                ));
            }
        })
    }
}

/// The update message of one leaf; `duplicates` is the number of coalesced changes.
pub(super) fn leaf_update(path: &InstancePath, value: &TypedValue, duplicates: u32) -> Update {
    Update {
        path: Some(to_gnmi_path(path)),
        val: Some(value.clone()),
        duplicates,
    }
}

/// Collects the values of all leaves of a data node by their paths; the values of a leaf-list form one array.
pub(super) fn collect_leaf_values(
    schema: &Schema,
    encoding: Encoding,
    path: &InstancePath,
    data: &DataNode,
    out: &mut BTreeMap<InstancePath, TypedValue>,
) {
    match &data.content {
        Content::Inner(children) => {
            children.iter().for_each(|child| {
                collect_leaf_values(
                    schema,
                    encoding,
                    &path.child(child.step(schema)),
                    child,
                    out,
                )
            });
        }
        Content::Leaf(text) => {
            let is_leaf_list = matches!(schema.node_of(data.node).kind, NodeKind::LeafList { .. });
            let value = json::encode_value(schema, data);
            let value = match (encoding, value) {
                (Encoding::Proto, Json::Bool(flag)) => Value::BoolVal(flag),
                (Encoding::Proto, Json::Number(number)) => match number.as_u64() {
                    Some(number) => Value::UintVal(number),
                    None => Value::IntVal(number.as_i64().unwrap_or_default()),
                },
                (Encoding::Proto, _) => proto_value(schema, data.node, text),
                (Encoding::Json, value) => Value::JsonVal(value.to_string().into_bytes()),
                (_, value) => Value::JsonIetfVal(value.to_string().into_bytes()),
            };
            match (is_leaf_list, out.get_mut(path)) {
                (
                    true,
                    Some(TypedValue {
                        value: Some(Value::LeaflistVal(array)),
                    }),
                ) => array.element.push(TypedValue { value: Some(value) }),
                (true, _) => {
                    let array = ScalarArray {
                        element: vec![TypedValue { value: Some(value) }],
                    };
                    out.insert(
                        path.clone(),
                        TypedValue {
                            value: Some(Value::LeaflistVal(array)),
                        },
                    );
                }
                _ => drop(out.insert(path.clone(), TypedValue { value: Some(value) })),
            }
        }
    }
}

/// The PROTO value of a leaf that is a string in JSON. 64-bit integers and decimals are strings in JSON (RFC 7951) but
/// numbers in PROTO.
fn proto_value(schema: &Schema, node: NodeId, text: &str) -> Value {
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
