//! The schema as a YANG tree diagram (RFC 8340).

use std::fmt::Write;

use crate::schema::{NodeId, NodeKind, Schema};

/// The tree diagram of a module, by its index: one line for each node.
pub fn render(schema: &Schema, module: usize) -> String {
    let mut out = format!("module: {}\n", schema.modules[module].name);
    let own = |id: &&NodeId| schema.node_of(**id).module == module;
    let tops: Vec<_> = schema.top_level.iter().filter(own).copied().collect();
    nodes(schema, &tops, "  ", None, &mut out);
    for (title, ids) in [
        ("rpcs", &schema.rpcs),
        ("notifications", &schema.notifications),
    ] {
        let ids: Vec<_> = ids.values().filter(own).copied().collect();
        if ids.is_empty() {
            continue;
        }
        let _ = writeln!(out, "\n  {title}:");
        for (place, id) in ids.iter().enumerate() {
            let node = schema.node_of(*id);
            let rpc = title == "rpcs";
            let _ = writeln!(out, "    +---{} {}", if rpc { 'x' } else { 'n' }, node.name);
            let bar = if place + 1 == ids.len() {
                "       "
            } else {
                "    |  "
            };
            if rpc && !node.children.is_empty() {
                let _ = writeln!(out, "{bar}+---w input");
                nodes(
                    schema,
                    &node.children,
                    &format!("{bar}   "),
                    Some("-w"),
                    &mut out,
                );
            } else {
                nodes(schema, &node.children, bar, Some("ro"), &mut out);
            }
        }
    }
    out
}

fn nodes(schema: &Schema, ids: &[NodeId], before: &str, flags: Option<&str>, out: &mut String) {
    for (place, id) in ids.iter().enumerate() {
        let node = schema.node_of(*id);
        let flags_of = flags.unwrap_or(if node.config { "rw" } else { "ro" });
        let key = node
            .parent
            .is_some_and(|parent| schema.keys(parent).contains(&node.name));
        let _ = match &node.kind {
            NodeKind::Container => writeln!(out, "{before}+--{flags_of} {}", node.name),
            NodeKind::List { keys } => {
                writeln!(
                    out,
                    "{before}+--{flags_of} {}* [{}]",
                    node.name,
                    keys.join(" ")
                )
            }
            NodeKind::Leaf { mandatory, .. } => {
                let mark = if key || *mandatory { "" } else { "?" };
                writeln!(
                    out,
                    "{before}+--{flags_of} {}{mark}  {}",
                    node.name, node.type_name
                )
            }
            NodeKind::LeafList { .. } => {
                writeln!(
                    out,
                    "{before}+--{flags_of} {}*  {}",
                    node.name, node.type_name
                )
            }
        };
        let bar = if place + 1 == ids.len() { "   " } else { "|  " };
        nodes(
            schema,
            &node.children,
            &format!("{before}{bar}"),
            flags,
            out,
        );
    }
}
