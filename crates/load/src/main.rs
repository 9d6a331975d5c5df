//! The `azuretally-load` binary: load generator, demonstration and experiments.

use azuretally_load::commands;
use std::process::ExitCode;

fn main() -> ExitCode {
    match commands::main() {
        Ok(code) => code,
        Err(report) => {
            eprintln!("error: {report:?}");
            ExitCode::FAILURE
        }
    }
}
