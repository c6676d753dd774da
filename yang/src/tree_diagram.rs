//! Renders the schema as a YANG tree diagram (RFC 8340).

use std::fmt::Write;

use crate::schema::{NodeId, NodeKind, Schema};

/// Renders the tree diagram of the module with an index in [`Schema::modules`], with one line for each node.
pub fn render(schema: &Schema, module: usize) -> String {
    let mut out = format!("module: {}\n", schema.modules[module].name);
    let is_in_module = |id: &&NodeId| schema.node_of(**id).module == module;
    let top_level: Vec<_> = schema
        .top_level
        .iter()
        .filter(is_in_module)
        .copied()
        .collect();
    write_nodes(schema, &top_level, "  ", None, &mut out);
    for (title, operations) in [
        ("rpcs", &schema.rpcs),
        ("notifications", &schema.notifications),
    ] {
        let ids: Vec<_> = operations.values().filter(is_in_module).copied().collect();
        if ids.is_empty() {
            continue;
        }
        let _ = writeln!(out, "\n  {title}:");
        for (index, id) in ids.iter().enumerate() {
            let node = schema.node_of(*id);
            let is_rpc = title == "rpcs";
            let _ = writeln!(
                out,
                "    +---{} {}",
                if is_rpc { 'x' } else { 'n' },
                node.name
            );
            let child_indent = if index + 1 == ids.len() {
                "       "
            } else {
                "    |  "
            };
            if is_rpc && !node.children.is_empty() {
                let _ = writeln!(out, "{child_indent}+---w input");
                write_nodes(
                    schema,
                    &node.children,
                    &format!("{child_indent}   "),
                    Some("-w"),
                    &mut out,
                );
            } else {
                write_nodes(schema, &node.children, child_indent, Some("ro"), &mut out);
            }
        }
    }
    out
}

/// Appends the lines of nodes and their descendants. `fixed_flags` are the flags of all nodes; `None` derives them from
/// whether a node is configuration.
fn write_nodes(
    schema: &Schema,
    ids: &[NodeId],
    indent: &str,
    fixed_flags: Option<&str>,
    out: &mut String,
) {
    for (index, id) in ids.iter().enumerate() {
        let node = schema.node_of(*id);
        let node_flags = fixed_flags.unwrap_or(if node.config { "rw" } else { "ro" });
        let is_key = node
            .parent
            .is_some_and(|parent| schema.key_names(parent).contains(&node.name));
        let _ = match &node.kind {
            NodeKind::Container => writeln!(out, "{indent}+--{node_flags} {}", node.name),
            NodeKind::List { keys } => {
                writeln!(
                    out,
                    "{indent}+--{node_flags} {}* [{}]",
                    node.name,
                    keys.join(" ")
                )
            }
            NodeKind::Leaf { mandatory, .. } => {
                let optional_mark = if is_key || *mandatory { "" } else { "?" };
                writeln!(
                    out,
                    "{indent}+--{node_flags} {}{optional_mark}  {}",
                    node.name, node.type_name
                )
            }
            NodeKind::LeafList { .. } => {
                writeln!(
                    out,
                    "{indent}+--{node_flags} {}*  {}",
                    node.name, node.type_name
                )
            }
        };
        let child_indent = if index + 1 == ids.len() { "   " } else { "|  " };
        write_nodes(
            schema,
            &node.children,
            &format!("{indent}{child_indent}"),
            fixed_flags,
            out,
        );
    }
}
