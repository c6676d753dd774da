//! Which data is meant: paths as gNMI and NETCONF's XPath have them (the common part: names, `*`, `//`, keys), and
//! NETCONF's subtree filters. Both prune data to what matches, with what leads to it.

use winnow::combinator::{alt, cut_err, delimited, opt, preceded, repeat, separated, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::token::{take_till, take_while};

use crate::data::{Content, DataNode, InstancePath, Step};
use crate::schema::{NodeId, NodeKind, Schema};
use crate::xml::Element;

/// One step of a pattern.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PatternStep {
    /// Any where none is given.
    pub name: Option<String>,
    /// Keys that are fixed, by name.
    pub keys: Vec<(String, String)>,
    /// At any depth below.
    pub deep: bool,
}

/// A path that several instances may match; without steps it is everything.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pattern(pub Vec<PatternStep>);

/// Steps of a path, and paths of a filter, at most.
const MAX_STEPS: usize = 32;
const MAX_PATHS: usize = 64;

type ParseResult<T> = Result<T, ErrMode<ContextError>>;

fn name<'a>(input: &mut &'a str) -> ParseResult<&'a str> {
    let word = |input: &mut &'a str| {
        take_while(1.., |c: char| {
            c.is_ascii_alphanumeric() || "-_.".contains(c)
        })
        .parse_next(input)
    };
    // A prefix or a module's name says nothing more here: names are not given twice.
    let (first, second): (&str, Option<&str>) =
        (word, opt(preceded(':', word))).parse_next(input)?;
    Ok(second.unwrap_or(first))
}

fn text(input: &mut &str) -> ParseResult<String> {
    let of = |quote: char| delimited(quote, take_till(0.., quote), cut_err(quote));
    alt((of('\''), of('"')))
        .map(str::to_owned)
        .parse_next(input)
}

fn key(input: &mut &str) -> ParseResult<(String, String)> {
    let spaces = || take_while(0.., ' ');
    let equals = delimited(spaces(), '=', spaces());
    let pair = (preceded(spaces(), name), preceded(equals, text));
    delimited('[', pair, cut_err(preceded(spaces(), ']')))
        .map(|(key, value)| (key.to_owned(), value))
        .parse_next(input)
}

fn pattern_step(input: &mut &str) -> ParseResult<PatternStep> {
    let deep = preceded('/', opt('/')).parse_next(input)?.is_some();
    let name = alt(('*'.value(None), name.map(|name| Some(name.to_owned())))).parse_next(input)?;
    let keys = repeat(0.., key).parse_next(input)?;
    Ok(PatternStep { name, keys, deep })
}

fn paths(input: &mut &str) -> ParseResult<Vec<Vec<PatternStep>>> {
    let spaces = || take_while(0.., [' ', '\n', '\t', '\r']);
    let path = delimited(
        spaces(),
        repeat::<_, _, Vec<PatternStep>, _, _>(1.., pattern_step),
        spaces(),
    );
    separated(1.., path, '|').parse_next(input)
}

impl Pattern {
    /// Reads the common part of XPath: absolute paths, several joined by `|`.
    pub fn parse_xpath(text: &str) -> Result<Vec<Pattern>, String> {
        if ["", "/"].contains(&text.trim()) {
            return Ok(vec![Pattern::default()]);
        }
        let read = terminated(paths, winnow::combinator::eof).parse(text);
        let read = read.map_err(|e| {
            format!(
                "is no path that is read here, from character {}",
                e.offset()
            )
        })?;
        if read.len() > MAX_PATHS || read.iter().any(|steps| steps.len() > MAX_STEPS) {
            return Err(format!(
                "has more than {MAX_PATHS} paths or {MAX_STEPS} steps"
            ));
        }
        Ok(read.into_iter().map(Pattern).collect())
    }

    /// A path of steps, in which `*` is any name or key, and `...` any depth.
    pub fn from_steps<'a>(
        steps: impl IntoIterator<Item = (&'a str, Vec<(String, String)>)>,
    ) -> Result<Pattern, String> {
        let (mut wanted, mut deep) = (vec![], false);
        for (name, keys) in steps {
            if name == "..." {
                deep = true;
                continue;
            }
            let plain = name.rsplit_once(':').map_or(name, |(_, plain)| plain);
            if plain.is_empty() {
                return Err("a step has no name".into());
            }
            let name = (plain != "*").then(|| plain.to_owned());
            let mut keys: Vec<_> = keys.into_iter().filter(|(_, value)| value != "*").collect();
            keys.sort();
            wanted.push(PatternStep {
                name,
                keys,
                deep: std::mem::take(&mut deep),
            });
        }
        if wanted.len() > MAX_STEPS {
            return Err(format!("has more than {MAX_STEPS} steps"));
        }
        Ok(Pattern(wanted))
    }

