//! Path patterns, the subset that gNMI paths and XPath share: names, `*`, any depth (`//` in XPath, `...` in gNMI) and
//! key values.

use thiserror::Error;
use winnow::combinator::{alt, cut_err, delimited, opt, preceded, repeat, separated, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::token::{take_till, take_while};

use crate::data::{DataNode, InstancePath, Step};
use crate::schema::{NodeId, Schema};

/// One step of a pattern.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PatternStep {
    /// The name of the node; `None` matches any name.
    pub name: Option<String>,
    /// Names and values of the keys that a list entry must have.
    pub keys: Vec<(String, String)>,
    /// Whether the node may be at any depth below the previous step.
    pub any_depth: bool,
}

/// A path pattern, which several instances may match; without steps it selects all data.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pattern(pub Vec<PatternStep>);

/// Maximum number of steps in one path.
const MAX_STEPS: usize = 32;
/// Maximum number of paths in one XPath expression.
const MAX_PATHS: usize = 64;

/// Why a path is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PathError {
    /// The text is not in the supported subset of XPath; holds the byte offset of the error.
    #[error("is no path that is read here, from character {0}")]
    Syntax(usize),
    /// An XPath expression has too many paths, or one of its paths too many steps.
    #[error("has more than {MAX_PATHS} paths or {MAX_STEPS} steps")]
    TooLong,
    /// A gNMI path has too many steps.
    #[error("has more than {MAX_STEPS} steps")]
    TooManySteps,
    /// A step has no name.
    #[error("a step has no name")]
    UnnamedStep,
    /// A step matches any name or any depth where one instance is required.
    #[error("leaves open which instance is meant")]
    Ambiguous,
    /// The schema has no node with this name.
    #[error("{parent} has no {name}")]
    UnknownNode {
        /// The path up to the missing node.
        parent: InstancePath,
        /// The name of the missing node.
        name: String,
    },
    /// A list has no key with this name.
    #[error("{list} has no key {key}")]
    UnknownKey {
        /// The name of the list.
        list: String,
        /// The name of the key.
        key: String,
    },
    /// The path does not give all keys of a list.
    #[error("{list} needs its keys, {keys}")]
    MissingKeys {
        /// The name of the list.
        list: String,
        /// The names of its keys.
        keys: String,
    },
}

type ParseResult<T> = Result<T, ErrMode<ContextError>>;

fn node_name<'a>(input: &mut &'a str) -> ParseResult<&'a str> {
    let identifier = |input: &mut &'a str| {
        take_while(1.., |c: char| {
            c.is_ascii_alphanumeric() || "-_.".contains(c)
        })
        .parse_next(input)
    };
    // The prefix is ignored: the node names of the modules are unique without it.
    let (name_or_prefix, name_after_prefix): (&str, Option<&str>) =
        (identifier, opt(preceded(':', identifier))).parse_next(input)?;
    Ok(name_after_prefix.unwrap_or(name_or_prefix))
}

fn string_literal(input: &mut &str) -> ParseResult<String> {
    let quoted = |quote: char| delimited(quote, take_till(0.., quote), cut_err(quote));
    alt((quoted('\''), quoted('"')))
        .map(str::to_owned)
        .parse_next(input)
}

fn key_predicate(input: &mut &str) -> ParseResult<(String, String)> {
    let spaces = || take_while(0.., ' ');
    let equals = delimited(spaces(), '=', spaces());
    let pair = (
        preceded(spaces(), node_name),
        preceded(equals, string_literal),
    );
    delimited('[', pair, cut_err(preceded(spaces(), ']')))
        .map(|(key, value)| (key.to_owned(), value))
        .parse_next(input)
}

fn pattern_step(input: &mut &str) -> ParseResult<PatternStep> {
    let any_depth = preceded('/', opt('/')).parse_next(input)?.is_some();
    let name =
        alt(('*'.value(None), node_name.map(|name| Some(name.to_owned())))).parse_next(input)?;
    let keys = repeat(0.., key_predicate).parse_next(input)?;
    Ok(PatternStep {
        name,
        keys,
        any_depth,
    })
}

fn path_union(input: &mut &str) -> ParseResult<Vec<Vec<PatternStep>>> {
    let spaces = || take_while(0.., [' ', '\n', '\t', '\r']);
    let path = delimited(
        spaces(),
        repeat::<_, _, Vec<PatternStep>, _, _>(1.., pattern_step),
        spaces(),
    );
    separated(1.., path, '|').parse_next(input)
}

impl PatternStep {
    /// Whether a data node has the name and the keys of this step.
    pub(crate) fn matches(&self, schema: &Schema, data: &DataNode) -> bool {
        let name = &schema.node_of(data.node).name;
        let has_key_value = |(key, value): &(String, String)| {
            data.child(schema, key).and_then(DataNode::text) == Some(value)
        };
        self.name.as_ref().is_none_or(|expected| expected == name)
            && self.keys.iter().all(has_key_value)
    }

    /// Returns the keys of this step in the order of the list; fails unless all keys of the list are given.
    fn complete_keys(
        &self,
        list: &str,
        list_keys: &[String],
    ) -> Result<Vec<(String, String)>, PathError> {
        if let Some((key, _)) = self.keys.iter().find(|(key, _)| !list_keys.contains(key)) {
            return Err(PathError::UnknownKey {
                list: list.into(),
                key: key.clone(),
            });
        }
        let key_with_value = |key: &String| self.keys.iter().find(|(name, _)| name == key).cloned();
        let keys: Vec<_> = list_keys.iter().filter_map(key_with_value).collect();
        if keys.len() < list_keys.len() {
            return Err(PathError::MissingKeys {
                list: list.into(),
                keys: list_keys.join(" "),
            });
        }
        Ok(keys)
    }
}

