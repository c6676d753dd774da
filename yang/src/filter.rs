//! Filters of the data that a client reads: paths, and subtree filters of NETCONF (RFC 6241, section 6).

use crate::data::{Content, DataNode};
use crate::path::{Pattern, PatternStep};
use crate::schema::{NodeKind, Schema};
use crate::xml::Element;

/// Which part of the data is wanted.
#[derive(Clone, Debug, PartialEq)]
pub enum Filter {
    /// All data.
    All,
    /// What matches one of the paths.
    Paths(Vec<Pattern>),
    /// What a subtree filter selects (RFC 6241, section 6).
    Subtree(Vec<Element>),
}

impl Filter {
    /// The data that the filter selects, with its ancestors and their keys.
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
        let mut is_complete = false;
        for steps in active {
            let Some((first, rest)) = steps.split_first() else {
                continue;
            };
            if first.matches(schema, child) {
                is_complete |= rest.is_empty();
                next.push(rest);
            }
            if first.any_depth {
                next.push(steps);
            }
        }
        if is_complete {
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

/// The keys of an entry, followed by what else of it is kept.
fn with_keys(schema: &Schema, of: &DataNode, kept: Vec<DataNode>) -> Vec<DataNode> {
    let keys = schema.keys(of.node);
    let is_key = |data: &DataNode| keys.contains(&schema.node_of(data.node).name);
    let first = of.children().iter().filter(|child| is_key(child)).cloned();
    first
        .chain(kept.into_iter().filter(|child| !is_key(child)))
        .collect()
}

/// What a level of a subtree filter keeps of a node; each of its elements may match.
fn prune_subtree(schema: &Schema, data: &DataNode, filters: &[Element]) -> Option<DataNode> {
    let node = schema.node_of(data.node);
    let namespace = &schema.module_of(data.node).namespace;
    filters
        .iter()
        .filter(|filter| filter.name == node.name)
        .filter(|filter| filter.namespace.is_empty() || filter.namespace == *namespace)
        .filter_map(|filter| apply_element(schema, data, filter))
        .reduce(|kept, found| merge(schema, kept, found))
}

/// What one element of a subtree filter keeps of the node that it names.
fn apply_element(schema: &Schema, data: &DataNode, filter: &Element) -> Option<DataNode> {
    let children = match &data.content {
        // A text is a content match, which has been checked for the parent; without one the node is selected.
        Content::Leaf(text) => {
            let wanted = filter.text.trim();
            return (wanted.is_empty() || wanted == text).then(|| data.clone());
        }
        Content::Inner(children) => children,
    };
    let content_matches: Vec<_> = filter
        .children
        .iter()
        .filter(|inner| is_content_match(inner))
        .collect();
    let is_met = |wanted: &&Element| {
        children.iter().any(|child| {
            schema.node_of(child.node).name == wanted.name
                && child.text() == Some(wanted.text.trim())
        })
    };
    if !content_matches.iter().all(is_met) {
        return None;
    }
    let has_selection = filter.children.len() > content_matches.len();
    if !has_selection {
        return Some(data.clone());
    }
    let selected: Vec<_> = children
        .iter()
        .filter_map(|child| prune_subtree(schema, child, &filter.children))
        .collect();
    // A node of which only content matches are left has nothing that was selected.
    let is_content_node = |child: &DataNode| {
        let name = &schema.node_of(child.node).name;
        content_matches.iter().any(|wanted| wanted.name == *name)
    };
    let is_selected = selected.iter().any(|child| !is_content_node(child));
    is_selected.then(|| DataNode::inner(data.node, with_keys(schema, data, selected)))
}

fn is_content_match(filter: &Element) -> bool {
    filter.children.is_empty() && !filter.text.trim().is_empty()
}

/// The union of what two filters kept of one node.
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
