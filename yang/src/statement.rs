//! The syntax of YANG statements (RFC 7950, section 6): keywords, arguments, blocks and their lines. What statements
//! mean is read by [`crate::schema`].

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
    /// The argument, unquoted; empty if there is none.
    pub argument: String,
    /// The line of the keyword, from 1.
    pub line: usize,
    /// The statements of its block.
    pub substatements: Vec<Statement>,
}

impl Statement {
    /// The substatements of a keyword, in order.
    pub fn substatements_of<'a>(&'a self, keyword: &'a str) -> impl Iterator<Item = &'a Statement> {
        self.substatements
            .iter()
            .filter(move |statement| statement.keyword == keyword)
    }

    /// The first substatement of a keyword.
    pub fn substatement(&self, keyword: &str) -> Option<&Statement> {
        self.substatements
            .iter()
            .find(|statement| statement.keyword == keyword)
    }

    /// The argument of the first substatement of a keyword.
    pub fn argument_of(&self, keyword: &str) -> Option<&str> {
        self.substatement(keyword)
            .map(|statement| statement.argument.as_str())
    }
}

type Input<'a> = LocatingSlice<&'a str>;
type ParseResult<T> = Result<T, ErrMode<ContextError>>;

/// Nested statements at most, so that a text of braces cannot overflow the stack.
const MAX_DEPTH: usize = 32;

fn comment(input: &mut Input) -> ParseResult<()> {
    alt((
        ("//", take_till(0.., '\n')).void(),
        ("/*", take_until(0.., "*/"), "*/").void(),
    ))
    .parse_next(input)
}

fn optional_separator(input: &mut Input) -> ParseResult<()> {
    repeat(0.., alt((multispace1.void(), comment))).parse_next(input)
}

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn keyword<'a>(input: &mut Input<'a>) -> ParseResult<&'a str> {
    take_while(1.., |c: char| {
        c.is_ascii_alphanumeric() || "-_.:".contains(c)
    })
    .context(expected("a keyword"))
    .parse_next(input)
}

fn escape(input: &mut Input) -> ParseResult<char> {
    preceded(
        '\\',
        cut_err(any.verify_map(|c| match c {
            'n' => Some('\n'),
            't' => Some('\t'),
            '"' => Some('"'),
            '\\' => Some('\\'),
            _ => None,
        }))
        .context(expected("n, t, \" or \\ behind a \\")),
    )
    .parse_next(input)
}

fn double_quoted(input: &mut Input) -> ParseResult<String> {
    let content = repeat(0.., alt((escape, none_of(['"', '\\']))));
    delimited(
        '"',
        content,
        cut_err('"').context(expected("the end of a text")),
    )
    .parse_next(input)
}

fn single_quoted(input: &mut Input) -> ParseResult<String> {
    delimited(
        '\'',
        take_till(0.., '\''),
        cut_err('\'').context(expected("the end of a text")),
    )
    .map(str::to_owned)
    .parse_next(input)
}

/// A quoted string, or several joined by plus signs.
fn quoted(input: &mut Input) -> ParseResult<String> {
    let parts: Vec<String> = separated(
        1..,
        alt((double_quoted, single_quoted)),
        (optional_separator, '+', optional_separator),
    )
    .parse_next(input)?;
    // Indentation of continued lines is not part of the text.
    let text = parts.concat();
    let joined = text.split('\n').enumerate().map(|(number, line)| {
        if number == 0 {
            line.trim_end()
        } else {
            line.trim()
        }
    });
    Ok(joined.collect::<Vec<_>>().join("\n"))
}

fn unquoted(input: &mut Input) -> ParseResult<String> {
    take_while(1.., |c: char| !c.is_whitespace() && !";{}\"'".contains(c))
        .map(str::to_owned)
        .parse_next(input)
}

fn statement(input: &mut Input, depth: usize) -> ParseResult<Statement> {
    let offset = input.current_token_start();
    let keyword = keyword(input)?.to_owned();
    let argument = winnow::combinator::opt(preceded(
        (separator, winnow::combinator::not(alt((';', '{')))),
        alt((quoted, unquoted)),
    ))
    .parse_next(input)?;
    optional_separator(input)?;
    let substatements = if depth == 0 {
        cut_err(';'.context(expected("fewer statements in statements")))
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

fn separator(input: &mut Input) -> ParseResult<()> {
    (alt((multispace1.void(), comment)), optional_separator)
        .void()
        .parse_next(input)
}

fn block(input: &mut Input, depth: usize) -> ParseResult<Vec<Statement>> {
    preceded(('{', optional_separator), |input: &mut Input| {
        let mut substatements = vec![];
        loop {
            let start = input.checkpoint();
            if winnow::combinator::opt('}').parse_next(input)?.is_some() {
                return Ok(substatements);
            }
            input.reset(&start);
            let next = cut_err(|input: &mut Input| statement(input, depth - 1))
                .context(expected("a statement or }"))
                .parse_next(input)?;
            substatements.push(next);
            optional_separator(input)?;
        }
    })
    .parse_next(input)
}

/// Why a text is no module.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {problem}")]
pub struct SyntaxError {
    /// The line of the error, from 1.
    pub line: usize,
    /// What was expected there.
    pub problem: String,
}

/// Parses the text of a module.
///
/// # Errors
///
/// When the text is not exactly one statement.
pub fn parse(text: &str) -> Result<Statement, SyntaxError> {
    let mut module = delimited(
        optional_separator,
        |input: &mut Input| statement(input, MAX_DEPTH),
        optional_separator,
    );
    let line = |offset: usize| text[..offset.min(text.len())].matches('\n').count() + 1;
    let parsed =
        terminated(module.by_ref(), winnow::combinator::eof).parse(LocatingSlice::new(text));
    let mut root = parsed.map_err(|error| {
        let expected = error.inner().to_string().replace('\n', ", ");
        let is_unknown = expected.is_empty();
        SyntaxError {
            line: line(error.offset()),
            problem: if is_unknown {
                "no statement".into()
            } else {
                expected
            },
        }
    })?;
    offsets_to_lines(&mut root, &line);
    Ok(root)
}

/// Replaces the offsets that parsing left in the `line` fields by lines.
fn offsets_to_lines(statement: &mut Statement, line: &impl Fn(usize) -> usize) {
    statement.line = line(statement.line);
    statement
        .substatements
        .iter_mut()
        .for_each(|statement| offsets_to_lines(statement, line));
}
