//! Stories of the published models and of data by them.

use kestreltide_datastore::{Path, Tree};
use kestreltide_yang::binding::{Binding, ConfigNode};
use kestreltide_yang::data::{Content, DataBuilder, DataNode, InstancePath};
use kestreltide_yang::edit::{
    Edit, ErrorTag, Operation, apply, edit_at_path, edit_from_json, edits_from_json, edits_from_xml,
};
use kestreltide_yang::filter::Filter;
use kestreltide_yang::path::Pattern;
use kestreltide_yang::schema::{NodeKind, Schema};
use kestreltide_yang::types::Type;
use kestreltide_yang::{MODULES, json, published, statement, tree_diagram, xml};
use proptest::prelude::*;
use rstest::rstest;

const NS: &str = "urn:kestreltide:yang:router";
const NC: &str = "urn:ietf:params:xml:ns:netconf:base:1.0";

fn schema() -> &'static Schema {
    published().expect("the published modules are well")
}

fn binding() -> Binding {
    Binding::new(schema()).expect("model and datastore belong together")
}

fn path(text: &str) -> Path {
    text.parse().expect("a path")
}

/// The tree after edits written in XML below `<router>`.
fn edited(tree: &Tree, inner: &str, default: Operation) -> Result<Tree, Vec<(ErrorTag, String)>> {
    let text = format!("<config xmlns:nc='{NC}'><router xmlns='{NS}'>{inner}</router></config>");
    let element = xml::parse(&text, &xml::XmlLimits::default()).expect("well formed");
    let mut errors = vec![];
    let edits = edits_from_xml(
        schema(),
        None,
        &InstancePath::default(),
        &element.children,
        &mut errors,
    );
    let mut edited = tree.clone();
    if errors.is_empty() {
        errors = apply(schema(), &binding(), &mut edited, &edits, default)
            .err()
            .unwrap_or_default();
    }
    match errors.is_empty() {
        true => Ok(edited),
        false => {
            assert_eq!(edited, *tree, "nothing is half done");
            Err(errors
                .into_iter()
                .map(|error| (error.tag, error.validation.to_string()))
                .collect())
        }
    }
}

fn some() -> Tree {
    let hosts = "<hosts><host><name>a</name><endpoint>10.0.0.1:7001</endpoint><zone>north</zone><kind>std</kind>\
        <build>41</build><weight>2.5</weight></host><host><name>b</name><weight>0.5</weight></host></hosts>";
    let routes = "<routes><route><name>r</name><precedence>4294967295</precedence><operation>read</operation>\
        <operation>set</operation><host>a</host></route></routes>";
    let more = "<guards><largest-removal>0.25</largest-removal></guards><ring><build>42</build><hold>true</hold></ring>";
    edited(
        &Tree::default(),
        &format!("{hosts}{routes}{more}"),
        Operation::Merge,
    )
    .expect("well")
}

fn as_xml(data: &[DataNode]) -> String {
    let mut out = String::new();
    xml::write(schema(), data, &mut out);
    out
}

#[test]
fn the_published_modules_are_read_and_every_leaf_is_bound_on_both_sides() {
    binding();
    let shown = tree_diagram::print(schema(), 1);
    for line in [
        "module: kestreltide-router",
        "  +--rw router",
        "|     +--rw weight?  kt:weight",
        "+--ro state",
        "+---x hold-trial",
        "+---n revision-committed",
    ] {
        assert!(shown.contains(line), "{line} in {shown}");
    }
}

