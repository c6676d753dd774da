//! Edits of the configuration: the operations of `<edit-config>` and the errors of invalid edits.

mod common;

use kestreltide_datastore::Tree;
use kestreltide_yang::binding::ConfigNode;
use kestreltide_yang::edit::{ErrorTag, Operation};
use kestreltide_yang::schema::NodeKind;
use rstest::rstest;

use common::{apply_xml_edits, path, sample_tree, schema};

/// Edits as the XML content of `<router>`, each with the error tag and a part of the error message.
#[rstest]
#[case::unknown_element(
    "<hosts><hots/></hosts>",
    ErrorTag::UnknownElement,
    "/router/hosts: has no such node (given: hots; taken: host)"
)]
#[case::unknown_namespace(
    "<hosts xmlns='urn:x'/>",
    ErrorTag::UnknownNamespace,
    "is not of the namespace of its module"
)]
#[case::unknown_attribute(
    "<hosts a='b'/>",
    ErrorTag::UnknownAttribute,
    "an attribute that is not known"
)]
#[case::unknown_operation(
    "<hosts nc:operation='drop'/>",
    ErrorTag::BadAttribute,
    "no such operation (given: drop"
)]
#[case::missing_key(
    "<hosts><host><weight>1</weight></host></hosts>",
    ErrorTag::MissingElement,
    "an entry has no key"
)]
#[case::entry_with_only_its_key(
    "<hosts><host><name>c</name></host></hosts>",
    ErrorTag::MissingElement,
    "an entry says nothing"
)]
#[case::value_out_of_range(
    "<hosts><host><name>a</name><weight>101</weight></host></hosts>",
    ErrorTag::InvalidValue,
    "/router/hosts/host[name='a']/weight: is not in 0.01 to 100.0 (given: 101"
)]
#[case::integer_overflow(
    "<hosts><host><name>a</name><cell>4294967296</cell></host></hosts>",
    ErrorTag::InvalidValue,
    "is not in 0 to 4294967295"
)]
#[case::unknown_enumeration_name(
    "<hosts><host><name>a</name><state>gone</state></host></hosts>",
    ErrorTag::InvalidValue,
    "is none of in-service, draining, out"
)]
#[case::endpoint_with_port_zero(
    "<hosts><host><name>a</name><endpoint>10.0.0.1:0</endpoint></host></hosts>",
    ErrorTag::InvalidValue,
    "can be connected to by nobody"
)]
#[case::create_of_existing_entry(
    "<hosts><host nc:operation='create'><name>a</name><weight>1</weight></host></hosts>",
    ErrorTag::DataExists,
    "is there already"
)]
#[case::delete_of_missing_entry(
    "<hosts><host nc:operation='delete'><name>c</name></host></hosts>",
    ErrorTag::DataMissing,
    "is not there"
)]
#[case::delete_of_missing_leaf(
    "<hosts><host><name>b</name><zone nc:operation='delete'/></host></hosts>",
    ErrorTag::DataMissing,
    "/router/hosts/host[name='b']/zone: is not there"
)]
#[case::delete_of_missing_leaf_list_value(
    "<routes><route><name>r</name><host nc:operation='delete'>b</host></route></routes>",
    ErrorTag::DataMissing,
    "is not there"
)]
#[case::delete_of_key_leaf(
    "<hosts><host><name nc:operation='delete'>a</name></host></hosts>",
    ErrorTag::OperationNotSupported,
    "goes only with its entry"
)]
#[case::edit_of_state_data(
    "<state><clients>5</clients></state>",
    ErrorTag::InvalidValue,
    "is the router's own"
)]
#[case::child_element_in_leaf(
    "<ring><build><x/></build></ring>",
    ErrorTag::UnknownElement,
    "is a leaf"
)]
#[case::text_in_container(
    "<ring>now</ring>",
    ErrorTag::InvalidValue,
    "has text, and takes nodes"
)]
fn invalid_edit_is_rejected_with_its_tag_and_changes_nothing(
    #[case] router_content: &str,
    #[case] tag: ErrorTag,
    #[case] message: &str,
) {
    let errors = apply_xml_edits(&sample_tree(), router_content, Operation::Merge)
        .expect_err("the edit is invalid");
    assert!(
        errors[0].0 == tag && errors[0].1.contains(message),
        "{errors:?}"
    );
}

