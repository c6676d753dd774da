//! The schema tree of the modules: what their statements mean. Statements that are not known here are refused, so
//! that a module never says more than is kept to.

use std::collections::BTreeMap;

use crate::types::Type;
use crate::yang::{self, Statement};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub usize);

#[derive(Clone, Debug)]
pub enum NodeKind {
    Container,
    List { keys: Vec<String> },
    Leaf { of: Type, mandatory: bool },
    LeafList { of: Type },
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
const OF_MODULE: [&str; 17] = [
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
const OF_NODE: [&str; 20] = [
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
const OF_TYPE: [&str; 7] = [
    "range",
    "length",
    "pattern",
    "enum",
    "fraction-digits",
    "type",
    "path",
];
const NODES: [&str; 4] = ["container", "list", "leaf", "leaf-list"];
/// Types and groupings that lead to each other at most.
const CHAIN: usize = 16;

struct Read<'a> {
    name: String,
    statement: &'a Statement,
    prefix: String,
    /// Modules by the prefixes that this one gives them.
    imports: BTreeMap<String, String>,
}

fn at(module: &str, statement: &Statement, why: &str) -> String {
    format!(
        "{module}: line {}: {} {}: {why}",
        statement.line, statement.keyword, statement.argument
    )
}

impl Schema {
    /// Reads modules, each after those that it imports.
    pub fn read(modules: &[(&str, &str)]) -> Result<Schema, String> {
        let mut schema = Schema::default();
        let mut statements = Vec::new();
        for (name, text) in modules {
            let statement = yang::read(text).map_err(|why| format!("{name}: {why}"))?;
            statements.push((*name, statement, *text));
        }
        let mut read: Vec<Read> = Vec::new();
        for (name, statement, text) in &statements {
            let module = schema.begin(name, statement, text, &read)?;
            read.push(module);
            let number = schema.modules.len() - 1;
            for inner in &statement.inner {
                let of = |input| at(name, inner, input);
                match inner.keyword.as_str() {
                    keyword if NODES.contains(&keyword) => {
                        let node = schema.node(&read, number, inner, (None, true), 0)?;
                        schema.top.push(node);
                    }
                    "rpc" | "notification" => {
                        let body = if inner.keyword == "rpc" {
                            let known = ["description", "reference", "input"];
                            if let Some(other) = inner
                                .inner
                                .iter()
                                .find(|s| !known.contains(&s.keyword.as_str()))
                            {
                                return Err(at(name, other, "is not read here"));
                            }
                            inner.one("input")
                        } else {
                            Some(inner)
                        };
                        let node = schema.add(
                            inner,
                            number,
                            NodeKind::Container,
                            (None, false),
                            String::new(),
                        );
                        for child in body
                            .iter()
                            .flat_map(|body| &body.inner)
                            .filter(|child| child.keyword != "description")
                        {
                            schema
                                .child(&read, number, child, (Some(node), false), 0)
                                .map_err(|why| why.to_string())?;
                        }
                        let map = if inner.keyword == "rpc" {
                            &mut schema.rpcs
                        } else {
                            &mut schema.notifications
                        };
                        if map.insert(inner.argument.clone(), node).is_some() {
                            return Err(of("stands twice"));
                        }
                    }
                    _ => {}
                }
            }
        }
        Ok(schema)
    }

    fn begin<'a>(
        &mut self,
        name: &str,
        statement: &'a Statement,
        text: &str,
        before: &[Read],
    ) -> Result<Read<'a>, String> {
        if statement.keyword != "module" || statement.argument != name {
            return Err(at(name, statement, "is not the module of this name"));
        }
        if let Some(other) = statement
            .inner
            .iter()
            .find(|inner| !OF_MODULE.contains(&inner.keyword.as_str()))
        {
            return Err(at(name, other, "is not read here"));
        }
        let needed = |keyword: &str| {
            statement
                .text(keyword)
                .map(str::to_owned)
                .ok_or_else(|| at(name, statement, &format!("has no {keyword}")))
        };
        if needed("yang-version")? != "1.1" {
            return Err(at(name, statement, "is not of YANG 1.1"));
        }
        let mut imports = BTreeMap::new();
        for import in statement.all("import") {
            if !before.iter().any(|read| read.name == import.argument) {
                return Err(at(name, import, "is not read before it"));
            }
            let prefix = import
                .text("prefix")
                .ok_or_else(|| at(name, import, "has no prefix"))?;
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
        Ok(Read {
            name: name.into(),
            statement,
            prefix: needed("prefix")?,
            imports,
        })
    }

    fn add(
        &mut self,
        of: &Statement,
        module: usize,
        kind: NodeKind,
        (parent, config): (Option<NodeId>, bool),
        type_name: String,
    ) -> NodeId {
        let id = NodeId(self.nodes.len());
        self.nodes.push(Node {
            name: of.argument.clone(),
            module,
            kind,
            config,
            description: of.text("description").unwrap_or_default().into(),
            units: of.text("units").map(str::to_owned),
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
    fn child(
        &mut self,
        read: &[Read],
        module: usize,
        of: &Statement,
        under: (Option<NodeId>, bool),
        depth: usize,
    ) -> Result<(), String> {
        let name = &read[module].name;
        if depth > CHAIN {
            return Err(at(name, of, "leads to itself"));
        }
        if of.keyword == "uses" {
            let (home, grouping) = self.definition(read, module, of, "grouping")?;
            for inner in grouping
                .inner
                .iter()
                .filter(|inner| inner.keyword != "description")
            {
                self.child(read, home, inner, under, depth + 1)?;
            }
            return Ok(());
        }
        if NODES.contains(&of.keyword.as_str()) {
            return self.node(read, module, of, under, depth + 1).map(|_| ());
        }
        Err(at(name, of, "is not read here"))
    }

    fn node(
        &mut self,
        read: &[Read],
        module: usize,
        of: &Statement,
        (parent, config): (Option<NodeId>, bool),
        depth: usize,
    ) -> Result<NodeId, String> {
        let name = &read[module].name;
        if let Some(other) = of
            .inner
            .iter()
            .find(|inner| !OF_NODE.contains(&inner.keyword.as_str()))
        {
            return Err(at(name, other, "is not read here"));
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
        .find_map(|k| of.one(k))
        {
            return Err(at(name, other, "is not kept to here"));
        }
        let config = config && of.text("config") != Some("false");
        let (of_type, type_name) = match of.one("type") {
            Some(statement) => (
                Some(self.type_of(read, module, statement, 0)?),
                statement.argument.clone(),
            ),
            None => (None, String::new()),
        };
        let typed = || of_type.clone().ok_or_else(|| at(name, of, "has no type"));
        let kind = match of.keyword.as_str() {
            "container" => NodeKind::Container,
            "list" => {
                let keys = of.text("key").ok_or_else(|| at(name, of, "has no key"))?;
                NodeKind::List {
                    keys: keys.split_whitespace().map(str::to_owned).collect(),
                }
            }
            "leaf" => NodeKind::Leaf {
                of: typed()?,
                mandatory: of.text("mandatory") == Some("true"),
            },
            _ => NodeKind::LeafList { of: typed()? },
        };
        // Twins would make every path to them mean two things.
        let siblings = parent.map_or(&self.top, |parent| &self.nodes[parent.0].children);
        if siblings
            .iter()
            .any(|sibling| self.nodes[sibling.0].name == of.argument)
        {
            return Err(at(name, of, "stands twice"));
        }
        // A grouping's nodes are of the module that uses it.
        let home = parent.map_or(module, |parent| self.nodes[parent.0].module);
        let id = self.add(of, home, kind, (parent, config), type_name);
        for inner in of
            .inner
            .iter()
            .filter(|inner| inner.keyword == "uses" || NODES.contains(&inner.keyword.as_str()))
        {
            self.child(read, module, inner, (Some(id), config), depth)?;
        }
        if let NodeKind::List { keys } = &self.nodes[id.0].kind
            && let Some(key) = keys.iter().find(|key| self.child_named(id, key).is_none())
        {
            return Err(at(name, of, &format!("has no leaf {key} for its key")));
        }
        Ok(id)
    }

    /// Where a typedef or grouping stands, by a name that may carry a prefix.
    fn definition<'a>(
        &self,
        read: &[Read<'a>],
        module: usize,
        of: &Statement,
        keyword: &str,
    ) -> Result<(usize, &'a Statement), String> {
        let (own, name) = (&read[module], of.argument.as_str());
        let (home, plain) = match name.split_once(':') {
            Some((prefix, plain)) if prefix == own.prefix => (module, plain),
            Some((prefix, plain)) => {
                let home = own
                    .imports
                    .get(prefix)
                    .and_then(|home| read.iter().position(|read| read.name == *home));
                (
                    home.ok_or_else(|| at(&own.name, of, "no module has this prefix"))?,
                    plain,
                )
            }
            None => (module, name),
        };
        let found = read[home]
            .statement
            .inner
            .iter()
            .find(|inner| inner.keyword == keyword && inner.argument == plain);
        found
            .map(|found| (home, found))
            .ok_or_else(|| at(&own.name, of, &format!("no such {keyword}")))
    }

    fn type_of(
        &self,
        read: &[Read],
        module: usize,
        of: &Statement,
        depth: usize,
    ) -> Result<Type, String> {
        let name = &read[module].name;
        let wrong = |why: &str| at(name, of, why);
        if depth > CHAIN {
            return Err(wrong("leads to itself"));
        }
        if let Some(other) = of
            .inner
            .iter()
            .find(|inner| !OF_TYPE.contains(&inner.keyword.as_str()))
        {
            return Err(at(name, other, "is not read here"));
        }
        let mut found = match of.argument.as_str() {
            "string" => Type::text(),
            "int8" => Type::whole(8, true),
            "int16" => Type::whole(16, true),
            "int32" => Type::whole(32, true),
            "int64" => Type::whole(64, true),
            "uint8" => Type::whole(8, false),
            "uint16" => Type::whole(16, false),
            "uint32" => Type::whole(32, false),
            "uint64" => Type::whole(64, false),
            "boolean" => Type::Boolean,
            "empty" => Type::Empty,
            "decimal64" => {
                let digits = of
                    .text("fraction-digits")
                    .and_then(|digits| digits.parse().ok());
                let digits = digits.filter(|digits| (1..=18).contains(digits));
                Type::decimal(digits.ok_or_else(|| wrong("has no fraction-digits from 1 to 18"))?)
            }
            "enumeration" => {
                let names: Vec<_> = of.all("enum").map(|name| name.argument.clone()).collect();
                if names.is_empty() {
                    return Err(wrong("has no enum"));
                }
                Type::Enumeration(names)
            }
            "union" => {
                let types = of
                    .all("type")
                    .map(|inner| self.type_of(read, module, inner, depth + 1));
                Type::Union(types.collect::<Result<_, _>>()?)
            }
            "binary" | "bits" | "identityref" | "instance-identifier" | "leafref" => {
                return Err(wrong("is not read here"));
            }
            _ => {
                let (home, typedef) = self.definition(read, module, of, "typedef")?;
                let inner = typedef
                    .one("type")
                    .ok_or_else(|| at(name, typedef, "has no type"))?;
                self.type_of(read, home, inner, depth + 1)?
            }
        };
        for inner in &of.inner {
            found = match inner.keyword.as_str() {
                "range" => found.ranged(&inner.argument),
                "length" => found.lengths(&inner.argument),
                "pattern" => found.matching(&inner.argument),
                _ => Ok(found),
            }
            .map_err(|why| at(name, inner, &why))?;
        }
        Ok(found)
    }

    pub fn node_of(&self, id: NodeId) -> &Node {
        &self.nodes[id.0]
    }

    pub fn module_of(&self, id: NodeId) -> &Module {
        &self.modules[self.nodes[id.0].module]
    }

    pub fn child_named(&self, of: NodeId, name: &str) -> Option<NodeId> {
        self.nodes[of.0]
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
    pub fn below(&self, of: Option<NodeId>) -> &[NodeId] {
        of.map_or(&self.top, |of| &self.nodes[of.0].children)
    }

    pub fn keys(&self, list: NodeId) -> &[String] {
        match &self.nodes[list.0].kind {
            NodeKind::List { keys } => keys,
            _ => &[],
        }
    }

    /// Where a node stands in the schema, by names.
    pub fn place(&self, id: NodeId) -> String {
        let node = &self.nodes[id.0];
        match node.parent {
            Some(parent) => format!("{}/{}", self.place(parent), node.name),
            None => format!("/{}:{}", self.modules[node.module].name, node.name),
        }
    }

    pub fn all(&self) -> impl Iterator<Item = NodeId> {
        (0..self.nodes.len()).map(NodeId)
    }

    /// Whether a path of names leads to something.
    pub fn at(&self, names: &[&str]) -> Option<NodeId> {
        let (first, rest) = names.split_first()?;
        rest.iter().try_fold(self.top_named(first)?, |at, name| {
            self.child_named(at, name)
        })
    }
}
