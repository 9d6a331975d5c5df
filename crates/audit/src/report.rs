//! What is printed.

use azuretally_policy::record::{Finding, Summary};

/// Prints every finding and the summary; true when there is no breach.
pub(crate) fn print(summary: &Summary, breaches: &[Finding], complete: bool) -> bool {
    let mut count = 0;
    for breach in breaches {
        if breach.kind.is_open() && !complete {
            println!("open: {breach}");
        } else {
            count += 1;
            println!("breach: {breach}");
        }
    }
    println!(
        "{} lines of {} incarnations: {} calls = {} answered + {} not run + {} unknown",
        summary.lines,
        summary.incarnations,
        summary.calls,
        summary.answered,
        summary.not_run,
        summary.unknown
    );
    match count {
        0 => println!("ok: no breach"),
        count => println!("failed: {count} breaches"),
    }
    count == 0
}
