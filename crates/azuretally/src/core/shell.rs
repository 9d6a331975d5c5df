//! Messages on standard error.

use super::CliError;
use error_stack::{Frame, FrameKind, Report};

/// Prints an error or warning and its causes, one per line. `kind` is the prefix of the first line.
pub(crate) fn print_error(kind: &str, report: &Report<CliError>) {
    eprintln!("{kind}: {}", report.current_context());
    let mut causes: Vec<String> = report.frames().filter_map(cause).collect();
    causes.dedup();
    for cause in causes.iter().skip(1) {
        eprintln!("  cause: {cause}");
    }
}

fn cause(frame: &Frame) -> Option<String> {
    match frame.kind() {
        FrameKind::Context(context) => Some(context.to_string()),
        FrameKind::Attachment(_) => None,
    }
}
