//! Verifies audit records, read from files or from running entries.
//!
//! The checks are in `azuretally_policy::record`. This crate reads the lines and prints the
//! findings, so that others can verify a record without a running system.

mod args;
mod error;
mod report;
mod sources;

pub use error::AuditError;

use args::Args;
use azuretally_policy::record::Verifier;
use error_stack::Report;
use std::{ffi::OsString, process::ExitCode};

/// Exit code for invalid command-line arguments.
const EXIT_USAGE: u8 = 2;

/// Runs the program with its arguments, without the program name.
pub fn run<I>(args: I) -> ExitCode
where
    I: IntoIterator<Item = OsString>,
{
    let args = match Args::parse(args) {
        Ok(Some(args)) => args,
        Ok(None) => {
            println!("{}", args::USAGE);
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("error: {e}\n\n{}", args::USAGE);
            return ExitCode::from(EXIT_USAGE);
        }
    };
    match verify(&args) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(report) => {
            eprintln!("error: {report:?}");
            ExitCode::FAILURE
        }
    }
}

/// Verifies the records and prints the findings. Returns whether there is no breach.
fn verify(args: &Args) -> Result<bool, Report<AuditError>> {
    let mut verifier = Verifier::default();
    for file in &args.files {
        sources::read_file(&mut verifier, file)?;
    }
    sources::read_entries(&mut verifier, &args.entries, args.token_file.as_deref())?;
    let runs = sources::read_runs(&args.runs)?;
    let (summary, findings) = verifier.finish(runs.as_ref());
    Ok(report::print(&summary, &findings, args.complete))
}
