//! Operations of edits and their names on the wire (RFC 6241, section 7.2).

/// What an edit does to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Merges the edit into what is there.
    Merge,
    /// Replaces what is there.
    Replace,
    /// Creates the node, which may not be there yet.
    Create,
    /// Deletes the node, which has to be there.
    Delete,
    /// Deletes the node if it is there.
    Remove,
    /// Does nothing to the node itself, only to those below it.
    None,
}

/// The values of the `operation` attribute of an element.
const ATTRIBUTE_VALUES: [(&str, Operation); 5] = [
    ("merge", Operation::Merge),
    ("replace", Operation::Replace),
    ("create", Operation::Create),
    ("delete", Operation::Delete),
    ("remove", Operation::Remove),
];

impl Operation {
    /// The operation that an `operation` attribute names.
    pub fn from_attribute(name: &str) -> Option<Operation> {
        ATTRIBUTE_VALUES
            .iter()
            .find(|(value, _)| *value == name)
            .map(|(_, operation)| *operation)
    }

    /// The operation that a `default-operation` parameter names.
    pub fn from_default_operation(name: &str) -> Option<Operation> {
        match name {
            "merge" => Some(Operation::Merge),
            "replace" => Some(Operation::Replace),
            "none" => Some(Operation::None),
            _ => None,
        }
    }

    /// The values of an `operation` attribute, for error messages.
    pub(super) fn attribute_values() -> String {
        ATTRIBUTE_VALUES.map(|(value, _)| value).join(", ")
    }
}