/// A module and what is wrong with it, by line and statement.
#[rstest]
#[case::statement(
    "leaf a { type string; when \"1\"; }",
    "line 9: when 1: is not read here"
)]
#[case::of_module("augment /x { }", "line 9: augment /x: is not read here")]
#[case::type_name("leaf a { type colour; }", "line 9: type colour: no such typedef")]
#[case::prefix(
    "leaf a { type xx:colour; }",
    "line 9: type xx:colour: no module has this prefix"
)]
#[case::range(
    "leaf a { type uint8 { range \"1..300\"; } }",
    "line 9: range 1..300: 1..300 is no part of what the type has"
)]
#[case::default_value(
    "leaf a { type string; default x; }",
    "line 9: default x: is not kept to here"
)]
#[case::twins(
    "leaf a { type string; } leaf a { type string; }",
    "line 9: leaf a: stands twice"
)]
#[case::key(
    "list l { key \"k\"; leaf a { type string; } }",
    "line 9: list l: has no leaf k for its key"
)]
#[case::no_end("leaf a { type string;", "line 11")]
#[case::no_text("leaf a { type string { pattern 'x; } }", "line 11")]
#[case::loops("typedef t { type t; } leaf a { type t; }", "leads to itself")]
#[case::pattern("leaf a { type string { pattern '('; } }", "line 9: pattern (")]
fn a_module_that_uses_what_is_not_read_is_refused_with_line_and_statement(
    #[case] body: &str,
    #[case] why: &str,
) {
    let text = format!(
        "module m {{\n  yang-version 1.1;\n  namespace \"urn:m\";\n  prefix m;\n  organization \"o\";\n  contact \"c\";\n  description \"d\";\n  revision 2026-12-01;\n{body}\n}}\n"
    );
    let said = Schema::parse(&[("m", &text)])
        .expect_err("it is refused")
        .to_string();
    assert!(said.starts_with("m: ") && said.contains(why), "{said}");
}

#[test]
fn statements_nested_without_end_end_the_reading() {
    let deep = "a {".repeat(100_000);
    assert!(statement::parse(&deep).is_err());
    assert!(statement::parse(&"/*".repeat(10)).is_err());
}

/// A type, a text and its canonical form, or why there is none.
#[rstest]
#[case(
    Type::integer(64, false),
    "18446744073709551615",
    Ok("18446744073709551615")
)]
#[case(
    Type::integer(64, false),
    "18446744073709551616",
    Err("is not in 0 to 18446744073709551615")
)]
#[case(
    Type::integer(64, true),
    "-9223372036854775808",
    Ok("-9223372036854775808")
)]
#[case(Type::integer(8, true), "+127", Ok("127"))]
#[case(Type::integer(8, true), "1e2", Err("is no whole number"))]
#[case(
    Type::integer(8, true),
    "99999999999999999999999999999999999999999999",
    Err("is not in -128 to 127")
)]
#[case(Type::decimal(6), "2.50", Ok("2.5"))]
#[case(Type::decimal(6), "-0.000001", Ok("-0.000001"))]
#[case(Type::decimal(6), "7", Ok("7.0"))]
#[case(
    Type::decimal(6),
    "0.0000001",
    Err("has more than 6 digits behind the point")
)]
#[case(Type::decimal(18), "9.223372036854775807", Ok("9.223372036854775807"))]
#[case(
    Type::decimal(18),
    "9.223372036854775808",
    Err("is beyond all decimal numbers")
)]
#[case(Type::decimal(2), "NaN", Err("is no decimal number"))]
#[case(Type::Boolean, "TRUE", Err("is neither true nor false"))]
fn values_are_canonical_or_refused(
    #[case] leaf_type: Type,
    #[case] text: &str,
    #[case] expected: Result<&str, &str>,
) {
    assert_eq!(
        leaf_type.canonical(text).map_err(|error| error.to_string()),
        expected.map(str::to_owned).map_err(str::to_owned)
    );
}

