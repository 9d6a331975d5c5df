//! Reading of the `Retry-After` field of a response (RFC 9110, section 10.2.3).
//!
//! Clocks of different hosts differ, so a date is read relative to the `Date` field of the same
//! response and not to the clock of the reader. Seconds may have a fraction, which the RFC does not
//! allow.

use httpdate::parse_http_date;
use std::time::{Duration, SystemTime};

/// The time that a response asks its receiver to wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetryAfter {
    /// The response has no such field.
    #[default]
    Absent,
    /// No field of the response could be read.
    Unreadable,
    /// Time from the response on.
    After(Duration),
}

/// Reads the values of all `Retry-After` fields of a response, and the value of its `Date` field.
/// The longest time counts; a date that has passed is zero, and one in a response without a `Date`
/// is unreadable. A time that exceeds [`Duration::MAX`] is [`Duration::MAX`].
pub fn retry_after<'a, V>(values: V, date: Option<&[u8]>) -> RetryAfter
where
    V: IntoIterator<Item = &'a [u8]>,
{
    let sent = date.and_then(text).and_then(|v| parse_http_date(v).ok());
    let mut result = RetryAfter::Absent;
    for value in values {
        let delay = text(value).and_then(|v| seconds(v).or_else(|| time_until(v, sent?)));
        result = match (result, delay) {
            (RetryAfter::After(a), Some(b)) => RetryAfter::After(a.max(b)),
            (_, Some(delay)) => RetryAfter::After(delay),
            (RetryAfter::After(a), None) => RetryAfter::After(a),
            (_, None) => RetryAfter::Unreadable,
        };
    }
    result
}

fn text(value: &[u8]) -> Option<&str> {
    std::str::from_utf8(value).ok().map(|v| v.trim_matches([' ', '\t']))
}

/// Parses decimal seconds without sign and exponent.
fn seconds(text: &str) -> Option<Duration> {
    if !text.bytes().all(|b| b.is_ascii_digit() || b == b'.') {
        return None;
    }
    let seconds: f64 = text.parse().ok()?;
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

fn time_until(text: &str, sent: SystemTime) -> Option<Duration> {
    let until = parse_http_date(text).ok()?;
    Some(until.duration_since(sent).unwrap_or_default())
}
