//! Parser of the YANG statement syntax (RFC 7950, section 6): keywords, arguments, blocks and line numbers.
//! [`crate::schema`] interprets the statements.

use thiserror::Error;
use winnow::ascii::multispace1;
use winnow::combinator::{alt, cut_err, delimited, preceded, repeat, separated, terminated};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location, Stream};
use winnow::token::{any, none_of, take_till, take_until, take_while};

/// A statement with its substatements.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    /// The keyword, with its prefix if it has one.
    pub keyword: String,
    /// The argument without quotes; empty if there is none.
    pub argument: String,
    /// The line number of the keyword, from 1.
    pub line: usize,
    /// The statements in the block of this statement.
    pub substatements: Vec<Statement>,
}

impl Statement {
    /// The substatements with a keyword, in order.
    pub fn substatements_of<'a>(&'a self, keyword: &'a str) -> impl Iterator<Item = &'a Statement> {
        self.substatements
            .iter()
            .filter(move |statement| statement.keyword == keyword)
    }

    /// The first substatement with a keyword.
    pub fn substatement(&self, keyword: &str) -> Option<&Statement> {
        self.substatements
            .iter()
            .find(|statement| statement.keyword == keyword)
    }

    /// The argument of the first substatement with a keyword.
    pub fn argument_of(&self, keyword: &str) -> Option<&str> {
        self.substatement(keyword)
            .map(|statement| statement.argument.as_str())
    }
}

type Input<'a> = LocatingSlice<&'a str>;
type ParseResult<T> = Result<T, ErrMode<ContextError>>;

/// Maximum levels of substatements below the module statement, so that deeply nested blocks cannot overflow the stack of
/// the recursive parser.
const MAX_NESTING_DEPTH: usize = 32;

fn comment(input: &mut Input) -> ParseResult<()> {
    alt((
        ("//", take_till(0.., '\n')).void(),
        ("/*", take_until(0.., "*/"), "*/").void(),
    ))
    .parse_next(input)
}

/// Any number of spaces, line breaks and comments (`optsep` of RFC 7950, section 14).
fn optional_separator(input: &mut Input) -> ParseResult<()> {
    repeat(0.., alt((multispace1.void(), comment))).parse_next(input)
}

fn expected(description: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(description))
}

fn keyword<'a>(input: &mut Input<'a>) -> ParseResult<&'a str> {
    take_while(1.., |c: char| {
        c.is_ascii_alphanumeric() || "-_.:".contains(c)
    })
    .context(expected("a keyword"))
    .parse_next(input)
}

fn escape_sequence(input: &mut Input) -> ParseResult<char> {
    preceded(
        '\\',
        cut_err(any.verify_map(|c| match c {
            'n' => Some('\n'),
            't' => Some('\t'),
            '"' => Some('"'),
            '\\' => Some('\\'),
            _ => None,
        }))
        .context(expected("n, t, \" or \\ after a \\")),
    )
    .parse_next(input)
}

fn double_quoted_string(input: &mut Input) -> ParseResult<String> {
    let characters = repeat(0.., alt((escape_sequence, none_of(['"', '\\']))));
    delimited(
        '"',
        characters,
        cut_err('"').context(expected("the end of a quoted string")),
    )
    .parse_next(input)
}

fn single_quoted_string(input: &mut Input) -> ParseResult<String> {
    delimited(
        '\'',
        take_till(0.., '\''),
        cut_err('\'').context(expected("the end of a quoted string")),
    )
    .map(str::to_owned)
    .parse_next(input)
}

/// A quoted string, or several that are concatenated by plus signs.
fn quoted_string(input: &mut Input) -> ParseResult<String> {
    let parts: Vec<String> = separated(
        1..,
        alt((double_quoted_string, single_quoted_string)),
        (optional_separator, '+', optional_separator),
    )
    .parse_next(input)?;
    // Removes the indentation of continuation lines, and whitespace at the end of each line.
    let text = parts.concat();
    let lines = text.split('\n').enumerate().map(|(number, line)| {
        if number == 0 {
            line.trim_end()
        } else {
            line.trim()
        }
    });
    Ok(lines.collect::<Vec<_>>().join("\n"))
}

fn unquoted_string(input: &mut Input) -> ParseResult<String> {
    take_while(1.., |c: char| !c.is_whitespace() && !";{}\"'".contains(c))
        .map(str::to_owned)
        .parse_next(input)
}

fn statement(input: &mut Input, depth: usize) -> ParseResult<Statement> {
    let offset = input.current_token_start();
    let keyword = keyword(input)?.to_owned();
    let argument = winnow::combinator::opt(preceded(
        (separator, winnow::combinator::not(alt((';', '{')))),
        alt((quoted_string, unquoted_string)),
    ))
    .parse_next(input)?;
    optional_separator(input)?;
    let substatements = if depth == 0 {
        cut_err(';'.context(expected("fewer nested statements")))
            .map(|_| vec![])
            .parse_next(input)?
    } else {
        cut_err(
            alt((';'.map(|_| vec![]), |input: &mut Input| block(input, depth)))
                .context(expected("; or {")),
        )
        .parse_next(input)?
    };
    Ok(Statement {
        keyword,
        argument: argument.unwrap_or_default(),
        line: offset,
        substatements,
    })
}

/// At least one space, line break or comment (`sep` of RFC 7950, section 14).
fn separator(input: &mut Input) -> ParseResult<()> {
    (alt((multispace1.void(), comment)), optional_separator)
        .void()
        .parse_next(input)
}

fn block(input: &mut Input, depth: usize) -> ParseResult<Vec<Statement>> {
    preceded(('{', optional_separator), |input: &mut Input| {
        let mut substatements = vec![];
        loop {
            let block_position = input.checkpoint();
            if winnow::combinator::opt('}').parse_next(input)?.is_some() {
                return Ok(substatements);
            }
            input.reset(&block_position);
            let substatement = cut_err(|input: &mut Input| statement(input, depth - 1))
                .context(expected("a statement or }"))
                .parse_next(input)?;
            substatements.push(substatement);
            optional_separator(input)?;
        }
    })
    .parse_next(input)
}

/// A syntax error in the text of a module.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {problem}")]
pub struct SyntaxError {
    /// The line number of the error, from 1.
    pub line: usize,
    /// The syntax that was expected there.
    pub problem: String,
}

/// Parses the text of a module into its `module` statement.
///
/// # Errors
///
/// When the text is not exactly one statement.
pub fn parse(text: &str) -> Result<Statement, SyntaxError> {
    let mut module = delimited(
        optional_separator,
        |input: &mut Input| statement(input, MAX_NESTING_DEPTH),
        optional_separator,
    );
    let line_at = |offset: usize| text[..offset.min(text.len())].matches('\n').count() + 1;
    let parsed =
        terminated(module.by_ref(), winnow::combinator::eof).parse(LocatingSlice::new(text));
    let mut root = parsed.map_err(|error| {
        let expected = error.inner().to_string().replace('\n', ", ");
        let has_no_expectation = expected.is_empty();
        SyntaxError {
            line: line_at(error.offset()),
            problem: if has_no_expectation {
                "unexpected text".into()
            } else {
                expected
            },
        }
    })?;
    replace_offsets_by_lines(&mut root, &line_at);
    Ok(root)
}

/// Replaces the byte offsets, which the parser stores in the `line` fields, by line numbers.
fn replace_offsets_by_lines(statement: &mut Statement, line_at: &impl Fn(usize) -> usize) {
    statement.line = line_at(statement.line);
    statement
        .substatements
        .iter_mut()
        .for_each(|statement| replace_offsets_by_lines(statement, line_at));
}
