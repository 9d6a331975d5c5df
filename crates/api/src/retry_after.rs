//! Reading of the `Retry-After` field of a response (RFC 9110, section 10.2.3).
//!
//! Clocks of different hosts differ, so a date is read relative to the `Date` field of the same
//! response and not to the clock of the reader. Seconds may have a fraction, which the RFC does not
//! allow.

use std::time::Duration;

const SECONDS_PER_DAY: i64 = 86_400;
/// First year of RFC 850 dates, whose years have two digits.
const FIRST_SHORT_YEAR: i64 = 1970;
const MONTHS: [&str; 12] =
    ["Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"];

/// The time that a response asks its receiver to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfter {
    /// The response has no such field.
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
    let sent = date.and_then(text).and_then(unix_seconds);
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

fn time_until(text: &str, sent: i64) -> Option<Duration> {
    let seconds = unix_seconds(text)?.saturating_sub(sent);
    Some(Duration::from_secs(u64::try_from(seconds).unwrap_or(0)))
}

/// Parses an HTTP date in any of its three formats to seconds since the Unix epoch.
fn unix_seconds(text: &str) -> Option<i64> {
    let words: Vec<_> = text.split([' ', '-']).filter(|w| !w.is_empty()).collect();
    match words[..] {
        [weekday, day, month, year, time, "GMT"] if weekday.ends_with(',') => {
            date_time(long_year(year)?, month, day, time)
        }
        [_, month, day, time, year] => date_time(long_year(year)?, month, day, time),
        _ => None,
    }
}

/// Parses a year; of two digits, it is one of the hundred years from [`FIRST_SHORT_YEAR`].
fn long_year(text: &str) -> Option<i64> {
    match text.len() {
        2 => {
            let year = number(text)? + 1900;
            Some(if year < FIRST_SHORT_YEAR { year + 100 } else { year })
        }
        4 => number(text),
        _ => None,
    }
}

fn date_time(year: i64, month: &str, day: &str, time: &str) -> Option<i64> {
    let month = MONTHS.iter().position(|m| *m == month)? as i64 + 1;
    let day = number(day).filter(|d| (1..=days_in_month(year, month)).contains(d))?;
    let mut parts = time.split(':');
    let hour = parts.next().and_then(number).filter(|h| *h < 24)?;
    let minute = parts.next().and_then(number).filter(|m| *m < 60)?;
    // 60 is a leap second.
    let second = parts.next().and_then(number).filter(|s| *s <= 60)?;
    if parts.next().is_some() {
        return None;
    }
    let days = days_since_epoch(year, month, day);
    Some(days * SECONDS_PER_DAY + hour * 3_600 + minute * 60 + second)
}

fn number(text: &str) -> Option<i64> {
    let is_decimal = text.len() <= 4 && text.bytes().all(|b| b.is_ascii_digit());
    if is_decimal { text.parse().ok() } else { None }
}

fn days_in_month(year: i64, month: i64) -> i64 {
    let is_leap = year % 4 == 0 && (year % 100 != 0 || year % 400 == 0);
    match month {
        2 if is_leap => 29,
        2 => 28,
        4 | 6 | 9 | 11 => 30,
        _ => 31,
    }
}

/// Returns the days from 1970-01-01 to a date of the Gregorian calendar (Howard Hinnant,
/// "chrono-Compatible Low-Level Date Algorithms").
fn days_since_epoch(year: i64, month: i64, day: i64) -> i64 {
    // Years are counted from March, so that a leap day is the last day of its year.
    let year = if month <= 2 { year - 1 } else { year };
    let era = year.div_euclid(400);
    let year_of_era = year.rem_euclid(400);
    let day_of_year = (153 * ((month + 9) % 12) + 2) / 5 + day - 1;
    let day_of_era = year_of_era * 365 + year_of_era / 4 - year_of_era / 100 + day_of_year;
    era * 146_097 + day_of_era - 719_468
}
