//! Filters that select which data a client reads: path patterns, and NETCONF subtree filters (RFC 6241, section 6).

use crate::data::{Content, DataNode};
use crate::path::{Pattern, PatternStep};
use crate::schema::{NodeKind, Schema};
use crate::xml::Element;

/// Selects a part of the data.
#[derive(Clone, Debug, PartialEq)]
pub enum Filter {
    /// All data.
    All,
    /// The nodes that match at least one of the path patterns, with everything below them.
    Paths(Vec<Pattern>),
    /// The nodes that the elements of a subtree filter select (RFC 6241, section 6).
    Subtree(Vec<Element>),
}

impl Filter {
    /// Returns the selected data, with its ancestors and the key leaves of the list entries among them.
    pub fn prune(&self, schema: &Schema, data: &[DataNode]) -> Vec<DataNode> {
        match self {
            Filter::All => data.to_vec(),
            Filter::Paths(patterns) => {
                let active_paths: Vec<_> = patterns
                    .iter()
                    .map(|pattern| pattern.0.as_slice())
                    .collect();
                if active_paths.iter().any(|steps| steps.is_empty()) {
                    data.to_vec()
                } else {
                    prune_paths(schema, data, &active_paths)
                }
            }
            Filter::Subtree(elements) => data
                .iter()
                .filter_map(|data| prune_subtree(schema, data, elements))
                .collect(),
        }
    }
}

/// Keeps the nodes that match one of the paths, with their ancestors and the key leaves of list entries. Each path of
/// `active_paths` holds the steps that are still to match at this level.
fn prune_paths(
    schema: &Schema,
    data: &[DataNode],
    active_paths: &[&[PatternStep]],
) -> Vec<DataNode> {
    let mut kept = Vec::new();
    for child in data {
        let mut remaining_below: Vec<&[PatternStep]> = Vec::new();
        let mut is_complete = false;
        for steps in active_paths {
            let Some((first_step, remaining_steps)) = steps.split_first() else {
                continue;
            };
            if first_step.matches(schema, child) {
                is_complete |= remaining_steps.is_empty();
                remaining_below.push(remaining_steps);
            }
            if first_step.any_depth {
                remaining_below.push(steps);
            }
        }
        if is_complete {
            kept.push(child.clone());
            continue;
        }
        remaining_below.retain(|steps| !steps.is_empty());
        if let (Content::Inner(children), false) = (&child.content, remaining_below.is_empty()) {
            let kept_below = prune_paths(schema, children, &remaining_below);
            if !kept_below.is_empty() {
                kept.push(DataNode::inner(
                    child.node,
                    with_keys(schema, child, kept_below),
                ));
            }
        }
    }
    kept
}

/// The key leaves of a list entry, followed by the other children that are kept.
fn with_keys(schema: &Schema, entry: &DataNode, kept: Vec<DataNode>) -> Vec<DataNode> {
    let key_names = schema.key_names(entry.node);
    let is_key = |data: &DataNode| key_names.contains(&schema.node_of(data.node).name);
    let key_leaves = entry
        .children()
        .iter()
        .filter(|child| is_key(child))
        .cloned();
    key_leaves
        .chain(kept.into_iter().filter(|child| !is_key(child)))
        .collect()
}

/// Applies the sibling elements of a subtree filter to a node and merges what each matching element selects; `None` if
/// nothing is selected. An element without a namespace matches the node name in any module.
fn prune_subtree(schema: &Schema, data: &DataNode, filters: &[Element]) -> Option<DataNode> {
    let node = schema.node_of(data.node);
    let namespace = &schema.module_of(data.node).namespace;
    filters
        .iter()
        .filter(|filter| filter.name == node.name)
        .filter(|filter| filter.namespace.is_empty() || filter.namespace == *namespace)
        .filter_map(|filter| prune_by_element(schema, data, filter))
        .reduce(|merged, selected| merge(schema, merged, selected))
}

/// Applies one element of a subtree filter to the node that it names; `None` if nothing is selected.
fn prune_by_element(schema: &Schema, data: &DataNode, filter: &Element) -> Option<DataNode> {
    let children = match &data.content {
        // An element with text is a content match node and selects the leaf only if the values are equal; an empty
        // element is a selection node.
        Content::Leaf(text) => {
            let expected_value = filter.text.trim();
            return (expected_value.is_empty() || expected_value == text).then(|| data.clone());
        }
        Content::Inner(children) => children,
    };
    let content_matches: Vec<_> = filter
        .children
        .iter()
        .filter(|inner| is_content_match(inner))
        .collect();
    let has_match = |content_match: &&Element| {
        children.iter().any(|child| {
            schema.node_of(child.node).name == content_match.name
                && child.text() == Some(content_match.text.trim())
        })
    };
    if !content_matches.iter().all(has_match) {
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
    // Content match nodes only restrict the selection. If nothing else is left, no node was selected.
    let is_content_match_node = |child: &DataNode| {
        let name = &schema.node_of(child.node).name;
        content_matches
            .iter()
            .any(|content_match| content_match.name == *name)
    };
    let is_selected = selected.iter().any(|child| !is_content_match_node(child));
    is_selected.then(|| DataNode::inner(data.node, with_keys(schema, data, selected)))
}

/// Whether an element is a content match node: a leaf with text (RFC 6241, section 6.2.5).
fn is_content_match(filter: &Element) -> bool {
    filter.children.is_empty() && !filter.text.trim().is_empty()
}

/// Merges two selections of the same node. Leaf-list children are the same if their values are equal, other children
/// if they have the same schema node and keys.
fn merge(schema: &Schema, first: DataNode, second: DataNode) -> DataNode {
    let (Content::Inner(mut merged), Content::Inner(additional)) =
        (first.content.clone(), second.content)
    else {
        return first;
    };
    for child in additional {
        let step = child.step(schema);
        let is_same_instance =
            |existing: &DataNode| existing.node == child.node && existing.step(schema) == step;
        let is_leaf_list = matches!(schema.node_of(child.node).kind, NodeKind::LeafList { .. });
        match merged.iter().position(|existing| {
            if is_leaf_list {
                *existing == child
            } else {
                is_same_instance(existing)
            }
        }) {
            Some(index) => merged[index] = merge(schema, merged[index].clone(), child),
            None => merged.push(child),
        }
    }
    DataNode::inner(first.node, merged)
}
