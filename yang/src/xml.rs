//! XML elements, parsed within limits, and data as XML (RFC 7950). Document types and entities other than those of
//! XML itself are rejected, so that no message makes the parser fetch or expand anything.

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
    /// The name without a prefix.
    pub name: String,
    /// The value, unescaped.
    pub value: String,
}

/// A parsed element.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Element {
    /// The namespace, empty if there is none.
    pub namespace: String,
    /// The name without a prefix.
    pub name: String,
    /// The attributes, without declarations of namespaces.
    pub attributes: Vec<Attribute>,
    /// Its own text, unescaped.
    pub text: String,
    /// The elements that it holds.
    pub children: Vec<Element>,
}

/// What one document may hold; its size in bytes is limited by the caller.
#[derive(Clone, Copy, Debug)]
pub struct XmlLimits {
    /// Nested elements.
    pub depth: usize,
    /// Elements of the document.
    pub elements: usize,
    /// Attributes of one element.
    pub attributes: usize,
}

impl Default for XmlLimits {
    fn default() -> Self {
        XmlLimits {
            depth: 64,
            elements: 500_000,
            attributes: 16,
        }
    }
}

/// Why a text is not parsed.
#[derive(Clone, Debug, Error)]
#[error("byte {position}: {problem}")]
pub struct XmlError {
    /// The position in the text, in bytes.
    pub position: u64,
    /// What is wrong there.
    pub problem: XmlProblem,
}

/// What is wrong with an XML text.
#[derive(Clone, Debug, Error)]
pub enum XmlProblem {
    /// The text is not well-formed.
    #[error(transparent)]
    Syntax(#[from] quick_xml::Error),
    /// An attribute is not well-formed.
    #[error(transparent)]
    AttributeSyntax(#[from] quick_xml::events::attributes::AttrError),
    /// Another element follows the first one.
    #[error("a second element, {0}")]
    SecondElement(String),
    /// The document has too many or too deeply nested elements.
    #[error("more than {elements} elements, or {depth} deep")]
    TooManyElements {
        /// The limit of elements.
        elements: usize,
        /// The limit of nested elements.
        depth: usize,
    },
    /// An element has too many attributes.
    #[error("more than {0} attributes")]
    TooManyAttributes(usize),
    /// There is text beside the first element.
    #[error("text outside of all elements")]
    TextOutside,
    /// An entity is not one of XML itself.
    #[error("an entity that is none of XML's own")]
    UnknownEntity,
    /// The document has a document type.
    #[error("a document type is not read")]
    DocumentType,
    /// The text ends within the element, or has none.
    #[error("the element does not end")]
    Unfinished,
    /// A prefix has no namespace.
    #[error("the prefix {0} is bound to nothing")]
    UnboundPrefix(String),
}

impl Element {
    /// The value of an attribute.
    pub fn attribute(&self, namespace: &str, name: &str) -> Option<&str> {
        self.attributes
            .iter()
            .find(|attribute| attribute.namespace == namespace && attribute.name == name)
            .map(|attribute| attribute.value.as_str())
    }

    /// The first child with a name.
    pub fn child(&self, name: &str) -> Option<&Element> {
        self.children.iter().find(|child| child.name == name)
    }
}

/// Parses one element with all that it holds, and nothing behind it.
///
/// # Errors
///
/// When the text is not well-formed, exceeds the limits or has a document type.
pub fn parse(text: &str, limits: &XmlLimits) -> Result<Element, XmlError> {
    let mut reader = NsReader::from_str(text);
    reader.config_mut().check_end_names = true;
    let mut builder = ElementBuilder::new(limits);
    loop {
        let position = reader.buffer_position();
        match builder.next_event(&mut reader) {
            Ok(Some(root)) => return Ok(root),
            Ok(None) => {}
            Err(problem) => return Err(XmlError { position, problem }),
        }
    }
}

/// Collects the events of a reader into one element.
struct ElementBuilder<'a> {
    limits: &'a XmlLimits,
    /// Elements that have begun and not ended, outermost first.
    open: Vec<Element>,
    /// The outermost element, once it has ended.
    root: Option<Element>,
    /// Elements so far.
    count: usize,
}

impl<'a> ElementBuilder<'a> {
    fn new(limits: &'a XmlLimits) -> Self {
        ElementBuilder {
            limits,
            open: vec![],
            root: None,
            count: 0,
        }
    }

