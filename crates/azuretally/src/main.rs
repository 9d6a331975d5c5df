//! `azuretally`, the command line for operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    azuretally::run(std::env::args_os().skip(1))
}
