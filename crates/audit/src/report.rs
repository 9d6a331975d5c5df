//! Output of the results.

use azuretally_policy::record::{Finding, Summary};

/// Prints every finding and the summary. Returns whether there is no breach.
///
/// An open finding is a breach only if the records must be `complete`.
pub(crate) fn print(summary: &Summary, findings: &[Finding], complete: bool) -> bool {
    let mut breaches = 0;
    for finding in findings {
        if finding.kind.is_open() && !complete {
            println!("open: {finding}");
        } else {
            breaches += 1;
            println!("breach: {finding}");
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
    match breaches {
        0 => println!("ok: no breach"),
        breaches => println!("failed: {breaches} breaches"),
    }
    breaches == 0
}
