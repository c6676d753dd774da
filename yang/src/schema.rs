//! The schema tree of the modules: what their statements mean. Statements that are not known here are refused, so
//! that a module never says more than is kept to.

use std::collections::BTreeMap;

use crate::statement::{self, Statement};
use crate::types::Type;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub usize);

#[derive(Clone, Debug)]
pub enum NodeKind {
    Container,
    List { keys: Vec<String> },
    Leaf { leaf_type: Type, mandatory: bool },
    LeafList { leaf_type: Type },
}

#[derive(Clone, Debug)]
pub struct Node {
    pub name: String,
    /// By its place in [`Schema::modules`].
    pub module: usize,
    pub kind: NodeKind,
    /// Operators set it; else it is the router's own.
    pub config: bool,
    pub description: String,
    pub units: Option<String>,
    /// The type's name as the module has it, for a printed tree.
    pub type_name: String,
    pub parent: Option<NodeId>,
    pub children: Vec<NodeId>,
}

#[derive(Clone, Debug)]
pub struct Module {
    pub name: String,
    pub namespace: String,
    pub prefix: String,
    pub organization: String,
    pub revision: String,
    pub text: String,
}

#[derive(Clone, Debug, Default)]
pub struct Schema {
    pub modules: Vec<Module>,
    nodes: Vec<Node>,
    pub top: Vec<NodeId>,
    /// By name: the inputs, as a container.
    pub rpcs: BTreeMap<String, NodeId>,
    pub notifications: BTreeMap<String, NodeId>,
}

/// Statements that are read, of a module and of nodes; all others are refused.
const MODULE_STATEMENTS: [&str; 17] = [
    "yang-version",
    "namespace",
    "prefix",
    "import",
    "organization",
    "contact",
    "description",
    "reference",
    "revision",
    "typedef",
    "grouping",
    "container",
    "list",
    "leaf",
    "leaf-list",
    "rpc",
    "notification",
];
const NODE_STATEMENTS: [&str; 20] = [
    "description",
    "reference",
    "config",
    "must",
    "container",
    "list",
    "leaf",
    "leaf-list",
    "uses",
    "key",
    "type",
    "units",
    "mandatory",
    "status",
    "ordered-by",
    "min-elements",
    "max-elements",
    "presence",
    "typedef",
    "default",
];
const TYPE_STATEMENTS: [&str; 7] = [
    "range",
    "length",
    "pattern",
    "enum",
    "fraction-digits",
    "type",
    "path",
];
const DATA_NODE_KEYWORDS: [&str; 4] = ["container", "list", "leaf", "leaf-list"];
/// Types and groupings that lead to each other at most.
const MAX_REFERENCE_DEPTH: usize = 16;

struct ModuleSource<'a> {
    name: String,
    statement: &'a Statement,
    prefix: String,
    /// Modules by the prefixes that this one gives them.
    imports: BTreeMap<String, String>,
}

fn error_at(module: &str, statement: &Statement, why: &str) -> String {
    format!(
        "{module}: line {}: {} {}: {why}",
        statement.line, statement.keyword, statement.argument
    )
}

impl Schema {
    /// Reads modules, each after those that it imports.
    pub fn parse(modules: &[(&str, &str)]) -> Result<Schema, String> {
        let mut schema = Schema::default();
        let mut statements = Vec::new();
        for (name, text) in modules {
            let statement = statement::parse(text).map_err(|why| format!("{name}: {why}"))?;
            statements.push((*name, statement, *text));
        }
        let mut sources: Vec<ModuleSource> = Vec::new();
        for (name, statement, text) in &statements {
            let module = schema.start_module(name, statement, text, &sources)?;
            sources.push(module);
            let number = schema.modules.len() - 1;
            for inner in &statement.substatements {
                let fail = |why| error_at(name, inner, why);
                match inner.keyword.as_str() {
                    keyword if DATA_NODE_KEYWORDS.contains(&keyword) => {
                        let node = schema.read_node(&sources, number, inner, (None, true), 0)?;
                        schema.top.push(node);
                    }
                    "rpc" | "notification" => {
                        let body = if inner.keyword == "rpc" {
                            let known = ["description", "reference", "input"];
                            if let Some(other) = inner
                                .substatements
                                .iter()
                                .find(|s| !known.contains(&s.keyword.as_str()))
                            {
                                return Err(error_at(name, other, "is not read here"));
                            }
                            inner.substatement("input")
                        } else {
                            Some(inner)
                        };
                        let node = schema.add_node(
                            inner,
                            number,
                            NodeKind::Container,
                            (None, false),
                            String::new(),
                        );
                        for child in body
                            .iter()
                            .flat_map(|body| &body.substatements)
                            .filter(|child| child.keyword != "description")
                        {
                            schema
                                .read_child(&sources, number, child, (Some(node), false), 0)
                                .map_err(|why| why.to_string())?;
                        }
                        let map = if inner.keyword == "rpc" {
                            &mut schema.rpcs
                        } else {
                            &mut schema.notifications
                        };
                        if map.insert(inner.argument.clone(), node).is_some() {
                            return Err(fail("stands twice"));
                        }
                    }
                    _ => {}
                }
            }
        }
        Ok(schema)
    }