#[test]
fn what_is_written_as_xml_and_as_json_reads_back_as_the_same_tree() {
    let (tree, binding) = (some(), binding());
    let data = binding.tree_data(schema(), &tree);
    let text = as_xml(std::slice::from_ref(&data));
    let inner = text
        .strip_prefix(&format!("<router xmlns=\"{NS}\">"))
        .and_then(|rest| rest.strip_suffix("</router>"));
    assert_eq!(
        edited(
            &Tree::default(),
            inner.expect("one router"),
            Operation::Merge
        )
        .expect("well"),
        tree
    );
    let value = serde_json::Value::Object(json::members(schema(), &[data], None));
    assert_eq!(
        value["kestreltide-router:router"]["hosts"]["host"][0]["weight"], "2.5",
        "a decimal is text"
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
    let mut again = Tree::default();
    apply(schema(), &binding, &mut again, &edits, Operation::Merge).expect("well");
    assert_eq!((again, errors.len()), (tree, 0));
}

/// Edits below `<router>`, and the tag and reason that they are refused with.
#[rstest]
#[case::unknown(
    "<hosts><hots/></hosts>",
    ErrorTag::UnknownElement,
    "/router/hosts: has no such node (given: hots; taken: host)"
)]
#[case::namespace(
    "<hosts xmlns='urn:x'/>",
    ErrorTag::UnknownNamespace,
    "is not of the namespace of its module"
)]
#[case::attribute(
    "<hosts a='b'/>",
    ErrorTag::UnknownAttribute,
    "an attribute that is not known"
)]
#[case::operation(
    "<hosts nc:operation='drop'/>",
    ErrorTag::BadAttribute,
    "no such operation (given: drop"
)]
#[case::no_key(
    "<hosts><host><weight>1</weight></host></hosts>",
    ErrorTag::MissingElement,
    "an entry has no key"
)]
#[case::only_key(
    "<hosts><host><name>c</name></host></hosts>",
    ErrorTag::MissingElement,
    "an entry says nothing"
)]
#[case::range(
    "<hosts><host><name>a</name><weight>101</weight></host></hosts>",
    ErrorTag::InvalidValue,
    "/router/hosts/host[name='a']/weight: is not in 0.01 to 100.0 (given: 101"
)]
#[case::huge(
    "<hosts><host><name>a</name><cell>4294967296</cell></host></hosts>",
    ErrorTag::InvalidValue,
    "is not in 0 to 4294967295"
)]
#[case::state(
    "<hosts><host><name>a</name><state>gone</state></host></hosts>",
    ErrorTag::InvalidValue,
    "is none of in-service, draining, out"
)]
#[case::endpoint(
    "<hosts><host><name>a</name><endpoint>10.0.0.1:0</endpoint></host></hosts>",
    ErrorTag::InvalidValue,
    "can be connected to by nobody"
)]
#[case::create_again(
    "<hosts><host nc:operation='create'><name>a</name><weight>1</weight></host></hosts>",
    ErrorTag::DataExists,
    "is there already"
)]
#[case::delete_nothing(
    "<hosts><host nc:operation='delete'><name>c</name></host></hosts>",
    ErrorTag::DataMissing,
    "is not there"
)]
#[case::delete_leaf(
    "<hosts><host><name>b</name><zone nc:operation='delete'/></host></hosts>",
    ErrorTag::DataMissing,
    "/router/hosts/host[name='b']/zone: is not there"
)]
#[case::delete_value(
    "<routes><route><name>r</name><host nc:operation='delete'>b</host></route></routes>",
    ErrorTag::DataMissing,
    "is not there"
)]
#[case::key_deleted(
    "<hosts><host><name nc:operation='delete'>a</name></host></hosts>",
    ErrorTag::OperationNotSupported,
    "goes only with its entry"
)]
#[case::state_data(
    "<state><clients>5</clients></state>",
    ErrorTag::InvalidValue,
    "is the router's own"
)]
#[case::leaf_with_nodes(
    "<ring><build><x/></build></ring>",
    ErrorTag::UnknownElement,
    "is a leaf"
)]
#[case::text_in_container(
    "<ring>now</ring>",
    ErrorTag::InvalidValue,
    "has text, and takes nodes"
)]
fn an_edit_that_cannot_be_done_changes_nothing_and_says_where(
    #[case] inner: &str,
    #[case] tag: ErrorTag,
    #[case] why: &str,
) {
    let errors = edited(&some(), inner, Operation::Merge).expect_err("it is refused");
    assert!(
        errors[0].0 == tag && errors[0].1.contains(why),
        "{errors:?}"
    );
}

fn leaf_text(tree: &Tree, at: &str) -> Option<String> {
    tree.get(&path(at)).map(|value| value.to_string())
}

#[test]
fn replace_of_a_container_removes_the_other_entries() {
    let replaced = edited(
        &some(),
        "<hosts nc:operation='replace'><host><name>c</name><weight>3</weight></host></hosts>",
        Operation::Merge,
    );
    let replaced = replaced.expect("well");
    assert_eq!(
        (replaced.hosts.len(), leaf_text(&replaced, "hosts/c/weight")),
        (1, Some("3".into()))
    );
}

