//! Why modules give no schema.

use thiserror::Error;

use crate::statement::SyntaxError;
use crate::types::RestrictionError;

/// Why modules give no schema.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SchemaError {
    /// A module cannot be parsed.
    #[error("{module}: {error}")]
    Syntax {
        /// The name of the module.
        module: String,
        /// What cannot be parsed.
        error: SyntaxError,
    },
    /// A statement is wrong or not supported.
    #[error("{module}: line {line}: {keyword} {argument}: {problem}")]
    Statement {
        /// The name of the module.
        module: String,
        /// The line of the statement, from 1.
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
    /// The statement would promise something that the router does not enforce.
    #[error("is not kept to here")]
    NotEnforced,
    /// Two siblings have one name.
    #[error("stands twice")]
    Duplicate,
    /// The text is not the module of the expected name.
    #[error("is not the module of this name")]
    WrongModule,
    /// The module is not of YANG 1.1.
    #[error("is not of YANG 1.1")]
    WrongYangVersion,
    /// An imported module does not precede the one that imports it.
    #[error("is not read before it")]
    ImportNotParsed,
    /// A substatement is missing.
    #[error("has no {0}")]
    Missing(&'static str),
    /// Groupings or typedefs refer to each other in a circle.
    #[error("leads to itself")]
    Circular,
    /// A list has no leaf for one of its keys.
    #[error("has no leaf {0} for its key")]
    MissingKeyLeaf(String),
    /// A prefix belongs to no imported module.
    #[error("no module has this prefix")]
    UnknownPrefix,
    /// A typedef or grouping does not exist.
    #[error("no such {0}")]
    UnknownDefinition(&'static str),
    /// A `decimal64` has no valid number of fraction digits.
    #[error("has no fraction-digits from 1 to 18")]
    FractionDigits,
    /// A restriction does not fit its type.
    #[error(transparent)]
    Restriction(#[from] RestrictionError),
}
