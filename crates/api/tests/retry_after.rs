//! Reading of `Retry-After` fields, among them hostile ones.

use azuretally_api::retry_after::{RetryAfter, retry_after};
use std::time::Duration;

const DATE: &str = "Fri, 04 Dec 2026 15:00:00 GMT";

fn read(values: &[&str], date: Option<&str>) -> RetryAfter {
    retry_after(values.iter().map(|v| v.as_bytes()), date.map(str::as_bytes))
}

fn seconds(seconds: f64) -> RetryAfter {
    RetryAfter::After(Duration::from_secs_f64(seconds))
}

#[test]
fn seconds_may_have_a_fraction() {
    assert_eq!(read(&[], Some(DATE)), RetryAfter::Absent);
    for (text, expected) in
        [("0", 0.0), ("3", 3.0), ("1.25", 1.25), ("0.001", 0.001), (" 2\t", 2.0), ("007", 7.0)]
    {
        assert_eq!(read(&[text], None), seconds(expected), "{text:?}");
    }
}

#[test]
fn nonsense_is_unreadable() {
    let texts = [
        "", " ", ".", "-1", "-0", "+1", "1e3", "inf", "Infinity", "NaN", "nan", "1,5", "1.2.3",
        "1 2", "1s", "0x10", "soon", "１", "1\u{0}",
    ];
    for text in texts {
        assert_eq!(read(&[text], Some(DATE)), RetryAfter::Unreadable, "{text:?}");
    }
    assert_eq!(retry_after([&b"\xff\xfe"[..]], None), RetryAfter::Unreadable);
}

#[test]
fn times_beyond_the_range_of_durations_saturate() {
    for text in ["99999999999999999999", &"9".repeat(400)] {
        assert_eq!(read(&[text], None), RetryAfter::After(Duration::MAX), "{text:?}");
    }
}

#[test]
fn dates_count_from_the_date_of_the_response() {
    for (text, expected) in [
        ("Fri, 04 Dec 2026 15:00:03 GMT", 3.0),
        ("Friday, 04-Dec-26 15:01:00 GMT", 60.0),
        ("Fri Dec  4 16:00:00 2026", 3_600.0),
        ("Sat, 05 Dec 2026 15:00:00 GMT", 86_400.0),
        ("Fri, 01 Jan 2027 15:00:00 GMT", 28.0 * 86_400.0),
        ("Fri, 04 Dec 2026 15:00:00 GMT", 0.0),
        ("Fri, 04 Dec 2026 14:59:59 GMT", 0.0),
        ("Sun, 06 Nov 1994 08:49:37 GMT", 0.0),
        ("Sunday, 06-Nov-94 08:49:37 GMT", 0.0),
    ] {
        assert_eq!(read(&[text], Some(DATE)), seconds(expected), "{text:?}");
    }
    let epoch = Some("Thu, 01 Jan 1970 00:00:00 GMT");
    assert_eq!(read(&["Sun Nov  6 08:49:37 1994"], epoch), seconds(784_111_777.0));
    assert_eq!(read(&["Tue, 29 Feb 2000 00:00:00 GMT"], epoch), seconds(951_782_400.0));
}

#[test]
fn dates_without_a_date_of_the_response_are_unreadable() {
    let date = "Fri, 04 Dec 2026 15:00:03 GMT";
    assert_eq!(read(&[date], None), RetryAfter::Unreadable);
    assert_eq!(read(&[date], Some("yesterday")), RetryAfter::Unreadable);
}

#[test]
fn impossible_dates_are_unreadable() {
    for text in [
        "Mon, 29 Feb 2027 00:00:00 GMT",
        "Fri, 31 Apr 2027 00:00:00 GMT",
        "Fri, 00 Dec 2026 15:00:00 GMT",
        "Fri, 04 Foo 2026 15:00:00 GMT",
        "Fri, 04 Dec 2026 24:00:00 GMT",
        "Fri, 04 Dec 2026 15:60:00 GMT",
        "Fri, 04 Dec 2026 15:00:61 GMT",
        "Fri, 04 Dec 2026 15:00 GMT",
        "Fri, 04 Dec 2026 15:00:00:00 GMT",
        "Fri, 04 Dec 2026 15:00:03 CET",
        "Fri, 04 Dec 20260 15:00:03 GMT",
    ] {
        assert_eq!(read(&[text], Some(DATE)), RetryAfter::Unreadable, "{text:?}");
    }
}

#[test]
fn the_longest_of_several_times_counts() {
    assert_eq!(read(&["1", "3", "2"], None), seconds(3.0));
    assert_eq!(read(&["nonsense", "1"], None), seconds(1.0));
    assert_eq!(read(&["1", "nonsense"], None), seconds(1.0));
    assert_eq!(read(&["1", "Fri, 04 Dec 2026 15:00:03 GMT"], Some(DATE)), seconds(3.0));
}

#[test]
fn arbitrary_bytes_are_read_without_panic() {
    arbtest::arbtest(|u| {
        let value: Vec<u8> = u.arbitrary()?;
        let date: Option<Vec<u8>> = u.arbitrary()?;
        assert_ne!(retry_after([&value[..]], date.as_deref()), RetryAfter::Absent);
        Ok(())
    });
}
