//! The lines that a router logs, as other programs have kept them.

/// Seconds of a day, from a line's time of day (`HH:MM:SS.mmm`).
fn seconds(time: &str) -> Option<f64> {
    let mut parts = time.splitn(3, ':');
    let mut next = || parts.next()?.parse::<f64>().ok();
    Some(3600.0 * next()? + 60.0 * next()? + next()?)
}

/// When a line was written, in seconds of a day, and what it says. Whoever kept the log may have put something before
/// the time.
pub fn line(text: &str) -> Option<(f64, &str)> {
    let levels = [" INFO ", " WARN ", " ERRO ", " DEBG "];
    let (before, rest) = levels.iter().find_map(|level| text.split_once(level))?;
    Some((seconds(before.rsplit(' ').next()?)?, rest))
}

/// What follows a name in a line, up to the next comma.
pub fn value<'a>(rest: &'a str, name: &str) -> Option<&'a str> {
    rest.split(", ")
        .find_map(|part| part.strip_prefix(name)?.strip_prefix(": "))
}
