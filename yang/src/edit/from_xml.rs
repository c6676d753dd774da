//! Reads edits from the `<config>` element of `<edit-config>` (RFC 6241, section 7.2).

use super::reader::EditReader;
use super::{Edit, EditError, ErrorTag, Operation};
use crate::data::{InstancePath, Step};
use crate::schema::{NodeId, Schema};
use crate::xml::{Attribute, Element};

/// The namespace of the `operation` attribute.
const NETCONF_NAMESPACE: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";

/// Reads edits from elements, which are children of `parent` or, if it is `None`, top-level nodes. Adds an error for each
/// invalid element.
pub fn edits_from_xml(
    schema: &Schema,
    parent: Option<NodeId>,
    path: &InstancePath,
    elements: &[Element],
    errors: &mut Vec<EditError>,
) -> Vec<Edit> {
    EditReader { schema, errors }.edits_from_elements(parent, path, elements)
}

/// The element is invalid, and the reader already holds its error.
struct ErrorReported;

impl EditReader<'_> {
    fn edits_from_elements(
        &mut self,
        parent: Option<NodeId>,
        path: &InstancePath,
        elements: &[Element],
    ) -> Vec<Edit> {
        elements
            .iter()
            .filter_map(|element| self.edit_from_element(parent, path, element))
            .collect()
    }

    fn edit_from_element(
        &mut self,
        parent: Option<NodeId>,
        parent_path: &InstancePath,
        element: &Element,
    ) -> Option<Edit> {
        let node = self.node_of_element(parent, parent_path, element)?;
        let operation = self.parse_operation(parent_path, element).ok()?;
        let key_value = |name: &str| Some(element.child(name)?.text.trim().to_owned());
        let step = self.parse_step(node, parent_path, key_value)?;
        let path = parent_path.child(step.clone());
        if self.leaf_type(node).is_some() {
            return self.leaf_edit(node, operation, step, &path, element);
        }
        if !element.text.trim().is_empty() {
            self.add_error(
                ErrorTag::InvalidValue,
                &element.name,
                &path,
                "has text, and takes nodes",
                element.text.trim(),
                "nodes",
            );
        }
        let children = self.edits_from_elements(Some(node), &path, &element.children);
        Some(Edit {
            node,
            operation,
            value: None,
            step,
            children,
        })
    }

    /// Returns the schema node of an element; adds an error if there is none or the namespace differs.
    fn node_of_element(
        &mut self,
        parent: Option<NodeId>,
        path: &InstancePath,
        element: &Element,
    ) -> Option<NodeId> {
        let Some(node) = self.child_named(parent, &element.name) else {
            self.add_unknown_child_error(parent, &element.name, path);
            return None;
        };
        let namespace = &self.schema.module_of(node).namespace;
        if element.namespace != *namespace {
            self.add_error(
                ErrorTag::UnknownNamespace,
                &element.name,
                path,
                "is not of the namespace of its module",
                &element.namespace,
                namespace,
            );
            return None;
        }
        Some(node)
    }

    /// Parses the `operation` attribute of an element, if it has one. Any other attribute is an error.
    fn parse_operation(
        &mut self,
        path: &InstancePath,
        element: &Element,
    ) -> Result<Option<Operation>, ErrorReported> {
        let mut operation = None;
        for Attribute {
            namespace,
            name,
            value,
        } in &element.attributes
        {
            if namespace != NETCONF_NAMESPACE || name != "operation" {
                self.add_error(
                    ErrorTag::UnknownAttribute,
                    name,
                    path,
                    "an attribute that is not known",
                    name,
                    "operation of NETCONF",
                );
                return Err(ErrorReported);
            }
            operation = Operation::from_attribute(value);
            if operation.is_none() {
                self.add_error(
                    ErrorTag::BadAttribute,
                    "operation",
                    path,
                    "no such operation",
                    value,
                    Operation::attribute_values(),
                );
                return Err(ErrorReported);
            }
        }
        Ok(operation)
    }

    fn leaf_edit(
        &mut self,
        node: NodeId,
        operation: Option<Operation>,
        step: Step,
        path: &InstancePath,
        element: &Element,
    ) -> Option<Edit> {
        if let Some(child) = element.children.first() {
            self.add_error(
                ErrorTag::UnknownElement,
                &child.name,
                path,
                "is a leaf",
                &child.name,
                "a value",
            );
            return None;
        }
        let text = element.text.trim();
        let is_removal = matches!(operation, Some(Operation::Delete | Operation::Remove));
        let value = if is_removal && text.is_empty() {
            None
        } else {
            Some(self.canonical_value(node, path, text)?)
        };
        Some(Edit {
            node,
            operation,
            value,
            step,
            children: vec![],
        })
    }
}
