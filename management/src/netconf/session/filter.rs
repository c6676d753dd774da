//! The filters of `get` and `get-config`: subtree filters (RFC 6241, section 6) and XPath filters (section 8.9).

use kestreltide_yang::filter::Filter;
use kestreltide_yang::path::Pattern;
use kestreltide_yang::xml::Element;

use super::Session;
use super::capabilities::BASE_NAMESPACE;
use super::rpc_error::RpcError;

impl Session {
    pub(super) fn parse_filter(&self, filter: Option<&Element>) -> Result<Filter, Vec<RpcError>> {
        let Some(filter) = filter else {
            return Ok(Filter::All);
        };
        let attribute = |name: &str| {
            filter
                .attribute("", name)
                .or_else(|| filter.attribute(BASE_NAMESPACE, name))
        };
        match attribute("type").unwrap_or("subtree") {
            "subtree" => Ok(Filter::Subtree(filter.children.clone())),
            "xpath" => {
                let missing = || {
                    let error = RpcError::new(
                        "protocol",
                        "missing-attribute",
                        "filter: has no select (given: nothing; taken: an XPath)",
                    );
                    vec![error.with_bad_attribute("select", "filter")]
                };
                let select = attribute("select").ok_or_else(missing)?;
                let invalid = |problem: &str| {
                    vec![RpcError::invalid_value(
                        "filter/select",
                        problem,
                        select,
                        "absolute paths of names, *, // and keys",
                    )]
                };
                let patterns =
                    Pattern::parse_xpath(select).map_err(|error| invalid(&error.to_string()))?;
                match patterns
                    .iter()
                    .all(|pattern| pattern.matches_schema(self.schema))
                {
                    true => Ok(Filter::Paths(patterns)),
                    false => Err(invalid("leads nowhere in the model")),
                }
            }
            other => {
                let error = RpcError::invalid_value(
                    "filter/type",
                    "no such type",
                    other,
                    "subtree or xpath",
                );
                let error = RpcError {
                    error_tag: "bad-attribute".into(),
                    ..error
                };
                Err(vec![error.with_bad_attribute("type", "filter")])
            }
        }
    }
}
