//! Edits from the elements of an edit-config (RFC 6241, section 7.2).

use super::reader::EditReader;
use super::{Edit, EditError, ErrorTag, Operation};
use crate::data::{InstancePath, Step};
use crate::schema::{NodeId, Schema};
use crate::xml::{Attribute, Element};

const NETCONF_NAMESPACE: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";

/// Reads the edits of elements below a node, at the top for none; adds an error for each element that is no edit.
pub fn edits_from_xml(
    schema: &Schema,
    parent: Option<NodeId>,
    path: &InstancePath,
    elements: &[Element],
    errors: &mut Vec<EditError>,
) -> Vec<Edit> {
    EditReader { schema, errors }.edits_from_elements(parent, path, elements)
}

/// The element is no edit, and its error has been added to those of the reader.
struct ErrorAdded;

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
        let operation = self.read_operation(parent_path, element).ok()?;
        let key_value = |name: &str| Some(element.child(name)?.text.trim().to_owned());
        let step = self.read_step(node, parent_path, key_value)?;
        let path = parent_path.child(step.clone());
        if self.leaf_type(node).is_some() {
            return self.leaf_edit(node, operation, step, &path, element);
        }
        if !element.text.trim().is_empty() {
            self.error(
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

    /// The schema node that an element names.
    fn node_of_element(
        &mut self,
        parent: Option<NodeId>,
        path: &InstancePath,
        element: &Element,
    ) -> Option<NodeId> {
        let Some(node) = self.child_named(parent, &element.name) else {
            self.unknown_child(parent, &element.name, path);
            return None;
        };
        let namespace = &self.schema.module_of(node).namespace;
        if element.namespace != *namespace {
            self.error(
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

    /// The operation that the attributes of an element name, if any.
    fn read_operation(
        &mut self,
        path: &InstancePath,
        element: &Element,
    ) -> Result<Option<Operation>, ErrorAdded> {
        let mut operation = None;
        for Attribute {
            namespace,
            name,
            value,
        } in &element.attributes
        {
            if namespace != NETCONF_NAMESPACE || name != "operation" {
                self.error(
                    ErrorTag::UnknownAttribute,
                    name,
                    path,
                    "an attribute that is not known",
                    name,
                    "operation of NETCONF",
                );
                return Err(ErrorAdded);
            }
            operation = Operation::from_attribute(value);
            if operation.is_none() {
                self.error(
                    ErrorTag::BadAttribute,
                    "operation",
                    path,
                    "no such operation",
                    value,
                    Operation::attribute_values(),
                );
                return Err(ErrorAdded);
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
            self.error(
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