#[test]
fn replace_of_an_entry_removes_its_other_leaves() {
    let replaced = edited(
        &some(),
        "<hosts><host nc:operation='replace'><name>a</name><size>2</size></host></hosts>",
        Operation::Merge,
    )
    .expect("well");
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
fn remove_takes_away_what_is_there_and_accepts_what_is_not() {
    let removed = edited(
        &some(),
        "<hosts><host nc:operation='remove'><name>a</name></host><host nc:operation='remove'><name>z</name></host></hosts>",
        Operation::Merge,
    );
    assert_eq!(removed.expect("well").hosts.len(), 1);
}

#[test]
fn values_of_a_leaf_list_are_added_and_deleted_one_by_one() {
    let values = edited(
        &some(),
        "<routes><route><name>r</name><operation nc:operation='delete'>set</operation><zone>north</zone></route></routes>",
        Operation::Merge,
    );
    let values = values.expect("well");
    assert_eq!(
        (
            leaf_text(&values, "routes/r/operation"),
            leaf_text(&values, "routes/r/zone")
        ),
        (Some("read".into()), Some("north".into()))
    );
}

#[test]
fn none_only_leads_to_nodes_that_exist() {
    let merged = edited(
        &some(),
        "<hosts><host><name>a</name><weight nc:operation='merge'>9</weight></host></hosts>",
        Operation::None,
    )
    .expect("well");
    assert_eq!(leaf_text(&merged, "hosts/a/weight"), Some("9".into()));
    let missing = edited(
        &some(),
        "<hosts><host><name>z</name><weight nc:operation='merge'>9</weight></host></hosts>",
        Operation::None,
    );
    assert_eq!(
        missing.expect_err("the way is not there")[0].0,
        ErrorTag::DataMissing
    );
}

#[test]
fn delete_of_containers_removes_all_their_entries() {
    let all = edited(
        &some(),
        "<hosts nc:operation='delete'/><routes nc:operation='delete'/>",
        Operation::Merge,
    )
    .expect("well");
    assert!(all.hosts.is_empty() && all.routes.is_empty());
}

fn with_state(tree: &Tree) -> Vec<DataNode> {
    let mut router = binding().tree_data(schema(), tree);
    let state = schema()
        .find(&["router", "state"])
        .expect("the model has it");
    let mut under = DataBuilder::new(schema(), state);
    under
        .put("revision", u64::MAX)
        .put("clients", 3)
        .put_inner("trial", |trial| {
            trial
                .put("build", 42)
                .put("phase", "on-trial")
                .put("cap", "0.1");
        });
    assert!(under.unknown_names.is_empty());
    if let Content::Inner(children) = &mut router.content {
        children.push(under.build());
    }
    vec![router]
}

/// A filter, and what is left of the data, without its outermost element.
#[rstest]
#[case::one(
    "/router/hosts/host[name='b']",
    "<hosts><host><name>b</name><weight>0.5</weight></host></hosts>"
)]
#[case::a_leaf_with_its_keys(
    "/kr:router/hosts/host/zone",
    "<hosts><host><name>a</name><zone>north</zone></host></hosts>"
)]
#[case::anywhere("//cap", "<state><trial><cap>0.1</cap></trial></state>")]
#[case::any_name("/router/*/build", "<ring><build>42</build></ring>")]
#[case::several(
    "/router/ring/hold | /router/state/revision",
    "<ring><hold>true</hold></ring><state><revision>18446744073709551615</revision></state>"
)]
#[case::nothing("/router/hosts/host[name='c']", "")]
fn paths_choose_what_is_read(#[case] text: &str, #[case] left: &str) {
    let patterns = Pattern::parse_xpath(text).expect("a path");
    assert!(
        patterns
            .iter()
            .all(|pattern| pattern.matches_schema(schema()))
    );
    let kept = as_xml(&Filter::Paths(patterns).prune(schema(), &with_state(&some())));
    let expected = if left.is_empty() {
        String::new()
    } else {
        format!("<router xmlns=\"{NS}\">{left}</router>")
    };
    assert_eq!(kept, expected);
}

#[rstest]
#[case::key(
    "<hosts><host><name>b</name></host></hosts>",
    "<hosts><host><name>b</name><weight>0.5</weight></host></hosts>"
)]
#[case::select(
    "<hosts><host><weight/></host></hosts>",
    "<hosts><host><name>a</name><weight>2.5</weight></host><host><name>b</name><weight>0.5</weight></host></hosts>"
)]
#[case::key_and_select(
    "<hosts><host><name>a</name><zone/></host></hosts>",
    "<hosts><host><name>a</name><zone>north</zone></host></hosts>"
)]
#[case::not_there("<hosts><host><name>z</name></host></hosts>", "")]
#[case::two(
    "<ring/><state><clients/></state>",
    "<ring><build>42</build><hold>true</hold></ring><state><clients>3</clients></state>"
)]
#[case::two_of_one(
    "<hosts><host><name>a</name><zone/></host><host><name>b</name></host></hosts>",
    "<hosts><host><name>a</name><zone>north</zone></host><host><name>b</name><weight>0.5</weight></host></hosts>"
)]
fn subtree_filters_choose_what_is_read(#[case] inner: &str, #[case] left: &str) {
    let text = format!("<filter><router xmlns='{NS}'>{inner}</router></filter>");
    let filter = xml::parse(&text, &xml::XmlLimits::default()).expect("well formed");
    let kept = as_xml(&Filter::Subtree(filter.children).prune(schema(), &with_state(&some())));
    let expected = if left.is_empty() {
        String::new()
    } else {
        format!("<router xmlns=\"{NS}\">{left}</router>")
    };
    assert_eq!(kept, expected);
}