    /// This path below another one.
    pub fn below(&self, prefix: &Pattern) -> Pattern {
        Pattern(prefix.0.iter().chain(&self.0).cloned().collect())
    }

    /// The one instance that is meant, where the path leaves nothing open, and its node.
    pub fn instance(&self, schema: &Schema) -> Result<(InstancePath, Option<NodeId>), String> {
        let (mut instance, mut node) = (InstancePath::default(), None);
        for wanted in &self.0 {
            let Some(name) = wanted.name.as_ref().filter(|_| !wanted.deep) else {
                return Err("leaves open which instance is meant".into());
            };
            let below = schema
                .children_of(node)
                .iter()
                .copied()
                .find(|id| schema.node_of(*id).name == *name);
            let below = below.ok_or_else(|| format!("{instance} has no {name}"))?;
            let of_list = schema.keys(below);
            if let Some((key, _)) = wanted.keys.iter().find(|(key, _)| !of_list.contains(key)) {
                return Err(format!("{name} has no key {key}"));
            }
            let value = |key: &String| wanted.keys.iter().find(|(name, _)| name == key).cloned();
            let keys: Vec<_> = of_list.iter().filter_map(value).collect();
            if keys.len() < of_list.len() {
                return Err(format!("{name} needs its keys, {}", of_list.join(" ")));
            }
            instance = instance.child(Step {
                name: name.clone(),
                keys,
            });
            node = Some(below);
        }
        Ok((instance, node))
    }

    /// Whether the names lead anywhere in the schema: a path that cannot match is a mistake.
    pub fn matches_schema(&self, schema: &Schema) -> bool {
        let mut at: Vec<Option<NodeId>> = vec![None];
        for wanted in &self.0 {
            let mut next: Vec<NodeId> = vec![];
            for from in &at {
                let mut below: Vec<NodeId> = schema.children_of(*from).to_vec();
                let mut place = 0;
                while wanted.deep && place < below.len() {
                    below.extend(schema.children_of(Some(below[place])));
                    place += 1;
                }
                next.extend(below.into_iter().filter(|id| {
                    wanted
                        .name
                        .as_ref()
                        .is_none_or(|n| *n == schema.node_of(*id).name)
                }));
            }
            next.sort();
            next.dedup();
            at = next.into_iter().map(Some).collect();
        }
        !at.is_empty()
    }

    /// Each instance that matches, and where it stands.
    pub fn select<'a>(
        &self,
        schema: &Schema,
        data: &'a [DataNode],
    ) -> Vec<(InstancePath, &'a DataNode)> {
        let mut found = Vec::new();
        collect_matches(schema, data, &self.0, &InstancePath::default(), &mut found);
        found
    }
}

fn step_matches(schema: &Schema, data: &DataNode, wanted: &PatternStep) -> bool {
    let name = wanted
        .name
        .as_ref()
        .is_none_or(|name| *name == schema.node_of(data.node).name);
    let value = |key: &str| data.child(schema, key).and_then(DataNode::text);
    name && wanted
        .keys
        .iter()
        .all(|(key, wants)| value(key) == Some(wants))
}

fn collect_matches<'a>(
    schema: &Schema,
    data: &'a [DataNode],
    steps: &[PatternStep],
    at: &InstancePath,
    found: &mut Vec<(InstancePath, &'a DataNode)>,
) {
    let Some((first, rest)) = steps.split_first() else {
        return;
    };
    for child in data {
        let here = at.child(child.step(schema));
        if step_matches(schema, child, first) {
            if rest.is_empty() {
                found.push((here.clone(), child));
            } else {
                collect_matches(schema, child.children(), rest, &here, found);
            }
        }
        if first.deep {
            collect_matches(schema, child.children(), steps, &here, found);
        }
    }
}

/// What a reader wants of the data.
#[derive(Clone, Debug, PartialEq)]
pub enum Filter {
    All,
    Paths(Vec<Pattern>),
    Subtree(Vec<Element>),
}

impl Filter {
    pub fn prune(&self, schema: &Schema, data: &[DataNode]) -> Vec<DataNode> {
        match self {
            Filter::All => data.to_vec(),
            Filter::Paths(patterns) => {
                let active: Vec<_> = patterns
                    .iter()
                    .map(|pattern| pattern.0.as_slice())
                    .collect();
                if active.iter().any(|steps| steps.is_empty()) {
                    data.to_vec()
                } else {
                    prune_paths(schema, data, &active)
                }
            }
            Filter::Subtree(elements) => data
                .iter()
                .filter_map(|data| prune_subtree(schema, data, elements))
                .collect(),
        }
    }
}

