//! Parses the log lines of routers from log files that other programs wrote.

/// Converts a time of day (`HH:MM:SS.mmm`) to seconds since midnight.
fn seconds_of_day(time: &str) -> Option<f64> {
    let mut parts = time.splitn(3, ':');
    let mut next = || parts.next()?.parse::<f64>().ok();
    Some(3600.0 * next()? + 60.0 * next()? + next()?)
}

/// Splits a log line into its time, in seconds since midnight, and its message with the key-value pairs. Text before
/// the time, such as a prefix that the collecting program added, is ignored.
pub fn parse_line(text: &str) -> Option<(f64, &str)> {
    let levels = [" INFO ", " WARN ", " ERRO ", " DEBG "];
    let (before, message) = levels.iter().find_map(|level| text.split_once(level))?;
    Some((seconds_of_day(before.rsplit(' ').next()?)?, message))
}

/// Returns the value of the key `name` in a message, which ends at the next comma.
pub fn field<'a>(message: &'a str, name: &str) -> Option<&'a str> {
    message
        .split(", ")
        .find_map(|part| part.strip_prefix(name)?.strip_prefix(": "))
}
