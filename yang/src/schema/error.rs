//! Errors of building a schema from modules.

use thiserror::Error;

use crate::statement::SyntaxError;
use crate::types::RestrictionError;

/// Why no schema can be built from the modules.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SchemaError {
    /// A module cannot be parsed.
    #[error("{module}: {error}")]
    Syntax {
        /// The name of the module.
        module: String,
        /// The syntax error.
        error: SyntaxError,
    },
    /// A statement is invalid or not supported.
    #[error("{module}: line {line}: {keyword} {argument}: {problem}")]
    Statement {
        /// The name of the module.
        module: String,
        /// The line number of the statement, from 1.
        line: usize,
        /// The keyword of the statement.
        keyword: String,
        /// The argument of the statement.
        argument: String,
        /// What is wrong with the statement.
        problem: Box<StatementProblem>,
    },
}

/// What is wrong with a statement.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum StatementProblem {
    /// The statement is not supported.
    #[error("is not read here")]
    Unsupported,
    /// The statement defines a rule that the router does not enforce.
    #[error("is not kept to here")]
    NotEnforced,
    /// A sibling node, RPC or notification has the same name.
    #[error("stands twice")]
    Duplicate,
    /// The text is not a module with the expected name.
    #[error("is not the module with the expected name")]
    WrongModule,
    /// The module is not written in YANG 1.1.
    #[error("is not written in YANG 1.1")]
    WrongYangVersion,
    /// An imported module is not listed before the module that imports it.
    #[error("is not listed before the module that imports it")]
    ImportNotParsed,
    /// A required substatement is missing.
    #[error("has no {0} statement")]
    Missing(&'static str),
    /// Groupings or typedefs refer to each other in a cycle, or definitions are nested too deep.
    #[error("leads to itself")]
    Circular,
    /// A list has no child node for one of its keys.
    #[error("has no leaf {0} for its key")]
    MissingKeyLeaf(String),
    /// No imported module has the prefix.
    #[error("no module has this prefix")]
    UnknownPrefix,
    /// The typedef or grouping does not exist.
    #[error("no such {0}")]
    UnknownDefinition(&'static str),
    /// A `decimal64` type has no valid `fraction-digits` statement.
    #[error("has no fraction-digits from 1 to 18")]
    FractionDigits,
    /// A restriction cannot be applied to its type.
    #[error(transparent)]
    Restriction(#[from] RestrictionError),
}