    fn start_module<'a>(
        &mut self,
        name: &str,
        statement: &'a Statement,
        text: &str,
        earlier: &[ModuleSource],
    ) -> Result<ModuleSource<'a>, String> {
        if statement.keyword != "module" || statement.argument != name {
            return Err(error_at(name, statement, "is not the module of this name"));
        }
        if let Some(other) = statement
            .substatements
            .iter()
            .find(|inner| !MODULE_STATEMENTS.contains(&inner.keyword.as_str()))
        {
            return Err(error_at(name, other, "is not read here"));
        }
        let needed = |keyword: &str| {
            statement
                .argument_of(keyword)
                .map(str::to_owned)
                .ok_or_else(|| error_at(name, statement, &format!("has no {keyword}")))
        };
        if needed("yang-version")? != "1.1" {
            return Err(error_at(name, statement, "is not of YANG 1.1"));
        }
        let mut imports = BTreeMap::new();
        for import in statement.substatements_of("import") {
            if !earlier.iter().any(|source| source.name == import.argument) {
                return Err(error_at(name, import, "is not read before it"));
            }
            let prefix = import
                .argument_of("prefix")
                .ok_or_else(|| error_at(name, import, "has no prefix"))?;
            imports.insert(prefix.to_owned(), import.argument.clone());
        }
        self.modules.push(Module {
            name: name.into(),
            namespace: needed("namespace")?,
            prefix: needed("prefix")?,
            organization: needed("organization")?,
            revision: needed("revision")?,
            text: text.into(),
        });
        Ok(ModuleSource {
            name: name.into(),
            statement,
            prefix: needed("prefix")?,
            imports,
        })
    }

    fn add_node(
        &mut self,
        statement: &Statement,
        module: usize,
        kind: NodeKind,
        (parent, config): (Option<NodeId>, bool),
        type_name: String,
    ) -> NodeId {
        let id = NodeId(self.nodes.len());
        self.nodes.push(Node {
            name: statement.argument.clone(),
            module,
            kind,
            config,
            description: statement
                .argument_of("description")
                .unwrap_or_default()
                .into(),
            units: statement.argument_of("units").map(str::to_owned),
            type_name,
            parent,
            children: vec![],
        });
        if let Some(parent) = parent {
            self.nodes[parent.0].children.push(id);
        }
        id
    }

    /// A child statement of a node: a node of its own, or a grouping's.
    fn read_child(
        &mut self,
        sources: &[ModuleSource],
        module: usize,
        statement: &Statement,
        place: (Option<NodeId>, bool),
        depth: usize,
    ) -> Result<(), String> {
        let name = &sources[module].name;
        if depth > MAX_REFERENCE_DEPTH {
            return Err(error_at(name, statement, "leads to itself"));
        }
        if statement.keyword == "uses" {
            let (home, grouping) = self.definition(sources, module, statement, "grouping")?;
            for inner in grouping
                .substatements
                .iter()
                .filter(|inner| inner.keyword != "description")
            {
                self.read_child(sources, home, inner, place, depth + 1)?;
            }
            return Ok(());
        }
        if DATA_NODE_KEYWORDS.contains(&statement.keyword.as_str()) {
            return self
                .read_node(sources, module, statement, place, depth + 1)
                .map(|_| ());
        }
        Err(error_at(name, statement, "is not read here"))
    }

    fn read_node(
        &mut self,
        sources: &[ModuleSource],
        module: usize,
        statement: &Statement,
        (parent, config): (Option<NodeId>, bool),
        depth: usize,
    ) -> Result<NodeId, String> {
        let name = &sources[module].name;
        if let Some(other) = statement
            .substatements
            .iter()
            .find(|inner| !NODE_STATEMENTS.contains(&inner.keyword.as_str()))
        {
            return Err(error_at(name, other, "is not read here"));
        }
        // Read, but of no use here: better refused than silently not kept to.
        if let Some(other) = [
            "default",
            "min-elements",
            "max-elements",
            "ordered-by",
            "presence",
        ]
        .iter()
        .find_map(|k| statement.substatement(k))
        {
            return Err(error_at(name, other, "is not kept to here"));
        }
        let config = config && statement.argument_of("config") != Some("false");
        let (leaf_type, type_name) = match statement.substatement("type") {
            Some(statement) => (
                Some(self.read_type(sources, module, statement, 0)?),
                statement.argument.clone(),
            ),
            None => (None, String::new()),
        };
        let require_type = || {
            leaf_type
                .clone()
                .ok_or_else(|| error_at(name, statement, "has no type"))
        };
        let kind = match statement.keyword.as_str() {
            "container" => NodeKind::Container,
            "list" => {
                let keys = statement
                    .argument_of("key")
                    .ok_or_else(|| error_at(name, statement, "has no key"))?;
                NodeKind::List {
                    keys: keys.split_whitespace().map(str::to_owned).collect(),
                }
            }
            "leaf" => NodeKind::Leaf {
                leaf_type: require_type()?,
                mandatory: statement.argument_of("mandatory") == Some("true"),
            },
            _ => NodeKind::LeafList {
                leaf_type: require_type()?,
            },
        };
        // Twins would make every path to them mean two things.
        let siblings = parent.map_or(&self.top, |parent| &self.nodes[parent.0].children);
        if siblings
            .iter()
            .any(|sibling| self.nodes[sibling.0].name == statement.argument)
        {
            return Err(error_at(name, statement, "stands twice"));
        }
        // A grouping's nodes are of the module that uses it.
        let home = parent.map_or(module, |parent| self.nodes[parent.0].module);
        let id = self.add_node(statement, home, kind, (parent, config), type_name);
        for inner in statement.substatements.iter().filter(|inner| {
            inner.keyword == "uses" || DATA_NODE_KEYWORDS.contains(&inner.keyword.as_str())
        }) {
            self.read_child(sources, module, inner, (Some(id), config), depth)?;
        }
        if let NodeKind::List { keys } = &self.nodes[id.0].kind
            && let Some(key) = keys.iter().find(|key| self.child_named(id, key).is_none())
        {
            return Err(error_at(
                name,
                statement,
                &format!("has no leaf {key} for its key"),
            ));
        }
        Ok(id)
    }

    /// Where a typedef or grouping stands, by a name that may carry a prefix.
    fn definition<'a>(
        &self,
        sources: &[ModuleSource<'a>],
        module: usize,
        statement: &Statement,
        keyword: &str,
    ) -> Result<(usize, &'a Statement), String> {
        let (own, name) = (&sources[module], statement.argument.as_str());
        let (home, plain) = match name.split_once(':') {
            Some((prefix, plain)) if prefix == own.prefix => (module, plain),
            Some((prefix, plain)) => {
                let home = own
                    .imports
                    .get(prefix)
                    .and_then(|home| sources.iter().position(|source| source.name == *home));
                (
                    home.ok_or_else(|| {
                        error_at(&own.name, statement, "no module has this prefix")
                    })?,
                    plain,
                )
            }
            None => (module, name),
        };
        let found = sources[home]
            .statement
            .substatements
            .iter()
            .find(|inner| inner.keyword == keyword && inner.argument == plain);
        found
            .map(|found| (home, found))
            .ok_or_else(|| error_at(&own.name, statement, &format!("no such {keyword}")))
    }

    fn read_type(
        &self,
        sources: &[ModuleSource],
        module: usize,
        statement: &Statement,
        depth: usize,
    ) -> Result<Type, String> {
        let name = &sources[module].name;
        let fail = |why: &str| error_at(name, statement, why);
        if depth > MAX_REFERENCE_DEPTH {
            return Err(fail("leads to itself"));
        }
        if let Some(other) = statement
            .substatements
            .iter()
            .find(|inner| !TYPE_STATEMENTS.contains(&inner.keyword.as_str()))
        {
            return Err(error_at(name, other, "is not read here"));
        }
        let mut found = match statement.argument.as_str() {
            "string" => Type::string(),
            "int8" => Type::integer(8, true),
            "int16" => Type::integer(16, true),
            "int32" => Type::integer(32, true),
            "int64" => Type::integer(64, true),
            "uint8" => Type::integer(8, false),
            "uint16" => Type::integer(16, false),
            "uint32" => Type::integer(32, false),
            "uint64" => Type::integer(64, false),
            "boolean" => Type::Boolean,
            "empty" => Type::Empty,
            "decimal64" => {
                let digits = statement
                    .argument_of("fraction-digits")
                    .and_then(|digits| digits.parse().ok());
                let digits = digits.filter(|digits| (1..=18).contains(digits));
                Type::decimal(digits.ok_or_else(|| fail("has no fraction-digits from 1 to 18"))?)
            }
            "enumeration" => {
                let names: Vec<_> = statement
                    .substatements_of("enum")
                    .map(|name| name.argument.clone())
                    .collect();
                if names.is_empty() {
                    return Err(fail("has no enum"));
                }
                Type::Enumeration(names)
            }
            "union" => {
                let types = statement
                    .substatements_of("type")
                    .map(|inner| self.read_type(sources, module, inner, depth + 1));
                Type::Union(types.collect::<Result<_, _>>()?)
            }
            "binary" | "bits" | "identityref" | "instance-identifier" | "leafref" => {
                return Err(fail("is not read here"));
            }
            _ => {
                let (home, typedef) = self.definition(sources, module, statement, "typedef")?;
                let inner = typedef
                    .substatement("type")
                    .ok_or_else(|| error_at(name, typedef, "has no type"))?;
                self.read_type(sources, home, inner, depth + 1)?
            }
        };
        for inner in &statement.substatements {
            found = match inner.keyword.as_str() {
                "range" => found.with_range(&inner.argument),
                "length" => found.with_length(&inner.argument),
                "pattern" => found.with_pattern(&inner.argument),
                _ => Ok(found),
            }
            .map_err(|why| error_at(name, inner, &why))?;
        }
        Ok(found)
    }

    pub fn node_of(&self, id: NodeId) -> &Node {
        &self.nodes[id.0]
    }

    pub fn module_of(&self, id: NodeId) -> &Module {
        &self.modules[self.nodes[id.0].module]
    }

    pub fn child_named(&self, parent: NodeId, name: &str) -> Option<NodeId> {
        self.nodes[parent.0]
            .children
            .iter()
            .copied()
            .find(|child| self.nodes[child.0].name == name)
    }

    pub fn top_named(&self, name: &str) -> Option<NodeId> {
        self.top
            .iter()
            .copied()
            .find(|top| self.nodes[top.0].name == name)
    }

    /// The children of a node, or what stands at the top.
    pub fn children_of(&self, parent: Option<NodeId>) -> &[NodeId] {
        parent.map_or(&self.top, |parent| &self.nodes[parent.0].children)
    }

    pub fn keys(&self, list: NodeId) -> &[String] {
        match &self.nodes[list.0].kind {
            NodeKind::List { keys } => keys,
            _ => &[],
        }
    }

    /// Where a node stands in the schema, by names.
    pub fn schema_path(&self, id: NodeId) -> String {
        let node = &self.nodes[id.0];
        match node.parent {
            Some(parent) => format!("{}/{}", self.schema_path(parent), node.name),
            None => format!("/{}:{}", self.modules[node.module].name, node.name),
        }
    }

    pub fn all(&self) -> impl Iterator<Item = NodeId> {
        (0..self.nodes.len()).map(NodeId)
    }

    /// Whether a path of names leads to something.
    pub fn find(&self, names: &[&str]) -> Option<NodeId> {
        let (first, rest) = names.split_first()?;
        rest.iter()
            .try_fold(self.top_named(first)?, |parent, name| {
                self.child_named(parent, name)
            })
    }
}
