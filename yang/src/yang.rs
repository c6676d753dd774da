//! The reader of YANG statements (RFC 7950, section 6): keywords, arguments, blocks, and where each stands. What
//! statements mean is `schema`'s matter.

use winnow::ascii::multispace1;
use winnow::combinator::{alt, cut_err, delimited, preceded, repeat, separated, terminated};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location, Stream};
use winnow::token::{any, none_of, take_till, take_until, take_while};

/// A statement with all that stands in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Statement {
    pub keyword: String,
    pub argument: String,
    pub line: usize,
    pub inner: Vec<Statement>,
}

impl Statement {
    pub fn all<'a>(&'a self, keyword: &'a str) -> impl Iterator<Item = &'a Statement> {
        self.inner
            .iter()
            .filter(move |inner| inner.keyword == keyword)
    }

    pub fn one(&self, keyword: &str) -> Option<&Statement> {
        self.inner.iter().find(|inner| inner.keyword == keyword)
    }

    /// The argument of the one statement of this keyword.
    pub fn text(&self, keyword: &str) -> Option<&str> {
        self.one(keyword).map(|inner| inner.argument.as_str())
    }
}

type In<'a> = LocatingSlice<&'a str>;
type Out<T> = Result<T, ErrMode<ContextError>>;

/// Statements in statements at most: a text of braces is no reason to run out of stack.
const DEPTH: usize = 32;

fn comment(input: &mut In) -> Out<()> {
    alt((
        ("//", take_till(0.., '\n')).void(),
        ("/*", take_until(0.., "*/"), "*/").void(),
    ))
    .parse_next(input)
}

fn gap(input: &mut In) -> Out<()> {
    repeat(0.., alt((multispace1.void(), comment))).parse_next(input)
}

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn keyword<'a>(input: &mut In<'a>) -> Out<&'a str> {
    take_while(1.., |c: char| {
        c.is_ascii_alphanumeric() || "-_.:".contains(c)
    })
    .context(expected("a keyword"))
    .parse_next(input)
}

fn escape(input: &mut In) -> Out<char> {
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

fn double(input: &mut In) -> Out<String> {
    let inner = repeat(0.., alt((escape, none_of(['"', '\\']))));
    delimited(
        '"',
        inner,
        cut_err('"').context(expected("the end of a text")),
    )
    .parse_next(input)
}

fn single(input: &mut In) -> Out<String> {
    delimited(
        '\'',
        take_till(0.., '\''),
        cut_err('\'').context(expected("the end of a text")),
    )
    .map(str::to_owned)
    .parse_next(input)
}

/// A text, or several joined by plus signs.
fn quoted(input: &mut In) -> Out<String> {
    let parts: Vec<String> =
        separated(1.., alt((double, single)), (gap, '+', gap)).parse_next(input)?;
    // Lines of a long text are joined as they would be read.
    let lines = parts.concat();
    let joined = lines.split('\n').enumerate().map(|(number, line)| {
        if number == 0 {
            line.trim_end()
        } else {
            line.trim()
        }
    });
    Ok(joined.collect::<Vec<_>>().join("\n"))
}

fn plain(input: &mut In) -> Out<String> {
    take_while(1.., |c: char| !c.is_whitespace() && !";{}\"'".contains(c))
        .map(str::to_owned)
        .parse_next(input)
}

fn statement(input: &mut In, depth: usize) -> Out<Statement> {
    let place = input.current_token_start();
    let keyword = keyword(input)?.to_owned();
    let argument = winnow::combinator::opt(preceded(
        (gap1, winnow::combinator::not(alt((';', '{')))),
        alt((quoted, plain)),
    ))
    .parse_next(input)?;
    gap(input)?;
    let inner = if depth == 0 {
        cut_err(';'.context(expected("fewer statements in statements")))
            .map(|_| vec![])
            .parse_next(input)?
    } else {
        cut_err(
            alt((';'.map(|_| vec![]), |input: &mut In| block(input, depth)))
                .context(expected("; or {")),
        )
        .parse_next(input)?
    };
    Ok(Statement {
        keyword,
        argument: argument.unwrap_or_default(),
        line: place,
        inner,
    })
}

fn gap1(input: &mut In) -> Out<()> {
    (alt((multispace1.void(), comment)), gap)
        .void()
        .parse_next(input)
}

fn block(input: &mut In, depth: usize) -> Out<Vec<Statement>> {
    preceded(('{', gap), |input: &mut In| {
        let mut inner = vec![];
        loop {
            let start = input.checkpoint();
            if winnow::combinator::opt('}').parse_next(input)?.is_some() {
                return Ok(inner);
            }
            input.reset(&start);
            let next = cut_err(|input: &mut In| statement(input, depth - 1))
                .context(expected("a statement or }"))
                .parse_next(input)?;
            inner.push(next);
            gap(input)?;
        }
    })
    .parse_next(input)
}

/// Reads a module; an error names the line.
pub fn read(text: &str) -> Result<Statement, String> {
    let mut module = delimited(gap, |input: &mut In| statement(input, DEPTH), gap);
    let line = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
    let mut read = terminated(module.by_ref(), winnow::combinator::eof)
        .parse(LocatingSlice::new(text))
        .map_err(|e| {
            let why = e.inner().to_string().replace('\n', ", ");
            format!(
                "line {}: {}",
                line(e.offset()),
                if why.is_empty() {
                    "no statement".into()
                } else {
                    why
                }
            )
        })?;
    lines(&mut read, &line);
    Ok(read)
}

/// Places become lines.
fn lines(statement: &mut Statement, line: &impl Fn(usize) -> usize) {
    statement.line = line(statement.line);
    statement
        .inner
        .iter_mut()
        .for_each(|inner| lines(inner, line));
}