#[rstest]
#[case::no_slash("router")]
#[case::functions("/router[count(hosts)>1]")]
#[case::open("/router/hosts/host[name='a'")]
#[case::axes("/router/child::hosts/..")]
#[case::long(&"/a".repeat(40))]
fn a_path_that_is_not_read_is_refused(#[case] text: &str) {
    assert!(Pattern::parse_xpath(text).is_err());
}

#[test]
fn one_instance_is_found_by_its_path_and_edited_there() {
    let keys = vec![("name".to_owned(), "a".to_owned())];
    let steps = [
        ("kestreltide-router:router", vec![]),
        ("hosts", vec![]),
        ("host", keys),
        ("weight", vec![]),
    ];
    let (at, node) = Pattern::from_steps(steps)
        .and_then(|pattern| pattern.instance(schema()))
        .expect("one instance");
    assert_eq!(at.to_string(), "/router/hosts/host[name='a']/weight");
    let (node, mut errors) = (node.expect("a node"), vec![]);
    let parent = InstancePath(at.0[..3].to_vec());
    let edit = edit_from_json(
        schema(),
        node,
        &parent,
        &serde_json::json!("7.5"),
        &mut errors,
    )
    .expect("a value");
    let edit = edit_at_path(
        schema(),
        &parent,
        Edit {
            operation: Some(Operation::Merge),
            ..edit
        },
    )
    .expect("a way");
    let mut tree = some();
    apply(schema(), &binding(), &mut tree, &[edit], Operation::Merge).expect("well");
    assert_eq!(
        tree.get(&path("hosts/a/weight"))
            .map(|value| value.to_string()),
        Some("7.5".into())
    );
    let open = Pattern::from_steps([("router", vec![]), ("hosts", vec![]), ("host", vec![])])
        .expect("a path");
    assert!(
        open.instance(schema())
            .expect_err("which?")
            .to_string()
            .contains("needs its keys, name")
    );
    assert!(
        !Pattern::from_steps([("router", vec![]), ("hots", vec![])])
            .expect("a path")
            .matches_schema(schema())
    );
    let all = Pattern::from_steps([
        ("router", vec![]),
        ("hosts", vec![]),
        ("host", vec![("name".into(), "*".into())]),
    ])
    .expect("a path");
    assert_eq!(all.select(schema(), &with_state(&some())).len(), 2);
}

#[rstest]
#[case::entity(
    "<!DOCTYPE a [<!ENTITY x 'y'>]><a>&x;</a>",
    "a document type is not read"
)]
#[case::unknown_entity("<a>&x;</a>", "an entity that is none of XML's own")]
#[case::no_end("<a><b></a>", "byte")]
#[case::half("<a><b>", "does not end")]
#[case::two("<a/><b/>", "a second element")]
#[case::text("a<a/>", "text outside")]
#[case::prefix("<x:a/>", "bound to nothing")]
#[case::nothing("", "does not end")]
fn xml_that_is_not_well_is_refused_with_the_place(#[case] text: &str, #[case] why: &str) {
    let said = xml::parse(text, &xml::XmlLimits::default())
        .expect_err("it is refused")
        .to_string();
    assert!(said.contains(why), "{said}");
}

#[test]
fn elements_without_end_are_not_read_to_their_end() {
    let limits = xml::XmlLimits {
        depth: 8,
        elements: 100,
        attributes: 2,
    };
    assert!(xml::parse(&"<a>".repeat(50_000), &limits).is_err());
    assert!(xml::parse(&format!("<a>{}</a>", "<b/>".repeat(200)), &limits).is_err());
    assert!(xml::parse("<a b='1' c='2' d='3'/>", &limits).is_err());
    assert_eq!(
        xml::parse("<a>&lt;&#65;&amp;</a>", &limits)
            .expect("well")
            .text,
        "<A&"
    );
}

