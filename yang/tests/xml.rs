//! XML parsing: rejected texts, limits and entities.

mod common;

use kestreltide_yang::xml;
use rstest::rstest;

/// A text, and a part of the error message.
#[rstest]
#[case::document_type(
    "<!DOCTYPE a [<!ENTITY x 'y'>]><a>&x;</a>",
    "a document type is not read"
)]
#[case::unknown_entity("<a>&x;</a>", "an entity that is none of XML's own")]
#[case::mismatched_end_tag("<a><b></a>", "byte")]
#[case::missing_end_tags("<a><b>", "does not end")]
#[case::two_root_elements("<a/><b/>", "a second element")]
#[case::text_outside_of_root("a<a/>", "text outside")]
#[case::unbound_prefix("<x:a/>", "bound to nothing")]
#[case::empty_text("", "does not end")]
fn invalid_xml_is_rejected_with_the_reason(#[case] text: &str, #[case] message: &str) {
    let error = xml::parse(text, &xml::XmlLimits::default())
        .expect_err("the text is invalid")
        .to_string();
    assert!(error.contains(message), "{error}");
}

#[test]
fn limits_are_enforced_and_character_references_are_decoded() {
    let limits = xml::XmlLimits {
        max_depth: 8,
        max_elements: 100,
        max_attributes: 2,
    };
    assert!(xml::parse(&"<a>".repeat(50_000), &limits).is_err());
    assert!(xml::parse(&format!("<a>{}</a>", "<b/>".repeat(200)), &limits).is_err());
    assert!(xml::parse("<a b='1' c='2' d='3'/>", &limits).is_err());
    assert_eq!(
        xml::parse("<a>&lt;&#65;&amp;</a>", &limits)
            .expect("well-formed XML")
            .text,
        "<A&"
    );
}
