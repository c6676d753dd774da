//! Parses XML elements within limits, and encodes data as XML (RFC 7950). Document type declarations, and entities other
//! than the five predefined ones, are rejected, so that no message makes the parser fetch or expand anything.

use std::borrow::Cow;
use std::fmt::Write;

use quick_xml::NsReader;
use quick_xml::events::{BytesRef, BytesStart, Event};
use quick_xml::name::ResolveResult;
use thiserror::Error;

use crate::data::{Content, DataNode};
use crate::schema::{NodeId, Schema};

/// An attribute of an element.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Attribute {
    /// The namespace, empty if there is none.
    pub namespace: String,
    /// The local name, without a prefix.
    pub name: String,
    /// The value, unescaped.
    pub value: String,
}

/// A parsed element.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Element {
    /// The namespace, empty if there is none.
    pub namespace: String,
    /// The local name, without a prefix.
    pub name: String,
    /// The attributes other than namespace declarations.
    pub attributes: Vec<Attribute>,
    /// The text directly in the element, unescaped.
    pub text: String,
    /// The child elements.
    pub children: Vec<Element>,
}

/// Limits of one document; the caller limits its size in bytes.
#[derive(Clone, Copy, Debug)]
pub struct XmlLimits {
    /// Maximum depth of nested elements.
    pub max_depth: usize,
    /// Maximum number of elements in the document.
    pub max_elements: usize,
    /// Maximum number of attributes of one element, namespace declarations not counted.
    pub max_attributes: usize,
}

impl Default for XmlLimits {
    fn default() -> Self {
        XmlLimits {
            max_depth: 64,
            max_elements: 500_000,
            max_attributes: 16,
        }
    }
}

/// Why an XML text is rejected.
#[derive(Clone, Debug, Error)]
#[error("byte {position}: {problem}")]
pub struct XmlError {
    /// The byte offset at which the rejected part begins.
    pub position: u64,
    /// The problem at this position.
    pub problem: XmlProblem,
}

/// The problem of a rejected XML text.
#[derive(Clone, Debug, Error)]
pub enum XmlProblem {
    /// The text is not well-formed.
    #[error(transparent)]
    Syntax(#[from] quick_xml::Error),
    /// An attribute is not well-formed.
    #[error(transparent)]
    AttributeSyntax(#[from] quick_xml::events::attributes::AttrError),
    /// Another element follows the root element.
    #[error("a second element, {0}")]
    SecondElement(String),
    /// The document has too many or too deeply nested elements.
    #[error("more than {max_elements} elements, or {max_depth} deep")]
    TooManyElements {
        /// The maximum number of elements.
        max_elements: usize,
        /// The maximum depth of nested elements.
        max_depth: usize,
    },
    /// An element has too many attributes.
    #[error("more than {0} attributes")]
    TooManyAttributes(usize),
    /// There is text outside the root element.
    #[error("text outside of all elements")]
    TextOutside,
    /// An entity is not one of the five predefined ones.
    #[error("an entity that is none of XML's own")]
    UnknownEntity,
    /// The document has a document type declaration.
    #[error("a document type is not read")]
    DocumentType,
    /// The text ends before the end of the root element, or has no element.
    #[error("the element does not end")]
    Unfinished,
    /// A prefix is not bound to a namespace.
    #[error("the prefix {0} is bound to nothing")]
    UnboundPrefix(String),
}

impl Element {
    /// Returns the value of an attribute.
    pub fn attribute(&self, namespace: &str, name: &str) -> Option<&str> {
        self.attributes
            .iter()
            .find(|attribute| attribute.namespace == namespace && attribute.name == name)
            .map(|attribute| attribute.value.as_str())
    }

    /// Returns the first child with a name, in any namespace.
    pub fn child(&self, name: &str) -> Option<&Element> {
        self.children.iter().find(|child| child.name == name)
    }
}

/// Parses a document with exactly one root element.
///
/// # Errors
///
/// When the text is not well-formed, exceeds the limits or has a document type declaration.
pub fn parse(text: &str, limits: &XmlLimits) -> Result<Element, XmlError> {
    let mut reader = NsReader::from_str(text);
    reader.config_mut().check_end_names = true;
    let mut builder = ElementBuilder::new(limits);
    loop {
        let position = reader.buffer_position();
        match builder.process_next_event(&mut reader) {
            Ok(Some(root)) => return Ok(root),
            Ok(None) => {}
            Err(problem) => return Err(XmlError { position, problem }),
        }
    }
}

/// Builds the root element from the events of a reader.
struct ElementBuilder<'a> {
    limits: &'a XmlLimits,
    /// Elements whose end tag has not been read, outermost first.
    open_elements: Vec<Element>,
    /// The root element, once its end tag has been read.
    root: Option<Element>,
    /// Number of elements read.
    element_count: usize,
}

impl<'a> ElementBuilder<'a> {
    fn new(limits: &'a XmlLimits) -> Self {
        ElementBuilder {
            limits,
            open_elements: vec![],
            root: None,
            element_count: 0,
        }
    }

