//! Helpers that the tests share: the published schema, a sample configuration, and its edits.

#![allow(dead_code)]

use kestreltide_datastore::{Path, Tree};
use kestreltide_yang::binding::Binding;
use kestreltide_yang::data::{Content, DataBuilder, DataNode, InstancePath};
use kestreltide_yang::edit::{ErrorTag, Operation, apply, edits_from_xml};
use kestreltide_yang::schema::Schema;
use kestreltide_yang::{published_schema, xml};

pub const ROUTER_NAMESPACE: &str = "urn:kestreltide:yang:router";
pub const NETCONF_NAMESPACE: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";

pub fn schema() -> &'static Schema {
    published_schema().expect("the published modules are valid")
}

pub fn binding() -> Binding {
    Binding::new(schema()).expect("the schema matches the datastore")
}

pub fn path(text: &str) -> Path {
    text.parse().expect("a valid path")
}

/// Applies edits, written as the XML content of `<router>`, to a copy of the tree. Returns the edited tree, or the error
/// tags and messages.
pub fn apply_xml_edits(
    tree: &Tree,
    router_content: &str,
    default_operation: Operation,
) -> Result<Tree, Vec<(ErrorTag, String)>> {
    let text = format!(
        "<config xmlns:nc='{NETCONF_NAMESPACE}'><router xmlns='{ROUTER_NAMESPACE}'>{router_content}</router></config>"
    );
    let element = xml::parse(&text, &xml::XmlLimits::default()).expect("well-formed XML");
    let mut errors = vec![];
    let edits = edits_from_xml(
        schema(),
        None,
        &InstancePath::default(),
        &element.children,
        &mut errors,
    );
    let mut edited_tree = tree.clone();
    if errors.is_empty() {
        errors = apply(
            schema(),
            &binding(),
            &mut edited_tree,
            &edits,
            default_operation,
        )
        .err()
        .unwrap_or_default();
    }
    match errors.is_empty() {
        true => Ok(edited_tree),
        false => {
            assert_eq!(edited_tree, *tree, "a rejected edit changes nothing");
            Err(errors
                .into_iter()
                .map(|error| (error.tag, error.validation.to_string()))
                .collect())
        }
    }
}

/// A configuration with two hosts, a route, a guard and rollout settings.
pub fn sample_tree() -> Tree {
    let hosts = "<hosts><host><name>a</name><endpoint>10.0.0.1:7001</endpoint><zone>north</zone><kind>std</kind>\
        <build>41</build><weight>2.5</weight></host><host><name>b</name><weight>0.5</weight></host></hosts>";
    let routes = "<routes><route><name>r</name><precedence>4294967295</precedence><operation>read</operation>\
        <operation>set</operation><host>a</host></route></routes>";
    let guards_and_rollout = "<guards><largest-removal>0.25</largest-removal></guards><ring><build>42</build><hold>true</hold></ring>";
    apply_xml_edits(
        &Tree::default(),
        &format!("{hosts}{routes}{guards_and_rollout}"),
        Operation::Merge,
    )
    .expect("valid edits")
}

pub fn to_xml(data: &[DataNode]) -> String {
    let mut out = String::new();
    xml::write(schema(), data, &mut out);
    out
}

/// The data of a configuration, with state data added.
pub fn sample_data_with_state(tree: &Tree) -> Vec<DataNode> {
    let mut router = binding().configuration_data(schema(), tree);
    let state = schema()
        .find_node(&["router", "state"])
        .expect("the schema has the node");
    let mut state_builder = DataBuilder::new(schema(), state);
    state_builder
        .put("revision", u64::MAX)
        .put("clients", 3)
        .put_inner("trial", |trial| {
            trial
                .put("build", 42)
                .put("phase", "on-trial")
                .put("cap", "0.1");
        });
    assert!(state_builder.unknown_names.is_empty());
    if let Content::Inner(children) = &mut router.content {
        children.push(state_builder.build());
    }
    vec![router]
}
