//! XML: elements as they are read, within bounds, and data by the schema as XML (RFC 7950). Text that would name
//! entities or bring a document type is refused: nobody's message makes this reader fetch or grow anything.

use std::borrow::Cow;
use std::fmt::Write;

use quick_xml::NsReader;
use quick_xml::events::{BytesRef, BytesStart, Event};
use quick_xml::name::ResolveResult;

use crate::data::{Content, DataNode};
use crate::schema::{NodeId, Schema};

/// An element as it was read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Element {
    /// Empty where it has none.
    pub namespace: String,
    pub name: String,
    /// Namespace, name, value.
    pub attributes: Vec<(String, String, String)>,
    pub text: String,
    pub children: Vec<Element>,
}

/// What one document may hold; its bytes are bounded before.
#[derive(Clone, Copy, Debug)]
pub struct XmlLimits {
    pub depth: usize,
    pub elements: usize,
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

impl Element {
    pub fn attribute(&self, namespace: &str, name: &str) -> Option<&str> {
        let found = self
            .attributes
            .iter()
            .find(|(of, is, _)| of == namespace && is == name);
        found.map(|(.., value)| value.as_str())
    }

    pub fn child(&self, name: &str) -> Option<&Element> {
        self.children.iter().find(|child| child.name == name)
    }
}

/// Reads one element with all that it holds, and nothing behind it.
pub fn read(text: &str, limits: &XmlLimits) -> Result<Element, String> {
    let mut reader = NsReader::from_str(text);
    reader.config_mut().check_end_names = true;
    let (mut open, mut done): (Vec<Element>, Option<Element>) = (vec![], None);
    let mut count = 0;
    loop {
        let place = reader.buffer_position();
        let wrong = |why: &dyn std::fmt::Display| format!("byte {place}: {why}");
        let (namespace, event) = reader.read_resolved_event().map_err(|e| wrong(&e))?;
        match event {
            Event::Start(start) | Event::Empty(start) if done.is_some() => {
                let name = start.local_name().as_ref().to_owned();
                return Err(wrong(&format!("a second element, {name}")));
            }
            Event::Start(start) => {
                count += 1;
                if open.len() >= limits.depth || count > limits.elements {
                    return Err(wrong(&format!(
                        "more than {} elements, or {} deep",
                        limits.elements, limits.depth
                    )));
                }
                let namespace = resolved(namespace).map_err(|why| wrong(&why))?;
                open.push(element(&reader, namespace, &start, limits).map_err(|why| wrong(&why))?);
            }
            Event::Empty(start) => {
                count += 1;
                if open.len() >= limits.depth || count > limits.elements {
                    return Err(wrong(&format!(
                        "more than {} elements, or {} deep",
                        limits.elements, limits.depth
                    )));
                }
                let namespace = resolved(namespace).map_err(|why| wrong(&why))?;
                let one = element(&reader, namespace, &start, limits).map_err(|why| wrong(&why))?;
                put(&mut open, &mut done, one);
            }
            Event::End(_) => {
                if let Some(one) = open.pop() {
                    put(&mut open, &mut done, one);
                }
            }
            Event::Text(text) => {
                let text: &str = &text;
                match open.last_mut() {
                    Some(of) => of.text.push_str(text),
                    None if text.trim().is_empty() => {}
                    None => return Err(wrong(&"text outside of all elements")),
                }
            }
            Event::CData(data) => {
                let text: &str = &data;
                open.last_mut()
                    .ok_or_else(|| wrong(&"text outside of all elements"))?
                    .text
                    .push_str(text);
            }
            Event::GeneralRef(entity) => {
                let meant = reference(&entity)
                    .ok_or_else(|| wrong(&"an entity that is none of XML's own"))?;
                open.last_mut()
                    .ok_or_else(|| wrong(&"text outside of all elements"))?
                    .text
                    .push(meant);
            }
            Event::Comment(_) | Event::Decl(_) | Event::PI(_) => {}
            Event::DocType(_) => return Err(wrong(&"a document type is not read")),
            Event::Eof => {
                return match done {
                    Some(done) if open.is_empty() => Ok(done),
                    _ => Err(wrong(&"the element does not end")),
                };
            }
        }
    }
}

/// The five entities of XML, and characters by their numbers.
fn reference(entity: &BytesRef) -> Option<char> {
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

fn resolved(namespace: ResolveResult) -> Result<String, String> {
    match namespace {
        ResolveResult::Bound(namespace) => Ok(namespace.as_ref().to_owned()),
        ResolveResult::Unbound => Ok(String::new()),
        ResolveResult::Unknown(prefix) => Err(format!("the prefix {} is bound to nothing", prefix)),
    }
}

fn put(open: &mut [Element], done: &mut Option<Element>, one: Element) {
    match open.last_mut() {
        Some(of) => of.children.push(one),
        None => *done = Some(one),
    }
}

fn element(
    reader: &NsReader<&[u8]>,
    namespace: String,
    start: &BytesStart,
    limits: &XmlLimits,
) -> Result<Element, String> {
    let name = start.local_name().as_ref().to_owned();
    let mut attributes = Vec::new();
    for attribute in start.attributes() {
        let attribute = attribute.map_err(|e| e.to_string())?;
        let key = attribute.key;
        if key.as_namespace_binding().is_some() {
            continue;
        }
        let (namespace, local) = reader.resolver().resolve_attribute(key);
        let value = attribute
            .normalized_value(quick_xml::XmlVersion::Implicit1_0)
            .map_err(|e| e.to_string())?;
        let local = local.as_ref().to_owned();
        attributes.push((resolved(namespace)?, local, value.into_owned()));
        if attributes.len() > limits.attributes {
            return Err(format!("more than {} attributes", limits.attributes));
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

/// A text as it may stand in an element or an attribute.
pub fn escaped(text: &str) -> Cow<'_, str> {
    quick_xml::escape::escape(text)
}

/// Writes data by the schema; the namespace stands where it changes.
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