    /// Processes the next event; returns the root element at the end of the text.
    fn process_next_event(
        &mut self,
        reader: &mut NsReader<&[u8]>,
    ) -> Result<Option<Element>, XmlProblem> {
        let (namespace, event) = reader.read_resolved_event()?;
        match event {
            Event::Start(start) | Event::Empty(start) if self.root.is_some() => {
                let name = start.local_name().as_ref().to_owned();
                return Err(XmlProblem::SecondElement(name));
            }
            Event::Start(start) => {
                self.count_element()?;
                let namespace = namespace_name(namespace)?;
                let element = parse_element(reader, namespace, &start, self.limits)?;
                self.open_elements.push(element);
            }
            Event::Empty(start) => {
                self.count_element()?;
                let namespace = namespace_name(namespace)?;
                let element = parse_element(reader, namespace, &start, self.limits)?;
                self.add_to_parent(element);
            }
            Event::End(_) => {
                if let Some(element) = self.open_elements.pop() {
                    self.add_to_parent(element);
                }
            }
            Event::Text(text) if self.open_elements.is_empty() && text.trim().is_empty() => {}
            Event::Text(text) => self.innermost_open()?.text.push_str(&text),
            Event::CData(data) => self.innermost_open()?.text.push_str(&data),
            Event::GeneralRef(entity) => {
                let character = entity_character(&entity).ok_or(XmlProblem::UnknownEntity)?;
                self.innermost_open()?.text.push(character);
            }
            Event::Comment(_) | Event::Decl(_) | Event::PI(_) => {}
            Event::DocType(_) => return Err(XmlProblem::DocumentType),
            Event::Eof => return self.finish().map(Some),
        }
        Ok(None)
    }

    fn count_element(&mut self) -> Result<(), XmlProblem> {
        self.element_count += 1;
        if self.open_elements.len() >= self.limits.max_depth
            || self.element_count > self.limits.max_elements
        {
            return Err(XmlProblem::TooManyElements {
                max_elements: self.limits.max_elements,
                max_depth: self.limits.max_depth,
            });
        }
        Ok(())
    }

    fn innermost_open(&mut self) -> Result<&mut Element, XmlProblem> {
        self.open_elements.last_mut().ok_or(XmlProblem::TextOutside)
    }

    /// Adds a complete element to its parent; without a parent it is the root element.
    fn add_to_parent(&mut self, element: Element) {
        match self.open_elements.last_mut() {
            Some(parent) => parent.children.push(element),
            None => self.root = Some(element),
        }
    }

    fn finish(&mut self) -> Result<Element, XmlProblem> {
        if !self.open_elements.is_empty() {
            return Err(XmlProblem::Unfinished);
        }
        self.root.take().ok_or(XmlProblem::Unfinished)
    }
}

/// Returns the character of a predefined entity or of a character reference.
fn entity_character(entity: &BytesRef) -> Option<char> {
    if let Ok(Some(c)) = entity.resolve_char_ref() {
        return Some(c);
    }
    match &**entity {
        "lt" => Some('<'),
        "gt" => Some('>'),
        "amp" => Some('&'),
        "quot" => Some('"'),
        "apos" => Some('\''),
        _ => None,
    }
}

/// Returns the name of a resolved namespace, empty if there is none.
fn namespace_name(namespace: ResolveResult) -> Result<String, XmlProblem> {
    match namespace {
        ResolveResult::Bound(namespace) => Ok(namespace.as_ref().to_owned()),
        ResolveResult::Unbound => Ok(String::new()),
        ResolveResult::Unknown(prefix) => Err(XmlProblem::UnboundPrefix(prefix)),
    }
}

/// Creates an element without text and children from its start tag.
fn parse_element(
    reader: &NsReader<&[u8]>,
    namespace: String,
    start: &BytesStart,
    limits: &XmlLimits,
) -> Result<Element, XmlProblem> {
    let name = start.local_name().as_ref().to_owned();
    let mut attributes = Vec::new();
    for attribute in start.attributes() {
        let attribute = attribute?;
        let key = attribute.key;
        if key.as_namespace_binding().is_some() {
            continue;
        }
        let (namespace, local_name) = reader.resolver().resolve_attribute(key);
        let value = attribute.normalized_value(quick_xml::XmlVersion::Implicit1_0)?;
        attributes.push(Attribute {
            namespace: namespace_name(namespace)?,
            name: local_name.as_ref().to_owned(),
            value: value.into_owned(),
        });
        if attributes.len() > limits.max_attributes {
            return Err(XmlProblem::TooManyAttributes(limits.max_attributes));
        }
    }
    Ok(Element {
        namespace,
        name,
        attributes,
        text: String::new(),
        children: vec![],
    })
}

/// Escapes the characters of a text that have a special meaning in XML.
pub fn escaped(text: &str) -> Cow<'_, str> {
    quick_xml::escape::escape(text)
}

/// Appends data as XML. An element declares its namespace if its module differs from that of its parent, and at the top
/// level.
pub fn write(schema: &Schema, data: &[DataNode], out: &mut String) {
    data.iter()
        .for_each(|data| write_node(schema, data, None, out));
}

fn write_node(schema: &Schema, data: &DataNode, parent: Option<NodeId>, out: &mut String) {
    let node = schema.node_of(data.node);
    let module_differs = parent.is_none_or(|parent| schema.node_of(parent).module != node.module);
    out.push('<');
    out.push_str(&node.name);
    if module_differs {
        let _ = write!(out, " xmlns=\"{}\"", schema.module_of(data.node).namespace);
    }
    match &data.content {
        Content::Leaf(text) if text.is_empty() => out.push_str("/>"),
        Content::Leaf(text) => {
            let _ = write!(out, ">{}</{}>", escaped(text), node.name);
        }
        Content::Inner(children) if children.is_empty() => out.push_str("/>"),
        Content::Inner(children) => {
            out.push('>');
            children
                .iter()
                .for_each(|child| write_node(schema, child, Some(data.node), out));
            let _ = write!(out, "</{}>", node.name);
        }
    }
}
