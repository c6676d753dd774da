//! Builds the schema from the statements of modules (RFC 7950, section 7).

use std::collections::BTreeMap;

use super::{Module, Node, NodeId, NodeKind, Schema, SchemaError, StatementProblem};
use crate::statement::{self, Statement};
use crate::types::Type;

/// Supported substatements of a module.
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
/// Accepted substatements of data nodes; [`UNENFORCED_STATEMENTS`] are then rejected with a reason of their own.
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
/// Accepted substatements of types.
const TYPE_STATEMENTS: [&str; 7] = [
    "range",
    "length",
    "pattern",
    "enum",
    "fraction-digits",
    "type",
    "path",
];
/// Keywords of data nodes.
const DATA_NODE_KEYWORDS: [&str; 4] = ["container", "list", "leaf", "leaf-list"];
/// Substatements of data nodes that the router does not enforce. Ignoring them would let a module define rules without
/// effect, so they are rejected.
const UNENFORCED_STATEMENTS: [&str; 5] = [
    "default",
    "min-elements",
    "max-elements",
    "ordered-by",
    "presence",
];
/// Supported substatements of an RPC.
const RPC_STATEMENTS: [&str; 3] = ["description", "reference", "input"];
/// Maximum nesting of data nodes and `uses` statements, and of typedefs and union members, so that circular definitions
/// are detected.
const MAX_NESTING_DEPTH: usize = 16;

/// A module whose statements are being turned into schema nodes.
struct ModuleSource<'a> {
    name: String,
    statement: &'a Statement,
    prefix: String,
    /// Names of imported modules, by the prefix that this module assigns to them.
    imports: BTreeMap<String, String>,
}

/// The parent of a new node.
#[derive(Clone, Copy)]
struct Parent {
    /// The parent node; `None` at the top level.
    node: Option<NodeId>,
    /// Whether children without a `config` statement are configuration.
    config: bool,
}

fn error_at(module: &str, statement: &Statement, problem: StatementProblem) -> SchemaError {
    SchemaError::Statement {
        module: module.into(),
        line: statement.line,
        keyword: statement.keyword.clone(),
        argument: statement.argument.clone(),
        problem: Box::new(problem),
    }
}

/// Rejects the first substatement whose keyword is not in `known`.
fn check_substatements(
    module: &str,
    statement: &Statement,
    known: &[&str],
) -> Result<(), SchemaError> {
    let unknown = statement
        .substatements
        .iter()
        .find(|inner| !known.contains(&inner.keyword.as_str()));
    match unknown {
        Some(unknown) => Err(error_at(module, unknown, StatementProblem::Unsupported)),
        None => Ok(()),
    }
}

fn is_data_node(statement: &Statement) -> bool {
    DATA_NODE_KEYWORDS.contains(&statement.keyword.as_str())
}

impl Schema {
    /// Builds the schema of modules given as name and text, each after the modules that it imports.
    ///
    /// # Errors
    ///
    /// When a text is not a module, and at the first statement that is invalid or not supported.
    pub fn parse(modules: &[(&str, &str)]) -> Result<Schema, SchemaError> {
        let mut schema = Schema::default();
        let mut statements = Vec::new();
        for (name, text) in modules {
            let statement = statement::parse(text).map_err(|error| SchemaError::Syntax {
                module: (*name).into(),
                error,
            })?;
            statements.push((*name, statement, *text));
        }
        let mut sources: Vec<ModuleSource> = Vec::new();
        for (name, statement, text) in &statements {
            let source = schema.add_module(name, statement, text, &sources)?;
            sources.push(source);
            schema.add_top_level_nodes(&sources, statement)?;
        }
        Ok(schema)
    }

