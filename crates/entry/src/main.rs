//! `azuretally-entry`, the daemon that runs on each entry host.

use azuretally_entry::{StartError, daemon};
use error_stack::{Report, ResultExt};
use mimalloc::MiMalloc;
use std::{ffi::OsString, path::PathBuf, process::ExitCode};

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

const USAGE: &str = "Usage: azuretally-entry --settings FILE";
/// Exit status for an invalid command line.
const USAGE_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    let path = match parse_args() {
        Ok(Some(path)) => path,
        Ok(None) => {
            println!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            eprintln!("error: {e}\n{USAGE}");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };
    match run(path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("error: {report:?}");
            ExitCode::FAILURE
        }
    }
}

fn run(path: PathBuf) -> Result<(), Report<StartError>> {
    let text = std::fs::read_to_string(&path)
        .change_context_lazy(|| StartError::ReadFile(path.clone()))?;
    daemon::run(&path.display().to_string(), &text)
}

fn parse_args() -> Result<Option<PathBuf>, lexopt::Error> {
    use lexopt::prelude::{Long, Short};
    let mut parser = lexopt::Parser::from_env();
    let mut path: Option<OsString> = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("settings") => path = Some(parser.value()?),
            Long("help") | Short('h') => return Ok(None),
            _ => return Err(arg.unexpected()),
        }
    }
    path.map(|p| Some(PathBuf::from(p))).ok_or_else(|| "missing required option --settings".into())
}