    /// Takes in the next event; gives the outermost element at the end of the text.
    fn next_event(&mut self, reader: &mut NsReader<&[u8]>) -> Result<Option<Element>, XmlProblem> {
        let (namespace, event) = reader.read_resolved_event()?;
        match event {
            Event::Start(start) | Event::Empty(start) if self.root.is_some() => {
                let name = start.local_name().as_ref().to_owned();
                return Err(XmlProblem::SecondElement(name));
            }
            Event::Start(start) => {
                self.count_element()?;
                let namespace = resolved(namespace)?;
                let element = parse_element(reader, namespace, &start, self.limits)?;
                self.open.push(element);
            }
            Event::Empty(start) => {
                self.count_element()?;
                let namespace = resolved(namespace)?;
                let element = parse_element(reader, namespace, &start, self.limits)?;
                self.attach(element);
            }
            Event::End(_) => {
                if let Some(element) = self.open.pop() {
                    self.attach(element);
                }
            }
            Event::Text(text) if self.open.is_empty() && text.trim().is_empty() => {}
            Event::Text(text) => self.innermost()?.text.push_str(&text),
            Event::CData(data) => self.innermost()?.text.push_str(&data),
            Event::GeneralRef(entity) => {
                let character = entity_character(&entity).ok_or(XmlProblem::UnknownEntity)?;
                self.innermost()?.text.push(character);
            }
            Event::Comment(_) | Event::Decl(_) | Event::PI(_) => {}
            Event::DocType(_) => return Err(XmlProblem::DocumentType),
            Event::Eof => return self.finish().map(Some),
        }
        Ok(None)
    }

    fn count_element(&mut self) -> Result<(), XmlProblem> {
        self.count += 1;
        if self.open.len() >= self.limits.depth || self.count > self.limits.elements {
            return Err(XmlProblem::TooManyElements {
                elements: self.limits.elements,
                depth: self.limits.depth,
            });
        }
        Ok(())
    }

    fn innermost(&mut self) -> Result<&mut Element, XmlProblem> {
        self.open.last_mut().ok_or(XmlProblem::TextOutside)
    }

    /// Adds a finished element to the one that holds it.
    fn attach(&mut self, element: Element) {
        match self.open.last_mut() {
            Some(parent) => parent.children.push(element),
            None => self.root = Some(element),
        }
    }

    fn finish(&mut self) -> Result<Element, XmlProblem> {
        if !self.open.is_empty() {
            return Err(XmlProblem::Unfinished);
        }
        self.root.take().ok_or(XmlProblem::Unfinished)
    }
}

/// The character of one of the five entities of XML or of a character reference.
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

fn resolved(namespace: ResolveResult) -> Result<String, XmlProblem> {
    match namespace {
        ResolveResult::Bound(namespace) => Ok(namespace.as_ref().to_owned()),
        ResolveResult::Unbound => Ok(String::new()),
        ResolveResult::Unknown(prefix) => Err(XmlProblem::UnboundPrefix(prefix)),
    }
}

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
        let (namespace, local) = reader.resolver().resolve_attribute(key);
        let value = attribute.normalized_value(quick_xml::XmlVersion::Implicit1_0)?;
        attributes.push(Attribute {
            namespace: resolved(namespace)?,
            name: local.as_ref().to_owned(),
            value: value.into_owned(),
        });
        if attributes.len() > limits.attributes {
            return Err(XmlProblem::TooManyAttributes(limits.attributes));
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

/// A text with the characters escaped that have a meaning in XML.
pub fn escaped(text: &str) -> Cow<'_, str> {
    quick_xml::escape::escape(text)
}

/// Appends data as XML; an element names its namespace if that differs from its parent's.
pub fn write(schema: &Schema, data: &[DataNode], out: &mut String) {
    data.iter()
        .for_each(|data| write_under(schema, data, None, out));
}

fn write_under(schema: &Schema, data: &DataNode, parent: Option<NodeId>, out: &mut String) {
    let node = schema.node_of(data.node);
    let changes = parent.is_none_or(|parent| schema.node_of(parent).module != node.module);
    out.push('<');
    out.push_str(&node.name);
    if changes {
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
                .for_each(|child| write_under(schema, child, Some(data.node), out));
            let _ = write!(out, "</{}>", node.name);
        }
    }
}