    /// Checks the header statements of a module and adds it to the schema, without its nodes.
    fn add_module<'a>(
        &mut self,
        name: &str,
        statement: &'a Statement,
        text: &str,
        previous_modules: &[ModuleSource],
    ) -> Result<ModuleSource<'a>, SchemaError> {
        if statement.keyword != "module" || statement.argument != name {
            return Err(error_at(name, statement, StatementProblem::WrongModule));
        }
        check_substatements(name, statement, &MODULE_STATEMENTS)?;
        let required = |keyword: &'static str| {
            let argument = statement.argument_of(keyword).map(str::to_owned);
            argument.ok_or_else(|| error_at(name, statement, StatementProblem::Missing(keyword)))
        };
        if required("yang-version")? != "1.1" {
            return Err(error_at(
                name,
                statement,
                StatementProblem::WrongYangVersion,
            ));
        }
        let imports = parse_imports(name, statement, previous_modules)?;
        self.modules.push(Module {
            name: name.into(),
            namespace: required("namespace")?,
            prefix: required("prefix")?,
            organization: required("organization")?,
            revision: required("revision")?,
            text: text.into(),
        });
        Ok(ModuleSource {
            name: name.into(),
            statement,
            prefix: required("prefix")?,
            imports,
        })
    }

    /// Adds the data nodes, RPCs and notifications of the module that was added last.
    fn add_top_level_nodes(
        &mut self,
        sources: &[ModuleSource],
        module_statement: &Statement,
    ) -> Result<(), SchemaError> {
        let module = self.modules.len() - 1;
        let top = Parent {
            node: None,
            config: true,
        };
        for statement in &module_statement.substatements {
            match statement.keyword.as_str() {
                "rpc" | "notification" => {
                    self.add_rpc_or_notification(sources, module, statement)?
                }
                _ if is_data_node(statement) => {
                    let node = self.add_data_node(sources, module, statement, top, 0)?;
                    self.top_level.push(node);
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Adds an RPC with its input, or a notification with its content.
    fn add_rpc_or_notification(
        &mut self,
        sources: &[ModuleSource],
        module: usize,
        statement: &Statement,
    ) -> Result<(), SchemaError> {
        let module_name = &sources[module].name;
        let is_rpc = statement.keyword == "rpc";
        let body = if is_rpc {
            check_substatements(module_name, statement, &RPC_STATEMENTS)?;
            statement.substatement("input")
        } else {
            Some(statement)
        };
        let top = Parent {
            node: None,
            config: false,
        };
        let node = self.push_node(statement, module, NodeKind::Container, top, String::new());
        let parent = Parent {
            node: Some(node),
            config: false,
        };
        let children = body.iter().flat_map(|body| &body.substatements);
        for child in children.filter(|child| child.keyword != "description") {
            self.add_child(sources, module, child, parent, 0)?;
        }
        let operations = if is_rpc {
            &mut self.rpcs
        } else {
            &mut self.notifications
        };
        match operations.insert(statement.argument.clone(), node) {
            None => Ok(()),
            Some(_) => Err(error_at(
                module_name,
                statement,
                StatementProblem::Duplicate,
            )),
        }
    }

    fn push_node(
        &mut self,
        statement: &Statement,
        module: usize,
        kind: NodeKind,
        parent: Parent,
        type_name: String,
    ) -> NodeId {
        let id = NodeId(self.nodes.len());
        self.nodes.push(Node {
            name: statement.argument.clone(),
            module,
            kind,
            config: parent.config,
            description: statement
                .argument_of("description")
                .unwrap_or_default()
                .into(),
            units: statement.argument_of("units").map(str::to_owned),
            type_name,
            parent: parent.node,
            children: vec![],
        });
        if let Some(parent) = parent.node {
            self.nodes[parent.0].children.push(id);
        }
        id
    }

    /// Adds the node of a child statement; for `uses`, the nodes of the grouping.
    fn add_child(
        &mut self,
        sources: &[ModuleSource],
        module: usize,
        statement: &Statement,
        parent: Parent,
        depth: usize,
    ) -> Result<(), SchemaError> {
        let module_name = &sources[module].name;
        if depth > MAX_NESTING_DEPTH {
            return Err(error_at(module_name, statement, StatementProblem::Circular));
        }
        if statement.keyword == "uses" {
            let (definition_module, grouping) =
                find_definition(sources, module, statement, "grouping")?;
            let nodes = grouping.substatements.iter();
            for inner in nodes.filter(|inner| inner.keyword != "description") {
                self.add_child(sources, definition_module, inner, parent, depth + 1)?;
            }
            return Ok(());
        }
        if is_data_node(statement) {
            self.add_data_node(sources, module, statement, parent, depth + 1)?;
            return Ok(());
        }
        Err(error_at(
            module_name,
            statement,
            StatementProblem::Unsupported,
        ))
    }

    /// Adds a data node with all its descendants.
    fn add_data_node(
        &mut self,
        sources: &[ModuleSource],
        module: usize,
        statement: &Statement,
        parent: Parent,
        depth: usize,
    ) -> Result<NodeId, SchemaError> {
        let module_name = &sources[module].name;
        let error = |problem| error_at(module_name, statement, problem);
        check_substatements(module_name, statement, &NODE_STATEMENTS)?;
        let unenforced = UNENFORCED_STATEMENTS
            .iter()
            .find_map(|keyword| statement.substatement(keyword));
        if let Some(unenforced) = unenforced {
            return Err(error_at(
                module_name,
                unenforced,
                StatementProblem::NotEnforced,
            ));
        }
        let config = parent.config && statement.argument_of("config") != Some("false");
        let (kind, type_name) = parse_node_kind(sources, module, statement)?;
        // Two siblings with the same name would make every path to them ambiguous.
        if self
            .children_of(parent.node)
            .iter()
            .any(|sibling| self.nodes[sibling.0].name == statement.argument)
        {
            return Err(error(StatementProblem::Duplicate));
        }
        // The nodes of a grouping belong to the module that uses it (RFC 7950, section 7.13).
        let node_module = parent.node.map_or(module, |node| self.nodes[node.0].module);
        let parent = Parent { config, ..parent };
        let id = self.push_node(statement, node_module, kind, parent, type_name);
        let parent_of_children = Parent {
            node: Some(id),
            config,
        };
        for inner in &statement.substatements {
            if inner.keyword == "uses" || is_data_node(inner) {
                self.add_child(sources, module, inner, parent_of_children, depth)?;
            }
        }
        let missing_key = self
            .key_names(id)
            .iter()
            .find(|key| self.child_named(id, key).is_none());
        match missing_key {
            Some(key) => Err(error(StatementProblem::MissingKeyLeaf(key.clone()))),
            None => Ok(id),
        }
    }
}

/// The names of the imported modules, by the prefix that the importing module assigns to them.
fn parse_imports(
    name: &str,
    statement: &Statement,
    previous_modules: &[ModuleSource],
) -> Result<BTreeMap<String, String>, SchemaError> {
    let mut imports = BTreeMap::new();
    for import in statement.substatements_of("import") {
        if !previous_modules
            .iter()
            .any(|source| source.name == import.argument)
        {
            return Err(error_at(name, import, StatementProblem::ImportNotParsed));
        }
        let prefix = import
            .argument_of("prefix")
            .ok_or_else(|| error_at(name, import, StatementProblem::Missing("prefix")))?;
        imports.insert(prefix.to_owned(), import.argument.clone());
    }
    Ok(imports)
}

/// The kind of a data node and its type name, which is empty if the node has no type.
fn parse_node_kind(
    sources: &[ModuleSource],
    module: usize,
    statement: &Statement,
) -> Result<(NodeKind, String), SchemaError> {
    let missing = |substatement| {
        error_at(
            &sources[module].name,
            statement,
            StatementProblem::Missing(substatement),
        )
    };
    let (leaf_type, type_name) = match statement.substatement("type") {
        Some(inner) => {
            let leaf_type = parse_type(sources, module, inner, 0)?;
            (Some(leaf_type), inner.argument.clone())
        }
        None => (None, String::new()),
    };
    let kind = match statement.keyword.as_str() {
        "container" => NodeKind::Container,
        "list" => {
            let keys = statement.argument_of("key").ok_or_else(|| missing("key"))?;
            let keys = keys.split_whitespace().map(str::to_owned).collect();
            NodeKind::List { keys }
        }
        "leaf" => NodeKind::Leaf {
            leaf_type: leaf_type.ok_or_else(|| missing("type"))?,
            mandatory: statement.argument_of("mandatory") == Some("true"),
        },
        _ => NodeKind::LeafList {
            leaf_type: leaf_type.ok_or_else(|| missing("type"))?,
        },
    };
    Ok((kind, type_name))
}

/// Finds the top-level typedef or grouping that the argument of a statement refers to, with or without a prefix, and the
/// index of the module that defines it.
fn find_definition<'a>(
    sources: &[ModuleSource<'a>],
    module: usize,
    statement: &Statement,
    keyword: &'static str,
) -> Result<(usize, &'a Statement), SchemaError> {
    let source = &sources[module];
    let error = |problem| error_at(&source.name, statement, problem);
    let (definition_module, name) = match statement.argument.split_once(':') {
        Some((prefix, name)) if prefix == source.prefix => (module, name),
        Some((prefix, name)) => {
            let imported_name = source.imports.get(prefix);
            let definition_module = imported_name.and_then(|module_name| {
                sources
                    .iter()
                    .position(|source| source.name == *module_name)
            });
            (
                definition_module.ok_or_else(|| error(StatementProblem::UnknownPrefix))?,
                name,
            )
        }
        None => (module, statement.argument.as_str()),
    };
    let definition = sources[definition_module]
        .statement
        .substatements_of(keyword)
        .find(|definition| definition.argument == name);
    definition
        .map(|definition| (definition_module, definition))
        .ok_or_else(|| error(StatementProblem::UnknownDefinition(keyword)))
}

/// Parses a `type` statement with its restrictions; typedefs are replaced by the types that they stand for.
fn parse_type(
    sources: &[ModuleSource],
    module: usize,
    statement: &Statement,
    depth: usize,
) -> Result<Type, SchemaError> {
    let module_name = &sources[module].name;
    if depth > MAX_NESTING_DEPTH {
        return Err(error_at(module_name, statement, StatementProblem::Circular));
    }
    check_substatements(module_name, statement, &TYPE_STATEMENTS)?;
    let mut leaf_type = match builtin_type(statement) {
        Some(builtin) => builtin.map_err(|problem| error_at(module_name, statement, problem))?,
        None if statement.argument == "union" => {
            let members = statement
                .substatements_of("type")
                .map(|member| parse_type(sources, module, member, depth + 1));
            Type::Union(members.collect::<Result<_, _>>()?)
        }
        None => {
            let (definition_module, typedef) =
                find_definition(sources, module, statement, "typedef")?;
            let inner = typedef
                .substatement("type")
                .ok_or_else(|| error_at(module_name, typedef, StatementProblem::Missing("type")))?;
            parse_type(sources, definition_module, inner, depth + 1)?
        }
    };
    for restriction in &statement.substatements {
        let argument = &restriction.argument;
        leaf_type = match restriction.keyword.as_str() {
            "range" => leaf_type.with_range(argument),
            "length" => leaf_type.with_length(argument),
            "pattern" => leaf_type.with_pattern(argument),
            _ => Ok(leaf_type),
        }
        .map_err(|error| error_at(module_name, restriction, error.into()))?;
    }
    Ok(leaf_type)
}

/// The built-in type of a `type` statement; `None` for `union` and for the name of a typedef.
fn builtin_type(statement: &Statement) -> Option<Result<Type, StatementProblem>> {
    let builtin = match statement.argument.as_str() {
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
        "decimal64" => return Some(decimal_type(statement)),
        "enumeration" => return Some(enumeration_type(statement)),
        "binary" | "bits" | "identityref" | "instance-identifier" | "leafref" => {
            return Some(Err(StatementProblem::Unsupported));
        }
        _ => return None,
    };
    Some(Ok(builtin))
}

fn decimal_type(statement: &Statement) -> Result<Type, StatementProblem> {
    let digits = statement
        .argument_of("fraction-digits")
        .and_then(|digits| digits.parse().ok())
        .filter(|digits| (1..=18).contains(digits));
    digits
        .map(Type::decimal)
        .ok_or(StatementProblem::FractionDigits)
}

fn enumeration_type(statement: &Statement) -> Result<Type, StatementProblem> {
    let names: Vec<_> = statement
        .substatements_of("enum")
        .map(|name| name.argument.clone())
        .collect();
    if names.is_empty() {
        return Err(StatementProblem::Missing("enum"));
    }
    Ok(Type::Enumeration(names))
}
