//! Command line shared by the gateway binaries.

use crate::{
    StartError,
    adapter::{CallAdapter, PlatformAdapter},
    daemon,
};
use error_stack::Report;
use std::{env, ffi::OsString, path::PathBuf, process::ExitCode};

/// Exit status for an invalid command line.
const USAGE_EXIT_CODE: u8 = 2;

/// Parses the command line and runs a gateway.
///
/// The settings file is given by `--settings`, or else by the environment variable `variable`. The
/// exit status is 2 if the command line is invalid and 1 if the gateway cannot start.
pub fn main<Adapter>(program: &str, variable: &'static str, adapter: Adapter) -> ExitCode
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let usage = format!("Usage: {program} [--settings FILE]");
    let path = match parse_args() {
        Ok(Some(path)) => path,
        Ok(None) => {
            println!("{usage}");
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("error: {e}\n{usage}");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    match run(path, variable, adapter) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {report:?}");
            ExitCode::FAILURE
        }
    }
}

fn run<Adapter>(
    path: OsString,
    variable: &'static str,
    adapter: Adapter,
) -> Result<(), Report<StartError>>
where
    Adapter: CallAdapter + PlatformAdapter,
{
    let path = if path.is_empty() { env::var_os(variable) } else { Some(path) };
    let path = path.ok_or_else(|| Report::new(StartError::NoSettings(variable)))?;
    daemon::run(PathBuf::from(path), adapter)
}

/// Returns the path given by `--settings`, which is empty if the option is missing, or `None` for
/// `--help`.
fn parse_args() -> Result<Option<OsString>, lexopt::Error> {
    use lexopt::prelude::{Long, Short};
    let mut parser = lexopt::Parser::from_env();
    let mut path = OsString::new();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => path = parser.value()?,
            Long("help") | Short('h') => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    Ok(Some(path))
}
