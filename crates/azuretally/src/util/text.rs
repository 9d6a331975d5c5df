//! Formatting of durations and URL path segments.

/// Duration from which minutes are used instead of seconds, in ms.
const MINUTES_FROM_MS: u64 = 120_000;
/// Duration from which hours are used instead of minutes, in ms.
const HOURS_FROM_MS: u64 = 7_200_000;

/// Formats a duration in ms, in a unit that suits its length.
pub fn duration(ms: u64) -> String {
    match ms {
        0..1_000 => format!("{ms} ms"),
        1_000..MINUTES_FROM_MS => format!("{:.1} s", ms as f64 / 1_000.0),
        MINUTES_FROM_MS..HOURS_FROM_MS => format!("{:.1} min", ms as f64 / 60_000.0),
        _ => format!("{:.1} h", ms as f64 / 3_600_000.0),
    }
}

/// Formats a duration in µs as ms.
pub fn millis(us: u64) -> String {
    format!("{:.1} ms", us as f64 / 1_000.0)
}

/// Percent-encodes `name` as one segment of a URL path.
pub fn path_segment(name: &str) -> String {
    let mut out = String::with_capacity(name.len());
    for byte in name.bytes() {
        match byte {
            b'A'..=b'Z' | b'a'..=b'z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' => {
                out.push(char::from(byte));
            }
            _ => out.push_str(&format!("%{byte:02X}")),
        }
    }
    out
}
