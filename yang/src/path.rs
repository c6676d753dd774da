//! Path patterns: the common part of gNMI paths and of XPath, that is names, `*`, `//` and keys.

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
    /// The name of the node; none for any.
    pub name: Option<String>,
    /// Names and values of the keys that an entry has to have.
    pub keys: Vec<(String, String)>,
    /// Whether the node may stand at any depth below the previous step.
    pub any_depth: bool,
}

/// A path that several instances may match; without steps it matches everything.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pattern(pub Vec<PatternStep>);

/// Steps of one path, at most.
const MAX_STEPS: usize = 32;
/// Paths of one XPath, at most.
const MAX_PATHS: usize = 64;

/// Why a path is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PathError {
    /// The text is not in the supported part of XPath.
    #[error("is no path that is read here, from character {0}")]
    Syntax(usize),
    /// There are too many paths, or a path has too many steps.
    #[error("has more than {MAX_PATHS} paths or {MAX_STEPS} steps")]
    TooLong,
    /// A path has too many steps.
    #[error("has more than {MAX_STEPS} steps")]
    TooManySteps,
    /// A step has no name.
    #[error("a step has no name")]
    UnnamedStep,
    /// The path may match several instances.
    #[error("leaves open which instance is meant")]
    Ambiguous,
    /// The schema has no such node.
    #[error("{parent} has no {name}")]
    UnknownNode {
        /// The path up to the missing node.
        parent: InstancePath,
        /// The name of the missing node.
        name: String,
    },
    /// A list has no such key.
    #[error("{list} has no key {key}")]
    UnknownKey {
        /// The name of the list.
        list: String,
        /// The name of the key.
        key: String,
    },
    /// A list needs keys that the path does not give.
    #[error("{list} needs its keys, {keys}")]
    MissingKeys {
        /// The name of the list.
        list: String,
        /// The names of its keys.
        keys: String,
    },
}

type ParseResult<T> = Result<T, ErrMode<ContextError>>;

fn name<'a>(input: &mut &'a str) -> ParseResult<&'a str> {
    let word = |input: &mut &'a str| {
        take_while(1.., |c: char| {
            c.is_ascii_alphanumeric() || "-_.".contains(c)
        })
        .parse_next(input)
    };
    // A prefix can be ignored: the names of the models are unique without it.
    let (first, second): (&str, Option<&str>) =
        (word, opt(preceded(':', word))).parse_next(input)?;
    Ok(second.unwrap_or(first))
}

fn text(input: &mut &str) -> ParseResult<String> {
    let quoted = |quote: char| delimited(quote, take_till(0.., quote), cut_err(quote));
    alt((quoted('\''), quoted('"')))
        .map(str::to_owned)
        .parse_next(input)
}

fn key(input: &mut &str) -> ParseResult<(String, String)> {
    let spaces = || take_while(0.., ' ');
    let equals = delimited(spaces(), '=', spaces());
    let pair = (preceded(spaces(), name), preceded(equals, text));
    delimited('[', pair, cut_err(preceded(spaces(), ']')))
        .map(|(key, value)| (key.to_owned(), value))
        .parse_next(input)
}

fn pattern_step(input: &mut &str) -> ParseResult<PatternStep> {
    let any_depth = preceded('/', opt('/')).parse_next(input)?.is_some();
    let name = alt(('*'.value(None), name.map(|name| Some(name.to_owned())))).parse_next(input)?;
    let keys = repeat(0.., key).parse_next(input)?;
    Ok(PatternStep {
        name,
        keys,
        any_depth,
    })
}

fn paths(input: &mut &str) -> ParseResult<Vec<Vec<PatternStep>>> {
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
        let has_key = |(key, value): &(String, String)| {
            data.child(schema, key).and_then(DataNode::text) == Some(value)
        };
        self.name.as_ref().is_none_or(|wanted| wanted == name) && self.keys.iter().all(has_key)
    }

    /// The values of all keys of a list, in their order.
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
        let value = |key: &String| self.keys.iter().find(|(name, _)| name == key).cloned();
        let keys: Vec<_> = list_keys.iter().filter_map(value).collect();
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
    /// Parses the supported part of XPath: absolute paths, several joined by `|`.
    ///
    /// # Errors
    ///
    /// When the text is no such path, or has too many paths or steps.
    pub fn parse_xpath(text: &str) -> Result<Vec<Pattern>, PathError> {
        if ["", "/"].contains(&text.trim()) {
            return Ok(vec![Pattern::default()]);
        }
        let parsed = terminated(paths, winnow::combinator::eof).parse(text);
        let parsed = parsed.map_err(|error| PathError::Syntax(error.offset()))?;
        if parsed.len() > MAX_PATHS || parsed.iter().any(|steps| steps.len() > MAX_STEPS) {
            return Err(PathError::TooLong);
        }
        Ok(parsed.into_iter().map(Pattern).collect())
    }

    /// A pattern of names with keys, in which `*` is any name or key, and `...` any depth.
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
            let local_name = name.rsplit_once(':').map_or(name, |(_, local)| local);
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

    /// This path below a prefix.
    pub fn with_prefix(&self, prefix: &Pattern) -> Pattern {
        Pattern(prefix.0.iter().chain(&self.0).cloned().collect())
    }

    /// The only instance that can match, and its node; none for the empty path.
    ///
    /// # Errors
    ///
    /// When the path may match several instances or leads nowhere in the schema.
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
            let keys = step.complete_keys(name, schema.keys(child))?;
            instance = instance.child(Step {
                name: name.clone(),
                keys,
            });
            node = Some(child);
        }
        Ok((instance, node))
    }

    /// Whether a node of the schema can match; a path that cannot is a mistake of the client.
    pub fn matches_schema(&self, schema: &Schema) -> bool {
        let mut matched: Vec<Option<NodeId>> = vec![None];
        for step in &self.0 {
            let mut next: Vec<NodeId> = vec![];
            for parent in &matched {
                let mut candidates = schema.children_of(*parent).to_vec();
                let mut index = 0;
                while step.any_depth && index < candidates.len() {
                    candidates.extend(schema.children_of(Some(candidates[index])));
                    index += 1;
                }
                next.extend(candidates.into_iter().filter(|id| {
                    step.name
                        .as_ref()
                        .is_none_or(|name| *name == schema.node_of(*id).name)
                }));
            }
            next.sort();
            next.dedup();
            matched = next.into_iter().map(Some).collect();
        }
        !matched.is_empty()
    }

    /// The instances that match, with their paths.
    pub fn select<'a>(
        &self,
        schema: &Schema,
        data: &'a [DataNode],
    ) -> Vec<(InstancePath, &'a DataNode)> {
        let mut found = Vec::new();
        collect_matches(schema, data, &self.0, &InstancePath::default(), &mut found);
        found
    }
}

fn collect_matches<'a>(
    schema: &Schema,
    data: &'a [DataNode],
    steps: &[PatternStep],
    at: &InstancePath,
    found: &mut Vec<(InstancePath, &'a DataNode)>,
) {
    let Some((first, rest)) = steps.split_first() else {
        return;
    };
    for child in data {
        let here = at.child(child.step(schema));
        if first.matches(schema, child) {
            if rest.is_empty() {
                found.push((here.clone(), child));
            } else {
                collect_matches(schema, child.children(), rest, &here, found);
            }
        }
        if first.any_depth {
            collect_matches(schema, child.children(), steps, &here, found);
        }
    }
}
