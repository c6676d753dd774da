//! Round trips of data through XML and JSON, and arbitrary input to the parsers.

mod common;

use kestreltide_datastore::Tree;
use kestreltide_yang::data::InstancePath;
use kestreltide_yang::edit::{Operation, apply, edits_from_json, edits_from_xml};
use kestreltide_yang::path::Pattern;
use kestreltide_yang::{MODULES, json, statement, xml};
use proptest::prelude::*;

use common::{ROUTER_NAMESPACE, apply_xml_edits, binding, path, sample_tree, schema, to_xml};

#[test]
fn sample_tree_round_trips_through_xml_and_json() {
    let (tree, binding) = (sample_tree(), binding());
    let data = binding.configuration_data(schema(), &tree);
    let text = to_xml(std::slice::from_ref(&data));
    let router_content = text
        .strip_prefix(&format!("<router xmlns=\"{ROUTER_NAMESPACE}\">"))
        .and_then(|rest| rest.strip_suffix("</router>"));
    assert_eq!(
        apply_xml_edits(
            &Tree::default(),
            router_content.expect("exactly one router element"),
            Operation::Merge
        )
        .expect("valid edits"),
        tree
    );
    let value = serde_json::Value::Object(json::encode_members(schema(), &[data], None));
    assert_eq!(
        value["kestreltide-router:router"]["hosts"]["host"][0]["weight"], "2.5",
        "a decimal64 value is a JSON string"
    );
    assert_eq!(
        value["kestreltide-router:router"]["routes"]["route"][0]["precedence"],
        4294967295u32
    );
    assert_eq!(value["kestreltide-router:router"]["ring"]["hold"], true);
    let mut errors = vec![];
    let edits = edits_from_json(
        schema(),
        None,
        &InstancePath::default(),
        &value,
        &mut errors,
    );
    let mut tree_from_json = Tree::default();
    apply(
        schema(),
        &binding,
        &mut tree_from_json,
        &edits,
        Operation::Merge,
    )
    .expect("valid edits");
    assert_eq!((tree_from_json, errors.len()), (tree, 0));
}

fn arbitrary_tree() -> impl Strategy<Value = Tree> {
    let host = (
        "[a-z]{1,3}",
        prop::option::of(0.01f64..100.0),
        prop::option::of(0u32..65536),
        prop::option::of(0usize..3),
    );
    prop::collection::vec(host, 0..8).prop_map(|hosts| {
        let mut tree = Tree::default();
        for (name, weight, build, state) in hosts {
            let mut set_leaf = |leaf: &str, text: String| {
                let path = path(&format!("hosts/{name}/{leaf}"));
                tree.set(&path, path.leaf().parse(&text).ok())
                    .expect("a value of the leaf's type");
            };
            weight
                .into_iter()
                .for_each(|weight| set_leaf("weight", format!("{weight:.3}")));
            build
                .into_iter()
                .for_each(|build| set_leaf("build", build.to_string()));
            state.into_iter().for_each(|state| {
                set_leaf("state", ["in-service", "draining", "out"][state].into())
            });
        }
        tree
    })
}

proptest! {
    #[test]
    fn arbitrary_trees_round_trip_through_xml_and_json(tree in arbitrary_tree()) {
        let data = binding().configuration_data(schema(), &tree);
        let element = xml::parse(&format!("<c>{}</c>", to_xml(std::slice::from_ref(&data))), &xml::XmlLimits::default()).expect("well-formed XML");
        let value = serde_json::Value::Object(json::encode_members(schema(), &[data], None));
        let mut errors = vec![];
        let edits_from_xml = edits_from_xml(schema(), None, &InstancePath::default(), &element.children, &mut errors);
        let edits_from_json = edits_from_json(schema(), None, &InstancePath::default(), &value, &mut errors);
        prop_assert!(errors.is_empty());
        for edits in [edits_from_xml, edits_from_json] {
            let mut decoded = Tree::default();
            prop_assert!(apply(schema(), &binding(), &mut decoded, &edits, Operation::Merge).is_ok());
            prop_assert_eq!(&decoded, &tree);
        }
    }

    #[test]
    fn parsers_do_not_panic_on_arbitrary_text(text in "(<[/a-z!?&;:= '\"]{0,6}>?|[a-z&;\\[\\]/*|='{}\"+ \n\\\\-]{0,6}){0,30}") {
        let _ = xml::parse(&text, &xml::XmlLimits::default());
        let _ = statement::parse(&text);
        let _ = Pattern::parse_xpath(&text);
        if let Ok(value) = serde_json::from_str::<serde_json::Value>(&text) {
            let _ = edits_from_json(schema(), None, &InstancePath::default(), &value, &mut vec![]);
        }
    }

    #[test]
    fn reading_and_applying_edits_does_not_panic_on_arbitrary_elements(router_content in "(<(hosts|host|name|weight|router|ring|hold|x)( operation='(merge|delete|x)')?/?>[a-z0-9.]{0,3}|</(hosts|host|name|weight|ring|hold)>){0,20}") {
        let text = format!("<c><router xmlns='{ROUTER_NAMESPACE}'>{router_content}</router></c>");
        if let Ok(element) = xml::parse(&text, &xml::XmlLimits::default()) {
            let mut errors = vec![];
            let edits = edits_from_xml(schema(), None, &InstancePath::default(), &element.children, &mut errors);
            let _ = apply(schema(), &binding(), &mut sample_tree(), &edits, Operation::Merge);
        }
    }

    /// A module that is truncated anywhere is rejected and never parsed as a shorter module.
    #[test]
    fn truncated_module_is_rejected(fraction in 0.0f64..1.0) {
        let text = MODULES[1].1;
        let length = (fraction * (text.trim_end().len() - 1) as f64) as usize;
        if text.is_char_boundary(length) {
            prop_assert!(statement::parse(&text[..length]).is_err());
        }
    }
}