impl Pattern {
    /// Parses the supported subset of XPath: absolute paths, several of them joined by `|`.
    ///
    /// # Errors
    ///
    /// When the text is not in this subset, or has too many paths or steps.
    pub fn parse_xpath(text: &str) -> Result<Vec<Pattern>, PathError> {
        if ["", "/"].contains(&text.trim()) {
            return Ok(vec![Pattern::default()]);
        }
        let paths = terminated(path_union, winnow::combinator::eof).parse(text);
        let paths = paths.map_err(|error| PathError::Syntax(error.offset()))?;
        if paths.len() > MAX_PATHS || paths.iter().any(|steps| steps.len() > MAX_STEPS) {
            return Err(PathError::TooLong);
        }
        Ok(paths.into_iter().map(Pattern).collect())
    }

    /// Builds a pattern from names with keys, as in a gNMI path: `*` matches any name or key value, and `...` any depth. A
    /// prefix of a name is ignored, and so is `...` at the end.
    ///
    /// # Errors
    ///
    /// When a step has no name, or there are too many steps.
    pub fn from_steps<'a>(
        steps: impl IntoIterator<Item = (&'a str, Vec<(String, String)>)>,
    ) -> Result<Pattern, PathError> {
        let mut pattern_steps = vec![];
        let mut any_depth = false;
        for (name, keys) in steps {
            if name == "..." {
                any_depth = true;
                continue;
            }
            let local_name = name
                .rsplit_once(':')
                .map_or(name, |(_, after_prefix)| after_prefix);
            if local_name.is_empty() {
                return Err(PathError::UnnamedStep);
            }
            let mut keys: Vec<_> = keys.into_iter().filter(|(_, value)| value != "*").collect();
            keys.sort();
            pattern_steps.push(PatternStep {
                name: (local_name != "*").then(|| local_name.to_owned()),
                keys,
                any_depth: std::mem::take(&mut any_depth),
            });
        }
        if pattern_steps.len() > MAX_STEPS {
            return Err(PathError::TooManySteps);
        }
        Ok(Pattern(pattern_steps))
    }

    /// Returns this path appended to a prefix.
    pub fn with_prefix(&self, prefix: &Pattern) -> Pattern {
        Pattern(prefix.0.iter().chain(&self.0).cloned().collect())
    }

    /// Returns the path of the only instance that can match, and its schema node, which is `None` for the empty path.
    ///
    /// # Errors
    ///
    /// When several instances may match, or the schema has no node for a step.
    pub fn single_instance(
        &self,
        schema: &Schema,
    ) -> Result<(InstancePath, Option<NodeId>), PathError> {
        let mut instance = InstancePath::default();
        let mut node = None;
        for step in &self.0 {
            let Some(name) = step.name.as_ref().filter(|_| !step.any_depth) else {
                return Err(PathError::Ambiguous);
            };
            let child = schema
                .children_of(node)
                .iter()
                .copied()
                .find(|id| schema.node_of(*id).name == *name);
            let child = child.ok_or_else(|| PathError::UnknownNode {
                parent: instance.clone(),
                name: name.clone(),
            })?;
            let keys = step.complete_keys(name, schema.key_names(child))?;
            instance = instance.child(Step {
                name: name.clone(),
                keys,
            });
            node = Some(child);
        }
        Ok((instance, node))
    }

    /// Whether any schema node can match. A path that matches none is an error of the client.
    pub fn matches_schema(&self, schema: &Schema) -> bool {
        let mut matched: Vec<Option<NodeId>> = vec![None];
        for step in &self.0 {
            let mut next_matched: Vec<NodeId> = vec![];
            for parent in &matched {
                let mut candidates = schema.children_of(*parent).to_vec();
                let mut index = 0;
                while step.any_depth && index < candidates.len() {
                    candidates.extend(schema.children_of(Some(candidates[index])));
                    index += 1;
                }
                next_matched.extend(candidates.into_iter().filter(|id| {
                    step.name
                        .as_ref()
                        .is_none_or(|name| *name == schema.node_of(*id).name)
                }));
            }
            next_matched.sort();
            next_matched.dedup();
            matched = next_matched.into_iter().map(Some).collect();
        }
        !matched.is_empty()
    }

    /// Returns the matching instances with their paths.
    pub fn select<'a>(
        &self,
        schema: &Schema,
        data: &'a [DataNode],
    ) -> Vec<(InstancePath, &'a DataNode)> {
        let mut matches = Vec::new();
        collect_matches(
            schema,
            data,
            &self.0,
            &InstancePath::default(),
            &mut matches,
        );
        matches
    }
}

fn collect_matches<'a>(
    schema: &Schema,
    data: &'a [DataNode],
    steps: &[PatternStep],
    parent_path: &InstancePath,
    matches: &mut Vec<(InstancePath, &'a DataNode)>,
) {
    let Some((first_step, remaining_steps)) = steps.split_first() else {
        return;
    };
    for child in data {
        let path = parent_path.child(child.step(schema));
        if first_step.matches(schema, child) {
            if remaining_steps.is_empty() {
                matches.push((path.clone(), child));
            } else {
                collect_matches(schema, child.children(), remaining_steps, &path, matches);
            }
        }
        if first_step.any_depth {
            collect_matches(schema, child.children(), steps, &path, matches);
        }
    }
}