fn leaf_text(tree: &Tree, leaf_path: &str) -> Option<String> {
    tree.get(&path(leaf_path)).map(|value| value.to_string())
}

#[test]
fn replace_of_a_container_removes_the_other_entries() {
    let replaced = apply_xml_edits(
        &sample_tree(),
        "<hosts nc:operation='replace'><host><name>c</name><weight>3</weight></host></hosts>",
        Operation::Merge,
    );
    let replaced = replaced.expect("valid edits");
    assert_eq!(
        (replaced.hosts.len(), leaf_text(&replaced, "hosts/c/weight")),
        (1, Some("3".into()))
    );
}

#[test]
fn replace_of_an_entry_removes_its_other_leaves() {
    let replaced = apply_xml_edits(
        &sample_tree(),
        "<hosts><host nc:operation='replace'><name>a</name><size>2</size></host></hosts>",
        Operation::Merge,
    )
    .expect("valid edits");
    assert_eq!(
        (
            leaf_text(&replaced, "hosts/a/weight"),
            leaf_text(&replaced, "hosts/a/size"),
            replaced.hosts.len()
        ),
        (None, Some("2".into()), 2)
    );
}

#[test]
fn remove_deletes_existing_entries_and_ignores_missing_ones() {
    let removed = apply_xml_edits(
        &sample_tree(),
        "<hosts><host nc:operation='remove'><name>a</name></host><host nc:operation='remove'><name>z</name></host></hosts>",
        Operation::Merge,
    );
    assert_eq!(removed.expect("valid edits").hosts.len(), 1);
}

#[test]
fn leaf_list_values_are_added_and_deleted_individually() {
    let edited = apply_xml_edits(
        &sample_tree(),
        "<routes><route><name>r</name><operation nc:operation='delete'>set</operation><zone>north</zone></route></routes>",
        Operation::Merge,
    );
    let edited = edited.expect("valid edits");
    assert_eq!(
        (
            leaf_text(&edited, "routes/r/operation"),
            leaf_text(&edited, "routes/r/zone")
        ),
        (Some("read".into()), Some("north".into()))
    );
}

#[test]
fn operation_none_requires_existing_entries() {
    let merged = apply_xml_edits(
        &sample_tree(),
        "<hosts><host><name>a</name><weight nc:operation='merge'>9</weight></host></hosts>",
        Operation::None,
    )
    .expect("valid edits");
    assert_eq!(leaf_text(&merged, "hosts/a/weight"), Some("9".into()));
    let missing = apply_xml_edits(
        &sample_tree(),
        "<hosts><host><name>z</name><weight nc:operation='merge'>9</weight></host></hosts>",
        Operation::None,
    );
    assert_eq!(
        missing.expect_err("the list entry does not exist")[0].0,
        ErrorTag::DataMissing
    );
}

#[test]
fn delete_of_containers_removes_all_their_entries() {
    let edited = apply_xml_edits(
        &sample_tree(),
        "<hosts nc:operation='delete'/><routes nc:operation='delete'/>",
        Operation::Merge,
    )
    .expect("valid edits");
    assert!(edited.hosts.is_empty() && edited.routes.is_empty());
}

#[test]
fn config_nodes_are_set_until_they_are_cleared_and_every_list_has_keys() {
    let (empty, full) = (Tree::default(), sample_tree());
    for node in [
        ConfigNode::Router,
        ConfigNode::Hosts,
        ConfigNode::Guards,
        ConfigNode::Routes,
        ConfigNode::Rollout,
        ConfigNode::Host("a".parse().expect("a valid name")),
    ] {
        assert!(!node.is_set(&empty) && node.is_set(&full), "{node:?}");
        let mut cleared = full.clone();
        node.clear(&mut cleared);
        assert!(!node.is_set(&cleared), "{node:?}");
    }
    assert!(schema().all_nodes().all(
        |id| !matches!(&schema().node_of(id).kind, NodeKind::List { keys } if keys.is_empty())
    ));
}