/// Keeps what matches one of the paths, with its ancestors and their keys.
fn prune_paths(schema: &Schema, data: &[DataNode], active: &[&[PatternStep]]) -> Vec<DataNode> {
    let mut kept = Vec::new();
    for child in data {
        let mut next: Vec<&[PatternStep]> = Vec::new();
        let mut whole = false;
        for steps in active {
            let Some((first, rest)) = steps.split_first() else {
                continue;
            };
            if step_matches(schema, child, first) {
                whole |= rest.is_empty();
                next.push(rest);
            }
            if first.deep {
                next.push(steps);
            }
        }
        if whole {
            kept.push(child.clone());
            continue;
        }
        next.retain(|steps| !steps.is_empty());
        if let (Content::Inner(inner), false) = (&child.content, next.is_empty()) {
            let below = prune_paths(schema, inner, &next);
            if !below.is_empty() {
                kept.push(DataNode::inner(child.node, with_keys(schema, child, below)));
            }
        }
    }
    kept
}

/// The keys of a list's entry first, whatever else of it is kept.
fn with_keys(schema: &Schema, of: &DataNode, kept: Vec<DataNode>) -> Vec<DataNode> {
    let keys = schema.keys(of.node);
    let is_key = |data: &DataNode| keys.contains(&schema.node_of(data.node).name);
    let first = of.children().iter().filter(|child| is_key(child)).cloned();
    first
        .chain(kept.into_iter().filter(|child| !is_key(child)))
        .collect()
}

/// A subtree filter (RFC 6241, section 6): the elements of one level, of which any may match.
fn prune_subtree(schema: &Schema, data: &DataNode, filters: &[Element]) -> Option<DataNode> {
    let node = schema.node_of(data.node);
    let namespace = &schema.module_of(data.node).namespace;
    let mine = filters.iter().filter(|filter| {
        filter.name == node.name && (filter.namespace.is_empty() || filter.namespace == *namespace)
    });
    let mut kept: Option<DataNode> = None;
    for filter in mine {
        let found = match &data.content {
            // With a text it is a content match, which its parent has looked at; else it selects.
            Content::Leaf(text) => {
                (filter.text.trim().is_empty() || filter.text.trim() == text).then(|| data.clone())
            }
            Content::Inner(children) => {
                let is_match =
                    |inner: &&Element| inner.children.is_empty() && !inner.text.trim().is_empty();
                let matches: Vec<_> = filter.children.iter().filter(is_match).collect();
                let meets = |wants: &&Element| {
                    let same = |child: &&DataNode| schema.node_of(child.node).name == wants.name;
                    children
                        .iter()
                        .filter(same)
                        .any(|child| child.text() == Some(wants.text.trim()))
                };
                if !matches.iter().all(meets) {
                    continue;
                }
                let selects = filter.children.len() > matches.len();
                if filter.children.is_empty() || !selects {
                    Some(data.clone())
                } else {
                    let inner: Vec<_> = children
                        .iter()
                        .filter_map(|child| prune_subtree(schema, child, &filter.children))
                        .collect();
                    // Only content matches were met: nothing that was selected is there.
                    let matched = |child: &DataNode| {
                        matches
                            .iter()
                            .any(|wants| wants.name == schema.node_of(child.node).name)
                    };
                    let more = inner.iter().any(|child| !matched(child));
                    more.then(|| DataNode::inner(data.node, with_keys(schema, data, inner)))
                }
            }
        };
        kept = match (kept, found) {
            (Some(one), Some(other)) => Some(merge(schema, one, other)),
            (one, other) => one.or(other),
        };
    }
    kept
}

/// What two filters kept of one node.
fn merge(schema: &Schema, one: DataNode, other: DataNode) -> DataNode {
    let (Content::Inner(mut kept), Content::Inner(more)) = (one.content.clone(), other.content)
    else {
        return one;
    };
    for child in more {
        let step = child.step(schema);
        let same = |there: &DataNode| there.node == child.node && there.step(schema) == step;
        let list = matches!(schema.node_of(child.node).kind, NodeKind::LeafList { .. });
        match kept
            .iter()
            .position(|there| if list { *there == child } else { same(there) })
        {
            Some(place) => kept[place] = merge(schema, kept[place].clone(), child),
            None => kept.push(child),
        }
    }
    DataNode::inner(one.node, kept)
}
