//! Command-line handling shared by the binaries of this crate.

use crate::StandinError;
use error_stack::Report;
use std::process::ExitCode;

/// Runs a program with its parsed options and returns its exit code: 0 on success, 1 if it fails
/// and 2, after printing `usage`, if the command line is invalid.
pub fn run<Options, Run>(usage: &str, options: Result<Options, lexopt::Error>, run: Run) -> ExitCode
where
    Run: FnOnce(Options) -> Result<(), Report<StandinError>>,
{
    let options = match options {
        Ok(options) => options,
        Err(e) => {
            eprintln!("error: {e}\n{usage}");
            return ExitCode::from(2);
        }
    };
    match run(options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {report:?}");
            ExitCode::FAILURE
        }
    }
}
