//! Edit operations and their names in NETCONF (RFC 6241, section 7.2).

/// What an edit does to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Merges the edit into the existing data.
    Merge,
    /// Replaces the existing data, if any.
    Replace,
    /// Creates the node; fails if it exists.
    Create,
    /// Deletes the node; fails if it does not exist.
    Delete,
    /// Deletes the node if it exists.
    Remove,
    /// Leaves the node itself unchanged; only edits of its descendants that have an operation of their own take effect.
    None,
}

/// The values of the `operation` attribute.
const ATTRIBUTE_VALUES: [(&str, Operation); 5] = [
    ("merge", Operation::Merge),
    ("replace", Operation::Replace),
    ("create", Operation::Create),
    ("delete", Operation::Delete),
    ("remove", Operation::Remove),
];

impl Operation {
    /// Returns the operation with a name in the `operation` attribute.
    pub fn from_attribute(name: &str) -> Option<Operation> {
        ATTRIBUTE_VALUES
            .iter()
            .find(|(value, _)| *value == name)
            .map(|(_, operation)| *operation)
    }

    /// Returns the operation with a name in the `default-operation` parameter.
    pub fn from_default_operation(name: &str) -> Option<Operation> {
        match name {
            "merge" => Some(Operation::Merge),
            "replace" => Some(Operation::Replace),
            "none" => Some(Operation::None),
            _ => None,
        }
    }

    /// Lists the values of the `operation` attribute, for error messages.
    pub(super) fn attribute_values() -> String {
        ATTRIBUTE_VALUES.map(|(value, _)| value).join(", ")
    }
}