fn any_tree() -> impl Strategy<Value = Tree> {
    let host = (
        "[a-z]{1,3}",
        prop::option::of(0.01f64..100.0),
        prop::option::of(0u32..65536),
        prop::option::of(0usize..3),
    );
    prop::collection::vec(host, 0..8).prop_map(|hosts| {
        let mut tree = Tree::default();
        for (name, weight, build, state) in hosts {
            let mut put = |leaf: &str, text: String| {
                let path = path(&format!("hosts/{name}/{leaf}"));
                tree.set(&path, path.leaf().parse(&text).ok())
                    .expect("of its type");
            };
            weight
                .into_iter()
                .for_each(|weight| put("weight", format!("{weight:.3}")));
            build
                .into_iter()
                .for_each(|build| put("build", build.to_string()));
            state
                .into_iter()
                .for_each(|state| put("state", ["in-service", "draining", "out"][state].into()));
        }
        tree
    })
}

proptest! {
    #[test]
    fn any_tree_survives_both_codecs(tree in any_tree()) {
        let data = binding().tree_data(schema(), &tree);
        let element = xml::parse(&format!("<c>{}</c>", as_xml(std::slice::from_ref(&data))), &xml::XmlLimits::default()).expect("well");
        let value = serde_json::Value::Object(json::members(schema(), &[data], None));
        let mut errors = vec![];
        let edits_from_xml = edits_from_xml(schema(), None, &InstancePath::default(), &element.children, &mut errors);
        let edits_from_json = edits_from_json(schema(), None, &InstancePath::default(), &value, &mut errors);
        prop_assert!(errors.is_empty());
        for edits in [edits_from_xml, edits_from_json] {
            let mut read = Tree::default();
            prop_assert!(apply(schema(), &binding(), &mut read, &edits, Operation::Merge).is_ok());
            prop_assert_eq!(&read, &tree);
        }
    }

    #[test]
    fn any_text_is_read_or_refused(text in "(<[/a-z!?&;:= '\"]{0,6}>?|[a-z&;\\[\\]/*|='{}\"+ \n\\\\-]{0,6}){0,30}") {
        let _ = xml::parse(&text, &xml::XmlLimits::default());
        let _ = statement::parse(&text);
        let _ = Pattern::parse_xpath(&text);
        if let Ok(value) = serde_json::from_str::<serde_json::Value>(&text) {
            let _ = edits_from_json(schema(), None, &InstancePath::default(), &value, &mut vec![]);
        }
    }

    #[test]
    fn any_elements_are_an_edit_or_a_fault(inner in "(<(hosts|host|name|weight|router|ring|hold|x)( operation='(merge|delete|x)')?/?>[a-z0-9.]{0,3}|</(hosts|host|name|weight|ring|hold)>){0,20}") {
        let text = format!("<c><router xmlns='{NS}'>{inner}</router></c>");
        if let Ok(element) = xml::parse(&text, &xml::XmlLimits::default()) {
            let mut errors = vec![];
            let edits = edits_from_xml(schema(), None, &InstancePath::default(), &element.children, &mut errors);
            let _ = apply(schema(), &binding(), &mut some(), &edits, Operation::Merge);
        }
    }

    /// A cut module is never read as another one.
    #[test]
    fn a_cut_module_is_refused(cut in 0.0f64..1.0) {
        let text = MODULES[1].1;
        let at = (cut * (text.trim_end().len() - 1) as f64) as usize;
        if text.is_char_boundary(at) {
            prop_assert!(statement::parse(&text[..at]).is_err());
        }
    }
}

#[test]
fn the_places_of_the_tree_are_there_once_something_is_set() {
    let (empty, full) = (Tree::default(), some());
    for at in [
        ConfigNode::Router,
        ConfigNode::Hosts,
        ConfigNode::Guards,
        ConfigNode::Routes,
        ConfigNode::Rollout,
        ConfigNode::Host("a".parse().expect("a name")),
    ] {
        assert!(!at.is_set(&empty) && at.is_set(&full), "{at:?}");
        let mut cleared = full.clone();
        at.clear(&mut cleared);
        assert!(!at.is_set(&cleared), "{at:?}");
    }
    assert!(schema().all().all(
        |id| !matches!(&schema().node_of(id).kind, NodeKind::List { keys } if keys.is_empty())
    ));
}
