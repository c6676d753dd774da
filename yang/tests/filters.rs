//! Path patterns and subtree filters, and edits of the instance at a path.

mod common;

use kestreltide_yang::data::InstancePath;
use kestreltide_yang::edit::{Edit, Operation, apply, edit_below_path, edit_from_json};
use kestreltide_yang::filter::Filter;
use kestreltide_yang::path::Pattern;
use kestreltide_yang::xml;
use rstest::rstest;

use common::{
    ROUTER_NAMESPACE, binding, path, sample_data_with_state, sample_tree, schema, to_xml,
};

/// An XPath filter, and the selected data as the XML content of `<router>`.
#[rstest]
#[case::entry_by_key(
    "/router/hosts/host[name='b']",
    "<hosts><host><name>b</name><weight>0.5</weight></host></hosts>"
)]
#[case::leaf_of_any_entry(
    "/kr:router/hosts/host/zone",
    "<hosts><host><name>a</name><zone>north</zone></host></hosts>"
)]
#[case::any_depth("//cap", "<state><trial><cap>0.1</cap></trial></state>")]
#[case::any_name("/router/*/build", "<ring><build>42</build></ring>")]
#[case::union_of_paths(
    "/router/ring/hold | /router/state/revision",
    "<ring><hold>true</hold></ring><state><revision>18446744073709551615</revision></state>"
)]
#[case::missing_entry("/router/hosts/host[name='c']", "")]
fn path_filter_selects_matching_nodes_with_their_keys(#[case] text: &str, #[case] selected: &str) {
    let patterns = Pattern::parse_xpath(text).expect("a valid path");
    assert!(
        patterns
            .iter()
            .all(|pattern| pattern.matches_schema(schema()))
    );
    let actual =
        to_xml(&Filter::Paths(patterns).prune(schema(), &sample_data_with_state(&sample_tree())));
    let expected = if selected.is_empty() {
        String::new()
    } else {
        format!("<router xmlns=\"{ROUTER_NAMESPACE}\">{selected}</router>")
    };
    assert_eq!(actual, expected);
}

/// A subtree filter as the XML content of `<router>`, and the selected data in the same form.
#[rstest]
#[case::content_match(
    "<hosts><host><name>b</name></host></hosts>",
    "<hosts><host><name>b</name><weight>0.5</weight></host></hosts>"
)]
#[case::selection_node(
    "<hosts><host><weight/></host></hosts>",
    "<hosts><host><name>a</name><weight>2.5</weight></host><host><name>b</name><weight>0.5</weight></host></hosts>"
)]
#[case::content_match_and_selection_node(
    "<hosts><host><name>a</name><zone/></host></hosts>",
    "<hosts><host><name>a</name><zone>north</zone></host></hosts>"
)]
#[case::content_match_without_match("<hosts><host><name>z</name></host></hosts>", "")]
#[case::two_selections(
    "<ring/><state><clients/></state>",
    "<ring><build>42</build><hold>true</hold></ring><state><clients>3</clients></state>"
)]
#[case::two_elements_of_one_list(
    "<hosts><host><name>a</name><zone/></host><host><name>b</name></host></hosts>",
    "<hosts><host><name>a</name><zone>north</zone></host><host><name>b</name><weight>0.5</weight></host></hosts>"
)]
fn subtree_filter_selects_matching_nodes(#[case] router_content: &str, #[case] selected: &str) {
    let text =
        format!("<filter><router xmlns='{ROUTER_NAMESPACE}'>{router_content}</router></filter>");
    let filter = xml::parse(&text, &xml::XmlLimits::default()).expect("well-formed XML");
    let actual = to_xml(
        &Filter::Subtree(filter.children).prune(schema(), &sample_data_with_state(&sample_tree())),
    );
    let expected = if selected.is_empty() {
        String::new()
    } else {
        format!("<router xmlns=\"{ROUTER_NAMESPACE}\">{selected}</router>")
    };
    assert_eq!(actual, expected);
}

#[rstest]
#[case::relative_path("router")]
#[case::function_call("/router[count(hosts)>1]")]
#[case::unclosed_predicate("/router/hosts/host[name='a'")]
#[case::axes("/router/child::hosts/..")]
#[case::too_many_steps(&"/a".repeat(40))]
fn unsupported_xpath_is_rejected(#[case] text: &str) {
    assert!(Pattern::parse_xpath(text).is_err());
}

#[test]
fn gnmi_path_resolves_to_one_instance_that_can_be_edited() {
    let keys = vec![("name".to_owned(), "a".to_owned())];
    let steps = [
        ("kestreltide-router:router", vec![]),
        ("hosts", vec![]),
        ("host", keys),
        ("weight", vec![]),
    ];
    let (instance, node) = Pattern::from_steps(steps)
        .and_then(|pattern| pattern.single_instance(schema()))
        .expect("one instance");
    assert_eq!(instance.to_string(), "/router/hosts/host[name='a']/weight");
    let (node, mut errors) = (node.expect("a schema node"), vec![]);
    let parent = InstancePath(instance.0[..3].to_vec());
    let edit = edit_from_json(
        schema(),
        node,
        &parent,
        &serde_json::json!("7.5"),
        &mut errors,
    )
    .expect("a valid value");
    let edit = edit_below_path(
        schema(),
        &parent,
        Edit {
            operation: Some(Operation::Merge),
            ..edit
        },
    )
    .expect("a path in the schema");
    let mut tree = sample_tree();
    apply(schema(), &binding(), &mut tree, &[edit], Operation::Merge).expect("valid edits");
    assert_eq!(
        tree.get(&path("hosts/a/weight"))
            .map(|value| value.to_string()),
        Some("7.5".into())
    );
    let without_key =
        Pattern::from_steps([("router", vec![]), ("hosts", vec![]), ("host", vec![])])
            .expect("a valid path");
    assert!(
        without_key
            .single_instance(schema())
            .expect_err("the key is missing")
            .to_string()
            .contains("needs its keys, name")
    );
    assert!(
        !Pattern::from_steps([("router", vec![]), ("hots", vec![])])
            .expect("a valid path")
            .matches_schema(schema())
    );
    let all_hosts = Pattern::from_steps([
        ("router", vec![]),
        ("hosts", vec![]),
        ("host", vec![("name".into(), "*".into())]),
    ])
    .expect("a valid path");
    assert_eq!(
        all_hosts
            .select(schema(), &sample_data_with_state(&sample_tree()))
            .len(),
        2
    );
}
